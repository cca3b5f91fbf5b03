//! The gateway's own availability zone is preferred; a zone out of service gets no
//! requests.

use std::sync::Arc;

use verbenahitch::config::Declarations;
use verbenahitch::port::HostRecord;

use super::fake::Upstream;
use super::fixture::{STUCK_TIMEOUT, Setup, declarations, host, send};

async fn two_zones() -> (Upstream, Upstream, Vec<HostRecord>) {
    let near = Upstream::answering("near").await;
    let far = Upstream::answering("far").await;
    let hosts = vec![host("b", far.address), host("a", near.address)];
    (near, far, hosts)
}

#[tokio::test]
async fn own_zone_is_preferred() {
    let (_near, far, hosts) = two_zones().await;
    let setup = Setup {
        hosts,
        ..Setup::over(&[])
    };
    let gateway = setup.start().await;
    for _ in 0..50 {
        assert_eq!(send(gateway.post("/quote")).await.body, "near");
    }
    assert_eq!(far.count(), 0);
}

#[tokio::test]
async fn zone_out_of_service_gets_no_requests() {
    let (near, _far, hosts) = two_zones().await;
    let setup = Setup {
        hosts,
        ..Setup::over(&[])
    };
    let gateway = setup.start().await;
    assert_eq!(send(gateway.post("/quote")).await.body, "near");
    let mut next = declarations();
    next["revision"] = 2.into();
    next["zones"]["a"]["state"] = "out".into();
    let next: Declarations = serde_json::from_value(next).unwrap();
    gateway.current.advance(Arc::new(next));
    let taken_over = async {
        while send(gateway.post("/quote")).await.body == "near" {
            tokio::task::yield_now().await;
        }
    };
    let switched = tokio::time::timeout(STUCK_TIMEOUT, taken_over).await;
    switched.expect("the zone still gets requests");
    let before = near.count();
    for _ in 0..50 {
        assert_eq!(send(gateway.post("/quote")).await.body, "far");
    }
    assert_eq!(near.count(), before);
}
