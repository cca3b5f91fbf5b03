//! Workers that crash: under certain jobs' tasks, or by themselves.

use std::collections::{BTreeMap, BTreeSet};

use verbenahitch::dispatch::{JobId, TaskId};
use verbenahitch::domain::Millis;

use super::World;

/// How the tasks of a job crash the workers that start them.
#[derive(Clone, Copy, Debug)]
pub struct Deadly {
    /// Time from the start to the crash; none: the start gets no answer.
    pub delay_ms: Option<Millis>,
    /// Time until the worker is back.
    pub down_ms: Millis,
    /// Whether it is back under a new name.
    pub is_renamed: bool,
}

/// Lost for good.
pub const NEVER_BACK: Deadly = Deadly {
    delay_ms: None,
    down_ms: Millis::MAX / 4,
    is_renamed: false,
};

/// Crash of a worker.
#[derive(Clone, Debug)]
pub struct Crash {
    pub at: Millis,
    /// What it ran.
    pub tasks: Vec<TaskId>,
}

/// Crashes to come, and past ones.
#[derive(Default)]
pub struct Crashes {
    pub deadly: BTreeMap<JobId, Deadly>,
    pub past: Vec<Crash>,
    /// Time, worker, its incarnation, and how it crashes.
    due: Vec<(Millis, String, u64, Deadly)>,
    /// Time and earlier name of workers that come back under a new one.
    back: Vec<(Millis, String)>,
}

impl World {
    /// Crashes a worker that has begun a run of a deadly job, or lets it crash later; returns
    /// whether it has crashed before an answer.
    pub(super) fn start_deadly(&mut self, name: &str, job: JobId) -> bool {
        let Some(&deadly) = self.crashes.deadly.get(&job) else {
            return false;
        };
        let Some(delay_ms) = deadly.delay_ms else {
            self.crash_worker(name, deadly);
            return true;
        };
        let life = self.workers[name].life.number;
        let due = (self.now + delay_ms, name.to_owned(), life, deadly);
        self.crashes.due.push(due);
        false
    }

    pub fn crash_worker(&mut self, name: &str, how: Deadly) {
        let now = self.now;
        let worker = self.workers.get_mut(name).unwrap();
        let crash = Crash {
            at: now,
            tasks: worker.tasks(),
        };
        self.crashes.past.push(crash);
        worker.restart(now, how.down_ms);
        if how.is_renamed {
            worker.replaced = true;
            worker.unlisted = true;
            self.crashes.back.push((now + how.down_ms, name.to_owned()));
            self.dispatcher.unlist_worker(name, self.clock().at);
        }
    }

    pub(super) fn execute_crashes(&mut self) {
        let now = self.now;
        for (_, name, life, how) in self
            .crashes
            .due
            .extract_if(.., |due| due.0 <= now)
            .collect::<Vec<_>>()
        {
            if self.workers[&name].life.number == life {
                self.crash_worker(&name, how);
            }
        }
        for (_, name) in self
            .crashes
            .back
            .extract_if(.., |back| back.0 <= now)
            .collect::<Vec<_>>()
        {
            self.add_successor(&name);
        }
    }

    /// Adds the worker that takes the address of a crashed one, and answers as that did.
    fn add_successor(&mut self, name: &str) {
        let earlier = &self.workers[name];
        let (address, labels) = (earlier.address.clone(), earlier.info.labels.clone());
        let (delay, drops_answers) = (earlier.order_delay, earlier.drops_start_answers);
        let refuses_starts = earlier.refuses_starts;
        let name = format!("{name}x");
        self.add_worker_at(&name, &address, 16);
        let worker = self.workers.get_mut(&name).unwrap();
        worker.order_delay = delay;
        worker.drops_start_answers = drops_answers;
        worker.refuses_starts = refuses_starts;
        worker.info.labels = labels;
        let info = worker.info.clone();
        self.dispatcher.upsert_worker(info, self.clock().at);
    }

    /// Tasks that were started a third time or more after a third crash under them.
    pub fn overspent(&self) -> BTreeSet<TaskId> {
        let tasks: BTreeSet<TaskId> = self.starts.iter().map(|start| start.task).collect();
        let is_overspent = |task: &TaskId| {
            let past = self.crashes.past.iter();
            let third = past.filter(|crash| crash.tasks.contains(task)).nth(2);
            let after = |at| {
                let starts = self.starts.iter();
                starts
                    .filter(|start| start.task == *task && start.at > at)
                    .count()
            };
            third.is_some_and(|crash| after(crash.at) >= 3)
        };
        tasks.into_iter().filter(is_overspent).collect()
    }
}
