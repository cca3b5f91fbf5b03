//! No task of a job starts after its cancel was acknowledged, whoever stores the job later.

use std::time::Duration;

use test_case::test_case;
use verbenahitch::dispatch::JobId;
use verbenahitch::entry::IntakeOutcome;
use verbenahitch::entry::acceptance::accept;
use verbenahitch::entry::cancels::{CancelOutcome, Cancels};

use super::world::{Fate, MemoryKv, World, open_job, run, standing_step, step};

const ID: u64 = 0xc1;
const JOB: &str = "intake/job/00000000000000c1";
const CANCEL: &str = "intake/cancel/00000000000000c1";

/// Until late writes are done and the owner's watch has seen them.
const SETTLING: Duration = Duration::from_millis(2_500);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn late(wait: u64, late: u64) -> Fate {
    Fate::Late {
        wait: millis(wait),
        late: millis(late),
    }
}

fn lost(wait: u64) -> Fate {
    Fate::Lost { wait: millis(wait) }
}

fn held(wait: u64) -> Fate {
    Fate::Held { wait: millis(wait) }
}

/// A submission whose writes go wrong, and a cancel beside it.
struct Case {
    /// What becomes of the writes of the job.
    fates: Vec<Fate>,
    /// When the cancel is sent, after the submission.
    cancel_after: Duration,
    /// Whether a copy of the submission arrives after the cancel.
    copy: bool,
}

// Guards against a job that is stored after the ack of its cancel, which had found no job, and runs.
#[test_case(Case {
    fates: vec![late(50, 600), late(50, 600)], cancel_after: millis(200), copy: false,
}; "the store carries the writes out late")]
#[test_case(Case {
    fates: vec![lost(300)], cancel_after: millis(100), copy: false,
}; "the host tries again after a lost write")]
#[test_case(Case {
    fates: vec![held(300)], cancel_after: millis(100), copy: false,
}; "the first write takes long")]
#[test_case(Case {
    fates: vec![lost(50), lost(50)], cancel_after: millis(200), copy: true,
}; "a copy of the submission comes after the cancel")]
fn nothing_starts_after_the_ack_of_a_cancel_that_found_no_job(case: Case) {
    run(async {
        let world = World::start(4).await;
        world.kv.set_fates(JOB, &case.fates);
        let cancelling = async {
            tokio::time::sleep(case.cancel_after).await;
            world.cancel(ID).await
        };
        let (_, cancelled) = tokio::join!(world.submit(ID, vec![step(4)]), cancelling);
        assert!(
            matches!(cancelled, IntakeOutcome::Stored | IntakeOutcome::Missing),
            "{cancelled:?}"
        );
        assert!(!world.has_started(ID), "the case does not come about");
        if case.copy {
            world.submit(ID, vec![step(4)]).await;
        }
        tokio::time::sleep(SETTLING).await;
        assert!(
            !world.has_started(ID),
            "a task starts after the ack of the cancel"
        );
    });
}

// Guards against a job that a host of an earlier version, which does not look for its cancel, stores
// after the ack.
#[test]
fn the_owner_keeps_the_cancel_of_an_unknown_job() {
    run(async {
        let world = World::start(4).await;
        assert_eq!(world.cancel(ID).await, IntakeOutcome::Missing);
        tokio::time::sleep(SETTLING).await;
        world.store_unconditionally(ID, vec![step(4)]);
        tokio::time::sleep(SETTLING).await;
        assert!(!world.has_started(ID));
        // Once the cancel's lease has ended, the identifier is free again.
        assert_eq!(world.cancel(ID + 1).await, IntakeOutcome::Missing);
        tokio::time::sleep(SETTLING).await;
        world.kv.remove(&CANCEL.replace("c1", "c2"));
        tokio::time::sleep(SETTLING).await;
        world.store_unconditionally(ID + 1, vec![step(4)]);
        assert!(world.completes(ID + 1, 2 * SETTLING).await);
    });
}

// Guards against callers that are shown a job which nobody may run, or told that it runs.
#[test]
fn a_job_that_was_cancelled_before_it_came_is_unknown() {
    run(async {
        let world = World::start(4).await;
        for _ in 0..2 {
            assert_eq!(world.cancel(ID).await, IntakeOutcome::Missing);
            assert_eq!(world.state(ID).await, None);
            let submitted = world.submit(ID, vec![step(4)]).await;
            assert_eq!(submitted, IntakeOutcome::Cancelled);
        }
        assert_eq!(
            world.submit(ID + 1, vec![step(4)]).await,
            IntakeOutcome::Stored
        );
        assert!(world.completes(ID + 1, SETTLING).await);
    });
}

/// The writes of a cancel go wrong.
struct Unanswered {
    fates: Vec<Fate>,
    outcome: IntakeOutcome,
    /// Whether the cancel holds in the end.
    holds: bool,
}

// Guards against a cancel that is acknowledged although its own write may be lost.
#[test_case(Unanswered {
    fates: vec![lost(50)], outcome: IntakeOutcome::Missing, holds: true,
}; "the first write is lost")]
#[test_case(Unanswered {
    fates: vec![late(50, 20)], outcome: IntakeOutcome::Missing, holds: true,
}; "the first answer is lost")]
#[test_case(Unanswered {
    fates: vec![lost(50), lost(50)], outcome: IntakeOutcome::Unknown, holds: false,
}; "both writes are lost")]
#[test_case(Unanswered {
    fates: vec![late(50, 200), late(50, 200)], outcome: IntakeOutcome::Unknown, holds: true,
}; "both writes are carried out late")]
fn a_cancel_without_an_answer_is_not_acknowledged(case: Unanswered) {
    run(async {
        let world = World::start(4).await;
        world.kv.set_fates(CANCEL, &case.fates);
        assert_eq!(world.cancel(ID).await, case.outcome);
        tokio::time::sleep(millis(300)).await;
        let submitted = world.submit(ID, vec![step(4)]).await;
        let expected = if case.holds {
            IntakeOutcome::Cancelled
        } else {
            IntakeOutcome::Stored
        };
        assert_eq!(submitted, expected);
    });
}

/// Accounts of a job, of those who cancelled it before it came, and whether it is accepted.
struct Accounts {
    job: Option<&'static str>,
    cancels: &'static [Option<&'static str>],
    accepted: bool,
}

// Guards against an account that keeps the jobs of another from being accepted, and against one that
// lifts another's cancel.
#[test_case(Accounts { job: Some("a"), cancels: &[Some("a")], accepted: false }; "its own cancel")]
#[test_case(Accounts { job: Some("a"), cancels: &[Some("b")], accepted: true }; "the cancel of another account")]
#[test_case(Accounts { job: Some("a"), cancels: &[None], accepted: false }; "the cancel of anyone")]
#[test_case(Accounts { job: None, cancels: &[Some("b")], accepted: false }; "a job of anyone")]
#[test_case(Accounts { job: Some("a"), cancels: &[Some("a"), Some("b")], accepted: false }; "another account cancels later")]
fn a_cancel_holds_for_the_jobs_of_its_account(case: Accounts) {
    run(async {
        let (kv, cancels) = (MemoryKv::default(), Cancels::default());
        for account in case.cancels {
            let cancelled = cancels.cancel(&kv, JobId(ID), *account).await;
            assert_eq!(cancelled, CancelOutcome::Excluded);
        }
        let accepted = accept(&kv, JobId(ID), open_job(case.job), case.job).await;
        let expected = if case.accepted {
            IntakeOutcome::Stored
        } else {
            IntakeOutcome::Cancelled
        };
        assert_eq!(accepted, expected);
        assert_eq!(kv.value(JOB).is_some(), case.accepted);
        assert_eq!(kv.value(CANCEL).is_some(), !case.accepted);
    });
}

// Guards against the key of a cancel that nobody removes, as its job had ended before.
#[test]
fn the_cancel_of_a_job_that_has_ended_leaves_no_key() {
    run(async {
        let world = World::start(4).await;
        world.submit(ID, vec![step(4)]).await;
        assert!(world.completes(ID, SETTLING).await);
        assert_eq!(world.cancel(ID).await, IntakeOutcome::Stored);
        tokio::time::sleep(SETTLING).await;
        assert_eq!(world.kv.value(CANCEL), None);
    });
}

// Guards against a cancel of a job that ends or is accepted between the reading and the write.
#[test]
fn a_cancel_is_stored_for_the_job_as_it_was_read() {
    run(async {
        let (kv, cancels) = (MemoryKv::default(), Cancels::default());
        kv.put(JOB, br#"{"ended":"completed"}"#);
        let ended = cancels.cancel(&kv, JobId(ID), None).await;
        assert_eq!(ended, CancelOutcome::Ended);
        assert_eq!(kv.value(CANCEL), None, "a key that nobody removes");

        // The job ends while the cancel is on its way.
        let job = "intake/job/00000000000000c2";
        kv.put(job, &open_job(None));
        kv.set_fates(&CANCEL.replace("c1", "c2"), &[held(100)]);
        let ending = async {
            tokio::time::sleep(millis(50)).await;
            kv.put(job, br#"{"ended":"completed"}"#);
        };
        let (ended, ()) = tokio::join!(cancels.cancel(&kv, JobId(ID + 1), None), ending);
        assert_eq!(ended, CancelOutcome::Ended);
        assert_eq!(kv.value(&CANCEL.replace("c1", "c2")), None);

        // The job is accepted while the cancel is on its way.
        let job = "intake/job/00000000000000c3";
        kv.set_fates(&CANCEL.replace("c1", "c3"), &[held(100)]);
        let accepting = async {
            tokio::time::sleep(millis(50)).await;
            kv.put(job, &open_job(None));
        };
        let (stored, ()) = tokio::join!(cancels.cancel(&kv, JobId(ID + 2), None), accepting);
        assert_eq!(stored, CancelOutcome::Stored);
    });
}

/// Cancels of unknown jobs that a host stores at once, with some that are let through meanwhile.
const STORED_MAX: u32 = 40;

// Guards against clients that cancel unknown jobs as fast as they like: they take neither the writes
// of the store nor the place of those that cancel a job.
#[test]
fn cancels_of_unknown_jobs_leave_room_for_others() {
    run(async {
        let world = World::start(4).await;
        let stored = world.submit(ID, vec![standing_step(4)]).await;
        assert_eq!(stored, IntakeOutcome::Stored);
        let before = world.kv.commits();
        let unknown = (0..500).map(|at| world.cancel(0x1000 + at));
        let outcomes = futures::future::join_all(unknown).await;
        let count = |wanted| {
            outcomes
                .iter()
                .filter(|outcome| **outcome == wanted)
                .count()
        };
        let (missing, refused) = (count(IntakeOutcome::Missing), count(IntakeOutcome::Refused));
        assert!(missing > 0, "no cancel is acknowledged");
        assert_eq!(missing + refused, outcomes.len(), "{outcomes:?}");
        let writes = world.kv.commits() - before;
        assert!(writes <= STORED_MAX, "{writes} writes");
        assert_eq!(world.cancel(ID).await, IntakeOutcome::Stored);
        let ordinary = world.submit(ID + 1, vec![step(4)]).await;
        assert_eq!(ordinary, IntakeOutcome::Stored);
        assert!(world.completes(ID + 1, SETTLING).await);
        assert!(!world.runs(ID), "a cancelled job runs");
        // What was refused is taken later.
        tokio::time::sleep(millis(1_000)).await;
        assert_eq!(world.cancel(0x2000).await, IntakeOutcome::Missing);
    });
}
