//! Availability zones that are cut off from each other and from the platform.

use verbenahitch::adapter::{HostList, Store, WorkerClient};
use verbenahitch::port::{HostRecord, SyncRequest};
use verbenahitch_standin::platform::{Parts, Platform};
use verbenahitch_standin::worker::Settings;

/// Time limit of calls that are expected to get no answer.
const SHORT_MS: u64 = 200;
/// Time limit of calls that are expected to be answered.
const LONG_MS: u64 = 10_000;

async fn start() -> Platform {
    let worker = |zone: &str| Settings {
        name: format!("{zone}-w00"),
        zone: zone.to_owned(),
        ..Settings::default()
    };
    let parts = Parts {
        zones: vec!["a".to_owned(), "b".to_owned()],
        ..Parts::new(vec![worker("a"), worker("b")])
    };
    Platform::start(parts).await.unwrap()
}

async fn list(platform: &Platform, zone: &str) -> Vec<HostRecord> {
    let address = platform.addresses().zones[zone].hosts.unwrap();
    let list = HostList::new(&address.to_string(), "worker", LONG_MS);
    list.read().await.unwrap()
}

async fn hears(platform: &Platform, zone: &str, timeout_ms: u64) -> bool {
    let address = platform.addresses().zones[zone].store.unwrap();
    let store = Store::new(&address.to_string(), timeout_ms);
    store.get("key").await.is_ok()
}

async fn syncs(worker: &HostRecord, seq: u64, timeout_ms: u64) -> bool {
    let request = SyncRequest {
        shard: "a-0".to_owned(),
        owner: "entry".to_owned(),
        epoch: 1,
        seq,
        not_after: 0,
        lease_ms: 0,
        commands: Vec::new(),
        acked: Vec::new(),
    };
    let workers = WorkerClient::new(timeout_ms);
    workers.sync(&worker.control, &request).await.is_ok()
}

#[tokio::test]
async fn each_zone_sees_workers_at_addresses_of_its_own() {
    let platform = start().await;
    let (from_a, from_b) = (list(&platform, "a").await, list(&platform, "b").await);
    for (one, other) in from_a.iter().zip(&from_b) {
        assert_eq!((&one.name, &one.zone), (&other.name, &other.zone));
        assert_ne!(one.control, other.control);
        assert_ne!(one.upstream, other.upstream);
    }
    assert!(syncs(&from_a[1], 1, LONG_MS).await);
}

#[tokio::test]
async fn a_cut_zone_keeps_its_own_workers_and_nothing_else() {
    let platform = start().await;
    let (from_a, from_b) = (list(&platform, "a").await, list(&platform, "b").await);
    platform.cut_zone("a");
    assert!(!hears(&platform, "a", SHORT_MS).await);
    assert!(hears(&platform, "b", LONG_MS).await);
    assert!(syncs(&from_a[0], 1, LONG_MS).await);
    assert!(!syncs(&from_a[1], 1, SHORT_MS).await);
    assert!(!syncs(&from_b[0], 2, SHORT_MS).await);
    assert!(syncs(&from_b[1], 3, LONG_MS).await);
    platform.mend();
    assert!(hears(&platform, "a", LONG_MS).await);
    assert!(syncs(&from_a[1], 4, LONG_MS).await);
}
