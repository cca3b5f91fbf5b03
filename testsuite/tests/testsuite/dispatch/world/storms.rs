//! Series of losses of workers that aim at no task, and what they did to the tasks.

use std::collections::BTreeSet;

use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use verbenahitch::dispatch::{JobId, JobState, TaskId};
use verbenahitch::domain::Millis;

use super::{Deadly, World};

/// Age from which a run is no suspect any more, in milliseconds: lists come every 0.7 s, and have to
/// show it for 0.5 s after the confirmation of its start.
const OLD_MS: Millis = 3_000;

/// Crashes in a row under a task from which a sound job may be failed while workers are lost.
const FAILABLE_CRASHES: usize = 5;

/// Parts of the fleet that are lost one after the other.
#[derive(Clone, Copy, Debug)]
pub struct Storm {
    /// Which part of the workers is lost at once: one of so many.
    pub divisor: usize,
    pub every_ms: Millis,
    pub length_ms: Millis,
    pub how: Deadly,
    /// Whether those that are lost at once share racks.
    pub by_rack: bool,
}

impl World {
    /// Puts the workers into racks of `size`.
    pub fn rack_workers(&mut self, size: usize) {
        for (number, worker) in self.workers.values_mut().enumerate() {
            let rack = format!("rack-{}", number / size);
            worker.info.labels = vec!["kind".to_owned(), rack];
        }
        self.send_registry();
    }

    /// Names of the workers that are up, with their racks.
    fn workers_up(&self) -> Vec<(String, String)> {
        let up = self
            .workers
            .values()
            .filter(|worker| !worker.replaced && worker.down_until <= self.now);
        up.map(|worker| {
            let rack = worker.info.labels.get(1).cloned().unwrap_or_default();
            (worker.info.name.clone(), rack)
        })
        .collect()
    }

    /// Crashes a part of the workers.
    pub fn lose_part(&mut self, storm: &Storm, rng: &mut ChaCha8Rng) {
        let mut up = self.workers_up();
        up.shuffle(rng);
        if storm.by_rack {
            let racks: Vec<String> = up.iter().map(|(_, rack)| rack.clone()).collect();
            let first = |rack: &String| racks.iter().position(|other| other == rack);
            up.sort_by_key(|(_, rack)| first(rack));
        }
        let count = (up.len() / storm.divisor).max(1);
        for (name, _) in up.iter().take(count) {
            self.crash_worker(name, storm.how);
        }
    }

    /// Name of the worker on which the store is just being told of a run of a job.
    pub fn recorded_worker(&self, id: JobId) -> Option<String> {
        let write = self.writing.iter().find(|write| write.job == id)?;
        let mut runs = write.record.tasks.iter().flat_map(|task| &task.runs);
        runs.next().map(|run| run.1.clone())
    }

    /// Most crashes in a row of workers on which a young run of the task had begun.
    fn crash_row(&self, task: TaskId) -> usize {
        let (mut row, mut most) = (0, 0);
        for crash in &self.crashes.past {
            if !crash.tasks.contains(&task) {
                continue;
            }
            let mut starts = self.starts.iter();
            let begun = starts.rfind(|start| start.task == task && start.at <= crash.at);
            let is_old = begun.is_none_or(|start| start.at + OLD_MS <= crash.at);
            row = if is_old { 0 } else { row + 1 };
            most = most.max(row);
        }
        most
    }

    /// Jobs without a deadly task that are shown as failed, but for those under one of whose tasks
    /// so many workers have crashed in a row that they may be.
    pub fn wrongly_failed(&self) -> Vec<String> {
        let is_sound = |id: &&JobId| !self.crashes.deadly.contains_key(id);
        let failed = self.specs.keys().filter(is_sound);
        let failed = failed.filter(|id| self.state(**id) == Some(JobState::Failed));
        let mut wrongly = Vec::new();
        for id in failed {
            let tasks: BTreeSet<TaskId> = self.starts_of(*id).iter().map(|s| s.task).collect();
            let most = tasks.iter().map(|task| self.crash_row(*task)).max();
            let most = most.unwrap_or(0);
            if most < FAILABLE_CRASHES {
                wrongly.push(format!("job {} failed after {most} crashes in a row", id.0));
            }
        }
        wrongly
    }

    /// Whether jobs with a deadly task have not ended.
    pub fn has_deadly(&self) -> bool {
        let mut states = self.crashes.deadly.keys().map(|id| self.state(*id));
        states.any(|state| state.is_some_and(|state| !state.is_final()))
    }

    /// Jobs without a deadly task that have not completed, or lack standing tasks.
    pub fn sound_idle(&self) -> Vec<String> {
        let mut idle = Vec::new();
        for (id, spec) in &self.specs {
            let state = self.state(*id);
            if self.crashes.deadly.contains_key(id) || state == Some(JobState::Failed) {
                continue;
            }
            let standing = spec.steps.iter().filter(|step| step.standing);
            let wanted = standing.map(|step| step.count as usize).sum::<usize>();
            let runs = self.workers.values().flat_map(|worker| &worker.life.runs);
            let own = runs.filter(|run| run.task.job == *id);
            let at_work = own.map(|run| run.task).collect::<BTreeSet<_>>().len();
            let is_well = match state {
                Some(JobState::Running) => wanted > 0 && at_work == wanted,
                state => wanted == 0 && state == Some(JobState::Completed),
            };
            if !is_well {
                idle.push(format!("job {}: {state:?}, {at_work} runs", id.0));
            }
        }
        idle
    }
}
