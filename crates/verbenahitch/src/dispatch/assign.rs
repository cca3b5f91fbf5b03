//! Assignment of waiting tasks to workers.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use slotmap::SecondaryMap;

use super::place::{self, Misfit};
use super::step_order::StepRank;
use super::table::Task;
use super::worker::WorkerKey;
use super::{Dispatcher, Entry, JobId, Kind, Monotonic, StepSpec, TaskId};

/// Number of filler steps without a place after which a pass skips all further ones:
/// these are usually as large and less urgent.
const MAX_UNPLACED_FILLERS: usize = 8;

/// A step with tasks to place.
struct Waiting {
    rank: StepRank,
    job: JobId,
    round: u32,
    step: u32,
    filler: bool,
}

/// State of one assignment pass.
struct AssignPass {
    usable: Vec<WorkerKey>,
    /// Pools and steps for which no worker had the label and the free resources.
    unplaced: Vec<(String, StepSpec)>,
    now: Monotonic,
}

impl AssignPass {
    /// Whether this pass failed to place a step of the pool that has the same label and
    /// needs as much or less.
    fn is_unplaceable(&self, pool: &str, step: &StepSpec) -> bool {
        self.unplaced.iter().any(|(tried, other)| {
            tried == pool
                && other.label == step.label
                && place::committed(other).fits(place::committed(step))
        })
    }
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

/// Number of tasks of a step on a worker.
fn count_on(per_worker: &SecondaryMap<WorkerKey, u32>, worker: WorkerKey) -> u32 {
    per_worker.get(worker).copied().unwrap_or(0)
}

/// Numbers of workers on which a task cannot be placed, by reason.
#[derive(Clone, Copy, Debug, Default)]
struct MisfitCounts {
    label: u32,
    spread: u32,
    room: u32,
    busy: u32,
    harm: u32,
}

impl MisfitCounts {
    fn count(&mut self, misfit: Misfit) {
        *match misfit {
            Misfit::Label => &mut self.label,
            Misfit::Spread => &mut self.spread,
            Misfit::Room => &mut self.room,
            Misfit::Busy => &mut self.busy,
            Misfit::Harm => &mut self.harm,
        } += 1;
    }
}

impl Dispatcher {
    /// Waiting steps in the order in which they are placed.
    fn waiting_steps(&mut self, now: Monotonic) -> Vec<Waiting> {
        let mut found = Vec::new();
        let mut pending = std::mem::take(&mut self.pending);
        pending.retain(|id| {
            let before = found.len();
            self.add_waiting_steps(*id, now, &mut found);
            found.len() > before
        });
        self.pending = pending;
        found.sort_by(|a, b| {
            let order = a.rank.compare(&b.rank);
            order.then(a.job.cmp(&b.job)).then(a.step.cmp(&b.step))
        });
        found
    }

    /// Adds the waiting steps of a job.
    fn add_waiting_steps(&self, id: JobId, now: Monotonic, found: &mut Vec<Waiting>) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.state.is_final()) else {
            return;
        };
        let queue = self.queue_of(job);
        let longest = job.critical_paths.iter().max().copied().unwrap_or(0);
        let objective_ms = queue.objective_ms(longest);
        for round in &job.rounds {
            for (step, state) in (0u32..).zip(&round.steps) {
                let spec = &job.record.spec.steps[step as usize];
                let is_waiting = state.tasks.iter().any(Task::is_waiting);
                if !is_waiting || !round.is_ready(spec) {
                    continue;
                }
                found.push(Waiting {
                    rank: StepRank {
                        priority: queue.priority,
                        age_ms: now.since(job.accepted_at),
                        remaining_ms: job.critical_paths[step as usize],
                        objective_ms,
                        standing: spec.standing,
                    },
                    job: id,
                    round: round.number,
                    step,
                    filler: spec.filler,
                });
            }
        }
    }

    /// Assigns waiting tasks to workers.
    pub(super) fn assign(&mut self, now: Monotonic) {
        let waiting = self.waiting_steps(now);
        if waiting.is_empty() {
            return;
        }
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        let mut pass = AssignPass {
            usable: keys
                .into_iter()
                .filter(|key| self.is_usable(*key, now))
                .collect(),
            unplaced: Vec::new(),
            now,
        };
        self.headroom.expire_trials(now);
        let mut unplaced_fillers = 0;
        for step in waiting {
            if step.filler && unplaced_fillers >= MAX_UNPLACED_FILLERS {
                continue;
            }
            let is_placed = self.assign_step(&step, &mut pass);
            if step.filler && !is_placed {
                unplaced_fillers += 1;
            }
        }
    }

    /// Assigns the waiting tasks of a step; returns false if some found no place.
    fn assign_step(&mut self, step: &Waiting, pass: &mut AssignPass) -> bool {
        let job = &self.jobs[&step.job];
        let spec = &job.record.spec.steps[step.step as usize];
        if !spec.filler && pass.is_unplaceable(&self.queue_of(job).pool, spec) {
            return false;
        }
        let round = job.rounds.iter().find(|round| round.number == step.round);
        let Some(tasks) = round.map(|round| &round.steps[step.step as usize].tasks) else {
            return true;
        };
        let waiting: Vec<(u32, Option<WorkerKey>)> = (0u32..)
            .zip(tasks)
            .filter(|(_, task)| task.is_waiting())
            .map(|(index, task)| (index, task.avoid))
            .collect();
        let mut per_worker: SecondaryMap<WorkerKey, u32> = SecondaryMap::new();
        for run in tasks.iter().flat_map(|task| &task.runs) {
            let worker = self.runs[*run].worker;
            per_worker.insert(worker, count_on(&per_worker, worker) + 1);
        }
        let pool = self.queue_of(job).pool.clone();
        let spec = spec.clone();
        let request = place::AssignmentRequest::new(&mut self.headroom, &spec);
        let (mut candidates, mut misfits) = self.candidates(&pool, &request, &per_worker, pass);
        for (index, avoid) in waiting {
            let worker = loop {
                let Some(worker) = cheapest(&mut candidates, avoid) else {
                    break None;
                };
                // Placements of this pass may have used up the trials of a pair of images.
                let same_step = count_on(&per_worker, worker);
                match self.cost(worker, &request, same_step) {
                    Err(misfit) if spec.filler => misfits.count(misfit),
                    _ => break Some(worker),
                }
            };
            let Some(worker) = worker else {
                if !spec.filler && misfits.spread == 0 {
                    pass.unplaced.push((pool, spec));
                }
                self.log_waiting(step, pass.usable.len(), misfits);
                return false;
            };
            let same_step = count_on(&per_worker, worker) + 1;
            per_worker.insert(worker, same_step);
            let task = TaskId {
                job: step.job,
                round: step.round,
                step: step.step,
                index,
            };
            if spec.filler {
                self.add_trials(&request, worker);
            }
            self.assign_task(task, worker, pass.now);
            match self.cost(worker, &request, same_step) {
                Ok(cost) => candidates.push(Candidate { cost, worker }),
                Err(misfit) => misfits.count(misfit),
            }
        }
        true
    }

    /// Workers on which a step can be placed, and the reasons against the others.
    fn candidates(
        &mut self,
        pool: &str,
        request: &place::AssignmentRequest<'_>,
        per_worker: &SecondaryMap<WorkerKey, u32>,
        pass: &AssignPass,
    ) -> (BinaryHeap<Candidate>, MisfitCounts) {
        let mut misfits = MisfitCounts::default();
        let mut candidates = Vec::with_capacity(pass.usable.len());
        for at in 0..pass.usable.len() {
            let worker = pass.usable[at];
            if self.workers[worker].info.pool != pool {
                continue;
            }
            match self.cost(worker, request, count_on(per_worker, worker)) {
                Ok(cost) => candidates.push(Candidate { cost, worker }),
                Err(misfit) => misfits.count(misfit),
            }
        }
        (BinaryHeap::from(candidates), misfits)
    }

    /// Cost of one more task on a worker; its load is computed and cached if needed.
    fn cost(
        &mut self,
        key: WorkerKey,
        request: &place::AssignmentRequest<'_>,
        same_step: u32,
    ) -> Result<f64, Misfit> {
        let worker = &self.workers[key];
        place::fit(worker, request.step, same_step)?;
        if !request.needs_load() {
            return Ok(place::plain_cost(worker, request.step, same_step));
        }
        if !self.cached_loads.contains_key(key) {
            self.cached_loads.insert(key, self.load(key));
        }
        let load = &self.cached_loads[key];
        place::load_cost(&self.workers[key], load, request, same_step, &self.headroom)
    }

    /// Records the placement of a filler beside the standing tasks of a worker.
    fn add_trials(&mut self, request: &place::AssignmentRequest<'_>, worker: WorkerKey) {
        let Some(load) = self.cached_loads.get(worker) else {
            return;
        };
        for standing in load.tails.iter().map(|tail| tail.image) {
            self.headroom.add_trial(request.image, standing);
        }
    }

    /// Logs, once for each step, why it waits.
    fn log_waiting(&mut self, step: &Waiting, usable: usize, misfits: MisfitCounts) {
        let job = self.jobs.get_mut(&step.job);
        let Some(state) = job.and_then(|job| job.step_mut(step.round, step.step)) else {
            return;
        };
        if std::mem::replace(&mut state.wait_logged, true) {
            return;
        }
        let free = self
            .workers
            .values()
            .map(|worker| worker.info.capacity.less(worker.committed));
        let most = free.max_by_key(|free| free.cpu_milli).unwrap_or_default();
        Entry::new(Kind::Waiting)
            .with_text("job", step.job)
            .with("step", step.step)
            .with("workers", usable)
            .with("no-label", misfits.label)
            .with("spread", misfits.spread)
            .with("no-room", misfits.room)
            .with("most-free", most)
            .with("busy", misfits.busy)
            .with("harm", misfits.harm)
            .emit();
    }

    fn assign_task(&mut self, task: TaskId, worker: WorkerKey, now: Monotonic) {
        let Some(state) = self.task_mut(task) else {
            return;
        };
        state.last_run += 1;
        let number = state.last_run;
        let run = self.insert_run(task, number, worker, now);
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
    }
}
