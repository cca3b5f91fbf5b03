//! History of what workers and the store observed, checked against the scheduler's guarantees.

use std::collections::{BTreeMap, BTreeSet};

use verbenahitch::domain::{JobId, Millis, Resources, TaskId, TaskOutcome};
use verbenahitch::port::EndKind;

/// Observed event with its time.
#[derive(Clone, Debug)]
pub struct Observation {
    pub at: Millis,
    pub event: ObservedEvent,
}

#[derive(Clone, Debug)]
pub enum ObservedEvent {
    Started {
        worker: String,
        run: u64,
        task: TaskId,
        resources: Resources,
        checkpoint_ms: Millis,
    },
    /// A run ended; `kind` is `None` when its worker crashed.
    Ended {
        worker: String,
        run: u64,
        task: TaskId,
        kind: Option<EndKind>,
        checkpoint_ms: Millis,
    },
    /// The store has received the outcome of a task.
    OutcomeStored {
        task: TaskId,
        outcome: TaskOutcome,
    },
    /// The store has received a checkpoint of a task.
    CheckpointStored {
        task: TaskId,
        progress_ms: Millis,
    },
    /// The owner acknowledged the end of a run, which its worker then forgets.
    Acked {
        task: TaskId,
        run: u64,
        kind: EndKind,
        checkpoint_ms: Millis,
    },
    /// The store has handed a job over to another shard.
    Moved(JobId),
    ZoneOut,
    ZoneIn,
}

#[derive(Clone, Debug)]
struct Run {
    worker: String,
    number: u64,
    resources: Resources,
    start: Millis,
    end: Millis,
    resumed_ms: Millis,
    kind: Option<EndKind>,
    checkpoint_ms: Millis,
}

/// Observations of a simulation in the order of their recording.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub observations: Vec<Observation>,
}

impl History {
    pub fn record(&mut self, at: Millis, event: ObservedEvent) {
        self.observations.push(Observation { at, event });
    }

    /// Number of runs that were started.
    pub fn start_count(&self) -> usize {
        self.runs().values().map(Vec::len).sum()
    }

    /// Violations of the guarantees, as messages.
    ///
    /// `non_idempotent` returns whether a task must not run twice; `capacity` is per worker.
    pub fn violations(
        &self,
        non_idempotent: impl Fn(&TaskId) -> bool,
        capacity: Resources,
        permit_ms: Millis,
    ) -> Vec<String> {
        let runs = self.runs();
        let mut found = Vec::new();
        for (task, runs) in &runs {
            overlaps(task, runs, &mut found);
            if non_idempotent(task) {
                reruns(task, runs, &mut found);
            }
        }
        self.resumes_before_checkpoint(&mut found);
        self.early_acks(&mut found);
        self.starts_after_end(&mut found);
        self.starts_after_zone_out(permit_ms, &mut found);
        overcommits(&runs, capacity, &mut found);
        found
    }

    /// Tasks that are stored as done although no worker ran them to their end.
    pub fn done_without_run(&self) -> Vec<TaskId> {
        let done: BTreeSet<&TaskId> = self
            .observations
            .iter()
            .filter_map(|observation| match &observation.event {
                ObservedEvent::Ended { task, kind, .. } if *kind == Some(EndKind::Done) => {
                    Some(task)
                }
                _ => None,
            })
            .collect();
        self.observations
            .iter()
            .filter_map(|observation| match &observation.event {
                ObservedEvent::OutcomeStored { task, outcome } if *outcome == TaskOutcome::Done => {
                    Some(task)
                }
                _ => None,
            })
            .filter(|task| !done.contains(task))
            .cloned()
            .collect()
    }

    fn runs(&self) -> BTreeMap<TaskId, Vec<Run>> {
        let mut runs: BTreeMap<TaskId, Vec<Run>> = BTreeMap::new();
        for observation in &self.observations {
            match &observation.event {
                ObservedEvent::Started {
                    worker,
                    run,
                    task,
                    resources,
                    checkpoint_ms,
                } => runs.entry(task.clone()).or_default().push(Run {
                    worker: worker.clone(),
                    number: *run,
                    resources: *resources,
                    start: observation.at,
                    end: Millis::MAX,
                    resumed_ms: *checkpoint_ms,
                    kind: None,
                    checkpoint_ms: *checkpoint_ms,
                }),
                ObservedEvent::Ended {
                    worker,
                    run,
                    task,
                    kind,
                    checkpoint_ms,
                } => {
                    let runs = runs.get_mut(task).expect("a run ends after its start");
                    let started = runs
                        .iter_mut()
                        .find(|started| started.worker == *worker && started.number == *run)
                        .expect("a run ends after its start");
                    started.end = observation.at;
                    started.kind = *kind;
                    started.checkpoint_ms = *checkpoint_ms;
                }
                _ => {}
            }
        }
        for runs in runs.values_mut() {
            runs.sort_by_key(|run| run.start);
        }
        runs
    }

    /// A run must not resume from an older checkpoint than the newest one in the store.
    fn resumes_before_checkpoint(&self, found: &mut Vec<String>) {
        let mut stored = BTreeMap::new();
        for observation in &self.observations {
            match &observation.event {
                ObservedEvent::CheckpointStored { task, progress_ms } => {
                    stored.insert(task, *progress_ms);
                }
                ObservedEvent::Started {
                    task,
                    checkpoint_ms,
                    ..
                } if stored
                    .get(task)
                    .is_some_and(|stored| checkpoint_ms < stored) =>
                {
                    let stored = stored[task];
                    found.push(format!(
                        "{task} has a checkpoint at {stored} ms of work, resumed from {checkpoint_ms} ms"
                    ));
                }
                _ => {}
            }
        }
    }

    /// A worker may forget the end of a run only once the store holds all that is needed from it.
    fn early_acks(&self, found: &mut Vec<String>) {
        let (mut checkpoints, mut newest_runs) = (BTreeMap::new(), BTreeMap::new());
        let (mut outcomes, mut moved) = (BTreeSet::new(), BTreeSet::new());
        for observation in &self.observations {
            match &observation.event {
                ObservedEvent::Started { task, run, .. } => {
                    newest_runs.insert(task, *run);
                }
                ObservedEvent::CheckpointStored { task, progress_ms } => {
                    checkpoints.insert(task, *progress_ms);
                }
                ObservedEvent::OutcomeStored { task, .. } => {
                    outcomes.insert(task);
                }
                ObservedEvent::Moved(job) => {
                    moved.insert(job);
                }
                ObservedEvent::Acked {
                    task,
                    run,
                    kind,
                    checkpoint_ms,
                } => {
                    let is_stored = outcomes.contains(task) || moved.contains(&task.job);
                    let is_unneeded = match kind {
                        EndKind::Done => false,
                        EndKind::Evicted | EndKind::Lapsed => {
                            newest_runs[task] > *run
                                || checkpoints
                                    .get(task)
                                    .is_some_and(|stored| stored >= checkpoint_ms)
                        }
                        EndKind::Failed | EndKind::Stopped => true,
                    };
                    if !is_stored && !is_unneeded {
                        found.push(format!(
                            "{task} ended as {kind:?}, acknowledged before it was stored"
                        ));
                    }
                }
                _ => {}
            }
        }
    }

    fn starts_after_end(&self, found: &mut Vec<String>) {
        let mut ended = BTreeSet::new();
        for observation in &self.observations {
            match &observation.event {
                ObservedEvent::OutcomeStored { task, .. } => {
                    ended.insert(task);
                }
                ObservedEvent::Started { task, run, .. } if ended.contains(task) => {
                    found.push(format!(
                        "{task} started as {run:x} after its end was stored"
                    ));
                }
                _ => {}
            }
        }
    }

    fn starts_after_zone_out(&self, permit_ms: Millis, found: &mut Vec<String>) {
        let mut out = None;
        for observation in &self.observations {
            match &observation.event {
                ObservedEvent::ZoneOut => out = Some(observation.at),
                ObservedEvent::ZoneIn => out = None,
                ObservedEvent::Started { task, .. }
                    if out.is_some_and(|at| observation.at > at + permit_ms) =>
                {
                    found.push(format!(
                        "{task} started at {} in a zone taken out",
                        observation.at
                    ));
                }
                _ => {}
            }
        }
    }
}

fn overlaps(task: &TaskId, runs: &[Run], found: &mut Vec<String>) {
    for pair in runs.windows(2) {
        if pair[1].start < pair[0].end {
            found.push(format!(
                "{task} ran as {:x} on {} and as {:x} on {} at once, from {}",
                pair[0].number, pair[0].worker, pair[1].number, pair[1].worker, pair[1].start
            ));
        }
    }
}

/// A task that is not idempotent may run again only from the checkpoint where its last run ended.
fn reruns(task: &TaskId, runs: &[Run], found: &mut Vec<String>) {
    for pair in runs.windows(2) {
        let checkpointed = matches!(pair[0].kind, Some(EndKind::Evicted | EndKind::Lapsed));
        if !checkpointed || pair[1].resumed_ms != pair[0].checkpoint_ms {
            found.push(format!(
                "{task} is not idempotent, ended as {:?} at {} ms of work, ran again from {} ms",
                pair[0].kind, pair[0].checkpoint_ms, pair[1].resumed_ms
            ));
        }
    }
}

fn overcommits(runs: &BTreeMap<TaskId, Vec<Run>>, capacity: Resources, found: &mut Vec<String>) {
    let all: Vec<&Run> = runs.values().flatten().collect();
    for run in &all {
        let committed = all
            .iter()
            .filter(|other| other.worker == run.worker)
            .filter(|other| other.start <= run.start && run.start < other.end)
            .fold(Resources::ZERO, |sum, other| sum + other.resources);
        if !committed.fits(capacity) {
            found.push(format!(
                "{} has {committed:?} committed at {}, more than its capacity",
                run.worker, run.start
            ));
        }
    }
}
