//! Forwarding of requests to the upstream and of answers to the caller.

use test_case::test_case;

use super::fake::{Action, Upstream};
use super::fixture::{DEADLINE_MS, Setup, send};

#[tokio::test]
async fn request_and_answer_are_forwarded() {
    let upstream = Upstream::answering("priced").await;
    let gateway = Setup::over(&[upstream.address]).start().await;
    let answer = send(gateway.post("/quote/7?x=1")).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "priced"));
    let seen = upstream.seen().remove(0);
    assert!(seen.head.starts_with("POST /quote/7?x=1 HTTP/1.1"));
    assert_eq!(seen.body, b"order");
}

#[tokio::test]
async fn request_id_is_kept_or_generated() {
    let upstream = Upstream::answering("").await;
    let gateway = Setup::over(&[upstream.address]).start().await;
    let given = gateway.post("/quote").header("x-request-id", "id-7");
    let given = given.send().await.unwrap();
    assert_eq!(given.headers()["x-request-id"], "id-7");
    let generated = gateway.post("/quote").send().await.unwrap();
    let seen = upstream.seen();
    assert_eq!(seen[0].id(), "id-7");
    assert_eq!(
        generated.headers()["x-request-id"].to_str().unwrap(),
        seen[1].id()
    );
}

struct Deadline {
    given: Option<&'static str>,
    most_ms: u64,
}

#[test_case(Deadline { given: None, most_ms: DEADLINE_MS }; "of the profile")]
#[test_case(Deadline { given: Some("900"), most_ms: 900 }; "of the caller")]
#[test_case(Deadline { given: Some("9007199254740992"), most_ms: DEADLINE_MS }; "capped by the profile")]
#[tokio::test]
async fn remaining_deadline_is_forwarded(case: Deadline) {
    let upstream = Upstream::answering("").await;
    let gateway = Setup::over(&[upstream.address]).start().await;
    let mut request = gateway.post("/quote");
    if let Some(given) = case.given {
        request = request.header("x-deadline-ms", given);
    }
    assert_eq!(send(request).await.status, 200);
    let seen = upstream.seen().remove(0);
    let sent: u64 = seen.field("x-deadline-ms").unwrap().parse().unwrap();
    assert!((1..=case.most_ms).contains(&sent), "sent {sent}");
}

#[tokio::test]
async fn hop_by_hop_fields_are_not_forwarded() {
    let extra = "connection: x-inner\r\nx-inner: 1\r\nkeep-alive: timeout=5\r\n\
                 verbenahitch-not-run: true\r\nx-kept: yes\r\n";
    let upstream = Upstream::start(move |_| Action::With("ok".to_owned(), extra)).await;
    let gateway = Setup::over(&[upstream.address]).start().await;
    let answer = gateway
        .raw(
            "GET /quote HTTP/1.1\r\nHost: gw\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n\
             TE: trailers\r\nProxy-Authorization: secret\r\nUpgrade: other\r\n\
             Verbenahitch-Outcome: x\r\nX-Kept: yes\r\n\r\n",
            false,
        )
        .await
        .to_lowercase();
    let seen = upstream.seen().remove(0);
    for name in [
        "x-hop",
        "te",
        "proxy-authorization",
        "upgrade",
        "verbenahitch-outcome",
    ] {
        assert_eq!(seen.field(name), None, "{name} reached the upstream");
    }
    assert_eq!(seen.field("x-kept"), Some("yes"));
    assert!(answer.contains("x-kept: yes"), "{answer}");
    for name in ["x-inner", "keep-alive:", "verbenahitch-not-run"] {
        assert!(
            !answer.contains(name),
            "{name} reached the caller: {answer}"
        );
    }
}

#[tokio::test]
async fn redirects_are_returned_to_the_caller() {
    let upstream = Upstream::start(|seen| {
        let head = format!("x-request-id: {}\r\nlocation: /quote/2\r\n", seen.id());
        Action::Keep(format!(
            "HTTP/1.1 307 Moved\r\n{head}content-length: 0\r\n\r\n"
        ))
    })
    .await;
    let gateway = Setup::over(&[upstream.address]).start().await;
    let client = reqwest::Client::builder().no_proxy();
    let client = client
        .redirect(reqwest::redirect::Policy::none())
        .build()
        .unwrap();
    let answer = send(client.post(gateway.url("/charge"))).await;
    assert_eq!(answer.status, 307);
    assert_eq!(upstream.count(), 1);
}
