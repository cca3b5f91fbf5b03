//! The own availability zone comes first; a zone out of service gets nothing.

use std::sync::Arc;

use verbenahitch::config::Declarations;
use verbenahitch::port::HostRecord;

use super::fake::Upstream;
use super::fixture::{STUCK, Setup, declarations, got, host};

async fn two_zones() -> (Upstream, Upstream, Vec<HostRecord>) {
    let near = Upstream::answering("near").await;
    let far = Upstream::answering("far").await;
    let hosts = vec![host("b", far.address), host("a", near.address)];
    (near, far, hosts)
}

#[tokio::test]
async fn own_zone_comes_first() {
    let (_near, far, hosts) = two_zones().await;
    let setup = Setup {
        hosts,
        ..Setup::over(&[])
    };
    let gateway = setup.start().await;
    for _ in 0..50 {
        assert_eq!(got(gateway.post("/quote")).await.body, "near");
    }
    assert_eq!(far.count(), 0);
}

#[tokio::test]
async fn zone_out_of_service_gets_nothing_new() {
    let (near, _far, hosts) = two_zones().await;
    let setup = Setup {
        hosts,
        ..Setup::over(&[])
    };
    let gateway = setup.start().await;
    assert_eq!(got(gateway.post("/quote")).await.body, "near");
    let mut next = declarations();
    next["revision"] = 2.into();
    next["zones"]["a"]["state"] = "out".into();
    let next: Declarations = serde_json::from_value(next).unwrap();
    gateway.current.advance(Arc::new(next));
    let taken_over = async {
        while got(gateway.post("/quote")).await.body == "near" {
            tokio::task::yield_now().await;
        }
    };
    let stuck = tokio::time::timeout(STUCK, taken_over).await;
    stuck.expect("the zone still gets requests");
    let before = near.count();
    for _ in 0..50 {
        assert_eq!(got(gateway.post("/quote")).await.body, "far");
    }
    assert_eq!(near.count(), before);
}
