//! Simulated worker that carries out orders. It may restart under its name: the new
//! incarnation knows nothing of the earlier one, and its clock and its numbers start anew.

use std::collections::BTreeMap;

use verbenahitch::dispatch::{
    CallFailure, EndCause, EndedEntry, JobId, JobSpec, Start, Target, TaskId, WorkerInfo,
};
use verbenahitch::domain::Millis;

use super::room::EarlierRooms;

pub struct FakeRun {
    pub task: TaskId,
    pub run: u32,
    pub worked_ms: f64,
    pub pace: u8,
    /// When it ends because of a stop.
    pub stops_at: Option<Millis>,
}

/// What a worker loses when it restarts.
#[derive(Default)]
pub struct Incarnation {
    pub number: u64,
    /// Time at which its clock was zero.
    pub origin: Millis,
    pub runs: Vec<FakeRun>,
    pub ended: Vec<EndedEntry>,
    pub last_end: u64,
    /// Highest number of an end that came before a lapse of the leases.
    pub lapsed_end: u64,
    pub fence: u64,
    /// End of all leases, on its clock.
    pub lease_end: Millis,
    /// Highest number of a run that ended or was stopped, by task.
    pub closed: BTreeMap<TaskId, u32>,
}

#[derive(Default)]
pub struct FakeWorker {
    /// Entry in the registry, which may be behind.
    pub info: WorkerInfo,
    pub earlier_rooms: EarlierRooms,
    /// Address at which it takes calls.
    pub address: String,
    pub life: Incarnation,
    /// Whether it has no entry in the registry.
    pub unlisted: bool,
    /// Until when it is down.
    pub down_until: Millis,
    /// Until when another worker answers at its address.
    pub moved_until: Millis,
    /// Whether it has ended, and another worker answers at its address.
    pub replaced: bool,
    /// Time that a stop takes, in milliseconds.
    pub stop_ms: Millis,
    /// Whether its clock runs 2% slow.
    pub slow_clock: bool,
    /// What it adds to its clock in its lists.
    pub clock_offset: Millis,
    /// Lists its runs in rows that cannot be read.
    pub has_odd_rows: bool,
    /// Delay after which it carries out orders, which it then does not answer.
    pub order_delay: Option<Millis>,
    /// Answers no calls; its runs continue.
    pub silent: bool,
    /// Carries out starts without answering them.
    pub drops_start_answers: bool,
    /// Refuses starts as too late.
    pub refuses_starts: bool,
    pub failing: bool,
    pub speed: f64,
    /// Longest lease that it grants, in milliseconds.
    pub lease_max_ms: Millis,
}

impl FakeWorker {
    /// Stops it and starts it again after `down_ms`; the registry keeps the earlier entry.
    pub fn restart(&mut self, now: Millis, down_ms: Millis) {
        self.down_until = now + down_ms;
        self.life = Incarnation {
            number: self.life.number + 1,
            origin: self.down_until,
            ..Incarnation::default()
        };
    }

    /// Its clock.
    pub fn clock(&self, now: Millis) -> Millis {
        let age = now.saturating_sub(self.life.origin);
        if self.slow_clock { age * 98 / 100 } else { age }
    }

    /// Fails if it cannot be reached.
    pub fn check_reachable(&self, now: Millis) -> Result<(), CallFailure> {
        if now < self.down_until {
            return Err(CallFailure::NotSent("refused".to_owned()));
        }
        if now < self.moved_until || self.replaced {
            return Err(CallFailure::OtherLife);
        }
        if self.silent {
            return Err(CallFailure::Unanswered("silent".to_owned()));
        }
        Ok(())
    }

    /// Takes the fencing token of a call.
    pub fn check_fence(&mut self, fence: u64) -> Result<(), CallFailure> {
        if fence < self.life.fence {
            return Err(CallFailure::Fenced);
        }
        self.life.fence = fence;
        Ok(())
    }

    /// Extends all leases to `end` on its clock, by its longest lease from now at most.
    pub fn extend_leases(&mut self, end: Millis, now: Millis) {
        let limit = self.clock(now) + self.lease_max_ms;
        self.life.lease_end = self.life.lease_end.max(end.min(limit));
    }

    /// Whether all leases have lapsed.
    pub fn has_lapsed(&self, now: Millis) -> bool {
        self.life.lease_end > 0 && self.life.lease_end < self.clock(now)
    }

    /// Carries out a start; returns whether a run began.
    pub fn start(&mut self, start: &Start, fence: u64, now: Millis) -> Result<bool, CallFailure> {
        self.check_reachable(now)?;
        self.check_fence(fence)?;
        if self.refuses_starts || start.lease_end <= self.clock(now) {
            return Err(CallFailure::Late);
        }
        self.extend_leases(start.lease_end, now);
        let (task, number) = (start.target.task, start.target.run);
        if self.life.closed.get(&task).is_some_and(|n| number <= *n) {
            return Err(CallFailure::Outdated);
        }
        let runs = &mut self.life.runs;
        if runs.iter().any(|run| run.task == task && run.run == number) {
            return Ok(false);
        }
        runs.push(FakeRun {
            task,
            run: number,
            worked_ms: start.checkpoint.parse().unwrap_or(0.0),
            pace: 100,
            stops_at: None,
        });
        Ok(true)
    }

    /// Carries out a stop; a start of the run is refused from then on.
    pub fn stop(&mut self, target: &Target, fence: u64, now: Millis) -> Result<(), CallFailure> {
        self.check_reachable(now)?;
        self.check_fence(fence)?;
        let closed = self.life.closed.entry(target.task).or_default();
        *closed = target.run.max(*closed);
        let is_target = |run: &&mut FakeRun| run.task == target.task && run.run == target.run;
        if let Some(run) = self.life.runs.iter_mut().find(is_target) {
            run.stops_at.get_or_insert(now + self.stop_ms);
        }
        Ok(())
    }

    pub fn tasks(&self) -> Vec<TaskId> {
        self.life.runs.iter().map(|run| run.task).collect()
    }

    pub fn end(&mut self, task: TaskId, cause: EndCause) {
        let life = &mut self.life;
        let Some(index) = life.runs.iter().position(|run| run.task == task) else {
            return;
        };
        let run = life.runs.remove(index);
        life.last_end += 1;
        life.closed.insert(task, run.run);
        life.ended.push(EndedEntry {
            sequence: life.last_end,
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
        self.life.runs.iter().map(cores).sum()
    }
}
