//! Records for the store, and the effects of their commit.

use super::report::{HomeRecord, ProgressRecord, RunRecord, TaskRecord, Write};
use super::table::Job;
use super::worker::WorkerKey;
use super::{Dispatcher, JobId, Phase};
use crate::domain::Monotonic;
use crate::event::{Entry, Kind};

impl Dispatcher {
    /// Takes the records of up to `limit` changed jobs to write; none while a write is in
    /// progress or once fenced.
    pub fn take_writes(&mut self, limit: usize) -> Vec<Write> {
        if !self.writing.is_empty() || self.is_fenced {
            return Vec::new();
        }
        let mut ids = Vec::new();
        let held = &self.held_writes;
        self.dirty.retain(|id| {
            let is_taken = ids.len() < limit && !held.contains(id);
            if is_taken {
                ids.push(*id);
            }
            !is_taken
        });
        ids.into_iter()
            .filter_map(|id| self.begin_write(id))
            .collect()
    }

    /// Takes the record of a changed job, also of one that is left out of other writes.
    pub fn take_write(&mut self, id: JobId) -> Option<Write> {
        if !self.writing.is_empty() || self.is_fenced {
            return None;
        }
        let at = self.dirty.iter().position(|other| *other == id)?;
        self.dirty.remove(at);
        self.begin_write(id)
    }

    fn begin_write(&mut self, id: JobId) -> Option<Write> {
        let job = self.jobs.get(&id)?;
        let write = Write {
            job: id,
            version: job.version,
            record: self.progress_record(job),
        };
        self.writing.insert(id, write.version);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.is_dirty = false;
        }
        Some(write)
    }

    /// Marks writes that were taken as not stored: they are to be taken again.
    pub fn return_writes(&mut self, ids: impl IntoIterator<Item = JobId>) {
        let mut returned = Vec::new();
        for id in ids {
            if self.writing.remove(&id).is_none() {
                continue;
            }
            if let Some(job) = self.jobs.get_mut(&id)
                && !job.is_dirty
            {
                job.is_dirty = true;
                returned.push(id);
            }
        }
        // They were taken before those that have changed since.
        self.dirty.splice(0..0, returned);
    }

    /// Sets whether [`Self::take_writes`] leaves out a job.
    pub fn hold_write(&mut self, id: JobId, is_held: bool) {
        if is_held {
            self.held_writes.insert(id);
        } else {
            self.held_writes.remove(&id);
        }
    }

    fn progress_record(&self, job: &Job) -> ProgressRecord {
        let mut tasks = Vec::new();
        for round in &job.rounds {
            for (step, (state, _)) in (0u32..).zip(round.steps.iter().zip(&job.record.spec.steps)) {
                for (index, task) in (0u32..).zip(state.tasks()) {
                    // Only tasks with an assignment have a record.
                    if task.last_run == 0 {
                        continue;
                    }
                    let runs = task.runs.iter().filter_map(|key| self.runs.get(*key));
                    let lapsed = task.lapsed.iter().filter(|run| run.is_ordered);
                    let lapsed = lapsed.map(|run| run.number);
                    tasks.push(TaskRecord {
                        at: (round.number, step, index),
                        done: task.done,
                        run: task.last_run,
                        failed: task.failed,
                        bounded: runs
                            .clone()
                            .filter(|run| run.bounded)
                            .map(|run| run.number)
                            .collect(),
                        begun: runs
                            .clone()
                            .filter(|run| !run.has_settled && run.begin().is_ordered())
                            .map(|run| run.number)
                            .chain(lapsed)
                            .collect(),
                        settled: runs
                            .clone()
                            .filter(|run| run.has_settled)
                            .map(|run| run.number)
                            .collect(),
                        crashes: task.crashes,
                        blamed: task.blamed.clone(),
                        unexplained: task.unexplained,
                        unproven: task.unproven,
                        runs: runs
                            .map(|run| {
                                let worker = &self.workers[run.worker];
                                let name = worker.info.name.clone();
                                let incarnation = match run.incarnation {
                                    0 => worker.incarnation(),
                                    known => known,
                                };
                                RunRecord(run.number, name, incarnation)
                            })
                            .collect(),
                        lapsed: task
                            .lapsed
                            .iter()
                            .filter_map(|run| {
                                let name = self.workers.get(run.worker)?.info.name.clone();
                                Some(RunRecord(run.number, name, run.incarnation))
                            })
                            .collect(),
                        // A task that is done does not resume.
                        checkpoint: if task.done {
                            String::new()
                        } else {
                            task.checkpoint.clone()
                        },
                    });
                }
            }
        }
        ProgressRecord {
            state: job.state,
            tasks,
            homes: self.homes_of(job),
        }
    }

    fn homes_of(&self, job: &Job) -> Vec<HomeRecord> {
        let runs = job.runs().filter_map(|key| self.runs.get(key));
        let runs = runs.map(|run| (run.worker, run.incarnation, &*run.home));
        let tasks = job.rounds.iter().flat_map(|round| &round.steps);
        let lapsed = tasks
            .flat_map(|step| step.tasks())
            .flat_map(|task| &task.lapsed);
        let lapsed = lapsed.map(|run| (run.worker, run.incarnation, &*run.home));
        let known = |(worker, incarnation, home): &(WorkerKey, u64, &str)| {
            self.workers.contains_key(*worker) && *incarnation != 0 && !home.is_empty()
        };
        let mut homes: Vec<(WorkerKey, u64, &str)> = runs.chain(lapsed).filter(known).collect();
        homes.sort_unstable();
        homes.dedup();
        let record = |(worker, incarnation, address): (WorkerKey, u64, &str)| {
            let name = self.workers[worker].info.name.clone();
            HomeRecord(name, incarnation, address.to_owned())
        };
        homes.into_iter().map(record).collect()
    }

    /// Marks the writes last taken as stored.
    pub fn commit_stored(&mut self, now: Monotonic) {
        self.voters_stored();
        let written = std::mem::take(&mut self.writing);
        for (id, version) in written {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.stored_version = version;
            if job.version == version && job.visible_state != job.state {
                job.visible_state = job.state;
                if job.state.is_final() {
                    Entry::new(Kind::JobFinished)
                        .with_text("job", id)
                        .with("state", job.state)
                        .with("took-ms", job.age_ms(now))
                        .with("forecast-ms", job.forecast_ms)
                        .emit();
                    self.forecaster.job_ended(job, now);
                }
            }
            self.start_recorded(id, version, now);
            self.close_if_ended(id);
        }
    }

    /// Lets runs start once the store holds their assignment.
    fn start_recorded(&mut self, id: JobId, version: u64, now: Monotonic) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        for key in job.runs().collect::<Vec<_>>() {
            let run = &mut self.runs[key];
            if run.phase == Phase::Recording && run.recorded_in <= version {
                run.phase = Phase::Starting;
                run.started_at = now;
                run.progressed_at = now;
                self.due_runs.insert(key);
            }
        }
    }

    /// Frees the rounds and steps of a job that are kept in memory, once the store holds
    /// its final state and no run is left.
    pub(super) fn close_if_ended(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.visible_state.is_final() && job.is_idle() && job.stored_version == job.version {
            job.rounds.clear();
            job.record.spec.steps.clear();
            self.open_jobs.remove(&id);
        }
    }
}
