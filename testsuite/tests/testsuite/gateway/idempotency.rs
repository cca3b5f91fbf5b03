//! A request that is not idempotent runs at most once per idempotency key, also
//! when repeats reach different gateways.

use std::net::SocketAddr;

use test_case::test_case;
use verbenahitch_standin::fault::Fault;
use verbenahitch_standin::store::{Settings, Store};

use super::fake::{Action, Upstream};
use super::fixture::{Answer, Gateway, Setup, send};

/// Old buckets that a gateway removes when it starts.
const STARTUP_BUCKETS: u64 = 3;

async fn store() -> Store {
    // An address that outgoing connections don't use; they could take its port while it is stopped.
    let address: SocketAddr = "127.9.0.1:0".parse().unwrap();
    Store::start(address, Settings::default()).await.unwrap()
}

async fn gateway(name: &'static str, store: &Store, upstream: &Upstream) -> Gateway {
    let setup = Setup {
        name,
        store: store.address().to_string(),
        ..Setup::over(&[upstream.address])
    };
    setup.start().await
}

async fn charge(gateway: &Gateway, key: &str) -> Answer {
    send(gateway.post("/charge").header("idempotency-key", key)).await
}

fn assert_repeat(answer: &Answer) {
    assert_eq!(answer.status, 409, "{answer:?}");
    assert_eq!(answer.outcome.as_deref(), Some("already-sent"));
    assert!(!answer.not_run);
}

#[test_case(|_| Action::Answer("charged".to_owned()), 200; "answered")]
#[test_case(|_| Action::Close, 502; "closed after the request")]
#[tokio::test]
async fn repeat_through_another_gateway_is_refused(
    action: fn(&super::fake::Seen) -> Action,
    status: u16,
) {
    let (store, upstream) = (store().await, Upstream::start(action).await);
    let one = gateway("gw-1", &store, &upstream).await;
    let two = gateway("gw-2", &store, &upstream).await;
    assert_eq!(charge(&one, "k").await.status, status);
    assert_repeat(&charge(&two, "k").await);
    assert_repeat(&charge(&one, "k").await);
    assert_eq!(upstream.count(), 1, "a charge ran twice");
    assert_eq!(charge(&two, "another").await.status, status);
}

#[tokio::test]
async fn simultaneous_repeats_run_once() {
    let (store, upstream) = (store().await, Upstream::answering("charged").await);
    let mut gateways = Vec::new();
    for name in ["gw-1", "gw-2", "gw-3"] {
        gateways.push(gateway(name, &store, &upstream).await);
    }
    for round in 0..10 {
        let key = format!("k-{round}");
        let both = gateways
            .iter()
            .flat_map(|g| [charge(g, &key), charge(g, &key)]);
        let answers = futures::future::join_all(both).await;
        let ran = answers.iter().filter(|answer| answer.status == 200).count();
        assert_eq!(ran, 1, "{answers:?}");
        assert_eq!(upstream.count(), round + 1);
    }
}

#[tokio::test]
async fn same_key_of_another_kind_is_another_key() {
    let (store, upstream) = (store().await, Upstream::answering("ok").await);
    let gateway = gateway("gw-1", &store, &upstream).await;
    assert_eq!(charge(&gateway, "k").await.status, 200);
    let refund = gateway.post("/refund").header("idempotency-key", "k");
    assert_eq!(send(refund).await.status, 200);
    let quote = gateway.post("/quote").header("idempotency-key", "k");
    assert_eq!(send(quote).await.status, 200);
    // An idempotent request needs no claim.
    assert_eq!(store.keys("verbenahitch/once/").len(), 2);
}

#[tokio::test]
async fn lost_answer_of_the_store_is_resolved() {
    let (store, upstream) = (store().await, Upstream::answering("charged").await);
    let one = gateway("gw-1", &store, &upstream).await;
    let two = gateway("gw-2", &store, &upstream).await;
    // Both gateways remove old buckets first; wait, so that the lost answer is that of the claim.
    while store.calls().writes < 2 * STARTUP_BUCKETS {
        tokio::task::yield_now().await;
    }
    store.faults().apply(Fault::Lose { answers: 1 });
    let answer = charge(&one, "k").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "charged"));
    assert_repeat(&charge(&two, "k").await);
    assert_eq!(upstream.count(), 1);
}

#[tokio::test]
async fn store_outage_refuses_only_keyed_requests() {
    let (store, upstream) = (store().await, Upstream::answering("ok").await);
    let gateway = gateway("gw-1", &store, &upstream).await;
    store.stop();
    let answer = charge(&gateway, "k").await;
    assert_eq!((answer.status, answer.not_run), (503, true));
    assert!(answer.retry_after.is_some());
    assert_eq!(upstream.count(), 0);
    assert_eq!(send(gateway.post("/quote")).await.status, 200);
    assert_eq!(send(gateway.post("/charge")).await.status, 200);
    store.resume().await.unwrap();
    assert_eq!(charge(&gateway, "k").await.status, 200);
}

#[tokio::test]
async fn refused_charge_may_be_repeated_at_any_gateway() {
    let store = store().await;
    let full = Upstream::start(|seen| match seen.number {
        0 => Action::Refuse,
        _ => Action::Answer("charged".to_owned()),
    })
    .await;
    let one = gateway("gw-1", &store, &full).await;
    let two = gateway("gw-2", &store, &full).await;
    let refused = charge(&one, "k").await;
    assert_eq!((refused.status, refused.not_run), (503, true));
    assert_eq!(charge(&two, "k").await.status, 200);
    assert_repeat(&charge(&one, "k").await);
}

#[tokio::test]
async fn key_stays_claimed_when_the_caller_disconnects() {
    let store = store().await;
    let upstream = Upstream::start(|_| Action::Gated("charged".to_owned())).await;
    let one = gateway("gw-1", &store, &upstream).await;
    let two = gateway("gw-2", &store, &upstream).await;
    let request = one.post("/charge").header("idempotency-key", "k").send();
    let caller = tokio::spawn(request);
    upstream.arrived(1).await;
    caller.abort();
    assert!(caller.await.unwrap_err().is_cancelled());
    assert_repeat(&charge(&two, "k").await);
    upstream.open_gate();
    assert_repeat(&charge(&one, "k").await);
    assert_eq!(upstream.count(), 1);
}

#[tokio::test]
async fn keys_of_one_interval_share_transactions() {
    let (store, upstream) = (store().await, Upstream::answering("ok").await);
    let setup = Setup {
        store: store.address().to_string(),
        ..Setup::over(&[upstream.address, upstream.address])
    };
    let gateway = setup.start().await;
    const KEYS: usize = 200;
    let before = store.calls().txns;
    let calls = (0..KEYS).map(|key| {
        let key = format!("k-{key}");
        let gateway = &gateway;
        async move { charge(gateway, &key).await.status }
    });
    let statuses = futures::future::join_all(calls).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let txns = store.calls().txns - before;
    assert!(txns < KEYS as u64, "{txns} transactions for {KEYS} keys");
}
