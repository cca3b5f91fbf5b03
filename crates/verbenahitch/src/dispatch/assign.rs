//! Assignment of waiting tasks to workers.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use slotmap::SecondaryMap;

use super::place::{self, Misfit};
use super::table::Task;
use super::wait::Standing;
use super::worker::WorkerKey;
use super::{Dispatcher, Entry, JobId, Kind, Millis, Monotonic, StepSpec, TaskId};

/// Steps of fillers that find no place after which one pass tries no more of them:
/// those behind them are as large and less urgent, as a rule.
const FULL_STEPS: usize = 8;

/// A step with tasks to place.
struct Waiting {
    standing: Standing,
    job: JobId,
    round: u32,
    step: u32,
    filler: bool,
}

/// What one pass of assignments looks at.
struct Search {
    usable: Vec<WorkerKey>,
    /// Pools and steps that found no worker with the label and the room.
    unplaced: Vec<(String, StepSpec)>,
    now: Monotonic,
}

impl Search {
    /// Whether a step that needs no more was tried in vain.
    fn is_unplaceable(&self, pool: &str, step: &StepSpec) -> bool {
        self.unplaced.iter().any(|(tried, other)| {
            tried == pool
                && other.label == step.label
                && place::committed(other).fits(place::committed(step))
        })
    }
}

/// A worker that a task can go to.
#[derive(Clone, Copy, Debug)]
struct Offer {
    cost: f64,
    worker: WorkerKey,
}

impl PartialEq for Offer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Offer {}

impl PartialOrd for Offer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Offer {
    /// The cheapest is the greatest; of equals, the first in the arena.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_cost = other.cost.total_cmp(&self.cost);
        by_cost.then(other.worker.cmp(&self.worker))
    }
}

/// Takes out the cheapest worker, with a cost on the one to avoid.
fn cheapest(offers: &mut BinaryHeap<Offer>, avoid: Option<WorkerKey>) -> Option<WorkerKey> {
    let first = offers.pop()?;
    if avoid != Some(first.worker) {
        return Some(first.worker);
    }
    let is_better = |second: &Offer| second.cost < first.cost + place::AVOID_COST;
    if offers.peek().is_some_and(is_better) {
        let second = offers.pop()?;
        offers.push(first);
        return Some(second.worker);
    }
    Some(first.worker)
}

/// Tasks of a step on a worker.
fn count(same: &SecondaryMap<WorkerKey, u32>, worker: WorkerKey) -> u32 {
    same.get(worker).copied().unwrap_or(0)
}

/// Workers that a task cannot go to, by the reason.
#[derive(Clone, Copy, Debug, Default)]
struct Misfits {
    label: u32,
    spread: u32,
    room: u32,
    busy: u32,
    harm: u32,
}

impl Misfits {
    fn note(&mut self, misfit: Misfit) {
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
            self.add_waiting(*id, now, &mut found);
            found.len() > before
        });
        self.pending = pending;
        found.sort_by(|a, b| {
            let order = a.standing.compare(&b.standing);
            order.then(a.job.cmp(&b.job)).then(a.step.cmp(&b.step))
        });
        found
    }

    /// Adds the waiting steps of a job.
    fn add_waiting(&self, id: JobId, now: Monotonic, found: &mut Vec<Waiting>) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.state.is_final()) else {
            return;
        };
        let terms = self.terms(job);
        let longest = job.chains.iter().max().copied().unwrap_or(0);
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "durations are far below 2^52 ms"
        )]
        let stretched = (longest as f64 * terms.stretch.max(0.0)) as Millis;
        for round in &job.rounds {
            for (step, state) in (0u32..).zip(&round.steps) {
                let spec = &job.record.spec.steps[step as usize];
                let is_waiting = state.tasks.iter().any(Task::is_waiting);
                if !is_waiting || !round.is_ready(spec) {
                    continue;
                }
                found.push(Waiting {
                    standing: Standing {
                        priority: terms.priority,
                        age_ms: now.since(job.arrived),
                        left_ms: job.chains[step as usize],
                        objective_ms: stretched + terms.target_ms,
                        lasting: spec.standing,
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
        let mut search = Search {
            usable: keys
                .into_iter()
                .filter(|key| self.is_usable(*key, now))
                .collect(),
            unplaced: Vec::new(),
            now,
        };
        let mut full = 0;
        for step in waiting {
            if step.filler && full >= FULL_STEPS {
                continue;
            }
            let is_placed = self.assign_step(&step, &mut search);
            if step.filler && !is_placed {
                full += 1;
            }
        }
    }

    /// Assigns the waiting tasks of a step; false if some found no place.
    fn assign_step(&mut self, step: &Waiting, search: &mut Search) -> bool {
        let job = &self.jobs[&step.job];
        let spec = &job.record.spec.steps[step.step as usize];
        if !spec.filler && search.is_unplaceable(&self.terms(job).pool, spec) {
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
        let mut same: SecondaryMap<WorkerKey, u32> = SecondaryMap::new();
        for run in tasks.iter().flat_map(|task| &task.runs) {
            let worker = self.runs[*run].worker;
            same.insert(worker, count(&same, worker) + 1);
        }
        let pool = self.terms(job).pool.clone();
        let spec = spec.clone();
        let wanted = place::Wanted::new(&mut self.presses, &spec);
        let (mut offers, mut misfits) = self.offers(&pool, &wanted, &same, search);
        for (index, avoid) in waiting {
            let Some(worker) = cheapest(&mut offers, avoid) else {
                if !spec.filler && misfits.spread == 0 {
                    search.unplaced.push((pool, spec));
                }
                self.note_waiting(step, search.usable.len(), misfits);
                return false;
            };
            let taken = count(&same, worker) + 1;
            same.insert(worker, taken);
            let task = TaskId {
                job: step.job,
                round: step.round,
                step: step.step,
                index,
            };
            self.assign_task(task, worker, search.now);
            match self.cost(worker, &wanted, taken, search.now) {
                Ok(cost) => offers.push(Offer { cost, worker }),
                Err(misfit) => misfits.note(misfit),
            }
        }
        true
    }

    /// Workers that a step can go to, and why the others cannot take it.
    fn offers(
        &mut self,
        pool: &str,
        wanted: &place::Wanted<'_>,
        same: &SecondaryMap<WorkerKey, u32>,
        search: &Search,
    ) -> (BinaryHeap<Offer>, Misfits) {
        let mut misfits = Misfits::default();
        let mut offers = Vec::with_capacity(search.usable.len());
        for at in 0..search.usable.len() {
            let worker = search.usable[at];
            if self.workers[worker].info.pool != pool {
                continue;
            }
            match self.cost(worker, wanted, count(same, worker), search.now) {
                Ok(cost) => offers.push(Offer { cost, worker }),
                Err(misfit) => misfits.note(misfit),
            }
        }
        (BinaryHeap::from(offers), misfits)
    }

    /// Cost of one more task on a worker; its load is worked out if it is needed.
    fn cost(
        &mut self,
        key: WorkerKey,
        wanted: &place::Wanted<'_>,
        same: u32,
        now: Monotonic,
    ) -> Result<f64, Misfit> {
        let worker = &self.workers[key];
        place::fit(worker, wanted.step, same)?;
        if !wanted.needs_load() {
            return Ok(place::plain_cost(worker, wanted.step, same));
        }
        if !self.loads.contains_key(key) {
            self.loads.insert(key, self.load(key, now));
        }
        let load = &self.loads[key];
        place::cost(&self.workers[key], load, wanted, same, &self.presses)
    }

    /// Logs once why a step waits.
    fn note_waiting(&mut self, step: &Waiting, usable: usize, misfits: Misfits) {
        let job = self.jobs.get_mut(&step.job);
        let Some(state) = job.and_then(|job| job.step_mut(step.round, step.step)) else {
            return;
        };
        if std::mem::replace(&mut state.is_noted, true) {
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
        self.touch(task.job);
        self.runs[run].recorded_in = self.jobs.get(&task.job).map_or(0, |job| job.version);
        Entry::new(Kind::Placed)
            .with_text("task", task)
            .with("run", number)
            .with("worker", &self.workers[worker].info.name)
            .emit();
    }
}
