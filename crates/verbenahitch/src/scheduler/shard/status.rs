//! State of the shard, for operators.

use super::Shard;
use super::job::Phase;
use crate::domain::{JobKey, Resources};
use crate::scheduler::{ShardStatus, WorkerStatus};

impl Shard {
    /// State of the shard at the last step.
    pub fn status(&self) -> ShardStatus {
        let now = self.last_step;
        let mut workers: Vec<WorkerStatus> = self
            .workers
            .iter()
            .map(|(key, worker)| WorkerStatus {
                name: worker.host.name.clone(),
                state: worker.describe(now),
                running: count(worker.runs.len()),
                committed_percent: percent_committed(
                    self.placer.capacity(key),
                    self.placer.free(key),
                ),
            })
            .collect();
        workers.sort_by(|a, b| a.name.cmp(&b.name));
        ShardStatus {
            shard: self.name.clone(),
            owner: self.params.owner.clone(),
            epoch: self.owned.map_or(0, |owned| owned.epoch),
            permitted: self.permitted,
            queued: self.queued(),
            running: count(self.runs.len()),
            workers,
            pressures: self.pressures(),
        }
    }

    fn queued(&self) -> u32 {
        self.jobs
            .values()
            .map(|job| {
                let ended_or_running = job.record.ended.len() + job.running;
                job.record.spec.tasks.saturating_sub(ended_or_running)
            })
            .sum()
    }

    /// Explanation of a task's state and placement.
    pub(super) fn explain(&self, key: JobKey, index: u32) -> String {
        let job = &self.jobs[key];
        if index >= job.record.spec.tasks {
            return format!("the job has {} tasks, from 0", job.record.spec.tasks);
        }
        if let Some(outcome) = job.record.ended.get(index) {
            return format!("ended: {outcome:?}");
        }
        let Some(phase) = job.phases.get(&index) else {
            return "waits for its turn".to_owned();
        };
        match phase {
            Phase::Marking => "waits for the store to hold its mark".to_owned(),
            Phase::Ready => "waits for a worker with room".to_owned(),
            Phase::Requeueing(run) => {
                format!("run {run} has ended; waits for the store to hold its checkpoint")
            }
            Phase::Delayed => "failed, waits for its next attempt".to_owned(),
            Phase::Unclear => {
                "an earlier owner may have started it; waits for the workers' reports".to_owned()
            }
            Phase::Running(run) => self.explain_run(*run),
        }
    }

    fn explain_run(&self, run: u64) -> String {
        let Some(found) = self.runs.get(&run) else {
            return format!("run {run}");
        };
        let worker = &self.workers[found.worker].host.name;
        let evicting = if found.evicting {
            ", being evicted"
        } else {
            ""
        };
        format!(
            "run {run} on {worker}{evicting}, chosen because: {}; newest checkpoint at {} ms",
            found.reason, found.checkpoint_ms
        )
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

fn percent_committed(capacity: Resources, free: Resources) -> u32 {
    let used = capacity.millicores.saturating_sub(free.millicores);
    let percent = used * 100 / capacity.millicores.max(1);
    u32::try_from(percent).unwrap_or(u32::MAX)
}
