//! What workers and the store saw, and the promises that it is held against.

use std::collections::{BTreeMap, BTreeSet};

use verbenahitch::domain::{JobId, Millis, Resources, TaskId, TaskOutcome};
use verbenahitch::port::EndKind;

/// One thing that happened, with its time.
#[derive(Clone, Debug)]
pub struct Fact {
    pub at: Millis,
    pub seen: Seen,
}

#[derive(Clone, Debug)]
pub enum Seen {
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
    /// The store holds the outcome of a task.
    Stored {
        task: TaskId,
        outcome: TaskOutcome,
    },
    /// The store holds a checkpoint of a task.
    Kept {
        task: TaskId,
        progress_ms: Millis,
    },
    /// A worker was told to forget a run that ended with `kind`.
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
struct Life {
    worker: String,
    run: u64,
    resources: Resources,
    from: Millis,
    to: Millis,
    resumed_ms: Millis,
    kind: Option<EndKind>,
    checkpoint_ms: Millis,
}

/// Record of a session.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub facts: Vec<Fact>,
}

impl History {
    pub fn note(&mut self, at: Millis, seen: Seen) {
        self.facts.push(Fact { at, seen });
    }

    /// Number of runs that were started.
    pub fn starts(&self) -> usize {
        self.lives().values().map(Vec::len).sum()
    }

    /// Violations of the promises, in words.
    ///
    /// `unrepeatable` says which tasks are not idempotent, `capacity` is that of each worker.
    pub fn violations(
        &self,
        unrepeatable: impl Fn(&TaskId) -> bool,
        capacity: Resources,
        permit_ms: Millis,
    ) -> Vec<String> {
        let lives = self.lives();
        let mut found = Vec::new();
        for (task, lives) in &lives {
            overlaps(task, lives, &mut found);
            if unrepeatable(task) {
                repeats(task, lives, &mut found);
            }
        }
        self.lost_progress(&mut found);
        self.early_acks(&mut found);
        self.starts_after_end(&mut found);
        self.starts_after_zone_out(permit_ms, &mut found);
        overcommits(&lives, capacity, &mut found);
        found
    }

    /// Tasks that the store says are done and no worker ran to the end.
    pub fn unfounded(&self) -> Vec<TaskId> {
        let done: BTreeSet<&TaskId> = self
            .facts
            .iter()
            .filter_map(|fact| match &fact.seen {
                Seen::Ended { task, kind, .. } if *kind == Some(EndKind::Done) => Some(task),
                _ => None,
            })
            .collect();
        self.facts
            .iter()
            .filter_map(|fact| match &fact.seen {
                Seen::Stored { task, outcome } if *outcome == TaskOutcome::Done => Some(task),
                _ => None,
            })
            .filter(|task| !done.contains(task))
            .cloned()
            .collect()
    }

    fn lives(&self) -> BTreeMap<TaskId, Vec<Life>> {
        let mut lives: BTreeMap<TaskId, Vec<Life>> = BTreeMap::new();
        for fact in &self.facts {
            match &fact.seen {
                Seen::Started {
                    worker,
                    run,
                    task,
                    resources,
                    checkpoint_ms,
                } => lives.entry(task.clone()).or_default().push(Life {
                    worker: worker.clone(),
                    run: *run,
                    resources: *resources,
                    from: fact.at,
                    to: Millis::MAX,
                    resumed_ms: *checkpoint_ms,
                    kind: None,
                    checkpoint_ms: *checkpoint_ms,
                }),
                Seen::Ended {
                    worker,
                    run,
                    task,
                    kind,
                    checkpoint_ms,
                } => {
                    let lives = lives.get_mut(task).expect("a run ends after its start");
                    let life = lives
                        .iter_mut()
                        .find(|life| life.worker == *worker && life.run == *run)
                        .expect("a run ends after its start");
                    life.to = fact.at;
                    life.kind = *kind;
                    life.checkpoint_ms = *checkpoint_ms;
                }
                _ => {}
            }
        }
        for lives in lives.values_mut() {
            lives.sort_by_key(|life| life.from);
        }
        lives
    }

    /// Work resumes from the newest checkpoint that the store holds, or a newer one.
    fn lost_progress(&self, found: &mut Vec<String>) {
        let mut kept = BTreeMap::new();
        for fact in &self.facts {
            match &fact.seen {
                Seen::Kept { task, progress_ms } => {
                    kept.insert(task, *progress_ms);
                }
                Seen::Started {
                    task,
                    checkpoint_ms,
                    ..
                } if kept.get(task).is_some_and(|kept| checkpoint_ms < kept) => {
                    let kept = kept[task];
                    found.push(format!(
                        "{task} has a checkpoint at {kept} ms of work, resumed from {checkpoint_ms} ms"
                    ));
                }
                _ => {}
            }
        }
    }

    /// Nothing is forgotten by a worker before the store holds what follows from it.
    fn early_acks(&self, found: &mut Vec<String>) {
        let (mut kept, mut newest) = (BTreeMap::new(), BTreeMap::new());
        let (mut stored, mut moved) = (BTreeSet::new(), BTreeSet::new());
        for fact in &self.facts {
            match &fact.seen {
                Seen::Started { task, run, .. } => {
                    newest.insert(task, *run);
                }
                Seen::Kept { task, progress_ms } => {
                    kept.insert(task, *progress_ms);
                }
                Seen::Stored { task, .. } => {
                    stored.insert(task);
                }
                Seen::Moved(job) => {
                    moved.insert(job);
                }
                Seen::Acked {
                    task,
                    run,
                    kind,
                    checkpoint_ms,
                } => {
                    let covered = stored.contains(task) || moved.contains(&task.job);
                    let held = match kind {
                        EndKind::Done => false,
                        EndKind::Evicted | EndKind::Lapsed => {
                            newest[task] > *run
                                || kept.get(task).is_some_and(|kept| kept >= checkpoint_ms)
                        }
                        EndKind::Failed | EndKind::Stopped => true,
                    };
                    if !covered && !held {
                        found.push(format!("{task} was {kind:?}, forgotten and not stored"));
                    }
                }
                _ => {}
            }
        }
    }

    fn starts_after_end(&self, found: &mut Vec<String>) {
        let mut ended = BTreeSet::new();
        for fact in &self.facts {
            match &fact.seen {
                Seen::Stored { task, .. } => {
                    ended.insert(task);
                }
                Seen::Started { task, run, .. } if ended.contains(task) => {
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
        for fact in &self.facts {
            match &fact.seen {
                Seen::ZoneOut => out = Some(fact.at),
                Seen::ZoneIn => out = None,
                Seen::Started { task, .. } if out.is_some_and(|at| fact.at > at + permit_ms) => {
                    found.push(format!("{task} started at {} in a zone taken out", fact.at));
                }
                _ => {}
            }
        }
    }
}

fn overlaps(task: &TaskId, lives: &[Life], found: &mut Vec<String>) {
    for pair in lives.windows(2) {
        if pair[1].from < pair[0].to {
            found.push(format!(
                "{task} ran as {:x} on {} and as {:x} on {} at once, from {}",
                pair[0].run, pair[0].worker, pair[1].run, pair[1].worker, pair[1].from
            ));
        }
    }
}

/// A task that is not idempotent goes on only where a checkpoint left off.
fn repeats(task: &TaskId, lives: &[Life], found: &mut Vec<String>) {
    for pair in lives.windows(2) {
        let paused = matches!(pair[0].kind, Some(EndKind::Evicted | EndKind::Lapsed));
        if !paused || pair[1].resumed_ms != pair[0].checkpoint_ms {
            found.push(format!(
                "{task} is not idempotent, ended as {:?} at {} ms of work, ran again from {} ms",
                pair[0].kind, pair[0].checkpoint_ms, pair[1].resumed_ms
            ));
        }
    }
}

fn overcommits(lives: &BTreeMap<TaskId, Vec<Life>>, capacity: Resources, found: &mut Vec<String>) {
    let all: Vec<&Life> = lives.values().flatten().collect();
    for life in &all {
        let held = all
            .iter()
            .filter(|other| other.worker == life.worker)
            .filter(|other| other.from <= life.from && life.from < other.to)
            .fold(Resources::ZERO, |sum, other| sum + other.resources);
        if !held.fits(capacity) {
            found.push(format!("{} holds {held:?} at {}", life.worker, life.from));
        }
    }
}
