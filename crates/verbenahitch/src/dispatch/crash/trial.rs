//! Trials of suspects: where they start, and how many workers are risked at once.
//!
//! A suspect starts where least is lost if it is deadly. Nothing else starts there until its run
//! has settled or ended, so that what it does is blamed on no other task. When many workers
//! are lost at once there are more suspects than trials, nearly all of them sound: those
//! under which not more than one worker has crashed then share trials.

use std::cmp::Reverse;

use super::super::assign::{AssignPass, Waiting};
use super::super::place::AssignmentRequest;
use super::super::table::Task;
use super::{Dispatcher, Millis, Monotonic, TaskId, WorkerKey, is_settled};
use crate::collections::HashMap;

/// Fraction of the usable workers that trials may risk at once, rounded up.
const RISK_DIVISOR: usize = 8;

/// Wait after which a suspect may share a trial, in milliseconds: standing tasks of lost
/// workers have to run again within a few seconds.
const SHARE_WAIT_MS: Millis = 1_500;

/// Number of suspects that share a trial at most.
const SHARED_MAX: usize = 8;

/// Number of crashes from which on a task is tried alone.
const ALONE_CRASHES: u32 = 2;

/// Age up to which an incarnation may be lost again soon, in milliseconds: workers that go down
/// by turns are up for a few seconds.
const FRESH_MS: Millis = 10_000;

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
    /// Number of workers that may be risked at once.
    limit: usize,
}

impl Trials {
    fn begin(&mut self, worker: WorkerKey, is_alone: bool) {
        let trial = self.by_worker.entry(worker).or_default();
        trial.suspects += 1;
        trial.is_closed |= is_alone;
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
                    trials.begin(run.worker, task.crashes >= ALONE_CRASHES);
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
        suspects.sort_by_key(|at| Reverse(self.task(*at).map_or(0, |task| task.crashes)));
        (suspects, others)
    }

    fn task(&self, at: TaskId) -> Option<&Task> {
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
        let (is_alone, avoid) = (task.crashes >= ALONE_CRASHES, task.avoid);
        let since = self.suspects.get(&at);
        let has_waited = since.is_some_and(|since| pass.now.since(*since) >= SHARE_WAIT_MS);
        let may_share = !is_alone && has_waited;
        let worker = if pass.trials.by_worker.len() < pass.trials.limit {
            self.least_risk(pass.in_pool(pool), request, avoid, pass)
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
            pass.is_untriable = true;
            return;
        };
        pass.per_worker.add(worker);
        self.assign_task(at, worker, pass.now);
        pass.trials.begin(worker, is_alone);
        pass.take_usable(pool, worker);
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
            if pass.has_no_room(key, request.step) {
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
