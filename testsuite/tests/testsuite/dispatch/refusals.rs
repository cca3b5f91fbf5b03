//! Overload with and without refusals: hosts decide on new jobs by the owner's digest.

use std::collections::BTreeMap;

use test_case::test_case;
use verbenahitch::dispatch::{Digest, JobId, JobSpec, Repeat, StepSpec};
use verbenahitch::domain::{Millis, Monotonic};
use verbenahitch::entry::admission::{KnownDigest, decide};

use super::world::{World, filler, job, queue, standing};

/// Time for which a host keeps a digest before it hears of the next, in milliseconds.
const HOST_AGE_MS: Millis = 1_000;

/// Widths of jobs relative to the mean, in tenths.
const WIDTHS: [u32; 8] = [4, 22, 7, 10, 6, 14, 9, 8];

/// Time for which jobs arrive, and the burst in it, in milliseconds.
const LENGTH_MS: Millis = 34_000;
const BURST_MS: std::ops::Range<Millis> = 3_000..9_000;

/// Jobs in ten seconds.
#[derive(Clone, Copy)]
struct Load {
    usual: u64,
    burst: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    jobs: usize,
    in_time: usize,
    in_value: Vec<JobId>,
    refused: Vec<JobId>,
}

impl Load {
    /// Plays the load on sixteen workers, three quarters of whose CPU standing tasks have
    /// committed.
    fn play(self, refuses: bool) -> Outcome {
        let mut world = World::new(16);
        let pair = ("heavy".to_owned(), "a".to_owned());
        world.pressures.insert(pair, 4.0);
        for (number, image) in (0..).zip(["a", "b", "c", "a"]) {
            world.submit(number, "push", job(vec![standing(12, 4, image)]));
        }
        world.run(6_000);
        let mut outcome = Outcome::default();
        let mut accepted: BTreeMap<JobId, Millis> = BTreeMap::new();
        let mut known: Option<KnownDigest> = None;
        let begin = world.now;
        for number in 0.. {
            let since = world.now - begin;
            if since >= LENGTH_MS {
                break;
            }
            let is_burst = BURST_MS.contains(&since);
            world.run(10_000 / if is_burst { self.burst } else { self.usual });
            let is_old = |known: &KnownDigest| world.now - known.measured_at.0 >= HOST_AGE_MS;
            if known.as_ref().is_none_or(is_old)
                && let Some(digest) = world.dispatcher.take_digest()
            {
                known = Some(known_at(digest, world.now));
            }
            let (id, spec) = (JobId(1_000 + number), batch(number));
            outcome.jobs += 1;
            let record = world.record("batch", &spec);
            let refusal = decide(&record, known.as_ref(), Some(1), Monotonic(world.now));
            if refuses && refusal.is_some() {
                outcome.refused.push(id);
            } else {
                accepted.insert(world.submit(id.0, "batch", spec), world.now);
            }
        }
        let ends = world.now + 60_000;
        while world.now < ends && !accepted.keys().all(|id| world.finished.contains_key(id)) {
            world.run(1_000);
        }
        let objective_ms = queue("batch", 2).objective_ms(2 * TASK_MS);
        for (id, at) in accepted {
            let end = world.finished.get(&id);
            let took = end.expect("what was accepted is finished") - at;
            outcome.in_time += usize::from(took <= objective_ms);
            if took <= 3 * objective_ms {
                outcome.in_value.push(id);
            }
        }
        outcome
    }
}

fn known_at(digest: Digest, now: Millis) -> KnownDigest {
    KnownDigest {
        digest,
        fence: 1,
        measured_at: Monotonic(now),
    }
}

/// Run time of a task in milliseconds.
const TASK_MS: Millis = 1_700;

/// Two steps of twenty tasks on average, a fourth of them harmful to a standing image.
fn batch(number: u64) -> JobSpec {
    let width = 20 * WIDTHS[number as usize % WIDTHS.len()] / 10;
    let image = ["light", "heavy", "bright", "soft"][number as usize / 2 % 4];
    let first = filler(width, 2, TASK_MS, image);
    let mut second = first.clone();
    second.after = vec![0];
    job(vec![first, second])
}

/// Batch work of twice what gets done beside standing tasks, with a burst of 2.2 times
/// that: with refusals more jobs end within their objective and more with a value.
#[test_case(Load { usual: 20, burst: 44 })]
fn refusals_let_more_jobs_end_in_time(load: Load) {
    let (all, some) = (load.play(false), load.play(true));
    let wrong = some.refused.iter().filter(|id| all.in_value.contains(id));
    println!(
        "in time {} and {} of {}, in value {} and {}, refused {}, of which {} had a value",
        all.in_time,
        some.in_time,
        all.jobs,
        all.in_value.len(),
        some.in_value.len(),
        some.refused.len(),
        wrong.count(),
    );
    assert!(!some.refused.is_empty());
    assert!(some.in_time > all.in_time);
    assert!(some.in_value.len() > all.in_value.len());
}

/// Load under which a new job can still have a value, bursts included: a false refusal
/// would cost more than the goal of 2% of all jobs allows.
#[test_case(Load { usual: 4, burst: 9 }; "without overload")]
#[test_case(Load { usual: 10, burst: 22 }; "with a burst")]
#[test_case(Load { usual: 15, burst: 33 }; "half of the jobs late")]
fn jobs_that_may_have_a_value_are_not_refused(load: Load) {
    let outcome = load.play(true);
    assert_eq!(outcome.refused, [], "of {}", outcome.jobs);
}

/// A job of absurd size beside a few ordinary ones: nothing panics, and no ordinary job is
/// refused on account of it.
#[test_case(|step| step.estimate_ms = 0; "no estimate")]
#[test_case(|step| step.estimate_ms = u64::MAX; "the largest estimate")]
#[test_case(|step| step.amount.cpu_milli = 0; "no CPU")]
#[test_case(|step| step.amount.cpu_milli = u64::MAX; "all CPU there is")]
#[test_case(|step| step.amount.memory_mb = u64::MAX; "all memory there is")]
#[test_case(|step| step.count = 10_000; "the largest width")]
fn an_absurd_job_refuses_no_others(change: fn(&mut StepSpec)) {
    let mut world = World::new(4);
    world.run(500);
    for number in 0..4 {
        let mut spec = batch(number);
        if number == 0 {
            spec.steps.iter_mut().for_each(change);
            spec.repeat = Some(Repeat {
                times: 2,
                first_ms: world.now,
                interval_ms: u64::MAX,
            });
        }
        world.submit(number, "batch", spec);
    }
    for number in 10..14 {
        world.run(3_000);
        let record = world.record("batch", &batch(number));
        let known = world.dispatcher.take_digest();
        let known = known.map(|digest| known_at(digest, world.now));
        let refusal = decide(&record, known.as_ref(), Some(1), Monotonic(world.now));
        assert_eq!(refusal, None);
        world.submit(number, "batch", record.spec);
    }
}
