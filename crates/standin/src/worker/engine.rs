//! Runs of one worker, without I/O.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenahitch::collections::HashMap;
use verbenahitch::domain::{Class, Millis, Monotonic, Resources};
use verbenahitch::port::{
    Command, EndKind, Ended, Refusal, Running, SyncReply, SyncRequest, TaskUsage,
};

use super::run::{Run, RunOutcome, span, whole};
use super::settings::{Behaviour, Settings};
use crate::history::{EndMemory, RunEnd, RunRecord};

/// Slowest speed of a run in progress.
const LEAST_SPEED: f64 = 0.01;

/// Why a sync was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SyncRefusal {
    Stale { epoch: u64 },
    Late { clock: Millis },
}

/// What the worker remembers of a shard.
#[derive(Clone, Copy, Debug, Default)]
struct Shard {
    epoch: u64,
    seq: u64,
    lease: Monotonic,
}

/// An end that was not acknowledged.
struct Unacked {
    shard: String,
    end: Ended,
    told: bool,
    /// Position in the history.
    record: usize,
}

/// Runs and leases of one worker.
pub(super) struct Engine {
    settings: Settings,
    /// Wall-clock time of the worker's origin.
    origin_ms: Millis,
    shards: HashMap<String, Shard>,
    runs: Vec<Run>,
    ended: Vec<Unacked>,
    history: Vec<RunRecord>,
    now: Monotonic,
    rng: ChaCha8Rng,
}

impl Engine {
    pub(super) fn new(settings: Settings, origin_ms: Millis) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            origin_ms,
            shards: HashMap::default(),
            runs: Vec::new(),
            ended: Vec::new(),
            history: Vec::new(),
            now: Monotonic::default(),
        }
    }

    /// Carries out one call.
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
            .filter_map(|command| self.command(now, request, command, behaviour).err())
            .collect();
        let acked = |ended: &Ended| request.acked.contains(&ended.run);
        self.ended
            .retain(|ended| ended.shard != request.shard || !acked(&ended.end));
        Ok(self.report(now, &request.shard, refused))
    }

    /// Moves all runs to `now`.
    pub(super) fn advance(&mut self, now: Monotonic) {
        while self.now < now {
            let to = now.min(self.now + self.settings.checkpoint_ms.max(1));
            self.step(to);
        }
    }

    /// Ends everything as if the worker had lost power.
    pub(super) fn crash(&mut self, now: Monotonic) {
        self.advance(now);
        for run in std::mem::take(&mut self.runs) {
            self.close(&run, now, None);
        }
        for ended in std::mem::take(&mut self.ended) {
            self.forget(&ended);
        }
        self.shards.clear();
    }

    /// Slowdown of requests of `kind` by the runs in progress, at least 1.0.
    pub(super) fn slowdown(&self, kind: &str) -> f64 {
        let capacity = self.settings.capacity;
        let pressure = &self.settings.pressure;
        let each = self.batch().map(|run| {
            pressure.on_requests(kind, &run.profile, run.resources, run.share, capacity)
        });
        1.0 + each.sum::<f64>()
    }

    pub(super) fn usage(&self) -> Vec<TaskUsage> {
        let used = |run: &Run| TaskUsage {
            run: run.run,
            millicores: whole(span(run.resources.millicores) * run.share),
            memory_mib: run.resources.memory_mib,
        };
        self.runs.iter().map(used).collect()
    }

    pub(super) fn history(&self) -> &[RunRecord] {
        &self.history
    }

    /// Changes a history's record time into wall-clock time.
    fn wall(&self, at: Monotonic) -> Millis {
        self.origin_ms + at.0
    }

    fn accept(&mut self, now: Monotonic, request: &SyncRequest) -> Result<(), SyncRefusal> {
        let shard = self.shards.entry(request.shard.clone()).or_default();
        let late = SyncRefusal::Late { clock: now.0 };
        if request.epoch < shard.epoch {
            let epoch = shard.epoch;
            return Err(SyncRefusal::Stale { epoch });
        }
        if request.not_after > 0 && now.0 > request.not_after {
            return Err(late);
        }
        if request.epoch == shard.epoch && request.seq <= shard.seq {
            return Err(late);
        }
        shard.epoch = request.epoch;
        shard.seq = request.seq;
        if request.lease_ms > 0 {
            shard.lease = now + request.lease_ms;
        }
        Ok(())
    }

    fn command(
        &mut self,
        now: Monotonic,
        request: &SyncRequest,
        command: &Command,
        behaviour: &Behaviour,
    ) -> Result<(), Refusal> {
        match command {
            Command::Start { run, .. } if self.knows(&request.shard, *run) => Ok(()),
            Command::Start { run, resources, .. } => {
                self.room_for(now, &request.shard, *resources)
                    .map_err(|reason| refusal(*run, &reason))?;
                self.start(now, request, command, behaviour);
                Ok(())
            }
            Command::Throttle { run, share } => {
                let found = self.find(&request.shard, *run)?;
                found.share = share.clamp(LEAST_SPEED, 1.0);
                Ok(())
            }
            Command::Evict { run, grace_ms } => {
                let needed = self.settings.evict_ms;
                let found = self.find(&request.shard, *run)?;
                found.saves = *grace_ms >= needed;
                found.evicted.get_or_insert(now + needed.min(*grace_ms));
                Ok(())
            }
            Command::Stop { run } => {
                self.find(&request.shard, *run)?;
                let kind = EndKind::Stopped;
                self.end(&request.shard, *run, RunOutcome { at: now, kind });
                Ok(())
            }
        }
    }

    fn knows(&self, shard: &str, run: u64) -> bool {
        let ended = |ended: &Unacked| ended.shard == shard && ended.end.run == run;
        let runs = |going: &Run| going.shard == shard && going.run == run;
        self.ended.iter().any(ended) || self.runs.iter().any(runs)
    }

    fn find(&mut self, shard: &str, run: u64) -> Result<&mut Run, Refusal> {
        let mut runs = self.runs.iter_mut();
        let found = runs.find(|going| going.shard == shard && going.run == run);
        found.ok_or_else(|| refusal(run, "the run does not go on"))
    }

    fn room_for(&self, now: Monotonic, shard: &str, need: Resources) -> Result<(), String> {
        let lease = self.shards.get(shard).map(|shard| shard.lease);
        if lease.is_none_or(|lease| lease <= now) {
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
        let going = Run {
            task: task.clone(),
            run: *run,
            shard: request.shard.clone(),
            profile: profile.clone(),
            class: *class,
            resources: *resources,
            share: share.clamp(LEAST_SPEED, 1.0),
            work_ms: (*run_ms > 0).then(|| self.true_work(*run_ms)),
            progress_ms: span(*checkpoint_ms),
            checkpoint_ms: *checkpoint_ms,
            evicted: None,
            saves: false,
            record: self.history.len(),
        };
        self.history.push(RunRecord {
            task: task.clone(),
            shard: request.shard.clone(),
            epoch: request.epoch,
            run: *run,
            profile: profile.clone(),
            resources: *resources,
            resumed_ms: *checkpoint_ms,
            start: self.wall(now),
            end: None,
        });
        self.runs.push(going);
        if behaviour.fail_all || behaviour.fail_profiles.contains(profile) {
            let kind = EndKind::Failed;
            self.end(&request.shard, *run, RunOutcome { at: now, kind });
        }
    }

    fn true_work(&mut self, declared: Millis) -> f64 {
        let spread = self.settings.run_spread.max(1.0);
        let exponent: f64 = self.rng.random_range(-1.0..=1.0);
        span(declared) * spread.powf(exponent)
    }

    fn batch(&self) -> impl Iterator<Item = &Run> {
        self.runs.iter().filter(|run| run.class == Class::Batch)
    }

    fn step(&mut self, to: Monotonic) {
        let speeds: Vec<f64> = self.runs.iter().map(|run| self.speed(run)).collect();
        let from = std::mem::replace(&mut self.now, to);
        let interval_ms = self.settings.checkpoint_ms;
        let mut outcomes = Vec::new();
        for (run, speed) in self.runs.iter_mut().zip(speeds) {
            let lease = self.shards.get(&run.shard).map(|shard| shard.lease);
            let lease = lease.unwrap_or_default();
            if let Some(outcome) = run.advance(from, to, speed, lease, interval_ms) {
                outcomes.push((run.shard.clone(), run.run, outcome));
            }
        }
        for (shard, run, outcome) in outcomes {
            self.end(&shard, run, outcome);
        }
    }

    fn speed(&self, run: &Run) -> f64 {
        let capacity = self.settings.capacity;
        let pressure = &self.settings.pressure;
        let others = self.batch().filter(|other| other.record != run.record);
        let slowdown: f64 = others
            .map(|other| pressure.on_runs(&other.profile, other.resources, other.share, capacity))
            .sum();
        run.share / (1.0 + slowdown)
    }

    fn end(&mut self, shard: &str, run: u64, outcome: RunOutcome) {
        let of = |going: &Run| going.shard == shard && going.run == run;
        let Some(position) = self.runs.iter().position(of) else {
            return;
        };
        let run = self.runs.swap_remove(position);
        self.close(&run, outcome.at, Some(outcome.kind));
        let ended = Ended {
            task: run.task,
            run: run.run,
            kind: outcome.kind,
            checkpoint_ms: run.checkpoint_ms,
        };
        self.ended.push(Unacked {
            shard: run.shard,
            end: ended,
            told: false,
            record: run.record,
        });
    }

    fn forget(&mut self, ended: &Unacked) {
        let record = self.history.get_mut(ended.record);
        if let Some(end) = record.and_then(|record| record.end.as_mut()) {
            end.memory = match ended.told {
                true => EndMemory::Told,
                false => EndMemory::Untold,
            };
        }
    }

    fn close(&mut self, run: &Run, at: Monotonic, kind: Option<EndKind>) {
        let end = RunEnd {
            at: self.wall(at),
            kind,
            checkpoint_ms: run.checkpoint_ms,
            memory: EndMemory::Kept,
        };
        if let Some(record) = self.history.get_mut(run.record) {
            record.end = Some(end);
        }
    }

    fn report(&mut self, now: Monotonic, shard: &str, refused: Vec<Refusal>) -> SyncReply {
        let running = |run: &Run| Running {
            task: run.task.clone(),
            run: run.run,
            resources: run.resources,
            checkpoint_ms: run.checkpoint_ms,
            share: run.share,
        };
        let own = self.runs.iter().filter(|run| run.shard == shard);
        let ended = self.ended.iter_mut().filter(|ended| ended.shard == shard);
        let tell = |ended: &mut Unacked| {
            ended.told = true;
            ended.end.clone()
        };
        SyncReply {
            clock: now.0,
            refused,
            running: own.map(running).collect(),
            ended: ended.map(tell).collect(),
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
