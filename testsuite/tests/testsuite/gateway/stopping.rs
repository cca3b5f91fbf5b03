//! Planned stops cut nothing, and what is leaving gets nothing new.

use std::sync::Arc;

use test_case::test_case;
use verbenahitch::port::HostState;

use super::fake::{Act, Upstream};
use super::fixture::{Setup, got, host};

#[tokio::test]
async fn stop_cuts_no_request_in_progress() {
    const REQUESTS: usize = 8;
    let upstream = Upstream::start(|_| Act::Gated("x".repeat(300_000))).await;
    let gateway = Setup::over(&[upstream.address]).start().await;
    let requests: Vec<_> = (0..REQUESTS)
        .map(|_| tokio::spawn(got(gateway.post("/charge"))))
        .collect();
    upstream.arrived(REQUESTS).await;
    gateway.callers.stop_accepting();
    let refused = got(gateway.post("/charge")).await;
    assert_eq!((refused.status, refused.not_run), (503, true));
    assert!(refused.retry_after.is_some());
    let stop = tokio::spawn(gateway.callers.stop());
    upstream.open_gate();
    for request in requests {
        let answer = request.await.unwrap();
        assert_eq!((answer.status, answer.body.len()), (200, 300_000));
    }
    stop.await.unwrap();
    assert_eq!(upstream.count(), REQUESTS);
}

#[tokio::test]
async fn stop_ends_at_its_grace() {
    let upstream = Upstream::start(|_| Act::Silent).await;
    let gateway = Setup::over(&[upstream.address])
        .with("grace-ms", 200)
        .start()
        .await;
    let request = tokio::spawn(gateway.post("/charge").send());
    upstream.arrived(1).await;
    gateway.callers.stop().await;
    request.abort();
}

#[tokio::test]
async fn own_word_of_leaving_counts_at_once() {
    let leaving = Upstream::start(|_| Act::With("bye".to_owned(), "x-leaving: true\r\n")).await;
    let staying = Upstream::answering("hello").await;
    let gateway = Setup::over(&[leaving.address, staying.address])
        .start()
        .await;
    while leaving.count() == 0 {
        assert_eq!(got(gateway.post("/quote")).await.status, 200);
    }
    for _ in 0..50 {
        assert_eq!(got(gateway.post("/quote")).await.body, "hello");
    }
    // The list lags and shows the upstream as live still.
    let list = [leaving.address, staying.address].map(|at| host("a", at));
    gateway.hosts.send_replace(Arc::new(list.to_vec()));
    for _ in 0..50 {
        assert_eq!(got(gateway.post("/quote")).await.body, "hello");
    }
    assert_eq!(leaving.count(), 1);
}

#[test_case(HostState::Leaving; "leaving")]
#[test_case(HostState::Dead; "dead")]
#[tokio::test]
async fn listed_state_counts(state: HostState) {
    let gone = Upstream::answering("gone").await;
    let staying = Upstream::answering("hello").await;
    let gateway = Setup::over(&[staying.address]).start().await;
    let mut list = [gone.address, staying.address]
        .map(|at| host("a", at))
        .to_vec();
    list[0].state = state;
    gateway.hosts.send_replace(Arc::new(list));
    for _ in 0..50 {
        assert_eq!(got(gateway.post("/quote")).await.body, "hello");
    }
}
