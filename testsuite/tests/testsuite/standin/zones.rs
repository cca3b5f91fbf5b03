//! Availability zones that are cut off from each other and from the platform.

use verbenahitch::adapter::{HostList, Store, WorkerClient};
use verbenahitch::port::{HostRecord, SyncRequest};
use verbenahitch_standin::platform::{Parts, Platform};
use verbenahitch_standin::worker::Settings;

/// Timeout of calls that are expected to get no answer.
const SHORT_TIMEOUT_MS: u64 = 200;
/// Timeout of calls that are expected to be answered.
const LONG_TIMEOUT_MS: u64 = 10_000;

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
    let list = HostList::new(&address.to_string(), "worker", LONG_TIMEOUT_MS);
    list.read().await.unwrap()
}

async fn reaches_store(platform: &Platform, zone: &str, timeout_ms: u64) -> bool {
    let address = platform.addresses().zones[zone].store.unwrap();
    let store = Store::new(&address.to_string(), timeout_ms);
    store.get("key").await.is_ok()
}

async fn reaches_worker(worker: &HostRecord, seq: u64, timeout_ms: u64) -> bool {
    let request = SyncRequest {
        shard: "a-0".to_owned(),
        owner: "entry".to_owned(),
        epoch: 1,
        seq,
        not_after: 0,
        life: 0,
        lease_ms: 0,
        commands: Vec::new(),
        acked: Vec::new(),
    };
    let workers = WorkerClient::new(timeout_ms);
    workers.sync(&worker.control, &request).await.is_ok()
}

#[tokio::test]
async fn each_zone_lists_workers_at_separate_addresses() {
    let platform = start().await;
    let (from_a, from_b) = (list(&platform, "a").await, list(&platform, "b").await);
    for (one, other) in from_a.iter().zip(&from_b) {
        assert_eq!((&one.name, &one.zone), (&other.name, &other.zone));
        assert_ne!(one.control, other.control);
        assert_ne!(one.upstream, other.upstream);
    }
    assert!(reaches_worker(&from_a[1], 1, LONG_TIMEOUT_MS).await);
}

#[tokio::test]
async fn a_cut_zone_reaches_only_its_own_workers() {
    let platform = start().await;
    let (from_a, from_b) = (list(&platform, "a").await, list(&platform, "b").await);
    platform.cut_zone("a");
    assert!(!reaches_store(&platform, "a", SHORT_TIMEOUT_MS).await);
    assert!(reaches_store(&platform, "b", LONG_TIMEOUT_MS).await);
    assert!(reaches_worker(&from_a[0], 1, LONG_TIMEOUT_MS).await);
    assert!(!reaches_worker(&from_a[1], 1, SHORT_TIMEOUT_MS).await);
    assert!(!reaches_worker(&from_b[0], 2, SHORT_TIMEOUT_MS).await);
    assert!(reaches_worker(&from_b[1], 3, LONG_TIMEOUT_MS).await);
    platform.mend();
    assert!(reaches_store(&platform, "a", LONG_TIMEOUT_MS).await);
    assert!(reaches_worker(&from_a[1], 4, LONG_TIMEOUT_MS).await);
}
