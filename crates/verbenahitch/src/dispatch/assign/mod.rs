//! Assignment of waiting tasks to workers.

mod owed;
mod skipped;
mod unplaced;

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::ops::Range;

use slotmap::SecondaryMap;

use skipped::Skipped;
use unplaced::UnplacedSteps;

use super::crash::Trials;
use super::place::{self, Misfit, Room};
use super::room::{self, Allowance, Pieces};
use super::step_order::outlook::{self, Prospect};
use super::step_order::{self, DeadlineClass, StepRank};
use super::worker::{Worker, WorkerKey};
use super::{
    AccountKey, Dispatcher, Entry, JobId, Kind, Millis, Monotonic, RunKey, ShareRank, StepSpec,
    TaskId,
};
use crate::collections::HashSet;

/// Number of fillers that a pass tries without finding a place before it skips the others. Where
/// room is short, the next ones rarely fit either.
const MAX_UNPLACED_FILLERS: usize = 8;

/// Time after which a skipped filler is tried again, whatever precedes it, in milliseconds. The
/// users' rules give a job for which there is room 3 s.
const SKIP_MAX_MS: Millis = 1_000;

/// Shortest time between two log lines on an overload, in milliseconds.
const OVERLOAD_PAUSE_MS: Millis = 1_000;

/// Time after which the wait of a standing step is logged again, in milliseconds.
const WAITING_PAUSE_MS: Millis = 5_000;

/// Most workers that are held for overdue standing tasks in one pass, which bounds the work of
/// the pass. Those of further tasks are held in later passes.
const MAX_HELD: usize = 16;

/// Fraction of the usable workers that are held at most, rounded up.
const HELD_DIVISOR: usize = 4;

/// Fraction of a pool's CPU that waiting work of a kind is expected to get at least.
const RATE_MIN_DIVISOR: u64 = 50;

/// A step with tasks to place; of one that is overdue, only the overdue tasks.
#[derive(Clone)]
pub(super) struct Waiting {
    rank: StepRank,
    job: JobId,
    round: u32,
    step: u32,
    filler: bool,
    /// Whether it is short, see [`room::is_short`].
    short: bool,
    /// CPU of its waiting tasks in thousandths of a core.
    cpu_milli: u64,
    /// Core-milliseconds of its job that have not been placed.
    work: u64,
    /// Index of its pool in [`AssignPass::pools`].
    pool: usize,
    /// Time since a pass last tried to place it, in milliseconds; none before the first pass.
    untried_ms: Option<Millis>,
    /// Time since none of its job's tasks runs, in milliseconds.
    idle_ms: Millis,
    /// Whether it may take what standing tasks are expected to need, see [`owed`].
    owed: bool,
}

impl Waiting {
    /// Task of the step.
    pub fn task(&self, index: u32) -> TaskId {
        TaskId {
            job: self.job,
            round: self.round,
            step: self.step,
            index,
        }
    }
}

/// Numbers of waiting steps by how their jobs stand to their objectives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepCounts {
    /// Steps that run until their job is cancelled.
    pub standing: usize,
    /// Steps of jobs that are expected to be in time.
    pub in_time: usize,
    /// Steps of jobs that could be in time if others were not.
    pub deferred: usize,
    /// Steps of late jobs.
    pub late: usize,
    /// Steps of jobs that are too late to be of value.
    pub no_value: usize,
    /// Short steps ahead of standing ones, which are counted above too.
    pub ahead: usize,
    /// Standing steps with overdue tasks, which are counted above too.
    pub overdue: usize,
    /// Steps that the pass did not try, which are counted above too.
    pub skipped: usize,
    /// Longest time since one of these was last tried, in milliseconds.
    pub untried_ms: Millis,
}

impl StepCounts {
    fn new(waiting: &[Waiting]) -> Self {
        let mut counts = Self::default();
        for rank in waiting.iter().map(|step| &step.rank) {
            counts.ahead += usize::from(rank.ahead);
            if rank.overdue {
                counts.overdue += 1;
                continue;
            }
            *match rank.deadline_class() {
                DeadlineClass::Standing => &mut counts.standing,
                DeadlineClass::InTime => &mut counts.in_time,
                DeadlineClass::Deferred => &mut counts.deferred,
                DeadlineClass::Late => &mut counts.late,
                DeadlineClass::NoValue => &mut counts.no_value,
            } += 1;
        }
        counts
    }
}

/// Use of the usable workers of a pool.
#[derive(Debug, Default)]
struct PoolUse {
    name: String,
    /// Its usable workers without a trial, in the order of the arena.
    workers: Vec<WorkerKey>,
    capacity_milli: u64,
    committed_milli: u64,
    short_milli: u64,
    filler_milli: u64,
    /// Number of pieces for short steps that are left.
    pieces_left: u64,
    /// Pieces for short steps, none while enough are left.
    pieces: Option<Pieces>,
    /// Whether fillers wait that are not expected to be in time.
    fillers_late: bool,
}

/// Index of a pool, which is added if it is new.
fn pool_index(pools: &mut Vec<PoolUse>, name: &str) -> usize {
    if let Some(index) = pools.iter().position(|pool| pool.name == name) {
        return index;
    }
    pools.push(PoolUse {
        name: name.to_owned(),
        ..PoolUse::default()
    });
    pools.len() - 1
}

/// State of one assignment pass.
pub(super) struct AssignPass {
    pub usable: Vec<WorkerKey>,
    pools: Vec<PoolUse>,
    /// What the usable workers have for further tasks.
    rooms: SecondaryMap<WorkerKey, Room>,
    /// Steps that found no place.
    unplaced: UnplacedSteps,
    /// Number of fillers that were tried and found no place.
    unplaced_fillers: usize,
    /// Accounts that met their cap; their later steps must not take what a step waits for.
    capped: HashSet<AccountKey>,
    /// Workers whose short runs make room for an overdue standing task: other steps would take it
    /// piece by piece.
    held: HashSet<WorkerKey>,
    /// Whether no further worker is held.
    is_hold_over: bool,
    /// Trials of tasks that may crash their workers; these are not usable.
    pub trials: Trials,
    /// Tasks of the present step.
    pub per_worker: StepCount,
    /// Whether a suspect of the present step fits on no worker. None of its others does either.
    pub is_untriable: bool,
    pub now: Monotonic,
}

impl AssignPass {
    /// Whether the pass leaves out a step.
    fn skips(&self, step: &Waiting) -> bool {
        let is_recent = step.untried_ms.is_some_and(|age| age < SKIP_MAX_MS);
        step.filler && is_recent && self.unplaced_fillers >= MAX_UNPLACED_FILLERS
    }

    /// Takes a worker from the usable ones for a trial in its pool.
    pub fn take_usable(&mut self, pool: usize, worker: WorkerKey) {
        let at = self.usable.iter().position(|key| *key == worker);
        if let Some(at) = at {
            self.usable.remove(at);
            self.pools[pool].workers.retain(|key| *key != worker);
            self.trials.usable.push(worker);
        }
    }

    /// Takes note of what a worker has left after a placement.
    pub fn update_room(&mut self, key: WorkerKey, worker: &Worker) {
        self.rooms.insert(key, Room::of(worker));
    }

    /// Whether a usable worker is known to have no room for one more task.
    pub fn has_no_room(&self, worker: WorkerKey, request: &place::AssignmentRequest<'_>) -> bool {
        let room = self.rooms.get(worker);
        room.is_some_and(|room| room.fit(request).is_err())
    }

    /// Name of a pool.
    pub fn pool_name(&self, pool: usize) -> &str {
        &self.pools[pool].name
    }

    /// Usable workers of a pool.
    pub fn in_pool(&self, pool: usize) -> &[WorkerKey] {
        &self.pools[pool].workers
    }
}

/// What became of a step in a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// All of its tasks that may start were placed, or its account is at its cap.
    Placed,
    /// Some found no place on a worker.
    Unplaced,
    /// It was not tried, see [`MAX_UNPLACED_FILLERS`].
    Skipped,
}

/// Worker on which a task can be placed.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    cost: f64,
    worker: WorkerKey,
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Candidate {
    /// The cheapest candidate is the greatest, and among equals the first in the arena.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_cost = other.cost.total_cmp(&self.cost);
        by_cost.then(other.worker.cmp(&self.worker))
    }
}

/// Removes and returns the cheapest worker, counting a penalty for the one to avoid.
fn cheapest(candidates: &mut BinaryHeap<Candidate>, avoid: Option<WorkerKey>) -> Option<WorkerKey> {
    let first = candidates.pop()?;
    if avoid != Some(first.worker) {
        return Some(first.worker);
    }
    let is_better = |second: &Candidate| second.cost < first.cost + place::AVOID_COST;
    if candidates.peek().is_some_and(is_better) {
        let second = candidates.pop()?;
        candidates.push(first);
        return Some(second.worker);
    }
    Some(first.worker)
}

/// Numbers of tasks of a step on the workers. One table serves all steps of a pass: a new one for
/// each would cost as much as there are workers.
#[derive(Debug, Default)]
pub(super) struct StepCount {
    counts: SecondaryMap<WorkerKey, u32>,
    /// Workers with an entry.
    used: Vec<WorkerKey>,
}

impl StepCount {
    /// Number of tasks on a worker.
    pub fn on(&self, worker: WorkerKey) -> u32 {
        self.counts.get(worker).copied().unwrap_or(0)
    }

    /// Counts one more task on a worker; returns their number.
    pub fn add(&mut self, worker: WorkerKey) -> u32 {
        let count = self.on(worker) + 1;
        if self.counts.insert(worker, count).is_none() {
            self.used.push(worker);
        }
        count
    }

    /// Forgets all tasks.
    fn clear(&mut self) {
        for worker in self.used.drain(..) {
            self.counts.remove(worker);
        }
    }
}

/// Numbers of workers on which a task cannot be placed, by reason.
#[derive(Clone, Copy, Debug, Default)]
struct MisfitCounts {
    label: u32,
    spread: u32,
    cpu: u32,
    memory: u32,
    busy: u32,
    harm: u32,
    cap: u32,
    held: u32,
}

impl MisfitCounts {
    fn count(&mut self, misfit: Misfit) {
        *match misfit {
            Misfit::Label => &mut self.label,
            Misfit::Spread => &mut self.spread,
            Misfit::Cpu => &mut self.cpu,
            Misfit::Memory => &mut self.memory,
            Misfit::Busy => &mut self.busy,
            Misfit::Harm => &mut self.harm,
            Misfit::Cap => &mut self.cap,
            Misfit::Held => &mut self.held,
        } += 1;
    }

    /// Whether what standing tasks are expected to need keeps a filler from workers.
    fn has_expected(self) -> bool {
        self.harm + self.memory > 0
    }
}

/// Defers jobs that cannot be in time together. Fillers and other steps use different CPU.
fn defer(found: &mut [Waiting], pools: &[PoolUse]) {
    for (index, pool) in pools.iter().enumerate() {
        for (filler, in_use) in [(false, pool.short_milli), (true, pool.filler_milli)] {
            let rate = in_use.max(pool.capacity_milli / RATE_MIN_DIVISOR);
            let (jobs, spans) = prospects(found, index, filler);
            for at in outlook::deferred(&jobs, rate) {
                for step in &mut found[spans[at].clone()] {
                    let is_concerned = step.pool == index && step.filler == filler;
                    step.rank.deferred |= is_concerned;
                }
            }
        }
    }
}

/// Jobs with waiting steps of a kind that would be in time one by one, and the places of
/// their steps.
fn prospects(found: &[Waiting], pool: usize, filler: bool) -> (Vec<Prospect>, Vec<Range<usize>>) {
    let mut jobs = Vec::new();
    let mut spans: Vec<Range<usize>> = Vec::new();
    let mut last = None;
    for (at, step) in found.iter().enumerate() {
        let concerns = step.pool == pool && step.filler == filler;
        if !concerns || step.rank.deadline_class() != DeadlineClass::InTime {
            continue;
        }
        let round = Some((step.job, step.round));
        match spans.last_mut().filter(|_| last == round) {
            Some(span) => span.end = at + 1,
            None => {
                jobs.push(Prospect {
                    time_left: step.rank.time_left(),
                    work: step.work,
                    density: step.rank.density,
                });
                spans.push(at..at + 1);
            }
        }
        last = round;
    }
    (jobs, spans)
}

/// Puts short steps ahead of standing ones, as far as the allowance of their pool goes;
/// true if there are any.
fn put_ahead(found: &mut [Waiting], pools: &[PoolUse]) -> bool {
    let mut allowances: Vec<Allowance> = pools
        .iter()
        .map(|pool| Allowance::new(pool.capacity_milli, pool.short_milli))
        .collect();
    if !found.iter().any(|step| step.rank.standing) {
        return false;
    }
    let mut is_any = false;
    for step in found.iter_mut().filter(|step| step.short) {
        match step.rank.deadline_class() {
            DeadlineClass::InTime | DeadlineClass::Deferred | DeadlineClass::Late => {}
            DeadlineClass::Standing | DeadlineClass::NoValue => continue,
        }
        step.rank.ahead = allowances[step.pool].take(step.cpu_milli);
        is_any |= step.rank.ahead;
    }
    is_any
}

impl Dispatcher {
    /// Waiting steps in the order in which they are placed.
    fn waiting_steps(&mut self, pools: &mut Vec<PoolUse>, now: Monotonic) -> Vec<Waiting> {
        let mut found = Vec::new();
        let mut pending = std::mem::take(&mut self.pending);
        pending.retain(|id| {
            let before = found.len();
            self.add_waiting_steps(*id, pools, now, &mut found);
            found.len() > before
        });
        self.pending = pending;
        let in_order = |a: &Waiting, b: &Waiting| {
            let order = a.rank.compare(&b.rank);
            order.then(a.job.cmp(&b.job)).then(a.step.cmp(&b.step))
        };
        defer(&mut found, pools);
        found.sort_by(in_order);
        if put_ahead(&mut found, pools) {
            found.sort_by(in_order);
        }
        if self.accounts.is_declared() {
            let steps = found.iter_mut();
            let steps = steps.map(|step| (&mut step.rank, step.job, step.round, step.step));
            self.rank_shares(steps, now);
            found.sort_by(in_order);
        }
        found
    }

    /// Adds the waiting steps of a job.
    fn add_waiting_steps(
        &self,
        id: JobId,
        pools: &mut Vec<PoolUse>,
        now: Monotonic,
        found: &mut Vec<Waiting>,
    ) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.state.is_final()) else {
            return;
        };
        let queue = self.queue_of(job);
        let longest = job.critical_paths.iter().max().copied().unwrap_or(0);
        let objective_ms = queue.objective_ms(longest);
        let mean = self.work_means.get(&queue.name);
        let mean = mean.map_or(0.0, |mean| mean.value());
        let first = found.len();
        let mut is_idle = true;
        for round in &job.rounds {
            let begin = found.len();
            let mut left: u64 = 0;
            for (step, state) in (0u32..).zip(&round.steps) {
                if state.remaining == 0 {
                    continue;
                }
                let spec = &job.record.spec.steps[step as usize];
                is_idle &= state.waiting() == state.remaining;
                let waiting = u64::from(state.waiting());
                left = left.saturating_add(step_order::work_of(spec, waiting));
                if waiting == 0 || !round.is_ready(spec) {
                    continue;
                }
                let step = Waiting {
                    rank: StepRank {
                        priority: queue.priority,
                        age_ms: job.age_ms(now),
                        remaining_ms: job.critical_paths[step as usize],
                        objective_ms,
                        standing: spec.standing,
                        share: ShareRank::default(),
                        ahead: false,
                        overdue: false,
                        deferred: false,
                        density: 0.0,
                    },
                    job: id,
                    round: round.number,
                    step,
                    filler: spec.filler,
                    short: room::is_short(spec),
                    cpu_milli: spec.amount.cpu_milli.saturating_mul(waiting),
                    work: 0,
                    pool: pool_index(pools, &queue.pool),
                    untried_ms: state.tried_at.map(|at| now.since(at)),
                    idle_ms: 0,
                    owed: false,
                };
                // Its other tasks do not precede short steps with the overdue ones.
                if spec.standing && state.tasks().iter().any(|task| task.is_overdue(now)) {
                    let mut overdue = step.clone();
                    overdue.rank.overdue = true;
                    found.push(overdue);
                }
                found.push(step);
            }
            let density = outlook::density(job.work, left, mean);
            for step in &mut found[begin..] {
                step.work = left;
                step.rank.density = density;
            }
        }
        let idle_ms = job.idle_ms(is_idle && found.len() > first, now);
        for step in &mut found[first..] {
            step.idle_ms = idle_ms;
        }
    }

    /// Use of the pools by their usable workers.
    fn pool_uses(&self, usable: &[WorkerKey], now: Monotonic) -> Vec<PoolUse> {
        let mut pools = Vec::new();
        for key in usable {
            let worker = &self.workers[*key];
            let index = pool_index(&mut pools, &worker.info.pool);
            let pool = &mut pools[index];
            pool.workers.push(*key);
            pool.capacity_milli += worker.info.capacity.cpu_milli;
            pool.committed_milli += worker.committed.cpu_milli;
            pool.short_milli += worker.short_milli;
            pool.filler_milli += worker.filler_milli;
        }
        for pool in &mut pools {
            let Some(demand) = self.demands.get(&pool.name) else {
                continue;
            };
            let pieces = demand.pieces(now);
            let in_pool = pool.workers.iter().map(|key| &self.workers[*key]);
            pool.pieces_left = in_pool.map(|worker| pieces.count(worker.free())).sum();
            pool.pieces = pieces.are_scarce(pool.pieces_left).then_some(pieces);
        }
        pools
    }

    /// Assigns waiting tasks to workers.
    pub(super) fn assign(&mut self, now: Monotonic) {
        if self.pending.is_empty() {
            self.steps_waiting = StepCounts::default();
            return;
        }
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        let mut usable: Vec<WorkerKey> = keys
            .into_iter()
            .filter(|key| self.is_usable(*key, now))
            .collect();
        let trials = self.trials(&mut usable);
        let mut pools = self.pool_uses(&usable, now);
        let mut waiting = self.waiting_steps(&mut pools, now);
        owed::mark(&mut waiting, &pools);
        self.steps_waiting = StepCounts::new(&waiting);
        if waiting.is_empty() {
            return;
        }
        for step in waiting.iter().filter(|step| step.filler) {
            let is_late = match step.rank.deadline_class() {
                DeadlineClass::Deferred | DeadlineClass::Late | DeadlineClass::NoValue => true,
                DeadlineClass::Standing | DeadlineClass::InTime => false,
            };
            pools[step.pool].fillers_late |= is_late;
        }
        self.log_overload(&usable, &pools, now);
        let rooms = usable
            .iter()
            .map(|key| (*key, Room::of(&self.workers[*key])));
        let mut pass = AssignPass {
            rooms: rooms.collect(),
            usable,
            pools,
            unplaced: UnplacedSteps::default(),
            unplaced_fillers: 0,
            capped: HashSet::default(),
            held: HashSet::default(),
            is_hold_over: false,
            trials,
            per_worker: StepCount::default(),
            is_untriable: false,
            now,
        };
        self.count_late_claims(now);
        self.headroom.expire_trials(now);
        let mut is_full = false;
        let mut skipped = Skipped::default();
        for (at, step) in waiting.iter().enumerate() {
            match self.assign_step(step, &mut pass) {
                Outcome::Placed => {}
                Outcome::Unplaced => is_full = true,
                Outcome::Skipped => {
                    is_full = true;
                    skipped.add(at, step.untried_ms.unwrap_or(0));
                }
            }
        }
        self.log_skipped(skipped, &waiting, pass.unplaced_fillers, now);
        self.accounts.end_pass(is_full, &pass.capped, now);
    }

    /// Assigns the waiting tasks of a step.
    fn assign_step(&mut self, step: &Waiting, pass: &mut AssignPass) -> Outcome {
        let job = &self.jobs[&step.job];
        if job.account.is_some_and(|key| pass.capped.contains(&key)) {
            return Outcome::Placed;
        }
        let spec = &job.record.spec.steps[step.step as usize];
        let may_hold = step.rank.overdue && !pass.is_hold_over;
        if !may_hold && pass.unplaced.cover(step, spec) {
            return Outcome::Unplaced;
        }
        if pass.skips(step) {
            return Outcome::Skipped;
        }
        let round = job.rounds.iter().find(|round| round.number == step.round);
        let Some(tasks) = round.map(|round| round.steps[step.step as usize].tasks()) else {
            return Outcome::Placed;
        };
        let record_room = self.record_room(step.job);
        let waiting: Vec<(u32, Option<WorkerKey>)> = (0u32..)
            .zip(tasks)
            .filter(|(_, task)| task.is_waiting())
            .filter(|(_, task)| !self.must_wait(task, step.job, spec.standing, pass.now))
            .filter(|(_, task)| !step.rank.overdue || task.is_overdue(pass.now))
            .take(record_room)
            .map(|(index, task)| (index, task.avoid))
            .collect();
        if waiting.is_empty() {
            return Outcome::Placed;
        }
        pass.per_worker.clear();
        pass.is_untriable = false;
        for run in tasks.iter().flat_map(|task| &task.runs) {
            pass.per_worker.add(self.runs[*run].worker);
        }
        let spec = spec.clone();
        self.note_tried(step, pass.now);
        let pool_use = &pass.pools[step.pool];
        let spares_idle = pool_use.fillers_late && pool_use.pieces.is_some();
        let mut request =
            place::AssignmentRequest::new(&mut self.headroom, &spec, pool_use.pieces, spares_idle);
        let (suspects, waiting) = self.split_suspects(step, waiting);
        for task in suspects {
            if self.has_cap_room(step.job, &spec) {
                self.start_trial(task, step.pool, &request, pass);
            }
        }
        let (mut candidates, mut misfits) = self.candidates(step, &request, pass);
        if step.owed
            && candidates.is_empty()
            && misfits.has_expected()
            && let Some((index, avoid)) = waiting.first().copied()
            && self.start_owed(step, index, avoid, &mut request, pass, misfits)
        {
            return Outcome::Unplaced;
        }
        let mut left = waiting.len();
        for (index, avoid) in waiting {
            let worker = loop {
                let Some(worker) = cheapest(&mut candidates, avoid) else {
                    break None;
                };
                // Placements of this pass may have used up the trials of a pair of images.
                let same_step = pass.per_worker.on(worker);
                match self.cost(worker, &request, same_step) {
                    Err(misfit) if spec.filler => misfits.count(misfit),
                    _ => break Some(worker),
                }
            };
            let Some(worker) = worker else {
                if step.rank.overdue && self.has_cap_room(step.job, &spec) {
                    self.hold_workers(left, step.pool, &spec, pass);
                }
                pass.unplaced.add(step, &spec, misfits);
                pass.unplaced_fillers += usize::from(spec.filler);
                self.log_waiting(step, pass, misfits);
                return Outcome::Unplaced;
            };
            if !self.has_cap_room(step.job, &spec) {
                misfits.count(Misfit::Cap);
                if let Some(account) = self.account_of(step.job) {
                    pass.capped.insert(account);
                    self.cap_reached(account, spec.amount, pass.now);
                }
                self.log_waiting(step, pass, misfits);
                return Outcome::Placed;
            }
            let same_step = pass.per_worker.add(worker);
            let task = step.task(index);
            if spec.filler {
                self.add_trials(&mut request, worker);
            }
            self.assign_task(task, worker, pass.now);
            pass.update_room(worker, &self.workers[worker]);
            left -= 1;
            match self.cost(worker, &request, same_step) {
                Ok(cost) => candidates.push(Candidate { cost, worker }),
                Err(misfit) => misfits.count(misfit),
            }
        }
        Outcome::Placed
    }

    /// Holds workers for overdue tasks that fit nowhere: those on which the short runs leave enough
    /// room, the least of which is missing first.
    fn hold_workers(&self, tasks: usize, pool: usize, spec: &StepSpec, pass: &mut AssignPass) {
        let amount = place::committed(spec);
        let makes_room = |key: &WorkerKey| {
            let worker = &self.workers[*key];
            let mut free = worker.free();
            let missing = amount.cpu_milli.saturating_sub(free.cpu_milli);
            free.cpu_milli += worker.short_milli;
            let is_fit = !worker.is_over()
                && missing > 0
                && amount.fits(free)
                && place::allows(worker, spec, pass.per_worker.on(*key)).is_ok();
            (is_fit && !pass.held.contains(key)).then_some((missing, *key))
        };
        let in_pool = pass.in_pool(pool).iter();
        let mut found: Vec<(u64, WorkerKey)> = in_pool.filter_map(makes_room).collect();
        found.sort_unstable();
        let limit = MAX_HELD.min(pass.usable.len().div_ceil(HELD_DIVISOR));
        let left = limit.saturating_sub(pass.held.len()).min(tasks);
        let keys = found.iter().take(left).map(|(_, key)| *key);
        pass.held.extend(keys);
        // Later steps would look at all workers again for nothing.
        pass.is_hold_over = found.is_empty() || pass.held.len() >= limit;
    }

    /// Workers on which a step can be placed, and the reasons against the others.
    fn candidates(
        &mut self,
        step: &Waiting,
        request: &place::AssignmentRequest<'_>,
        pass: &AssignPass,
    ) -> (BinaryHeap<Candidate>, MisfitCounts) {
        let mut misfits = MisfitCounts::default();
        let spec = request.step;
        // Fillers take no committed CPU.
        let minds_held = !spec.filler && !step.rank.overdue && !pass.held.is_empty();
        let is_limited = !spec.label.is_empty() || spec.spread > 0;
        let mut candidates = Vec::new();
        for worker in pass.in_pool(step.pool).iter().copied() {
            if minds_held && pass.held.contains(&worker) {
                misfits.count(Misfit::Held);
                continue;
            }
            let same_step = pass.per_worker.on(worker);
            let allowed = if is_limited {
                place::allows(&self.workers[worker], spec, same_step)
            } else {
                Ok(())
            };
            // Most workers have no room; their states are not looked at.
            let room = &pass.rooms[worker];
            let fit = allowed.and_then(|()| room.fit(request));
            match fit.and_then(|()| self.cost_of_fit(worker, room, request, same_step)) {
                Ok(cost) => candidates.push(Candidate { cost, worker }),
                Err(misfit) => misfits.count(misfit),
            }
        }
        (BinaryHeap::from(candidates), misfits)
    }

    /// Cost of one more task on a worker.
    pub(super) fn cost(
        &mut self,
        key: WorkerKey,
        request: &place::AssignmentRequest<'_>,
        same_step: u32,
    ) -> Result<f64, Misfit> {
        let worker = &self.workers[key];
        place::allows(worker, request.step, same_step)?;
        let room = Room::of(worker);
        room.fit(request)?;
        self.cost_of_fit(key, &room, request, same_step)
    }

    /// [`Self::cost`] on a worker where it fits; its load is computed and cached if needed.
    fn cost_of_fit(
        &mut self,
        key: WorkerKey,
        room: &Room,
        request: &place::AssignmentRequest<'_>,
        same_step: u32,
    ) -> Result<f64, Misfit> {
        let rack_cost = if request.step.rack.is_empty() {
            0.0
        } else {
            place::rack_cost(&self.workers[key], request.step)
        };
        if !request.needs_load() {
            return Ok(place::plain_cost(room, rack_cost, request, same_step));
        }
        if !self.cached_loads.contains_key(key) {
            self.cached_loads.insert(key, self.load(key));
        }
        let load = &self.cached_loads[key];
        place::load_cost(room, rack_cost, load, request, same_step, &self.headroom)
    }

    /// Records the placement of a filler beside the standing tasks of a worker.
    fn add_trials(&mut self, request: &mut place::AssignmentRequest<'_>, worker: WorkerKey) {
        let Some(load) = self.cached_loads.get(worker) else {
            return;
        };
        for standing in load.tails.iter().map(|tail| tail.image) {
            request.add_trial(&mut self.headroom, standing);
        }
    }

    /// Logs why a step waits: once, and again for a standing one that still waits.
    fn log_waiting(&mut self, step: &Waiting, pass: &AssignPass, misfits: MisfitCounts) {
        let (usable, now) = (&pass.usable, pass.now);
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let Some(state) = job.step_mut(step.round, step.step) else {
            return;
        };
        let is_due = state
            .logged_at
            .is_none_or(|at| step.rank.standing && now.since(at) >= WAITING_PAUSE_MS);
        if !is_due {
            return;
        }
        state.logged_at = Some(now);
        let tasks = state.tasks().iter().filter(|task| task.is_waiting());
        let unplaced = tasks.clone().count();
        let away_ms = tasks.filter_map(|task| task.last_end.age_ms(now)).max();
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let pool = &self.queue_of(job).pool;
        let in_pool = usable.iter().map(|key| &self.workers[*key]);
        let free = in_pool
            .filter(|worker| worker.info.pool == *pool)
            .map(Worker::free);
        let most = free.max_by_key(|free| free.cpu_milli).unwrap_or_default();
        Entry::new(Kind::Waiting)
            .with_text("job", step.job)
            .with("step", step.step)
            .with("class", step.rank.deadline_class())
            .with("ahead", step.rank.ahead)
            .with("tasks", unplaced)
            .with("amount", job.step_spec(step.step).map(|spec| spec.amount))
            .with("age-ms", step.rank.age_ms)
            .with("away-ms", away_ms)
            .with("workers", usable.len())
            .with("no-label", misfits.label)
            .with("spread", misfits.spread)
            .with("no-room", misfits.cpu + misfits.memory)
            .with("no-memory", misfits.memory)
            .with("most-free", most)
            .with("busy", misfits.busy)
            .with("harm", misfits.harm)
            .with("cap", misfits.cap)
            .with("held", misfits.held)
            .emit();
    }

    /// Logs, at most once a second, that standing tasks wait, or jobs that cannot all be in time.
    fn log_overload(&mut self, usable: &[WorkerKey], pools: &[PoolUse], now: Monotonic) {
        let counts = self.steps_waiting;
        let is_recent = self
            .overload_logged
            .is_some_and(|at| now.since(at) < OVERLOAD_PAUSE_MS);
        if is_recent || counts.standing + counts.deferred + counts.late + counts.no_value == 0 {
            return;
        }
        self.overload_logged = Some(now);
        let sum = |part: fn(&PoolUse) -> u64| pools.iter().map(part).sum::<u64>();
        let in_use = usable.iter().map(|key| &self.workers[*key]);
        let committed: u64 = in_use.clone().map(|w| w.committed.cpu_milli).sum();
        let most_free = in_use.map(|w| w.free().cpu_milli).max();
        Entry::new(Kind::Overload)
            .with("standing", counts.standing)
            .with("ahead", counts.ahead)
            .with("overdue", counts.overdue)
            .with("in-time", counts.in_time)
            .with("deferred", counts.deferred)
            .with("late", counts.late)
            .with("no-value", counts.no_value)
            .with("workers", self.workers.len())
            .with("usable", usable.len())
            .with("cpu-milli", sum(|pool| pool.capacity_milli))
            .with("committed-milli", committed)
            .with("most-free-milli", most_free)
            .with("short-milli", sum(|pool| pool.short_milli))
            .with("filler-milli", sum(|pool| pool.filler_milli))
            .with("pieces", sum(|pool| pool.pieces_left))
            .with("scarce", pools.iter().any(|pool| pool.pieces.is_some()))
            .emit();
    }

    /// Assigns a task to a worker; none if its round has not begun.
    pub(super) fn assign_task(
        &mut self,
        task: TaskId,
        worker: WorkerKey,
        now: Monotonic,
    ) -> Option<RunKey> {
        let state = self.task_mut(task)?;
        state.last_run += 1;
        let number = state.last_run;
        let run = self.insert_run(task, number, worker, now);
        if let Some(job) = self.jobs.get(&task.job) {
            job.idle_since.set(None);
        }
        if let Some(state) = self.task_mut(task) {
            state.runs.push(run);
        }
        self.mark_dirty(task.job);
        self.runs[run].recorded_in = self.jobs.get(&task.job).map_or(0, |job| job.version);
        Entry::new(Kind::Placed)
            .with_text("task", task)
            .with("run", number)
            .with("worker", &self.workers[worker].info.name)
            .emit();
        Some(run)
    }
}
