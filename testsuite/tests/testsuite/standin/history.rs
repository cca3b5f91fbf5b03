//! The history check finds each violation and nothing else.

use test_case::test_case;
use verbenahitch::domain::{JobId, Resources, TaskId};
use verbenahitch::port::EndKind;
use verbenahitch_standin::history::{
    CallOutcome, CallRecord, EndMemory, Outage, RequestRecord, Rules, RunEnd, RunRecord, Session,
    Violation, WorkerHistory, check,
};

const CAPACITY: Resources = Resources::new(4, 4_096);

fn task() -> TaskId {
    TaskId {
        job: JobId::new("pricing", "night"),
        index: 0,
    }
}

/// Run of the task on one core, from `start` to `end`.
fn run(start: u64, end: Option<(u64, Option<EndKind>)>) -> RunRecord {
    RunRecord {
        task: task(),
        shard: "a-0".to_owned(),
        epoch: 1,
        run: start,
        profile: "discount".to_owned(),
        resources: Resources::new(1, 1_024),
        resumed_ms: 0,
        start,
        end: end.map(|(at, kind)| RunEnd {
            at,
            kind,
            checkpoint_ms: 0,
            memory: EndMemory::Kept,
        }),
    }
}

fn worker(name: &str, runs: Vec<RunRecord>) -> WorkerHistory {
    WorkerHistory {
        worker: name.to_owned(),
        zone: name[..1].to_owned(),
        capacity: CAPACITY,
        runs,
        requests: Vec::new(),
    }
}

fn rules() -> Rules {
    let once = || ["discount".to_owned()].into();
    Rules {
        once_kinds: once(),
        once_profiles: once(),
        ..Rules::default()
    }
}

struct TaskRuns {
    first: RunRecord,
    second: RunRecord,
    expected: Option<Violation>,
}

#[test_case(TaskRuns {
    first: run(100, Some((200, Some(EndKind::Evicted)))),
    second: run(200, None),
    expected: None,
}; "resumed")]
#[test_case(TaskRuns {
    first: run(100, Some((200, Some(EndKind::Evicted)))),
    second: run(190, None),
    expected: Some(Violation::TwoPlaces { task: task(), first: "a0".into(), second: "b0".into(), at: 190 }),
}; "resumed too early")]
#[test_case(TaskRuns {
    first: run(100, None),
    second: run(9_000, None),
    expected: Some(Violation::TwoPlaces { task: task(), first: "a0".into(), second: "b0".into(), at: 9_000 }),
}; "still running elsewhere")]
#[test_case(TaskRuns {
    first: run(100, Some((200, Some(EndKind::Done)))),
    second: run(300, None),
    expected: Some(Violation::StartedAfterEnd { task: task(), worker: "b0".into() }),
}; "completed")]
#[test_case(TaskRuns {
    first: run(100, Some((200, None))),
    second: run(300, None),
    expected: Some(Violation::StartedAfterLoss { task: task(), worker: "b0".into() }),
}; "lost")]
#[test_case(TaskRuns {
    first: RunRecord { profile: "label".into(), ..run(100, Some((200, None))) },
    second: RunRecord { profile: "label".into(), ..run(300, None) },
    expected: None,
}; "lost but idempotent")]
#[test_case(TaskRuns {
    first: run(100, Some((200, Some(EndKind::Lapsed)))),
    second: run(300, None),
    expected: None,
}; "lapsed")]
fn violations_between_runs_of_one_task_are_found(case: TaskRuns) {
    let session = Session {
        workers: vec![
            worker("a0", vec![case.first]),
            worker("b0", vec![case.second]),
        ],
        ..Session::default()
    };
    assert_eq!(check(&session, &rules()), Vec::from_iter(case.expected));
}

#[test_case(EndMemory::Kept, false, true; "still recorded")]
#[test_case(EndMemory::Told, false, true; "reported")]
#[test_case(EndMemory::Told, true, false; "reported but perhaps not received")]
#[test_case(EndMemory::Untold, false, false; "lost before it was reported")]
fn a_start_after_a_known_end_is_a_violation(memory: EndMemory, lossy: bool, is_violation: bool) {
    let mut first = run(100, Some((200, Some(EndKind::Done))));
    first.end.as_mut().unwrap().memory = memory;
    let mut second = run(300, None);
    for run in [&mut first, &mut second] {
        run.profile = "label".to_owned();
    }
    let session = Session {
        workers: vec![worker("a0", vec![first]), worker("b0", vec![second])],
        ..Session::default()
    };
    let rules = Rules { lossy, ..rules() };
    assert_eq!(!check(&session, &rules).is_empty(), is_violation);
}

#[test_case(&[(10, Some(20)), (10, Some(20)), (10, Some(20)), (10, Some(20))], None; "full")]
#[test_case(&[(10, Some(20)), (10, None), (10, None), (10, None), (20, None)], None; "one after the other")]
#[test_case(&[(10, Some(20)), (10, None), (10, None), (10, None), (19, None)], Some(19); "too many")]
#[test_case(&[(10, Some(10)), (10, Some(10)), (10, None), (10, None), (10, None), (10, None)], None; "failed at once")]
fn overcommitment_of_a_worker_is_a_violation(runs: &[(u64, Option<u64>)], at: Option<u64>) {
    let runs = runs.iter().enumerate().map(|(index, (start, end))| {
        let mut run = run(*start, end.map(|end| (end, Some(EndKind::Done))));
        run.task.index = u32::try_from(index).unwrap();
        run
    });
    let session = Session {
        workers: vec![worker("a0", runs.collect())],
        ..Session::default()
    };
    let expected = at.map(|at| Violation::Overcommitted {
        worker: "a0".to_owned(),
        at,
        committed: Resources::new(5, 5_120),
    });
    assert_eq!(check(&session, &rules()), Vec::from_iter(expected));
}

#[test_case(5_999, None; "within the grace")]
#[test_case(6_000, Some(5_000); "after the grace")]
#[test_case(20_000, None; "zone is back in")]
fn a_start_in_a_zone_that_is_out_is_a_violation_after_the_grace(start: u64, late_ms: Option<u64>) {
    let session = Session {
        workers: vec![worker("a0", vec![run(start, None)])],
        outages: vec![Outage {
            zone: "a".to_owned(),
            from: 1_000,
            until: Some(20_000),
        }],
        ..Session::default()
    };
    let expected = late_ms.map(|late_ms| Violation::StartedOut {
        task: task(),
        worker: "a0".to_owned(),
        zone: "a".to_owned(),
        late_ms,
    });
    assert_eq!(check(&session, &rules()), Vec::from_iter(expected));
}

struct RequestRuns {
    /// Kind, call ID and idempotency key of each request that ran.
    ran: &'static [(&'static str, &'static str, Option<&'static str>)],
    outcome: CallOutcome,
    expected: Option<Violation>,
}

fn answered(call_id: &str, whole: bool) -> CallOutcome {
    CallOutcome::Answered {
        call_id: call_id.to_owned(),
        whole,
    }
}

#[test_case(RequestRuns { ran: &[("quote", "c1", None)], outcome: answered("c1", true), expected: None }; "answered")]
#[test_case(RequestRuns { ran: &[("quote", "c1", None), ("quote", "c1", None)], outcome: answered("c1", true), expected: None }; "idempotent and ran twice")]
#[test_case(RequestRuns { ran: &[], outcome: CallOutcome::NotRun, expected: None }; "refused")]
#[test_case(RequestRuns { ran: &[("quote", "c1", None)], outcome: CallOutcome::Unknown, expected: None }; "unknown")]
#[test_case(RequestRuns {
    ran: &[("discount", "c1", Some("k")), ("discount", "c2", Some("k"))],
    outcome: CallOutcome::Unknown,
    expected: Some(Violation::RanTwice { kind: "discount".into(), key: "k".into(), runs: 2 }),
}; "ran twice with one key")]
#[test_case(RequestRuns {
    ran: &[("discount", "c1", None), ("discount", "c1", None)],
    outcome: CallOutcome::Unknown,
    expected: Some(Violation::RanTwice { kind: "discount".into(), key: "c1".into(), runs: 2 }),
}; "ran twice with one call ID")]
#[test_case(RequestRuns {
    ran: &[("quote", "c1", None)],
    outcome: answered("c2", true),
    expected: Some(Violation::WrongAnswer { call_id: "c1".into(), got: "c2".into(), whole: true }),
}; "answer to another call")]
#[test_case(RequestRuns {
    ran: &[("quote", "c1", None)],
    outcome: answered("c1", false),
    expected: Some(Violation::WrongAnswer { call_id: "c1".into(), got: "c1".into(), whole: false }),
}; "truncated")]
#[test_case(RequestRuns {
    ran: &[("quote", "c1", None)],
    outcome: CallOutcome::NotRun,
    expected: Some(Violation::RanAfterAll { call_id: "c1".into(), worker: "a0".into() }),
}; "refused but ran")]
#[test_case(RequestRuns {
    ran: &[],
    outcome: answered("c1", true),
    expected: Some(Violation::RanNowhere { call_id: "c1".into() }),
}; "answered but never ran")]
fn an_answer_that_contradicts_the_runs_is_a_violation(case: RequestRuns) {
    let ran = case.ran.iter().map(|(kind, call_id, key)| RequestRecord {
        kind: (*kind).to_owned(),
        request_id: String::new(),
        call_id: (*call_id).to_owned(),
        key: key.map(str::to_owned),
        start: 0,
        end: Some(1),
    });
    let worker = WorkerHistory {
        requests: ran.collect(),
        ..worker("a0", Vec::new())
    };
    let call = CallRecord {
        call_id: "c1".to_owned(),
        kind: "any".to_owned(),
        key: None,
        sent: 0,
        outcome: case.outcome,
    };
    let session = Session {
        workers: vec![worker],
        calls: vec![call],
        outages: Vec::new(),
    };
    assert_eq!(check(&session, &rules()), Vec::from_iter(case.expected));
}
