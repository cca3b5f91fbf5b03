//! Check of the workers' runs.

use std::collections::BTreeMap;

use verbenahitch::domain::{Millis, Resources, TaskId};
use verbenahitch::port::EndKind;

use super::check::{Rules, Violation};
use super::record::{EndMemory, Outage, RunRecord, Session, WorkerHistory};

/// A run with its worker.
#[derive(Clone, Copy)]
struct Placed<'a> {
    worker: &'a WorkerHistory,
    run: &'a RunRecord,
}

pub(super) fn check(session: &Session, rules: &Rules, found: &mut Vec<Violation>) {
    let mut tasks: BTreeMap<&TaskId, Vec<Placed<'_>>> = BTreeMap::new();
    for worker in &session.workers {
        for run in &worker.runs {
            let placed = Placed { worker, run };
            tasks.entry(&run.task).or_default().push(placed);
            found.extend(started_out(placed, &session.outages, rules));
        }
        found.extend(overcommitted(worker));
    }
    for runs in tasks.values_mut() {
        runs.sort_by_key(|placed| placed.run.start);
        task(runs, rules, found);
    }
}

/// Checks the runs of one task, in the order of their starts.
fn task(runs: &[Placed<'_>], rules: &Rules, found: &mut Vec<Violation>) {
    for (position, earlier) in runs.iter().enumerate() {
        for later in &runs[position + 1..] {
            found.extend(two_places(*earlier, *later, rules));
            found.extend(started_again(*earlier, *later, rules));
        }
    }
}

fn two_places(earlier: Placed<'_>, later: Placed<'_>, rules: &Rules) -> Option<Violation> {
    let end = earlier.run.end.map_or(Millis::MAX, |end| end.at);
    let overlaps = later.run.start.saturating_add(rules.slack_ms) < end;
    overlaps.then(|| Violation::TwoPlaces {
        task: later.run.task.clone(),
        first: earlier.worker.worker.clone(),
        second: later.worker.worker.clone(),
        at: later.run.start,
    })
}

fn started_again(earlier: Placed<'_>, later: Placed<'_>, rules: &Rules) -> Option<Violation> {
    let task = || later.run.task.clone();
    let worker = || later.worker.worker.clone();
    let once = rules.once_profiles.contains(&later.run.profile);
    let end = earlier.run.end?;
    let known = match end.memory {
        EndMemory::Kept => true,
        EndMemory::Told => !rules.lossy,
        EndMemory::Untold => false,
    };
    match end.kind.filter(|_| known) {
        Some(EndKind::Done) => Some(Violation::StartedAfterEnd {
            task: task(),
            worker: worker(),
        }),
        None if once => Some(Violation::StartedAfterLoss {
            task: task(),
            worker: worker(),
        }),
        _ => None,
    }
}

fn started_out(placed: Placed<'_>, outages: &[Outage], rules: &Rules) -> Option<Violation> {
    let start = placed.run.start;
    let covers = |outage: &&Outage| {
        let from = outage.from.saturating_add(rules.zone_grace_ms);
        let until = outage.until.unwrap_or(Millis::MAX);
        outage.zone == placed.worker.zone && (from..until).contains(&start)
    };
    let outage = outages.iter().find(covers)?;
    Some(Violation::StartedOut {
        task: placed.run.task.clone(),
        worker: placed.worker.worker.clone(),
        zone: outage.zone.clone(),
        late_ms: start - outage.from,
    })
}

/// First instant at which a worker was committed beyond its size.
fn overcommitted(worker: &WorkerHistory) -> Option<Violation> {
    let mut changes: Vec<Change> = worker.runs.iter().flat_map(changes).collect();
    // What ends at an instant makes room for what starts then.
    changes.sort_by_key(|change| (change.at, change.starts));
    let mut committed = Resources::ZERO;
    for change in changes {
        if !change.starts {
            committed = committed.saturating_sub(change.resources);
            continue;
        }
        committed += change.resources;
        if !committed.fits(worker.capacity) {
            return Some(Violation::Overcommitted {
                worker: worker.worker.clone(),
                at: change.at,
                committed,
            });
        }
    }
    None
}

/// Change of what a worker's runs commit.
struct Change {
    at: Millis,
    starts: bool,
    resources: Resources,
}

fn changes(run: &RunRecord) -> Vec<Change> {
    let change = |at, starts| Change {
        at,
        starts,
        resources: run.resources,
    };
    match run.end {
        // A run that failed at its start commits nothing for any time.
        Some(end) if end.at <= run.start => Vec::new(),
        Some(end) => vec![change(run.start, true), change(end.at, false)],
        None => vec![change(run.start, true)],
    }
}
