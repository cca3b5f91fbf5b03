//! Trials of suspects: where they start, and how many workers are risked at once.
//!
//! A suspect starts where least is lost if it is deadly. Nothing else starts there until its run
//! has settled or ended, so that what it does is blamed on no other task. When many workers
//! are lost one by one there may be more suspects than trials, nearly all of them sound: those
//! with one unexplained crash then share trials. Tasks with several crashes that wider losses
//! explain are most likely sound, and many: they are only kept apart from each other and from trials.

use std::cmp::Reverse;

use super::super::assign::{AssignPass, Waiting};
use super::super::place::AssignmentRequest;
use super::super::table::Task;
use super::{Dispatcher, Millis, Monotonic, TaskId, WorkerKey, is_settled};
use crate::collections::{HashMap, HashSet};

/// Fraction of the usable workers that trials may risk at once, rounded up.
const RISK_DIVISOR: usize = 8;

/// Wait after which a suspect may share a trial, in milliseconds: standing tasks of lost
/// workers have to run again within a few seconds.
const SHARE_WAIT_MS: Millis = 1_500;

/// Number of suspects that share a trial at most.
const SHARED_MAX: usize = 8;

/// Number of unexplained crashes from which on a task is tried alone.
const ALONE_CRASHES: u32 = 2;

/// Age up to which an incarnation may be lost again soon, in milliseconds: workers that go down
/// by turns are up for a few seconds.
const FRESH_MS: Millis = 10_000;

/// How far a suspect is kept from other tasks until its run has settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Isolation {
    /// From other suspects.
    Apart,
    /// From all tasks but suspects that may share its trial.
    Shared,
    /// From all tasks.
    Alone,
}

impl Isolation {
    fn of(task: &Task) -> Self {
        match task.unexplained_losses() {
            0 => Self::Apart,
            1..ALONE_CRASHES => Self::Shared,
            ALONE_CRASHES.. => Self::Alone,
        }
    }
}

/// Trial on a worker.
#[derive(Debug, Default)]
struct Trial {
    suspects: usize,
    /// Whether one of its suspects is to be tried alone.
    is_closed: bool,
}

impl Trial {
    fn admits_more(&self) -> bool {
        !self.is_closed && self.suspects < SHARED_MAX
    }
}

/// Trials in progress during an assignment pass.
#[derive(Debug, Default)]
pub(in crate::dispatch) struct Trials {
    by_worker: HashMap<WorkerKey, Trial>,
    /// Usable workers with a trial, on which nothing else starts.
    pub usable: Vec<WorkerKey>,
    /// Workers with a young run of a suspect that is kept apart from others only.
    apart: HashSet<WorkerKey>,
    /// Number of workers that may be risked at once.
    limit: usize,
}

impl Trials {
    fn begin(&mut self, worker: WorkerKey, isolation: Isolation) {
        match isolation {
            Isolation::Apart => {
                self.apart.insert(worker);
            }
            Isolation::Shared | Isolation::Alone => {
                let trial = self.by_worker.entry(worker).or_default();
                trial.suspects += 1;
                trial.is_closed |= isolation == Isolation::Alone;
            }
        }
    }
}

/// What a crash of a worker would cost, in the order of weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Risk {
    /// Whether it is the worker that crashed under the task last.
    is_avoided: bool,
    standing: usize,
    /// Whether the worker was lost lately and may be lost again.
    is_fresh: bool,
    runs: usize,
}

impl Dispatcher {
    /// Trials in progress, whose workers are taken from the usable ones.
    pub(in crate::dispatch) fn trials(&self, usable: &mut Vec<WorkerKey>) -> Trials {
        let mut trials = Trials {
            limit: usable.len().div_ceil(RISK_DIVISOR),
            ..Trials::default()
        };
        for at in self.suspects.keys() {
            let Some(task) = self.task(*at) else {
                continue;
            };
            for run in task.runs.iter().filter_map(|key| self.runs.get(*key)) {
                if !is_settled(run) {
                    trials.begin(run.worker, Isolation::of(task));
                }
            }
        }
        let on_trial = |key: &mut WorkerKey| trials.by_worker.contains_key(key);
        trials.usable = usable.extract_if(.., on_trial).collect();
        trials
    }

    /// Separates the waiting suspects of a step from its other waiting tasks. A suspect gets no
    /// copy.
    pub(in crate::dispatch) fn split_suspects(
        &self,
        step: &Waiting,
        waiting: Vec<(u32, Option<WorkerKey>)>,
    ) -> (Vec<TaskId>, Vec<(u32, Option<WorkerKey>)>) {
        if self.suspects.is_empty() {
            return (Vec::new(), waiting);
        }
        let is_suspect = |(index, _): &(u32, _)| self.suspects.contains_key(&step.task(*index));
        let (suspects, others): (Vec<_>, Vec<_>) = waiting.into_iter().partition(is_suspect);
        let is_idle = |at: &TaskId| self.task(*at).is_some_and(|task| task.runs.is_empty());
        let suspects = suspects.into_iter().map(|(index, _)| step.task(index));
        let mut suspects: Vec<TaskId> = suspects.filter(is_idle).collect();
        // The verdict on a task that is nearly given up spares the others of its job their trials.
        let unexplained = |at: &TaskId| self.task(*at).map_or(0, Task::unexplained_losses);
        suspects.sort_by_key(|at| Reverse(unexplained(at)));
        if self.has_lone_trial(step) {
            suspects.clear();
        } else if suspects
            .first()
            .is_some_and(|at| unexplained(at) >= ALONE_CRASHES)
        {
            suspects.truncate(1);
        }
        (suspects, others)
    }

    /// Whether a task of the step is tried alone.
    fn has_lone_trial(&self, step: &Waiting) -> bool {
        let at = step.task(0);
        let job = self.jobs.get(&at.job);
        let tasks = job.and_then(|job| job.tasks(at.round, at.step));
        let mut alone = tasks
            .into_iter()
            .flatten()
            .filter(|task| task.unexplained_losses() >= ALONE_CRASHES);
        alone.any(|task| {
            let mut runs = task.runs.iter().filter_map(|key| self.runs.get(*key));
            runs.any(|run| !is_settled(run))
        })
    }

    /// Task, if its round has begun.
    pub(super) fn task(&self, at: TaskId) -> Option<&Task> {
        self.jobs.get(&at.job)?.task(at.round, at.step, at.index)
    }

    /// Starts a suspect where least is at risk: on a worker of its own if another one may be
    /// risked, else with other suspects.
    pub(in crate::dispatch) fn start_trial(
        &mut self,
        at: TaskId,
        pool: usize,
        request: &AssignmentRequest<'_>,
        pass: &mut AssignPass,
    ) {
        if pass.is_untriable {
            return;
        }
        let Some(task) = self.task(at) else {
            return;
        };
        let (isolation, avoid) = (Isolation::of(task), task.avoid);
        let since = self.suspects.get(&at);
        let has_waited = since.is_some_and(|since| pass.now.since(*since) >= SHARE_WAIT_MS);
        let may_share = isolation == Isolation::Shared && has_waited;
        let is_free =
            isolation == Isolation::Apart || pass.trials.by_worker.len() < pass.trials.limit;
        let worker = if is_free {
            let has_no_suspect = |key: &&WorkerKey| !pass.trials.apart.contains(*key);
            let free: Vec<WorkerKey> = pass
                .in_pool(pool)
                .iter()
                .filter(has_no_suspect)
                .copied()
                .collect();
            self.least_risk(&free, request, avoid, pass)
        } else if may_share {
            // A worker that may have crashed already proves nothing on those that join.
            let is_open = |key: &&WorkerKey| {
                let trial = pass.trials.by_worker.get(*key);
                let worker = &self.workers[**key];
                trial.is_some_and(Trial::admits_more)
                    && !worker.may_have_restarted()
                    && worker.info.pool == pass.pool_name(pool)
            };
            let open = pass.trials.usable.iter().filter(is_open);
            let open: Vec<WorkerKey> = open.copied().collect();
            self.least_risk(&open, request, avoid, pass)
        } else {
            return;
        };
        let Some(worker) = worker else {
            // That no trial can be shared does not say that no worker has room.
            pass.is_untriable |= is_free;
            return;
        };
        pass.per_worker.add(worker);
        self.assign_task(at, worker, pass.now);
        // Other tasks may start there too.
        pass.update_room(worker, &self.workers[worker]);
        pass.trials.begin(worker, isolation);
        if isolation != Isolation::Apart {
            pass.take_usable(pool, worker);
        }
    }

    /// Worker where a task fits and a crash would cost least.
    fn least_risk(
        &mut self,
        workers: &[WorkerKey],
        request: &AssignmentRequest<'_>,
        avoid: Option<WorkerKey>,
        pass: &AssignPass,
    ) -> Option<WorkerKey> {
        let mut best: Option<(Risk, WorkerKey)> = None;
        for key in workers.iter().copied() {
            if pass.has_no_room(key, request) {
                continue;
            }
            let found = (self.risk_of(key, avoid, pass.now), key);
            let same_step = pass.per_worker.on(key);
            if best.is_none_or(|best| found < best) && self.cost(key, request, same_step).is_ok() {
                best = Some(found);
            }
        }
        best.map(|(_, key)| key)
    }

    fn risk_of(&self, key: WorkerKey, avoid: Option<WorkerKey>, now: Monotonic) -> Risk {
        let worker = &self.workers[key];
        let session = worker.session.as_ref();
        Risk {
            is_avoided: avoid == Some(key),
            standing: worker.standing,
            is_fresh: session.is_none_or(|session| now.since(session.began_at) < FRESH_MS),
            runs: worker.runs.len(),
        }
    }
}
