//! Task interface and upstream of the worker stand-in.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use test_case::test_case;
use verbenahitch::adapter::WorkerClient;
use verbenahitch::domain::{Class, JobId, Resources, TaskId};
use verbenahitch::port::{
    Clock as _, Command, EndKind, ManualClock, SyncError, SyncReply, SyncRequest,
};
use verbenahitch_standin::history::{EndMemory, Rules, Session, Violation, check};
use verbenahitch_standin::worker::{Pressure, Receipt, ServiceTime, Settings, Worker};

const LEASE_MS: u64 = 10_000;

/// Last byte of the address of the next stand-in. On a shared address another test may bind the port
/// of a stand-in that is down.
static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);

fn own_address() -> SocketAddr {
    let last = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 9, 3, last)), 0)
}

struct Harness {
    worker: Worker,
    clock: Arc<ManualClock>,
    client: WorkerClient,
    address: String,
}

impl Harness {
    async fn new(settings: Settings) -> Self {
        let clock = Arc::new(ManualClock::default());
        clock.advance(1_000);
        let any_port = own_address();
        let shared = Arc::clone(&clock);
        let worker = Worker::with_clock(any_port, any_port, &[], settings, shared).await;
        let worker = worker.unwrap();
        let address = worker.record().control;
        Self {
            worker,
            clock,
            client: WorkerClient::new(5_000),
            address,
        }
    }

    async fn sync(&self, request: &SyncRequest) -> Result<SyncReply, SyncError> {
        self.client.sync(&self.address, request).await
    }

    async fn commands(&self, seq: u64, commands: Vec<Command>) -> SyncReply {
        let request = SyncRequest {
            commands,
            ..request(1, seq)
        };
        self.sync(&request).await.unwrap()
    }
}

fn request(epoch: u64, seq: u64) -> SyncRequest {
    SyncRequest {
        shard: "a-0".to_owned(),
        owner: "entry-a1".to_owned(),
        epoch,
        seq,
        not_after: 0,
        life: 0,
        lease_ms: LEASE_MS,
        commands: Vec::new(),
        acked: Vec::new(),
    }
}

fn start(run: u64, cores: u64, run_ms: u64) -> Command {
    Command::Start {
        task: TaskId {
            job: JobId::new("pricing", "night"),
            index: u32::try_from(run).unwrap(),
        },
        run,
        profile: "recalculation".to_owned(),
        class: Class::Batch,
        resources: Resources::new(cores, 1_024),
        run_ms,
        checkpoint_ms: 0,
        share: 1.0,
        payload: String::new(),
    }
}

fn ends(reply: &SyncReply) -> Vec<(u64, EndKind, u64)> {
    let end = |ended: &verbenahitch::port::Ended| (ended.run, ended.kind, ended.checkpoint_ms);
    reply.ended.iter().map(end).collect()
}

#[tokio::test]
async fn a_run_ends_once_and_its_end_is_reported_until_acknowledged() {
    let harness = Harness::new(Settings::default()).await;
    let reply = harness.commands(1, vec![start(7, 1, 2_500)]).await;
    assert_eq!(reply.running.len(), 1);
    let reply = harness.commands(2, vec![start(7, 1, 2_500)]).await;
    assert_eq!((reply.running.len(), reply.refused.len()), (1, 0));
    harness.clock.advance(1_200);
    let reply = harness.commands(3, Vec::new()).await;
    assert_eq!(reply.running[0].checkpoint_ms, 1_000);
    harness.clock.advance(1_300);
    for seq in 4..6 {
        let reply = harness.commands(seq, vec![start(7, 1, 2_500)]).await;
        assert_eq!(ends(&reply), [(7, EndKind::Done, 2_500)]);
        assert!(reply.running.is_empty());
    }
    let acked = vec![7];
    let request = SyncRequest {
        acked,
        ..request(1, 6)
    };
    assert!(harness.sync(&request).await.unwrap().ended.is_empty());
    let history = harness.worker.history();
    assert_eq!(history.runs.len(), 1);
    let end = history.runs[0].end.unwrap();
    assert_eq!(end.at - history.runs[0].start, 2_500);
}

struct RefusedCall {
    request: fn() -> SyncRequest,
    /// Error for the worker's life.
    error: fn(u64) -> SyncError,
}

#[test_case(RefusedCall { request: || request(2, 9), error: |_| SyncError::StaleEpoch { epoch: 3 } }; "lower epoch")]
#[test_case(RefusedCall { request: || request(3, 5), error: |life| SyncError::Late { clock: 1_000, life } }; "same number")]
#[test_case(RefusedCall { request: || request(3, 4), error: |life| SyncError::Late { clock: 1_000, life } }; "lower number")]
#[test_case(RefusedCall { request: || SyncRequest { not_after: 999, ..request(3, 6) }, error: |life| SyncError::Late { clock: 1_000, life } }; "too late")]
#[test_case(RefusedCall { request: || SyncRequest { life: u64::MAX, ..request(3, 6) }, error: |life| SyncError::Late { clock: 1_000, life } }; "other life")]
#[tokio::test]
async fn a_refused_call_has_no_effect(case: RefusedCall) {
    let harness = Harness::new(Settings::default()).await;
    let life = harness.sync(&request(3, 5)).await.unwrap().life;
    let commands = vec![start(1, 1, 0)];
    let refused = SyncRequest {
        commands,
        ..(case.request)()
    };
    let error = harness.sync(&refused).await.unwrap_err();
    assert_eq!(error, (case.error)(life));
    assert!(harness.worker.history().runs.is_empty());
    assert!(harness.sync(&request(4, 1)).await.is_ok());
}

#[tokio::test]
async fn starts_beyond_the_capacity_are_refused() {
    let harness = Harness::new(Settings::default()).await;
    let starts = vec![start(1, 10, 0), start(2, 7, 0), start(3, 6, 0)];
    let reply = harness.commands(1, starts).await;
    let refused: Vec<u64> = reply.refused.iter().map(|refusal| refusal.run).collect();
    assert_eq!(refused, [2]);
    assert_eq!(reply.running.len(), 2);
}

#[tokio::test]
async fn the_history_check_finds_overcommitment_that_a_worker_did_not_refuse() {
    let settings = Settings {
        enforced: false,
        ..Settings::default()
    };
    let harness = Harness::new(settings).await;
    let starts = vec![start(1, 10, 0), start(2, 7, 0)];
    let reply = harness.commands(1, starts).await;
    assert_eq!(reply.running.len(), 2);
    let session = Session {
        workers: vec![harness.worker.history()],
        ..Session::default()
    };
    let violations = check(&session, &Rules::default());
    let overcommitted = matches!(violations[..], [Violation::Overcommitted { .. }]);
    assert!(overcommitted, "{violations:?}");
}

#[tokio::test]
async fn a_lapsed_lease_stops_the_runs_after_a_checkpoint() {
    let harness = Harness::new(Settings::default()).await;
    harness.commands(1, vec![start(1, 1, 0)]).await;
    harness.clock.advance(LEASE_MS + 5_000);
    let lease_ms = 0;
    let request = SyncRequest {
        lease_ms,
        commands: vec![start(2, 1, 0)],
        ..request(1, 2)
    };
    let reply = harness.sync(&request).await.unwrap();
    assert_eq!(ends(&reply), [(1, EndKind::Lapsed, LEASE_MS)]);
    assert_eq!(reply.refused[0].run, 2);
    let history = harness.worker.history();
    let end = history.runs[0].end.unwrap();
    assert_eq!(end.at - history.runs[0].start, LEASE_MS);
}

#[test_case(1_000, 1_700; "with time for a checkpoint")]
#[test_case(0, 1_000; "at once")]
#[tokio::test]
async fn an_evicted_run_ends_within_its_grace(grace_ms: u64, checkpoint_ms: u64) {
    let settings = Settings {
        evict_ms: 200,
        ..Settings::default()
    };
    let harness = Harness::new(settings).await;
    harness.commands(1, vec![start(1, 1, 0)]).await;
    harness.clock.advance(1_500);
    harness
        .commands(2, vec![Command::Evict { run: 1, grace_ms }])
        .await;
    harness.clock.advance(200);
    let reply = harness.commands(3, Vec::new()).await;
    assert_eq!(ends(&reply), [(1, EndKind::Evicted, checkpoint_ms)]);
}

#[tokio::test]
async fn throttling_and_interference_slow_runs_down() {
    let harness = Harness::new(interfering(1.0)).await;
    harness.commands(1, vec![start(1, 1, 2_000)]).await;
    let throttle = Command::Throttle { run: 1, share: 0.5 };
    harness.commands(2, vec![throttle]).await;
    harness.clock.advance(3_999);
    assert!(harness.commands(3, Vec::new()).await.ended.is_empty());
    harness.clock.advance(1);
    assert_eq!(harness.commands(4, Vec::new()).await.ended.len(), 1);
    harness
        .commands(5, vec![start(2, 8, 2_000), start(3, 8, 2_000)])
        .await;
    harness.clock.advance(2_000);
    assert_eq!(harness.commands(6, Vec::new()).await.running.len(), 2);
}

#[test_case(|behaviour| behaviour.fail_all = true, 2; "all it starts")]
#[test_case(|behaviour| { behaviour.fail_profiles.insert("recalculation".to_owned()); }, 2; "a profile")]
#[test_case(|behaviour| { behaviour.fail_profiles.insert("other".to_owned()); }, 0; "another profile")]
#[tokio::test]
async fn runs_fail_as_the_behaviour_sets(
    change: fn(&mut verbenahitch_standin::worker::Behaviour),
    failed: usize,
) {
    let harness = Harness::new(Settings::default()).await;
    harness.worker.behave(change);
    let reply = harness
        .commands(1, vec![start(1, 1, 0), start(2, 1, 0)])
        .await;
    let kinds = ends(&reply);
    let count = kinds
        .iter()
        .filter(|(_, kind, _)| *kind == EndKind::Failed)
        .count();
    assert_eq!(count, failed);
}

#[tokio::test]
async fn usage_is_reported_with_its_age() {
    let harness = Harness::new(Settings::default()).await;
    let reply = harness.commands(1, vec![start(1, 2, 0)]).await;
    assert!(reply.usage.tasks.is_empty());
    harness.clock.advance(1_000);
    let reply = harness.commands(2, Vec::new()).await;
    assert_eq!(reply.usage.tasks[0].millicores, 2_000);
    harness.clock.advance(400);
    let reply = harness.commands(3, Vec::new()).await;
    assert_eq!(reply.usage.age_ms, 400);
}

#[tokio::test]
async fn the_upstream_answers_each_request_with_its_own_id() {
    let harness = Harness::new(fast_service()).await;
    let url = format!("http://{}/pass-quote/12", harness.worker.record().upstream);
    let client = reqwest::Client::new();
    for number in 0..3 {
        let id = format!("id-{number}");
        let call = client.post(&url).header("x-request-id", &id).body("body");
        let response = call.header("idempotency-key", "k").send().await.unwrap();
        assert_eq!(response.headers()["x-request-id"], id.as_str());
        assert!(!response.headers().contains_key("x-leaving"));
        let receipt: Receipt = response.json().await.unwrap();
        assert_eq!(receipt.request_id, id);
        assert_eq!(
            (receipt.kind.as_str(), receipt.echo.as_str()),
            ("pass-quote", "body")
        );
    }
    harness.worker.behave(|behaviour| behaviour.leaving = true);
    let response = client.get(&url).send().await.unwrap();
    assert_eq!(response.headers()["x-leaving"], "true");
    let requests = harness.worker.history().requests;
    let ids: Vec<&str> = requests
        .iter()
        .map(|record| record.request_id.as_str())
        .collect();
    assert_eq!(ids, ["id-0", "id-1", "id-2", ""]);
    assert_eq!(requests[0].key.as_deref(), Some("k"));
    assert!(requests.iter().all(|record| record.end.is_some()));
}

#[tokio::test]
async fn latency_is_reported_by_profile() {
    let settings = Settings {
        profiles: [("pass-quote".to_owned(), "quote".to_owned())].into(),
        ..fast_service()
    };
    let harness = Harness::new(settings).await;
    let url = format!("http://{}/pass-quote", harness.worker.record().upstream);
    reqwest::get(&url).await.unwrap();
    harness.clock.advance(1_000);
    let reply = harness.commands(1, Vec::new()).await;
    let report = &reply.usage.latency[0];
    assert_eq!((report.profile.as_str(), report.count), ("quote", 1));
    assert!(report.p50_us >= 100 && report.p99_us >= report.p50_us);
}

#[tokio::test]
async fn a_full_upstream_refuses_requests_without_running_them() {
    let settings = Settings {
        slots: 1,
        queue: 1,
        service: [(
            "slow".to_owned(),
            ServiceTime {
                median_us: 200_000,
                sigma: 0.0,
            },
        )]
        .into(),
        ..Settings::default()
    };
    let harness = Harness::new(settings).await;
    let url = format!("http://{}/slow", harness.worker.record().upstream);
    let client = reqwest::Client::new();
    let calls = (0..4).map(|_| tokio::spawn(client.get(&url).send()));
    let calls: Vec<_> = calls.collect();
    let mut refused = 0;
    for call in calls {
        let response = call.await.unwrap().unwrap();
        if response.status() == 503 {
            assert_eq!(response.headers()["verbenahitch-not-run"], "true");
            refused += 1;
        }
    }
    let ran = harness.worker.history().requests.len();
    assert_eq!((refused + ran, ran >= 2), (4, true));
    assert!(harness.clock.now().0 >= 1_000);
}

#[tokio::test]
async fn a_crash_marks_which_ends_were_lost() {
    let harness = Harness::new(interfering(0.0)).await;
    let starts = vec![start(1, 1, 100), start(2, 1, 200), start(3, 1, 300)];
    harness.commands(1, starts).await;
    harness.clock.advance(100);
    harness.commands(2, Vec::new()).await;
    harness.clock.advance(100);
    let acked = vec![1];
    let request = SyncRequest {
        acked,
        ..request(1, 3)
    };
    harness.sync(&request).await.unwrap();
    harness.clock.advance(100);
    harness.worker.crash();
    let runs = harness.worker.history().runs;
    let memory: Vec<_> = runs.iter().map(|run| run.end.unwrap().memory).collect();
    assert_eq!(
        memory,
        [EndMemory::Kept, EndMemory::Told, EndMemory::Untold]
    );
}

#[tokio::test]
async fn a_crash_loses_runs_and_sync_state() {
    let harness = Harness::new(Settings::default()).await;
    let life = harness.commands(1, vec![start(1, 1, 0)]).await.life;
    harness.worker.crash();
    let error = harness.sync(&request(1, 2)).await.unwrap_err();
    assert!(matches!(
        error,
        SyncError::Unreachable { .. } | SyncError::Unanswered { .. }
    ));
    harness.worker.resume().await.unwrap();
    let reply = harness.sync(&request(1, 1)).await.unwrap();
    assert!(reply.running.is_empty() && reply.ended.is_empty());
    assert_ne!(reply.life, life);
    let end = harness.worker.history().runs[0].end.unwrap();
    assert_eq!(end.kind, None);
}

/// Settings under which each run slows its neighbours by `strength`.
fn interfering(strength: f64) -> Settings {
    let pressure = Pressure {
        profiles: [("recalculation".to_owned(), strength)].into(),
        ..Pressure::default()
    };
    Settings {
        pressure,
        ..Settings::default()
    }
}

fn fast_service() -> Settings {
    let service = ServiceTime {
        median_us: 100,
        sigma: 0.0,
    };
    Settings {
        service: [("pass-quote".to_owned(), service)].into(),
        ..Settings::default()
    }
}
