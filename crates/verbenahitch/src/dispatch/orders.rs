//! One pass of decisions: what to look at, start, stop and pace now.

use super::place::{self, Misfit};
use super::report::{Order, Start, Target};
use super::wait::Standing;
use super::worker::WorkerKey;
use super::{
    Dispatcher, Entry, JobId, Kind, Millis, Monotonic, Now, Phase, RunKey, StepSpec, TaskId, health,
};
use crate::collections::HashMap;

/// Age of a worker's last answer up to which it is given tasks, in milliseconds.
/// Longer than a look with its grace.
const FRESH_MS: Millis = 1_800;

/// Time after which waiting tasks are tried again though nothing has changed, in
/// milliseconds.
const RETRY_MS: Millis = 100;

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
    /// Decides on everything that is due.
    pub fn pass(&mut self, now: Now) -> Vec<Order> {
        let mut orders = Vec::new();
        if self.is_fenced {
            return orders;
        }
        self.expire(now.at);
        self.begin_rounds(now.wall_ms);
        self.review(now.at);
        self.due_looks(now.at, &mut orders);
        if self.may_act(now.at) {
            if self.has_news || now.at.since(self.assigned) >= RETRY_MS {
                self.has_news = false;
                self.assigned = now.at;
                self.assign(now.at);
            }
            self.due_orders(now.at, &mut orders);
        }
        orders
    }

    /// Whether a worker may be given tasks.
    pub(super) fn is_usable(&self, key: WorkerKey, now: Monotonic) -> bool {
        let worker = &self.workers[key];
        let is_listed = worker.listed
            || self
                .unlisted
                .get(&key)
                .is_some_and(|at| now.since(*at) <= self.bounds.relist_ms);
        is_listed
            && !worker.info.draining
            && worker.clock.is_some()
            && worker.answers(now, FRESH_MS)
            && worker.shunned_until <= now
            && !self.evacuated.contains(&worker.info.zone)
    }

    fn begin_rounds(&mut self, wall_ms: Millis) {
        for id in &self.open {
            if let Some(job) = self.jobs.get_mut(id).filter(|job| !job.state.is_final()) {
                job.begin_due(wall_ms);
            }
        }
    }

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
    fn assign(&mut self, now: Monotonic) {
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

    /// Orders about runs that are due.
    fn due_orders(&mut self, now: Monotonic, orders: &mut Vec<Order>) {
        let due: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| !run.busy && run.retry_at <= now && run.phase != Phase::Recording)
            .map(|(key, _)| key)
            .collect();
        for key in due {
            if let Some(order) = self.order(key, now) {
                self.runs[key].busy = true;
                orders.push(order);
            }
        }
    }

    fn order(&mut self, key: RunKey, now: Monotonic) -> Option<Order> {
        let run = &self.runs[key];
        let (phase, stop, pace, task, number) =
            (run.phase, run.stop, run.pace, run.task, run.number);
        let worker = &self.workers[run.worker];
        if worker.info.address.is_empty() || worker.clock.is_none() {
            return None;
        }
        let target = Target {
            key,
            name: worker.info.name.clone(),
            address: worker.info.address.clone(),
            task,
            run: number,
        };
        if stop {
            return (run.stopped.is_none()).then_some(Order::Stop(target));
        }
        if phase == Phase::Starting {
            if !worker.answers(now, FRESH_MS) {
                return None;
            }
            return self.start(key, target, now);
        }
        let wanted = self.runs[key].wanted_pace;
        (wanted != pace && phase == Phase::Live).then_some(Order::Pace(target, wanted))
    }

    fn start(&mut self, key: RunKey, target: Target, now: Monotonic) -> Option<Order> {
        let lease_ms = self.bounds.lease_ms;
        let payload = self.payload(target.task.job);
        let checkpoint = self
            .task_mut(target.task)
            .map(|task| task.checkpoint.clone())
            .unwrap_or_default();
        let worker = &mut self.workers[self.runs[key].worker];
        let lease_end = worker.lease_end(now, lease_ms)?;
        worker.lease_end = worker.lease_end.max(lease_end);
        self.runs[key].tries += 1;
        self.runs[key].resumed = !checkpoint.is_empty();
        Some(Order::Start(Start {
            target,
            payload,
            lease_end,
            checkpoint,
        }))
    }

    /// Frees what is left of workers that have not answered until their leases lapsed.
    fn expire(&mut self, now: Monotonic) {
        let lease_ms = self.bounds.lease_ms;
        let silent: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.answers(now, lease_ms))
            .map(|(key, _)| key)
            .collect();
        for key in silent {
            let worker = &self.workers[key];
            let lapsed = worker.lapsed_at().or_else(|| self.inherited_lapse());
            if lapsed.is_none_or(|at| now < at) {
                continue;
            }
            let runs: Vec<RunKey> = worker.runs.iter().copied().collect();
            for run in runs {
                self.end(run, super::EndCause::Lapsed, "", now);
            }
            if !self.workers[key].listed {
                self.drop_worker(key);
            }
        }
    }

    /// Instant at which leases that an earlier owner gave have surely lapsed:
    /// it could extend them until it lost the answers of most workers.
    fn inherited_lapse(&self) -> Option<Monotonic> {
        let base = self.quorum_at?.max(self.started);
        let slowest = self.bounds.lease_ms + self.bounds.lease_ms / 20;
        Some(base + self.bounds.quorum_ms + slowest)
    }

    fn drop_worker(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.names.remove(&worker.info.name);
            self.unlisted.remove(&key);
        }
    }

    /// Notes that a worker refused or never got an order.
    pub(super) fn shun(&mut self, key: WorkerKey, now: Monotonic) {
        if let Some(worker) = self.workers.get_mut(key) {
            health::refused(worker, now);
        }
    }
}
