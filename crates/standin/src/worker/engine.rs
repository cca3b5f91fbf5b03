//! Runs and leases of one worker, without I/O.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenahitch::collections::HashMap;
use verbenahitch::domain::{Class, Millis, Monotonic, Resources};
use verbenahitch::port::{
    Command, EndKind, Ended, Refusal, Running, SyncReply, SyncRequest, TaskUsage,
};

use super::run::{Run, RunOutcome, to_float, truncate};
use super::settings::{Behaviour, Settings};
use crate::history::{EndMemory, RunEnd, RunRecord};

/// Minimum CPU share of a run, so that every run makes progress.
const MIN_SHARE: f64 = 0.01;

/// Why a sync was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SyncRefusal {
    Stale { epoch: u64 },
    Late { clock: Millis, life: u64 },
}

/// Newest call and lease of a shard.
#[derive(Clone, Copy, Debug, Default)]
struct Shard {
    epoch: u64,
    seq: u64,
    /// End of the lease of all runs of the shard.
    lease_end: Monotonic,
}

/// An end that has not been acknowledged.
struct UnackedEnd {
    shard: String,
    end: Ended,
    /// Whether a reply has carried the end.
    is_reported: bool,
    /// Index of the run in the history.
    record_index: usize,
}

/// Runs and leases of one worker.
pub(super) struct Engine {
    settings: Settings,
    /// Wall-clock time at the origin of the worker's clock.
    origin_ms: Millis,
    /// Number of its life.
    life: u64,
    shards: HashMap<String, Shard>,
    runs: Vec<Run>,
    ended: Vec<UnackedEnd>,
    history: Vec<RunRecord>,
    /// Time up to which the runs are simulated.
    now: Monotonic,
    rng: ChaCha8Rng,
}

impl Engine {
    pub(super) fn new(settings: Settings, origin_ms: Millis) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            origin_ms,
            life: origin_ms + 1,
            shards: HashMap::default(),
            runs: Vec::new(),
            ended: Vec::new(),
            history: Vec::new(),
            now: Monotonic::default(),
        }
    }

    /// Handles one sync call.
    pub(super) fn sync(
        &mut self,
        now: Monotonic,
        request: &SyncRequest,
        behaviour: &Behaviour,
    ) -> Result<SyncReply, SyncRefusal> {
        self.advance(now);
        self.accept(now, request)?;
        let refused = request
            .commands
            .iter()
            .filter_map(|command| self.execute(now, request, command, behaviour).err())
            .collect();
        let is_acked = |ended: &Ended| request.acked.contains(&ended.run);
        self.ended
            .retain(|ended| ended.shard != request.shard || !is_acked(&ended.end));
        Ok(self.reply(now, &request.shard, refused))
    }

    /// Simulates all runs up to `now`.
    pub(super) fn advance(&mut self, now: Monotonic) {
        while self.now < now {
            let to = now.min(self.now + self.settings.checkpoint_ms.max(1));
            self.step(to);
        }
    }

    /// Simulates a power loss: ends all runs, and forgets the leases and the unacknowledged ends.
    pub(super) fn crash(&mut self, now: Monotonic) {
        self.advance(now);
        for run in std::mem::take(&mut self.runs) {
            self.record_end(&run, now, None);
        }
        for ended in std::mem::take(&mut self.ended) {
            self.record_loss(&ended);
        }
        self.shards.clear();
        self.life += 1;
    }

    /// Factor by which the batch runs slow down requests of `kind`, at least 1.0.
    pub(super) fn slowdown(&self, kind: &str) -> f64 {
        let capacity = self.settings.capacity;
        let pressure = &self.settings.pressure;
        let slowdowns = self.batch_runs().map(|run| {
            pressure.request_slowdown(kind, &run.profile, run.resources, run.share, capacity)
        });
        1.0 + slowdowns.sum::<f64>()
    }

    pub(super) fn usage(&self) -> Vec<TaskUsage> {
        let used = |run: &Run| TaskUsage {
            run: run.run,
            millicores: truncate(to_float(run.resources.millicores) * run.share),
            memory_mib: run.resources.memory_mib,
        };
        self.runs.iter().map(used).collect()
    }

    pub(super) fn history(&self) -> &[RunRecord] {
        &self.history
    }

    /// Converts a time of the worker's clock into wall-clock time for the history.
    fn wall_ms(&self, at: Monotonic) -> Millis {
        self.origin_ms + at.0
    }

    fn accept(&mut self, now: Monotonic, request: &SyncRequest) -> Result<(), SyncRefusal> {
        let life = self.life;
        let shard = self.shards.entry(request.shard.clone()).or_default();
        let late = SyncRefusal::Late { clock: now.0, life };
        if request.epoch < shard.epoch {
            let epoch = shard.epoch;
            return Err(SyncRefusal::Stale { epoch });
        }
        let other_life = request.life > 0 && request.life != life;
        if other_life || (request.not_after > 0 && now.0 > request.not_after) {
            return Err(late);
        }
        if request.epoch == shard.epoch && request.seq <= shard.seq {
            return Err(late);
        }
        shard.epoch = request.epoch;
        shard.seq = request.seq;
        if request.lease_ms > 0 {
            shard.lease_end = now + request.lease_ms;
        }
        Ok(())
    }

    fn execute(
        &mut self,
        now: Monotonic,
        request: &SyncRequest,
        command: &Command,
        behaviour: &Behaviour,
    ) -> Result<(), Refusal> {
        match command {
            Command::Start { run, .. } if self.is_known(&request.shard, *run) => Ok(()),
            Command::Start { run, resources, .. } => {
                self.check_start(now, &request.shard, *resources)
                    .map_err(|reason| refusal(*run, &reason))?;
                self.start(now, request, command, behaviour);
                Ok(())
            }
            Command::Throttle { run, share } => {
                let found = self.find(&request.shard, *run)?;
                found.share = share.clamp(MIN_SHARE, 1.0);
                Ok(())
            }
            Command::Evict { run, grace_ms } => {
                let needed = self.settings.evict_ms;
                let found = self.find(&request.shard, *run)?;
                found.can_checkpoint = *grace_ms >= needed;
                found
                    .eviction_end
                    .get_or_insert(now + needed.min(*grace_ms));
                Ok(())
            }
            Command::Stop { run } => {
                self.find(&request.shard, *run)?;
                let kind = EndKind::Stopped;
                self.end_run(&request.shard, *run, RunOutcome { at: now, kind });
                Ok(())
            }
        }
    }

    fn is_known(&self, shard: &str, run: u64) -> bool {
        let is_ended = |ended: &UnackedEnd| ended.shard == shard && ended.end.run == run;
        let is_running = |candidate: &Run| candidate.shard == shard && candidate.run == run;
        self.ended.iter().any(is_ended) || self.runs.iter().any(is_running)
    }

    fn find(&mut self, shard: &str, run: u64) -> Result<&mut Run, Refusal> {
        let mut runs = self.runs.iter_mut();
        let found = runs.find(|candidate| candidate.shard == shard && candidate.run == run);
        found.ok_or_else(|| refusal(run, "the run does not go on"))
    }

    fn check_start(&self, now: Monotonic, shard: &str, need: Resources) -> Result<(), String> {
        let lease_end = self.shards.get(shard).map(|shard| shard.lease_end);
        if lease_end.is_none_or(|lease_end| lease_end <= now) {
            return Err("the shard has no lease".to_owned());
        }
        let used = self.runs.iter().map(|run| run.resources);
        let used = used.fold(Resources::ZERO, |sum, run| sum + run);
        if !self.settings.enforced || (used + need).fits(self.settings.capacity) {
            return Ok(());
        }
        Err("the worker has no room".to_owned())
    }

    fn start(
        &mut self,
        now: Monotonic,
        request: &SyncRequest,
        command: &Command,
        behaviour: &Behaviour,
    ) {
        let Command::Start {
            task,
            run,
            profile,
            class,
            resources,
            run_ms,
            checkpoint_ms,
            share,
            payload: _,
        } = command
        else {
            return;
        };
        let started = Run {
            task: task.clone(),
            run: *run,
            shard: request.shard.clone(),
            profile: profile.clone(),
            class: *class,
            resources: *resources,
            share: share.clamp(MIN_SHARE, 1.0),
            work_ms: (*run_ms > 0).then(|| self.draw_work_ms(*run_ms)),
            progress_ms: to_float(*checkpoint_ms),
            checkpoint_ms: *checkpoint_ms,
            eviction_end: None,
            can_checkpoint: false,
            record_index: self.history.len(),
        };
        self.history.push(RunRecord {
            task: task.clone(),
            shard: request.shard.clone(),
            epoch: request.epoch,
            run: *run,
            profile: profile.clone(),
            resources: *resources,
            resumed_ms: *checkpoint_ms,
            start: self.wall_ms(now),
            end: None,
        });
        self.runs.push(started);
        if behaviour.fail_all || behaviour.fail_profiles.contains(profile) {
            let kind = EndKind::Failed;
            self.end_run(&request.shard, *run, RunOutcome { at: now, kind });
        }
    }

    fn draw_work_ms(&mut self, declared_ms: Millis) -> f64 {
        let spread = self.settings.run_spread.max(1.0);
        let exponent: f64 = self.rng.random_range(-1.0..=1.0);
        to_float(declared_ms) * spread.powf(exponent)
    }

    fn batch_runs(&self) -> impl Iterator<Item = &Run> {
        self.runs.iter().filter(|run| run.class == Class::Batch)
    }

    fn step(&mut self, to: Monotonic) {
        let speeds: Vec<f64> = self.runs.iter().map(|run| self.speed(run)).collect();
        let from = std::mem::replace(&mut self.now, to);
        let interval_ms = self.settings.checkpoint_ms;
        let mut outcomes = Vec::new();
        for (run, speed) in self.runs.iter_mut().zip(speeds) {
            let lease_end = self.shards.get(&run.shard).map(|shard| shard.lease_end);
            let lease_end = lease_end.unwrap_or_default();
            if let Some(outcome) = run.advance(from, to, speed, lease_end, interval_ms) {
                outcomes.push((run.shard.clone(), run.run, outcome));
            }
        }
        for (shard, run, outcome) in outcomes {
            self.end_run(&shard, run, outcome);
        }
    }

    fn speed(&self, run: &Run) -> f64 {
        let capacity = self.settings.capacity;
        let pressure = &self.settings.pressure;
        let others = self
            .batch_runs()
            .filter(|other| other.record_index != run.record_index);
        let slowdown: f64 = others
            .map(|other| {
                pressure.run_slowdown(&other.profile, other.resources, other.share, capacity)
            })
            .sum();
        run.share / (1.0 + slowdown)
    }

    fn end_run(&mut self, shard: &str, run: u64, outcome: RunOutcome) {
        let is_ending = |candidate: &Run| candidate.shard == shard && candidate.run == run;
        let Some(position) = self.runs.iter().position(is_ending) else {
            return;
        };
        let run = self.runs.swap_remove(position);
        self.record_end(&run, outcome.at, Some(outcome.kind));
        let ended = Ended {
            task: run.task,
            run: run.run,
            kind: outcome.kind,
            checkpoint_ms: run.checkpoint_ms,
        };
        self.ended.push(UnackedEnd {
            shard: run.shard,
            end: ended,
            is_reported: false,
            record_index: run.record_index,
        });
    }

    /// Records in the history that an end was forgotten before its acknowledgement.
    fn record_loss(&mut self, ended: &UnackedEnd) {
        let record = self.history.get_mut(ended.record_index);
        if let Some(end) = record.and_then(|record| record.end.as_mut()) {
            end.memory = match ended.is_reported {
                true => EndMemory::Told,
                false => EndMemory::Untold,
            };
        }
    }

    fn record_end(&mut self, run: &Run, at: Monotonic, kind: Option<EndKind>) {
        let end = RunEnd {
            at: self.wall_ms(at),
            kind,
            checkpoint_ms: run.checkpoint_ms,
            memory: EndMemory::Kept,
        };
        if let Some(record) = self.history.get_mut(run.record_index) {
            record.end = Some(end);
        }
    }

    fn reply(&mut self, now: Monotonic, shard: &str, refused: Vec<Refusal>) -> SyncReply {
        let running = |run: &Run| Running {
            task: run.task.clone(),
            run: run.run,
            resources: run.resources,
            checkpoint_ms: run.checkpoint_ms,
            share: run.share,
        };
        let own = self.runs.iter().filter(|run| run.shard == shard);
        let ended = self.ended.iter_mut().filter(|ended| ended.shard == shard);
        let report = |ended: &mut UnackedEnd| {
            ended.is_reported = true;
            ended.end.clone()
        };
        SyncReply {
            clock: now.0,
            life: self.life,
            refused,
            running: own.map(running).collect(),
            ended: ended.map(report).collect(),
            usage: verbenahitch::port::Usage::default(),
        }
    }
}

fn refusal(run: u64, reason: &str) -> Refusal {
    Refusal {
        run,
        reason: reason.to_owned(),
    }
}
