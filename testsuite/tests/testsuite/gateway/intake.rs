//! Requests that are refused before anything is sent to an upstream.

use test_case::test_case;

use super::fake::Upstream;
use super::fixture::{Setup, send};

struct BadRequest {
    /// Request; `{body}` stands for 64 bytes more than the limit of body and head.
    bytes: &'static str,
    /// Whether the caller closes its sending side.
    end: bool,
    status: u16,
}

const OVERSIZE: usize = 1_024 + 64;

#[test_case(BadRequest { bytes: "GET /quote HTTP/1.1\r\n\r\n", end: false, status: 400 }; "no host")]
#[test_case(BadRequest { bytes: "GET /quote HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", end: false, status: 400 }; "two hosts")]
#[test_case(BadRequest { bytes: "GET /quote HTTP/1.1\r\nHost: a b/c\r\n\r\n", end: false, status: 400 }; "bad host")]
#[test_case(BadRequest { bytes: "POST /quote HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n\r\n", end: false, status: 400 }; "length and chunks")]
#[test_case(BadRequest { bytes: "POST /quote HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\norder!", end: false, status: 400 }; "two lengths")]
#[test_case(BadRequest { bytes: "POST /quote HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", end: false, status: 400 }; "negative length")]
#[test_case(BadRequest { bytes: "POST /quote HTTP/1.1\r\nHost: a\r\nContent-Length: 9007199254740993\r\n\r\nan order of a few words", end: false, status: 400 }; "length beyond 2^53")]
#[test_case(BadRequest { bytes: "POST /quote HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\norder", end: true, status: 400 }; "body ends early")]
#[test_case(BadRequest { bytes: "POST /quote HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\norder\r\n", end: true, status: 400 }; "chunks end early")]
#[test_case(BadRequest { bytes: "POST /quote HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\norder\r\n0\r\n\r\n", end: false, status: 400 }; "chunks and length")]
#[test_case(BadRequest { bytes: "POST /quote HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\nslow sender, no more", end: false, status: 408 }; "slow sender")]
#[test_case(BadRequest { bytes: "POST /quote HTTP/1.1\r\nHost: a\r\nContent-Length: 1088\r\n\r\n{body}", end: false, status: 413 }; "declared body too large")]
#[test_case(BadRequest { bytes: "GET /quote HTTP/1.1\r\nHost: a\r\nX-Long: {body}\r\n\r\n", end: false, status: 431 }; "head too large")]
#[test_case(BadRequest { bytes: "GET /quote HTTP/1.1\r\nHost: a\r\nx-deadline-ms: 0\r\n\r\n", end: false, status: 400 }; "deadline zero")]
#[test_case(BadRequest { bytes: "GET /quote HTTP/1.1\r\nHost: a\r\nx-deadline-ms: -5\r\n\r\n", end: false, status: 400 }; "deadline negative")]
#[test_case(BadRequest { bytes: "GET /quote HTTP/1.1\r\nHost: a\r\nx-deadline-ms: 9007199254740993\r\n\r\n", end: false, status: 400 }; "deadline beyond 2^53")]
#[test_case(BadRequest { bytes: "GET /quote HTTP/1.1\r\nHost: a\r\nx-deadline-ms: soon\r\n\r\n", end: false, status: 400 }; "deadline not a number")]
#[test_case(BadRequest { bytes: "GET /quote HTTP/1.1\r\nHost: a\r\nIdempotency-Key: \r\n\r\n", end: false, status: 400 }; "empty key")]
#[test_case(BadRequest { bytes: "GET /quote HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nIdempotency-Key: l\r\n\r\n", end: false, status: 400 }; "two keys")]
#[test_case(BadRequest { bytes: "GET /quote HTTP/1.1\r\nHost: a\r\nIdempotency-Key: 0123456789012345678901234567890123456789\r\n\r\n", end: false, status: 400 }; "long key")]
#[test_case(BadRequest { bytes: "POST /quote HTTP/1.1\r\nHost: a\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: 14\r\n\r\n_method=delete", end: false, status: 400 }; "method override")]
#[test_case(BadRequest { bytes: "GET /other HTTP/1.1\r\nHost: a\r\n\r\n", end: false, status: 404 }; "unknown kind")]
#[tokio::test]
async fn bad_request_is_not_forwarded(case: BadRequest) {
    let upstream = Upstream::answering("ran").await;
    let gateway = Setup::over(&[upstream.address])
        .with("body-limit", 1_024)
        .with("head-limit", 1_024)
        .with("key-limit", 32)
        .start()
        .await;
    let bytes = case.bytes.replace("{body}", &"x".repeat(OVERSIZE));
    let bytes = bytes.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    let answer = gateway.raw(&bytes, case.end).await;
    let expected = format!("HTTP/1.1 {}", case.status);
    assert!(answer.starts_with(&expected), "{answer:?}");
    assert_eq!(upstream.count(), 0);
    // The HTTP library itself answers some framing faults, without the gateway's fields.
    if answer.contains("content-type") {
        assert!(answer.contains("verbenahitch-not-run: true"), "{answer:?}");
    }
}

#[tokio::test]
async fn request_without_an_upstream_in_service_is_refused() {
    let gateway = Setup::over(&[]).start().await;
    let answer = send(gateway.post("/quote")).await;
    assert_eq!((answer.status, answer.not_run), (503, true));
    assert!(answer.retry_after.is_some());
}
