//! Check of the runs that workers recorded.

use std::collections::BTreeMap;

use verbenahitch::domain::{Millis, Resources, TaskId};
use verbenahitch::port::EndKind;

use super::check::{Rules, Violation};
use super::record::{EndMemory, Outage, RunRecord, Session, WorkerHistory};

/// A run with its worker.
#[derive(Clone, Copy)]
struct PlacedRun<'a> {
    worker: &'a WorkerHistory,
    run: &'a RunRecord,
}

pub(super) fn check(session: &Session, rules: &Rules, violations: &mut Vec<Violation>) {
    let mut tasks: BTreeMap<&TaskId, Vec<PlacedRun<'_>>> = BTreeMap::new();
    for worker in &session.workers {
        for run in &worker.runs {
            let placed = PlacedRun { worker, run };
            tasks.entry(&run.task).or_default().push(placed);
            violations.extend(started_in_outage(placed, &session.outages, rules));
        }
        violations.extend(overcommitted(worker));
    }
    for runs in tasks.values_mut() {
        runs.sort_by_key(|placed| placed.run.start);
        check_task(runs, rules, violations);
    }
}

/// Checks the runs of one task, in the order of their starts.
fn check_task(runs: &[PlacedRun<'_>], rules: &Rules, violations: &mut Vec<Violation>) {
    for (position, earlier) in runs.iter().enumerate() {
        for later in &runs[position + 1..] {
            violations.extend(overlap(*earlier, *later, rules));
            violations.extend(invalid_restart(*earlier, *later, rules));
        }
    }
}

fn overlap(earlier: PlacedRun<'_>, later: PlacedRun<'_>, rules: &Rules) -> Option<Violation> {
    let end = earlier.run.end.map_or(Millis::MAX, |end| end.at);
    let overlaps = later.run.start.saturating_add(rules.slack_ms) < end;
    overlaps.then(|| Violation::TwoPlaces {
        task: later.run.task.clone(),
        first: earlier.worker.worker.clone(),
        second: later.worker.worker.clone(),
        at: later.run.start,
    })
}

fn invalid_restart(
    earlier: PlacedRun<'_>,
    later: PlacedRun<'_>,
    rules: &Rules,
) -> Option<Violation> {
    let task = || later.run.task.clone();
    let worker = || later.worker.worker.clone();
    let at_most_once = rules.once_profiles.contains(&later.run.profile);
    let end = earlier.run.end?;
    let end_known = match end.memory {
        EndMemory::Kept => true,
        EndMemory::Told => !rules.lossy,
        EndMemory::Untold => false,
    };
    match end.kind.filter(|_| end_known) {
        Some(EndKind::Done) => Some(Violation::StartedAfterEnd {
            task: task(),
            worker: worker(),
        }),
        None if at_most_once => Some(Violation::StartedAfterLoss {
            task: task(),
            worker: worker(),
        }),
        _ => None,
    }
}

fn started_in_outage(
    placed: PlacedRun<'_>,
    outages: &[Outage],
    rules: &Rules,
) -> Option<Violation> {
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

/// First start that committed a worker beyond its capacity.
fn overcommitted(worker: &WorkerHistory) -> Option<Violation> {
    let mut changes: Vec<CommitmentChange> = worker.runs.iter().flat_map(changes).collect();
    // Ends are applied before the starts at the same instant, which may use the freed resources.
    changes.sort_by_key(|change| (change.at, change.is_start));
    let mut committed = Resources::ZERO;
    for change in changes {
        if !change.is_start {
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

/// Change of the resources that a worker's runs commit.
struct CommitmentChange {
    at: Millis,
    is_start: bool,
    resources: Resources,
}

fn changes(run: &RunRecord) -> Vec<CommitmentChange> {
    let change = |at, is_start| CommitmentChange {
        at,
        is_start,
        resources: run.resources,
    };
    match run.end {
        // A run that failed at its start never commits resources.
        Some(end) if end.at <= run.start => Vec::new(),
        Some(end) => vec![change(run.start, true), change(end.at, false)],
        None => vec![change(run.start, true)],
    }
}
