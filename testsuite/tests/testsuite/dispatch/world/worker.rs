//! Simulated worker that carries out orders.

use std::collections::BTreeMap;

use verbenahitch::dispatch::{EndCause, EndedEntry, JobId, JobSpec, TaskId, WorkerInfo};
use verbenahitch::domain::Millis;

pub struct FakeRun {
    pub task: TaskId,
    pub run: u32,
    pub worked_ms: f64,
    pub pace: u8,
}

#[derive(Default)]
pub struct FakeWorker {
    pub info: WorkerInfo,
    pub runs: Vec<FakeRun>,
    pub ended: Vec<EndedEntry>,
    pub last_end: u64,
    pub fence: u64,
    pub lease_end: Millis,
    /// Answers no calls; its runs continue.
    pub silent: bool,
    /// Carries out starts without answering them.
    pub drops_start_answers: bool,
    pub failing: bool,
    pub speed: f64,
}

impl FakeWorker {
    pub fn tasks(&self) -> Vec<TaskId> {
        self.runs.iter().map(|run| run.task).collect()
    }

    pub fn end(&mut self, task: TaskId, cause: EndCause) {
        let Some(index) = self.runs.iter().position(|run| run.task == task) else {
            return;
        };
        let run = self.runs.remove(index);
        self.last_end += 1;
        self.ended.push(EndedEntry {
            sequence: self.last_end,
            task,
            run: run.run,
            cause,
            checkpoint: String::new(),
        });
    }

    /// Cores that its runs commit; fillers commit none.
    pub fn committed(&self, specs: &BTreeMap<JobId, JobSpec>) -> u64 {
        let spec = |run: &FakeRun| &specs[&run.task.job].steps[run.task.step as usize];
        let cores = |run: &FakeRun| {
            if spec(run).filler {
                0
            } else {
                spec(run).amount.cpu_milli / 1_000
            }
        };
        self.runs.iter().map(cores).sum()
    }
}
