//! Takeover: restores the jobs, runs and workers that an earlier owner recorded.

use std::sync::Arc;

use super::crash::{self, LapsedRun};
use super::report::{HomeRecord, ProgressRecord, RunRecord, TaskRecord};
use super::table::LastEnd;
use super::worker::{Listing, WorkerInfo, WorkerKey};
use super::{Dispatcher, JobId, JobRecord, JobState, Now, Phase, TaskId, Worker};
use crate::domain::Monotonic;

impl Dispatcher {
    /// Adds a job with its recorded progress.
    pub fn recover(
        &mut self,
        id: JobId,
        record: JobRecord,
        progress: Option<ProgressRecord>,
        now: Now,
    ) {
        self.insert_job(id, record, now);
        let Some(progress) = progress else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.state = progress.state;
        job.visible_state = progress.state;
        // An assignment may have been recorded without a start.
        job.has_started = progress.state != JobState::Queued;
        let last = progress.tasks.iter().map(|task| task.at.0).max();
        while job.rounds_begun <= last.unwrap_or(0) && job.rounds_begun < job.times() {
            job.begin_round();
        }
        for task in progress.tasks {
            self.recover_task(id, task, &progress.homes, now.at);
        }
        self.close_if_ended(id);
    }

    fn recover_task(
        &mut self,
        id: JobId,
        record: TaskRecord,
        homes: &[HomeRecord],
        now: Monotonic,
    ) {
        let (round, step, index) = record.at;
        let at = TaskId {
            job: id,
            round,
            step,
            index,
        };
        let Some(task) = self.task_mut(at) else {
            log::warn!("progress record of task {at} ignored: its job has no such task");
            return;
        };
        task.done = record.done;
        task.last_run = record.run;
        task.failed = record.failed;
        task.crashes = record.crashes;
        task.blamed = record.blamed;
        task.unexplained = record.unexplained;
        task.unproven = record.unproven;
        task.crashed_at = (record.crashes > 0).then_some(now);
        task.checkpoint = record.checkpoint;
        if record.run > 0 {
            task.last_end = LastEnd::Earlier;
        }
        if record.done
            && let Some(job) = self.jobs.get_mut(&id)
            && let Some(step) = job.step_mut(round, step)
        {
            step.remaining = step.remaining.saturating_sub(1);
        }
        if crash::is_suspect(record.crashes, record.unexplained) {
            self.suspect(at, now);
        }
        let home_of = |run: &RunRecord| {
            let is_home = |home: &&HomeRecord| home.0 == run.1 && home.1 == run.2;
            homes.iter().find(is_home).map_or("", |home| &home.2)
        };
        for run in record.lapsed {
            let home = home_of(&run);
            let lapsed = LapsedRun {
                number: run.0,
                worker: self.worker_named(&run.1, home),
                incarnation: run.2,
                home: Arc::from(home),
                is_ordered: record.begun.contains(&run.0),
                is_unexplained: false,
            };
            self.add_lapsed(at, lapsed, now);
        }
        let is_obsolete = record.done || self.is_job_final(id);
        // A late start of an earlier run may be recorded until it has ended.
        let is_speculative = self.spec_of(at).is_some_and(|spec| spec.speculative);
        let newest = record.runs.iter().map(|run| run.0).max();
        for run in record.runs {
            let home = home_of(&run);
            let worker = self.worker_named(&run.1, home);
            let key = self.insert_run(at, run.0, worker, now);
            let state = &mut self.runs[key];
            state.phase = Phase::Live;
            state.inherited = true;
            state.resumed = true;
            state.incarnation = run.2;
            state.home = Arc::from(home);
            state.bounded = record.bounded.contains(&run.0);
            state.is_marked = record.begun.contains(&run.0);
            state.has_settled = record.settled.contains(&run.0);
            let is_superseded = !is_speculative && Some(run.0) != newest;
            if is_obsolete || is_superseded {
                self.stop_run(key);
            }
            if let Some(task) = self.task_mut(at) {
                task.runs.push(key);
            }
        }
    }

    fn is_job_final(&self, id: JobId) -> bool {
        let state = self.jobs.get(&id).map(|job| job.state);
        state.is_some_and(JobState::is_final)
    }

    /// Worker of that name; one that is unknown is added unlisted, with that address.
    fn worker_named(&mut self, name: &str, address: &str) -> WorkerKey {
        if let Some(key) = self.worker_keys.get(name) {
            return *key;
        }
        self.add_unlisted(WorkerInfo {
            name: name.to_owned(),
            address: address.to_owned(),
            ..WorkerInfo::default()
        })
    }

    /// Adds a worker that the registry does not list.
    pub(super) fn add_unlisted(&mut self, info: WorkerInfo) -> WorkerKey {
        self.note_names(&info);
        let name = info.name.clone();
        let mut worker = Worker::new(info);
        worker.listing = Listing::Unknown;
        let key = self.workers.insert(worker);
        self.worker_keys.insert(name, key);
        key
    }
}
