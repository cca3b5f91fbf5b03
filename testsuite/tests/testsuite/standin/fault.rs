//! Effect of each fault on the adapters' calls.

use std::time::Duration;

use test_case::test_case;
use verbenahitch::adapter::{Store as Client, WorkerClient};
use verbenahitch::domain::{Class, JobId, Resources, TaskId};
use verbenahitch::port::{Command, StoreError, SyncError, SyncRequest};
use verbenahitch_standin::fault::Fault;
use verbenahitch_standin::platform::{Parts, Platform};
use verbenahitch_standin::store::Store;
use verbenahitch_standin::worker;

/// Timeout of calls that are expected to get no answer.
const SHORT_TIMEOUT_MS: u64 = 200;
/// Timeout of calls that are expected to be answered.
const LONG_TIMEOUT_MS: u64 = 10_000;

async fn start() -> Platform {
    // A stopped store frees its port, which an outgoing connection from the same address could take.
    let address = "127.9.0.4:0".parse().unwrap();
    let parts = Parts {
        zones: vec!["a".to_owned(), "b".to_owned()],
        store: Some((address, verbenahitch_standin::store::Settings::default())),
        ..Parts::new(vec![worker::Settings::default()])
    };
    Platform::start(parts).await.unwrap()
}

fn client(store: &Store, timeout_ms: u64) -> Client {
    Client::new(&store.address().to_string(), timeout_ms)
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

struct HeldCall {
    fault: Fault,
    end: Fault,
}

#[test_case(HeldCall { fault: Fault::Freeze, end: Fault::Thaw }; "frozen")]
#[test_case(HeldCall { fault: Fault::Cut { zone: None }, end: Fault::Mend }; "cut")]
#[test_case(HeldCall { fault: Fault::Freeze, end: Fault::Clear }; "cleared")]
#[tokio::test]
async fn a_held_call_times_out_and_takes_effect_later(case: HeldCall) {
    let platform = start().await;
    let store = platform.store();
    store.faults().apply(case.fault);
    let call = client(store, SHORT_TIMEOUT_MS)
        .cas("key", Vec::new(), 0)
        .await;
    assert!(
        matches!(call, Err(StoreError::Unanswered { .. })),
        "{call:?}"
    );
    assert_eq!(store.peek("key"), None);
    store.faults().apply(case.end);
    wait_until(|| store.peek("key").is_some()).await;
    assert!(
        !client(store, LONG_TIMEOUT_MS)
            .cas("key", Vec::new(), 0)
            .await
            .unwrap()
    );
}

#[tokio::test]
async fn only_the_cut_zone_gets_no_answer() {
    let platform = start().await;
    let store = platform.store();
    let zone = Some("a".to_owned());
    store.faults().apply(Fault::Cut { zone });
    let at = |zone: &str, timeout_ms| Client::new(&store.address_for(zone).to_string(), timeout_ms);
    let call = at("a", SHORT_TIMEOUT_MS).get("key").await;
    assert!(
        matches!(call, Err(StoreError::Unanswered { .. })),
        "{call:?}"
    );
    assert_eq!(at("b", LONG_TIMEOUT_MS).get("key").await, Ok(None));
    assert_eq!(client(store, LONG_TIMEOUT_MS).get("key").await, Ok(None));
    store.faults().apply(Fault::Mend);
    assert_eq!(at("a", LONG_TIMEOUT_MS).get("key").await, Ok(None));
}

#[tokio::test]
async fn a_slow_call_takes_effect_after_its_timeout() {
    let platform = start().await;
    let store = platform.store();
    let delay_ms = 3 * SHORT_TIMEOUT_MS;
    store.faults().apply(Fault::Slow { delay_ms });
    let call = client(store, SHORT_TIMEOUT_MS)
        .cas("key", Vec::new(), 0)
        .await;
    assert!(
        matches!(call, Err(StoreError::Unanswered { .. })),
        "{call:?}"
    );
    wait_until(|| store.peek("key").is_some()).await;
    assert!(
        client(store, LONG_TIMEOUT_MS)
            .get("key")
            .await
            .unwrap()
            .is_some()
    );
}

#[tokio::test]
async fn a_lost_answer_hides_a_write_that_took_effect() {
    let platform = start().await;
    let store = platform.store();
    store.faults().apply(Fault::Lose { answers: 1 });
    let reader = client(store, LONG_TIMEOUT_MS);
    assert_eq!(reader.get("key").await, Ok(None));
    let call = client(store, SHORT_TIMEOUT_MS)
        .cas("key", Vec::new(), 0)
        .await;
    assert!(
        matches!(call, Err(StoreError::Unanswered { .. })),
        "{call:?}"
    );
    assert!(store.peek("key").is_some());
    assert!(reader.cas("other", Vec::new(), 0).await.unwrap());
}

#[tokio::test]
async fn silence_stops_open_connections_but_not_new_ones() {
    let platform = start().await;
    let store = platform.store();
    let kept = client(store, 5 * SHORT_TIMEOUT_MS);
    read_until_answered(&kept).await;
    store.faults().apply(Fault::Silence);
    let call = kept.get("key").await;
    assert!(
        matches!(call, Err(StoreError::Unanswered { .. })),
        "{call:?}"
    );
    assert_eq!(client(store, LONG_TIMEOUT_MS).get("key").await, Ok(None));
    read_until_answered(&kept).await;
}

async fn read_until_answered(client: &Client) {
    while client.get("key").await.is_err() {}
}

#[tokio::test]
async fn a_stopped_store_refuses_connections_and_keeps_its_keys() {
    let platform = start().await;
    let store = platform.store();
    assert!(
        client(store, LONG_TIMEOUT_MS)
            .cas("key", Vec::new(), 0)
            .await
            .unwrap()
    );
    store.stop();
    // The port closes a moment after the command.
    loop {
        match client(store, LONG_TIMEOUT_MS).get("key").await {
            Err(StoreError::Unreachable { .. }) => break,
            _ => tokio::task::yield_now().await,
        }
    }
    store.resume().await.unwrap();
    let entry = client(store, LONG_TIMEOUT_MS).get("key").await.unwrap();
    assert!(entry.is_some());
}

#[tokio::test]
async fn a_worker_starts_a_run_although_its_answer_is_lost() {
    let platform = start().await;
    let worker = &platform.workers()[0];
    worker.control_faults().apply(Fault::Lose { answers: 1 });
    let address = worker.record().control;
    let lost = WorkerClient::new(SHORT_TIMEOUT_MS)
        .sync(&address, &sync(1))
        .await;
    assert!(
        matches!(lost, Err(SyncError::Unanswered { .. })),
        "{lost:?}"
    );
    assert_eq!(worker.history().runs.len(), 1);
    let reply = WorkerClient::new(LONG_TIMEOUT_MS)
        .sync(&address, &sync(2))
        .await
        .unwrap();
    assert_eq!((reply.running.len(), worker.history().runs.len()), (1, 1));
}

#[tokio::test]
async fn the_control_port_applies_faults() {
    let platform = start().await;
    let control = platform.addresses().control;
    let http = reqwest::Client::new();
    let post = |path: &str, body: &'static str| {
        let url = format!("http://{control}{path}");
        http.post(url)
            .body(body)
            .header("content-type", "application/json")
            .send()
    };
    let thaw = r#"{"fault":"thaw"}"#;
    let freeze = r#"{"fault":"freeze"}"#;
    assert!(
        post("/store/fault", freeze)
            .await
            .unwrap()
            .status()
            .is_success()
    );
    assert!(
        client(platform.store(), SHORT_TIMEOUT_MS)
            .get("key")
            .await
            .is_err()
    );
    assert!(
        post("/store/fault", thaw)
            .await
            .unwrap()
            .status()
            .is_success()
    );
    assert!(
        client(platform.store(), LONG_TIMEOUT_MS)
            .get("key")
            .await
            .is_ok()
    );
    let freeze = r#"{"part":"control","fault":"freeze"}"#;
    assert!(
        post("/workers/worker/fault", freeze)
            .await
            .unwrap()
            .status()
            .is_success()
    );
    let address = platform.workers()[0].record().control;
    assert!(
        WorkerClient::new(SHORT_TIMEOUT_MS)
            .sync(&address, &sync(1))
            .await
            .is_err()
    );
    assert_eq!(
        post("/workers/none/fault", freeze).await.unwrap().status(),
        404
    );
    let url = format!("http://{control}/workers/history");
    let histories = http.get(url).send().await.unwrap().text().await.unwrap();
    assert!(histories.contains(r#""worker":"worker""#), "{histories}");
}

fn sync(seq: u64) -> SyncRequest {
    SyncRequest {
        shard: "a-0".to_owned(),
        owner: "entry-a1".to_owned(),
        epoch: 1,
        seq,
        not_after: 0,
        life: 0,
        lease_ms: 60_000,
        commands: vec![Command::Start {
            task: TaskId {
                job: JobId::new("pricing", "night"),
                index: 0,
            },
            run: 1,
            profile: "recalculation".to_owned(),
            class: Class::Batch,
            resources: Resources::new(1, 1_024),
            run_ms: 0,
            checkpoint_ms: 0,
            share: 1.0,
            payload: String::new(),
        }],
        acked: Vec::new(),
    }
}
