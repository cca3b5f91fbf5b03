//! A graceful stop completes the requests in progress, and a leaving upstream gets
//! no new ones.

use std::sync::Arc;

use test_case::test_case;
use verbenahitch::port::HostState;

use super::fake::{Action, Upstream};
use super::fixture::{Setup, host, send};

#[tokio::test]
async fn stop_completes_requests_in_progress() {
    const REQUESTS: usize = 8;
    let upstream = Upstream::start(|_| Action::Gated("x".repeat(300_000))).await;
    let gateway = Setup::over(&[upstream.address]).start().await;
    let requests: Vec<_> = (0..REQUESTS)
        .map(|_| tokio::spawn(send(gateway.post("/charge"))))
        .collect();
    upstream.arrived(REQUESTS).await;
    gateway.callers.stop_accepting();
    let refused = send(gateway.post("/charge")).await;
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
async fn stop_waits_at_most_for_the_grace_period() {
    let upstream = Upstream::start(|_| Action::Silent).await;
    let gateway = Setup::over(&[upstream.address])
        .with("grace-ms", 200)
        .start()
        .await;
    let request = tokio::spawn(gateway.post("/charge").send());
    upstream.arrived(1).await;
    // Without the bound, `stop` would wait for the upstream, which never answers.
    gateway.callers.stop().await;
    request.abort();
}

#[tokio::test]
async fn announced_leaving_takes_effect_at_once() {
    let leaving = Upstream::start(|_| Action::With("bye".to_owned(), "x-leaving: true\r\n")).await;
    let staying = Upstream::answering("hello").await;
    let gateway = Setup::over(&[leaving.address, staying.address])
        .start()
        .await;
    while leaving.count() == 0 {
        assert_eq!(send(gateway.post("/quote")).await.status, 200);
    }
    for _ in 0..50 {
        assert_eq!(send(gateway.post("/quote")).await.body, "hello");
    }
    // The published host list is stale and still shows the upstream as live.
    let list = [leaving.address, staying.address].map(|at| host("a", at));
    gateway.hosts.send_replace(Arc::new(list.to_vec()));
    for _ in 0..50 {
        assert_eq!(send(gateway.post("/quote")).await.body, "hello");
    }
    assert_eq!(leaving.count(), 1);
}

#[test_case(HostState::Leaving; "leaving")]
#[test_case(HostState::Dead; "dead")]
#[tokio::test]
async fn upstream_not_listed_as_live_gets_no_requests(state: HostState) {
    let not_live = Upstream::answering("gone").await;
    let staying = Upstream::answering("hello").await;
    let gateway = Setup::over(&[staying.address]).start().await;
    let mut list = [not_live.address, staying.address]
        .map(|at| host("a", at))
        .to_vec();
    list[0].state = state;
    gateway.hosts.send_replace(Arc::new(list));
    for _ in 0..50 {
        assert_eq!(send(gateway.post("/quote")).await.body, "hello");
    }
}
