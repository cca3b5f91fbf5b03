//! A client closes all its open connections after a call on one of them has timed out.

use verbenahitch::adapter::Store as Client;
use verbenahitch_standin::fault::Fault;
use verbenahitch_standin::store::{Settings, Store};

const TIMEOUT_MS: u64 = 500;

#[tokio::test]
async fn one_timeout_retires_every_silent_connection() {
    let any_port = "127.0.0.1:0".parse().expect("a valid address");
    let settings = Settings::default();
    let store = Store::start(any_port, settings)
        .await
        .expect("the store starts");
    let client = Client::new(&store.address().to_string(), TIMEOUT_MS);
    let call = || client.get("key");
    // While the store is frozen, each concurrent call needs its own connection.
    store.faults().apply(Fault::Freeze);
    let calls = tokio::spawn({
        let client = client.clone();
        async move {
            let call = || client.get("key");
            let (a, b, c, d) = tokio::join!(call(), call(), call(), call());
            [a, b, c, d].iter().filter(|answer| answer.is_ok()).count()
        }
    });
    tokio::task::yield_now().await;
    store.faults().apply(Fault::Thaw);
    assert_eq!(calls.await.expect("the calls end"), 4);
    store.faults().apply(Fault::Silence);
    assert!(call().await.is_err(), "the open connection is silent");
    assert!(call().await.is_ok(), "the call uses a new connection");
}
