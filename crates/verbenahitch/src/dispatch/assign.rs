//! Assignment of waiting tasks to workers.

use super::place::{self, Misfit};
use super::wait::Standing;
use super::worker::WorkerKey;
use super::{Dispatcher, Entry, JobId, Kind, Millis, Monotonic, StepSpec, TaskId};
use crate::collections::HashMap;

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
    fn waiting_steps(&self, now: Monotonic) -> Vec<Waiting> {
        let mut found = Vec::new();
        for id in &self.open {
            let job = &self.jobs[id];
            if job.state.is_final() {
                continue;
            }
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
                    let is_waiting = state.tasks.iter().any(super::table::Task::is_waiting);
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
                        job: *id,
                        round: round.number,
                        step,
                        filler: spec.filler,
                    });
                }
            }
        }
        found.sort_by(|a, b| {
            let order = a.standing.compare(&b.standing);
            order.then(a.job.cmp(&b.job)).then(a.step.cmp(&b.step))
        });
        found
    }

    /// Assigns waiting tasks to workers.
    pub(super) fn assign(&mut self, now: Monotonic) {
        let waiting = self.waiting_steps(now);
        if waiting.is_empty() {
            return;
        }
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        let usable: Vec<WorkerKey> = keys
            .into_iter()
            .filter(|key| self.is_usable(*key, now))
            .collect();
        let mut loads: HashMap<WorkerKey, place::Load> = usable
            .iter()
            .map(|key| (*key, self.load(*key, now)))
            .collect();
        let mut full = 0;
        for step in waiting {
            if step.filler && full >= FULL_STEPS {
                continue;
            }
            let is_placed = self.assign_step(&step, &usable, &mut loads, now);
            if step.filler && !is_placed {
                full += 1;
            }
        }
    }

    /// Assigns the waiting tasks of a step; false if some found no place.
    fn assign_step(
        &mut self,
        step: &Waiting,
        usable: &[WorkerKey],
        loads: &mut HashMap<WorkerKey, place::Load>,
        now: Monotonic,
    ) -> bool {
        let job = &self.jobs[&step.job];
        let pool = self.terms(job).pool.clone();
        let spec = job.record.spec.steps[step.step as usize].clone();
        let round = job.rounds.iter().find(|round| round.number == step.round);
        let Some(tasks) = round.map(|round| &round.steps[step.step as usize].tasks) else {
            return true;
        };
        let waiting: Vec<(u32, Option<WorkerKey>)> = (0u32..)
            .zip(tasks)
            .filter(|(_, task)| task.is_waiting())
            .map(|(index, task)| (index, task.avoid))
            .collect();
        let mut same: HashMap<WorkerKey, u32> = HashMap::default();
        for run in tasks.iter().flat_map(|task| &task.runs) {
            *same.entry(self.runs[*run].worker).or_default() += 1;
        }
        for (index, avoid) in waiting {
            let mut misfits = Misfits::default();
            let choice = self.choose(&pool, &spec, usable, loads, &same, avoid, &mut misfits);
            let Some(worker) = choice else {
                self.note_waiting(step, usable.len(), misfits);
                return false;
            };
            *same.entry(worker).or_default() += 1;
            let task = TaskId {
                job: step.job,
                round: step.round,
                step: step.step,
                index,
            };
            self.assign_task(task, worker, now);
            loads.insert(worker, self.load(worker, now));
        }
        true
    }

    /// Logs once why a step waits.
    fn note_waiting(&mut self, step: &Waiting, usable: usize, misfits: Misfits) {
        let job = self.jobs.get_mut(&step.job);
        let Some(state) = job
            .and_then(|job| job.round_mut(step.round))
            .and_then(|round| round.steps.get_mut(step.step as usize))
        else {
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

    #[expect(
        clippy::too_many_arguments,
        reason = "the inputs of one decision, each of another origin"
    )]
    fn choose(
        &self,
        pool: &str,
        spec: &StepSpec,
        usable: &[WorkerKey],
        loads: &HashMap<WorkerKey, place::Load>,
        same: &HashMap<WorkerKey, u32>,
        avoid: Option<WorkerKey>,
        misfits: &mut Misfits,
    ) -> Option<WorkerKey> {
        let mut best: Option<(f64, WorkerKey)> = None;
        let image = self.presses.known(&spec.image);
        let weight = image.map_or(0.0, |image| self.presses.weight(image));
        for &key in usable {
            let worker = &self.workers[key];
            if worker.info.pool != pool {
                continue;
            }
            let same_step = same.get(&key).copied().unwrap_or(0);
            let load = &loads[&key];
            let harm = place::harm(&self.presses, load, spec, worker.info.capacity.cpu_milli);
            let cost = place::cost(worker, load, spec, same_step, harm, image, weight);
            let mut cost = match cost {
                Ok(cost) => cost,
                Err(misfit) => {
                    misfits.note(misfit);
                    continue;
                }
            };
            if avoid == Some(key) {
                cost += place::AVOID_COST;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
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
