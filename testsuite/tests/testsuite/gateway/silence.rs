//! A connection that went silent is given up, and its upstream is not.

use super::fake::{Act, Upstream};
use super::fixture::{Setup, got};

#[tokio::test]
async fn new_connection_replaces_a_silent_one() {
    // The first connection answers once and is silent afterwards; new ones work.
    let upstream = Upstream::start(|seen| match (seen.connection, seen.number) {
        (0, 0) => Act::Answer("first".to_owned()),
        (0, _) => Act::Silent,
        _ => Act::Answer("fresh".to_owned()),
    })
    .await;
    let gateway = Setup::over(&[upstream.address]).start().await;
    assert_eq!(got(gateway.post("/charge")).await.body, "first");
    let silent = gateway.post("/charge").header("x-deadline-ms", "600");
    let silent = got(silent).await;
    assert_eq!((silent.status, silent.not_run), (504, false));
    for _ in 0..20 {
        assert_eq!(got(gateway.post("/charge")).await.body, "fresh");
    }
}

#[tokio::test]
async fn one_silent_connection_retires_those_beside_it() {
    const OPEN: usize = 4;
    let upstream = Upstream::start(|seen| match seen.connection {
        0..OPEN if seen.number < OPEN => Act::Gated("first".to_owned()),
        0..OPEN => Act::Silent,
        _ => Act::Answer("fresh".to_owned()),
    })
    .await;
    let gateway = Setup::over(&[upstream.address]).start().await;
    let first: Vec<_> = (0..OPEN)
        .map(|_| tokio::spawn(got(gateway.post("/charge"))))
        .collect();
    upstream.arrived(OPEN).await;
    upstream.open_gate();
    for request in first {
        assert_eq!(request.await.unwrap().body, "first");
    }
    let silent = gateway.post("/charge").header("x-deadline-ms", "600");
    assert_eq!(got(silent).await.status, 504);
    for _ in 0..20 {
        assert_eq!(got(gateway.post("/charge")).await.body, "fresh");
    }
    assert_eq!(upstream.count(), OPEN + 1 + 20);
}

#[tokio::test]
async fn idempotent_request_leaves_a_silent_connection() {
    let upstream = Upstream::start(|seen| match (seen.connection, seen.number) {
        (0, 0) => Act::Answer("first".to_owned()),
        (0, _) => Act::Silent,
        _ => Act::Answer("fresh".to_owned()),
    })
    .await;
    let gateway = Setup::over(&[upstream.address]).start().await;
    assert_eq!(got(gateway.post("/quote")).await.body, "first");
    let answer = got(gateway.post("/quote")).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "fresh"));
}
