//! Requests of callers and operators.

use std::sync::Arc;

use super::Shard;
use super::job::{Job, Phase, Stage};
use crate::domain::{
    Class, JobId, JobKey, JobRecord, JobSpec, Millis, Monotonic, Profile, TaskId, TaskKey,
    TaskOutcome,
};
use crate::event::{Entry, Kind};
use crate::placement::{Choice, PlacementRequest};
use crate::scheduler::{Action, Answer, Request, SubmitError};

/// Largest number of tasks of a job.
const MAX_TASKS: u32 = 100_000;
/// Longest declared run time: 30 days.
const MAX_RUN_MS: Millis = 30 * 24 * 3_600_000;
/// Longest payload.
const MAX_PAYLOAD_BYTES: usize = 16 << 10;
/// Time after which a caller may retry a request that was refused for a temporary reason.
const RETRY_MS: Millis = 1_000;

impl Shard {
    pub(super) fn on_requested(
        &mut self,
        request: u64,
        body: Request,
        wall_ms: Millis,
        now: Monotonic,
    ) {
        if let Request::Shard = body {
            let body = Answer::Shard(self.status());
            return self.actions.push(Action::Answer { request, body });
        }
        if self.owned.is_none() {
            return self.refuse(request, unavailable("this process does not own the shard"));
        }
        match body {
            Request::Submit { id, spec } => self.on_submit(request, id, spec, wall_ms, now),
            Request::Cancel(id) => self.on_cancel(request, &id, now),
            Request::Job(id) => self.on_job(request, &id),
            Request::Explain(task) => self.on_explain(request, &task),
            Request::Adopt(record) => self.on_adopt(request, *record, now),
            // Answered above.
            Request::Shard => {}
        }
    }

    pub(super) fn refuse(&mut self, request: u64, error: SubmitError) {
        let body = Answer::Refused(error);
        self.actions.push(Action::Answer { request, body });
    }

    fn on_submit(
        &mut self,
        request: u64,
        id: JobId,
        spec: JobSpec,
        wall_ms: Millis,
        now: Monotonic,
    ) {
        if let Some(key) = self.by_id.get(&id).copied() {
            return self.on_resubmit(request, key, &spec);
        }
        if let Err(error) = self.validate(&spec, now) {
            let entry = Entry::new(Kind::JobRefused)
                .with("job", &id)
                .with_text("reason", &error);
            self.log(entry);
            return self.refuse(request, error);
        }
        let record = JobRecord {
            since_run: self.last_run(),
            ..JobRecord::new(id, spec, wall_ms)
        };
        let key = self.add_job(record, Stage::New, now);
        self.jobs[key].pending.accepts.push(request);
        self.queue_write(key, true);
    }

    fn on_resubmit(&mut self, request: u64, key: JobKey, spec: &JobSpec) {
        let job = &mut self.jobs[key];
        if job.record.spec != *spec {
            let id = job.record.id.clone();
            return self.refuse(request, SubmitError::Mismatch { id });
        }
        self.accept(request, key);
    }

    /// Answers that a job is accepted, once the store holds it among this shard's jobs.
    fn accept(&mut self, request: u64, key: JobKey) {
        let job = &mut self.jobs[key];
        match (&job.stage, &mut job.inflight) {
            (Stage::New, Some(inflight)) => inflight.accepts.push(request),
            (Stage::New, None) => job.pending.accepts.push(request),
            _ => {
                let body = Answer::Accepted(job.status(&self.name));
                self.actions.push(Action::Answer { request, body });
            }
        }
    }

    fn validate(&self, spec: &JobSpec, now: Monotonic) -> Result<(), SubmitError> {
        let Some(profile) = self.declared.profiles.get(&spec.profile) else {
            let profile = spec.profile.clone();
            return Err(SubmitError::UnknownProfile { profile });
        };
        check_sizes(spec, profile)?;
        self.check_fit(spec, profile, now)?;
        if self.releasing {
            return Err(unavailable("the owner of the shard is leaving"));
        }
        if self.committer.is_failing() {
            return Err(unavailable("the platform's store does not answer"));
        }
        Ok(())
    }

    fn check_fit(
        &self,
        spec: &JobSpec,
        profile: &Profile,
        now: Monotonic,
    ) -> Result<(), SubmitError> {
        let request = PlacementRequest {
            task: TaskKey {
                job: JobKey::default(),
                index: 0,
            },
            name: Arc::from(spec.profile.as_str()),
            profile: Arc::new(profile.clone()),
            avoid: None,
            waited_ms: 0,
        };
        match self.placer.choose(&request, now) {
            Choice::Infeasible(reason) => Err(SubmitError::NeverFits { reason }),
            Choice::Place { .. } | Choice::Evict { .. } | Choice::Wait(_) => Ok(()),
        }
    }

    /// Adds a job and queues its tasks.
    pub(super) fn add_job(&mut self, record: JobRecord, stage: Stage, now: Monotonic) -> JobKey {
        let id = record.id.clone();
        self.next_job += 1;
        let key = self
            .jobs
            .insert(Job::new(record, stage, self.next_job, now));
        self.by_id.insert(id, key);
        self.assign_profile(key);
        self.schedule_pass(now);
        key
    }

    fn on_adopt(&mut self, request: u64, mut record: JobRecord, now: Monotonic) {
        if let Some(key) = self.by_id.get(&record.id).copied() {
            return self.accept(request, key);
        }
        let entry = Entry::new(Kind::JobAdopted)
            .with("job", &record.id)
            .with("shard", &self.name);
        self.log(entry);
        record.since_run = self.last_run();
        // The store holds it in the inbox, not yet among this shard's jobs.
        let key = self.add_job(record, Stage::New, now);
        self.restore(key);
        self.jobs[key].pending.accepts.push(request);
        self.queue_write(key, true);
    }

    fn on_cancel(&mut self, request: u64, id: &JobId, now: Monotonic) {
        let Some(key) = self.by_id.get(id).copied() else {
            return self.refuse(request, SubmitError::UnknownJob { id: id.clone() });
        };
        let job = &mut self.jobs[key];
        if matches!(job.stage, Stage::Moving(_)) {
            return self.refuse(request, unavailable("the job is being handed over"));
        }
        if job.record.cancelled || job.record.is_finished() {
            return self.answer_job(request, key);
        }
        job.record.cancelled = true;
        job.pending.answers.push(request);
        self.log(Entry::new(Kind::JobCancelled).with("job", id));
        self.cancel_waiting(key);
        self.cancel_running(key, now);
        self.update_queue(key);
        self.queue_write(key, true);
    }

    /// Answers with the state of a job once all changes so far are durable.
    fn answer_job(&mut self, request: u64, key: JobKey) {
        let job = &mut self.jobs[key];
        if job.dirty {
            return job.pending.answers.push(request);
        }
        if let Some(inflight) = &mut job.inflight {
            return inflight.answers.push(request);
        }
        let body = Answer::Job(job.status(&self.name));
        self.actions.push(Action::Answer { request, body });
    }

    /// Ends the tasks of a cancelled job that are certainly not running on any worker.
    pub(super) fn cancel_waiting(&mut self, key: JobKey) {
        for index in 0..self.jobs[key].record.spec.tasks {
            let job = &mut self.jobs[key];
            let may_run = matches!(
                job.phases.get(&index),
                Some(Phase::Running(_) | Phase::Requeueing(_) | Phase::Unclear)
            );
            if may_run || job.record.ended.get(index).is_some() {
                continue;
            }
            if job.phases.contains_key(&index) {
                self.set_phase(TaskKey { job: key, index }, None);
            }
            self.making_room.remove(&TaskKey { job: key, index });
            self.jobs[key].end(index, TaskOutcome::Cancelled);
        }
    }

    fn cancel_running(&mut self, key: JobKey, now: Monotonic) {
        let runs: Vec<u64> = self.jobs[key]
            .phases
            .values()
            .filter_map(|phase| match phase {
                Phase::Running(run) => Some(*run),
                _ => None,
            })
            .collect();
        for run in runs {
            self.stop(run, now);
        }
    }

    fn on_job(&mut self, request: u64, id: &JobId) {
        match self.by_id.get(id).copied() {
            Some(key) => self.answer_job(request, key),
            None => self.refuse(request, SubmitError::UnknownJob { id: id.clone() }),
        }
    }

    fn on_explain(&mut self, request: u64, task: &TaskId) {
        let Some(key) = self.by_id.get(&task.job).copied() else {
            let id = task.job.clone();
            return self.refuse(request, SubmitError::UnknownJob { id });
        };
        let body = Answer::Explained(self.explain(key, task.index));
        self.actions.push(Action::Answer { request, body });
    }
}

fn check_sizes(spec: &JobSpec, profile: &Profile) -> Result<(), SubmitError> {
    let mut faults = Vec::new();
    if !(1..=MAX_TASKS).contains(&spec.tasks) {
        let found = spec.tasks;
        faults.push(format!("found {found} tasks, allowed are 1 to {MAX_TASKS}"));
    }
    let least = u64::from(profile.class == Class::Batch);
    if !(least..=MAX_RUN_MS).contains(&spec.run_ms) {
        let found = spec.run_ms;
        faults.push(format!(
            "found a run time of {found} ms, allowed are {least} to {MAX_RUN_MS}"
        ));
    }
    if spec.payload.len() > MAX_PAYLOAD_BYTES {
        let found = spec.payload.len();
        faults.push(format!(
            "found a payload of {found} bytes, allowed are up to {MAX_PAYLOAD_BYTES}"
        ));
    }
    if faults.is_empty() {
        return Ok(());
    }
    let reason = faults.join("; ");
    Err(SubmitError::NeverFits { reason })
}

pub(super) fn unavailable(reason: &str) -> SubmitError {
    SubmitError::Unavailable {
        reason: reason.to_owned(),
        retry_ms: RETRY_MS,
    }
}
