//! The task interface and the upstream of a worker.

use std::sync::Arc;

use test_case::test_case;
use verbenahitch::adapter::WorkerClient;
use verbenahitch::domain::{Class, JobId, Resources, TaskId};
use verbenahitch::port::{
    Clock as _, Command, EndKind, ManualClock, SyncError, SyncReply, SyncRequest,
};
use verbenahitch_standin::history::{EndMemory, Rules, Session, Violation, check};
use verbenahitch_standin::worker::{Pressure, Receipt, ServiceTime, Settings, Worker};

const LEASE_MS: u64 = 10_000;

struct Bench {
    worker: Worker,
    clock: Arc<ManualClock>,
    client: WorkerClient,
    address: String,
}

impl Bench {
    async fn new(settings: Settings) -> Self {
        let clock = Arc::new(ManualClock::default());
        clock.advance(1_000);
        let free = "127.9.0.3:0".parse().unwrap();
        let shared = Arc::clone(&clock);
        let worker = Worker::with_clock(free, free, &[], settings, shared).await;
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
async fn a_run_ends_once_and_is_remembered_until_acknowledged() {
    let bench = Bench::new(Settings::default()).await;
    let reply = bench.commands(1, vec![start(7, 1, 2_500)]).await;
    assert_eq!(reply.running.len(), 1);
    let reply = bench.commands(2, vec![start(7, 1, 2_500)]).await;
    assert_eq!((reply.running.len(), reply.refused.len()), (1, 0));
    bench.clock.advance(1_200);
    let reply = bench.commands(3, Vec::new()).await;
    assert_eq!(reply.running[0].checkpoint_ms, 1_000);
    bench.clock.advance(1_300);
    for seq in 4..6 {
        let reply = bench.commands(seq, vec![start(7, 1, 2_500)]).await;
        assert_eq!(ends(&reply), [(7, EndKind::Done, 2_500)]);
        assert!(reply.running.is_empty());
    }
    let acked = vec![7];
    let request = SyncRequest {
        acked,
        ..request(1, 6)
    };
    assert!(bench.sync(&request).await.unwrap().ended.is_empty());
    let history = bench.worker.history();
    assert_eq!(history.runs.len(), 1);
    let end = history.runs[0].end.unwrap();
    assert_eq!(end.at - history.runs[0].start, 2_500);
}

struct Refused {
    request: fn() -> SyncRequest,
    error: SyncError,
}

#[test_case(Refused { request: || request(2, 9), error: SyncError::StaleEpoch { epoch: 3 } }; "lower epoch")]
#[test_case(Refused { request: || request(3, 5), error: SyncError::Late { clock: 1_000 } }; "same number")]
#[test_case(Refused { request: || request(3, 4), error: SyncError::Late { clock: 1_000 } }; "lower number")]
#[test_case(Refused { request: || SyncRequest { not_after: 999, ..request(3, 6) }, error: SyncError::Late { clock: 1_000 } }; "too late")]
#[tokio::test]
async fn a_refused_call_has_no_effect(case: Refused) {
    let bench = Bench::new(Settings::default()).await;
    bench.sync(&request(3, 5)).await.unwrap();
    let commands = vec![start(1, 1, 0)];
    let refused = SyncRequest {
        commands,
        ..(case.request)()
    };
    assert_eq!(bench.sync(&refused).await.unwrap_err(), case.error);
    assert!(bench.worker.history().runs.is_empty());
    assert!(bench.sync(&request(4, 1)).await.is_ok());
}

#[tokio::test]
async fn refuses_what_exceeds_its_size() {
    let bench = Bench::new(Settings::default()).await;
    let starts = vec![start(1, 10, 0), start(2, 7, 0), start(3, 6, 0)];
    let reply = bench.commands(1, starts).await;
    let refused: Vec<u64> = reply.refused.iter().map(|refusal| refusal.run).collect();
    assert_eq!(refused, [2]);
    assert_eq!(reply.running.len(), 2);
}

#[tokio::test]
async fn the_history_check_finds_what_a_worker_did_not_refuse() {
    let settings = Settings {
        enforced: false,
        ..Settings::default()
    };
    let bench = Bench::new(settings).await;
    let starts = vec![start(1, 10, 0), start(2, 7, 0)];
    let reply = bench.commands(1, starts).await;
    assert_eq!(reply.running.len(), 2);
    let session = Session {
        workers: vec![bench.worker.history()],
        ..Session::default()
    };
    let found = check(&session, &Rules::default());
    let overcommitted = matches!(found[..], [Violation::Overcommitted { .. }]);
    assert!(overcommitted, "{found:?}");
}

#[tokio::test]
async fn a_lapsed_lease_stops_the_runs_after_a_checkpoint() {
    let bench = Bench::new(Settings::default()).await;
    bench.commands(1, vec![start(1, 1, 0)]).await;
    bench.clock.advance(LEASE_MS + 5_000);
    let lease_ms = 0;
    let request = SyncRequest {
        lease_ms,
        commands: vec![start(2, 1, 0)],
        ..request(1, 2)
    };
    let reply = bench.sync(&request).await.unwrap();
    assert_eq!(ends(&reply), [(1, EndKind::Lapsed, LEASE_MS)]);
    assert_eq!(reply.refused[0].run, 2);
    let history = bench.worker.history();
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
    let bench = Bench::new(settings).await;
    bench.commands(1, vec![start(1, 1, 0)]).await;
    bench.clock.advance(1_500);
    bench
        .commands(2, vec![Command::Evict { run: 1, grace_ms }])
        .await;
    bench.clock.advance(200);
    let reply = bench.commands(3, Vec::new()).await;
    assert_eq!(ends(&reply), [(1, EndKind::Evicted, checkpoint_ms)]);
}

#[tokio::test]
async fn throttled_and_pressed_runs_take_longer() {
    let bench = Bench::new(pressing(1.0)).await;
    bench.commands(1, vec![start(1, 1, 2_000)]).await;
    let throttle = Command::Throttle { run: 1, share: 0.5 };
    bench.commands(2, vec![throttle]).await;
    bench.clock.advance(3_999);
    assert!(bench.commands(3, Vec::new()).await.ended.is_empty());
    bench.clock.advance(1);
    assert_eq!(bench.commands(4, Vec::new()).await.ended.len(), 1);
    bench
        .commands(5, vec![start(2, 8, 2_000), start(3, 8, 2_000)])
        .await;
    bench.clock.advance(2_000);
    assert_eq!(bench.commands(6, Vec::new()).await.running.len(), 2);
}

#[test_case(|behaviour| behaviour.fail_all = true, 2; "all it starts")]
#[test_case(|behaviour| { behaviour.fail_profiles.insert("recalculation".to_owned()); }, 2; "a profile")]
#[test_case(|behaviour| { behaviour.fail_profiles.insert("other".to_owned()); }, 0; "another profile")]
#[tokio::test]
async fn fails_on_demand(change: fn(&mut verbenahitch_standin::worker::Behaviour), failed: usize) {
    let bench = Bench::new(Settings::default()).await;
    bench.worker.behave(change);
    let reply = bench
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
async fn usage_lags() {
    let bench = Bench::new(Settings::default()).await;
    let reply = bench.commands(1, vec![start(1, 2, 0)]).await;
    assert!(reply.usage.tasks.is_empty());
    bench.clock.advance(1_000);
    let reply = bench.commands(2, Vec::new()).await;
    assert_eq!(reply.usage.tasks[0].millicores, 2_000);
    bench.clock.advance(400);
    let reply = bench.commands(3, Vec::new()).await;
    assert_eq!(reply.usage.age_ms, 400);
}

#[tokio::test]
async fn the_upstream_answers_each_request_with_its_own_id() {
    let bench = Bench::new(quick()).await;
    let url = format!("http://{}/pass-quote/12", bench.worker.record().upstream);
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
    bench.worker.behave(|behaviour| behaviour.leaving = true);
    let response = client.get(&url).send().await.unwrap();
    assert_eq!(response.headers()["x-leaving"], "true");
    let requests = bench.worker.history().requests;
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
        ..quick()
    };
    let bench = Bench::new(settings).await;
    let url = format!("http://{}/pass-quote", bench.worker.record().upstream);
    reqwest::get(&url).await.unwrap();
    bench.clock.advance(1_000);
    let reply = bench.commands(1, Vec::new()).await;
    let report = &reply.usage.latency[0];
    assert_eq!((report.profile.as_str(), report.count), ("quote", 1));
    assert!(report.p50_us >= 100 && report.p99_us >= report.p50_us);
}

#[tokio::test]
async fn a_full_upstream_refuses_before_it_runs_anything() {
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
    let bench = Bench::new(settings).await;
    let url = format!("http://{}/slow", bench.worker.record().upstream);
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
    let ran = bench.worker.history().requests.len();
    assert_eq!((refused + ran, ran >= 2), (4, true));
    assert!(bench.clock.now().0 >= 1_000);
}

#[tokio::test]
async fn a_crash_tells_which_ends_are_forgotten() {
    let bench = Bench::new(pressing(0.0)).await;
    let starts = vec![start(1, 1, 100), start(2, 1, 200), start(3, 1, 300)];
    bench.commands(1, starts).await;
    bench.clock.advance(100);
    bench.commands(2, Vec::new()).await;
    bench.clock.advance(100);
    let acked = vec![1];
    let request = SyncRequest {
        acked,
        ..request(1, 3)
    };
    bench.sync(&request).await.unwrap();
    bench.clock.advance(100);
    bench.worker.crash();
    let runs = bench.worker.history().runs;
    let memory: Vec<_> = runs.iter().map(|run| run.end.unwrap().memory).collect();
    assert_eq!(
        memory,
        [EndMemory::Kept, EndMemory::Told, EndMemory::Untold]
    );
}

#[tokio::test]
async fn a_crash_loses_the_runs_and_the_memory() {
    let bench = Bench::new(Settings::default()).await;
    bench.commands(1, vec![start(1, 1, 0)]).await;
    bench.worker.crash();
    let error = bench.sync(&request(1, 2)).await.unwrap_err();
    assert!(matches!(
        error,
        SyncError::Unreachable { .. } | SyncError::Unanswered { .. }
    ));
    bench.worker.resume().await.unwrap();
    let reply = bench.sync(&request(1, 1)).await.unwrap();
    assert!(reply.running.is_empty() && reply.ended.is_empty());
    let end = bench.worker.history().runs[0].end.unwrap();
    assert_eq!(end.kind, None);
}

/// Settings under which each run presses on its neighbours by `strength`.
fn pressing(strength: f64) -> Settings {
    let pressure = Pressure {
        profiles: [("recalculation".to_owned(), strength)].into(),
        ..Pressure::default()
    };
    Settings {
        pressure,
        ..Settings::default()
    }
}

fn quick() -> Settings {
    let service = ServiceTime {
        median_us: 100,
        sigma: 0.0,
    };
    Settings {
        service: [("pass-quote".to_owned(), service)].into(),
        ..Settings::default()
    }
}
