//! Which jobs are refused, and when their callers may return.

use test_case::test_case;
use verbenahitch::dispatch::{
    Amount, Digest, JobId, JobRecord, JobSpec, PoolLimit, Queue, QueueForecast, Repeat, StepSpec,
};
use verbenahitch::domain::{Millis, Monotonic};
use verbenahitch::entry::admission::{Cause, KnownDigest, decide, return_ms};

const NOW: Monotonic = Monotonic(100_000);

struct Case {
    wait_ms: Millis,
    error_ms: Millis,
    ratio_milli: u64,
    /// Time of the digest, and its owner's token; the host knows the owner 7.
    measured_at: Monotonic,
    fence: u64,
    change: fn(&mut JobRecord),
    refused: Option<Cause>,
}

/// A job with a critical path of 3 s and an objective of 7 s, behind work of 25 s.
const CASE: Case = Case {
    wait_ms: 25_000,
    error_ms: 500,
    ratio_milli: 1_000,
    measured_at: Monotonic(NOW.0 - 500),
    fence: 7,
    change: |_| {},
    refused: Some(Cause::NoValue),
};

fn record() -> JobRecord {
    let step = StepSpec {
        count: 20,
        amount: Amount {
            cpu_milli: 1_800,
            memory_mb: 3_000,
            gpus: 0,
        },
        estimate_ms: 3_000,
        filler: true,
        ..StepSpec::default()
    };
    JobRecord {
        queue: Queue {
            name: "batch".to_owned(),
            pool: "pool".to_owned(),
            priority: 2,
            attempts: 2,
            stretch: 2.0,
            target_ms: 1_000,
        },
        spec: JobSpec {
            payload: "".into(),
            steps: vec![step],
            repeat: None,
        },
        account: None,
        accepted_ms: 0,
    }
}

fn known(case: &Case) -> KnownDigest {
    KnownDigest {
        digest: Digest {
            queues: vec![QueueForecast {
                queue: "batch".to_owned(),
                wait_ms: case.wait_ms,
                error_ms: case.error_ms,
                rate_milli: 100_000,
                ratio_milli: case.ratio_milli,
            }],
            pools: vec![PoolLimit {
                pool: "pool".to_owned(),
                largest: Amount {
                    cpu_milli: 16_000,
                    memory_mb: 64_000,
                    gpus: 0,
                },
            }],
        },
        fence: case.fence,
        measured_at: case.measured_at,
    }
}

#[test_case(CASE; "work ahead for too long")]
#[test_case(Case { wait_ms: 18_000, refused: None, ..CASE }; "late but with a value")]
#[test_case(Case { error_ms: 6_000, refused: None, ..CASE }; "an uncertain wait")]
#[test_case(Case { error_ms: u64::MAX, refused: None, ..CASE }; "an unbounded error")]
#[test_case(Case { wait_ms: u64::MAX, error_ms: 0, ..CASE }; "an unbounded wait")]
#[test_case(Case { ratio_milli: 0, ..CASE }; "no ratio")]
#[test_case(Case { ratio_milli: u64::MAX, refused: None, ..CASE }; "an unbounded ratio")]
#[test_case(Case { measured_at: Monotonic(NOW.0 - 3_500), refused: None, ..CASE }; "an old digest")]
#[test_case(Case { measured_at: Monotonic(0), refused: None, ..CASE }; "a digest of unknown age")]
#[test_case(Case { measured_at: Monotonic(NOW.0 + 1), refused: None, ..CASE }; "a digest from the future")]
#[test_case(Case { fence: 6, refused: None, ..CASE }; "a digest of an earlier owner")]
#[test_case(Case { fence: 8, refused: None, ..CASE }; "a digest of an owner not yet known")]
#[test_case(Case { change: |job| job.queue.name = "new".to_owned(), refused: None, ..CASE }; "a queue without a forecast")]
#[test_case(Case { change: |job| job.spec.steps[0].standing = true, refused: None, ..CASE }; "a standing task")]
#[test_case(Case { change: |job| job.spec.repeat = Some(Repeat { times: 2, first_ms: 0, interval_ms: 9 }), refused: None, ..CASE }; "a schedule")]
#[test_case(Case { change: |job| job.spec.steps[0].estimate_ms = 0, ..CASE }; "an estimate of zero")]
#[test_case(Case { change: |job| job.spec.steps[0].estimate_ms = 36_000_000, refused: None, ..CASE }; "an estimate of hours")]
#[test_case(Case { change: |job| job.spec.steps[0].estimate_ms = u64::MAX, refused: None, ..CASE }; "the largest estimate")]
#[test_case(Case { change: |job| job.spec.steps[0].count = u32::MAX, ..CASE }; "the largest width")]
#[test_case(Case { change: |job| job.spec.steps.clear(), ..CASE }; "no steps")]
#[test_case(Case { change: |job| job.spec.steps[0].image = "new".to_owned(), ..CASE }; "an unknown image")]
#[test_case(Case { wait_ms: 0, change: |job| job.spec.steps[0].amount.memory_mb = 65_000, refused: Some(Cause::TooLarge), ..CASE }; "more memory than any worker")]
#[test_case(Case { wait_ms: 0, change: |job| job.spec.steps[0].amount.gpus = u64::MAX, refused: Some(Cause::TooLarge), ..CASE }; "more accelerators than any worker")]
#[test_case(Case { wait_ms: 0, change: |job| { job.queue.pool = "new".to_owned(); job.spec.steps[0].amount.gpus = 1; }, refused: None, ..CASE }; "a pool without a known worker")]
fn refuses(case: Case) {
    let mut record = record();
    (case.change)(&mut record);
    let refusal = decide(&record, Some(&known(&case)), Some(7), NOW);
    assert_eq!(refusal.map(|refusal| refusal.cause), case.refused);
}

#[test]
fn nothing_is_refused_without_knowledge() {
    assert_eq!(decide(&record(), None, Some(7), NOW), None);
    assert_eq!(decide(&record(), Some(&known(&CASE)), None, NOW), None);
}

struct Return {
    id: u64,
    room_ms: Millis,
    waited_ms: Millis,
    after_ms: Millis,
}

#[test_case(Return { id: 0, room_ms: 8_000, waited_ms: 0, after_ms: 8_000 }; "when room is expected")]
#[test_case(Return { id: 8, room_ms: 8_000, waited_ms: 0, after_ms: 12_000 }; "spread by the identifier")]
#[test_case(Return { id: 8, room_ms: 8_000, waited_ms: 3_000, after_ms: 9_000 }; "earlier after a wait")]
#[test_case(Return { id: 0, room_ms: 2_000, waited_ms: 9_000, after_ms: 1_000 }; "not at once")]
#[test_case(Return { id: 15, room_ms: u64::MAX, waited_ms: 0, after_ms: 60_000 }; "within a minute")]
fn callers_return(case: Return) {
    let after_ms = return_ms(JobId(case.id), case.room_ms, case.waited_ms);
    assert_eq!(after_ms, case.after_ms);
}
