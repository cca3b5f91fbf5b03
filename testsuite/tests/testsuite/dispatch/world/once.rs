//! Check that each task runs once: never two runs at a time, and none after an end that was
//! acknowledged as done.

use std::collections::{BTreeMap, BTreeSet};

use verbenahitch::dispatch::TaskId;
use verbenahitch::domain::Millis;

use super::FakeWorker;

/// Starts and acknowledged ends of all tasks.
#[derive(Default)]
pub struct RunLedger {
    /// Runs that are done.
    done: BTreeSet<(TaskId, u32)>,
    noted: BTreeSet<TaskId>,
    /// Runs after whose end their task was started.
    repeated: BTreeSet<(TaskId, u32)>,
    /// Tasks that have two runs now.
    double: BTreeSet<TaskId>,
    violations: Vec<String>,
}

impl RunLedger {
    pub fn run_started(&mut self, now: Millis, task: TaskId) {
        if self.noted.contains(&task) {
            let violation = format!("{now}: {task} started after its end was noted");
            self.violations.push(violation);
        } else {
            let done = self.done.range((task, 0)..=(task, u32::MAX));
            self.repeated.extend(done);
        }
    }

    pub fn run_done(&mut self, task: TaskId, run: u32) {
        self.done.insert((task, run));
    }

    /// Records that the end of a run is acknowledged. A run whose end was lost with its worker may
    /// be followed by another one.
    pub fn end_noted(&mut self, now: Millis, task: TaskId, run: u32) {
        self.noted.insert(task);
        if self.repeated.contains(&(task, run)) {
            let violation = format!("{now}: {task} started after an end that is noted now");
            self.violations.push(violation);
        }
    }

    /// Checks that no task has two runs now.
    pub fn check_single<'a>(&mut self, now: Millis, workers: impl Iterator<Item = &'a FakeWorker>) {
        let mut counts: BTreeMap<TaskId, Vec<&str>> = BTreeMap::new();
        for worker in workers {
            for task in worker.tasks() {
                counts.entry(task).or_default().push(&worker.info.name);
            }
        }
        let is_double = |(_, names): &(&TaskId, &Vec<&str>)| names.len() > 1;
        let double: BTreeSet<TaskId> = counts.iter().filter(is_double).map(|(t, _)| *t).collect();
        for task in double.difference(&self.double) {
            let names = counts[task].join(" and ");
            let violation = format!("{now}: two runs of {task} at the same time, on {names}");
            self.violations.push(violation);
        }
        self.double = double;
    }

    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// # Panics
    ///
    /// When a task has run more often than it should.
    pub fn assert_once(&self) {
        assert!(self.violations.is_empty(), "{:#?}", self.violations);
    }
}
