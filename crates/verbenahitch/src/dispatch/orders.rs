//! One pass of decisions: what to look at, start, stop and pace now.

use super::report::{Order, Start, Target};
use super::worker::{Run, WorkerKey};
use super::{Dispatcher, Millis, Monotonic, Now, Phase, RunKey, health};

/// Age of a worker's last answer up to which it is given tasks, in milliseconds.
/// Longer than a look with its grace.
const FRESH_MS: Millis = 1_800;

/// Time after which waiting tasks are tried again though nothing has changed, in
/// milliseconds.
const RETRY_MS: Millis = 100;

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
        let (jobs, pending) = (&mut self.jobs, &mut self.pending);
        self.recurring.retain(|id| {
            let job = jobs.get_mut(id).filter(|job| !job.state.is_final());
            let Some(job) = job else {
                return false;
            };
            let begun = job.begun;
            job.begin_due(wall_ms);
            if job.begun > begun {
                pending.insert(*id);
            }
            job.begun < job.times()
        });
    }

    /// Orders about runs that are due.
    fn due_orders(&mut self, now: Monotonic, orders: &mut Vec<Order>) {
        let runs = &self.runs;
        self.due
            .retain(|key| runs.get(*key).is_some_and(Run::is_due));
        let is_ripe = |key: &&RunKey| {
            let run = &runs[**key];
            !run.busy && run.retry_at <= now
        };
        let ripe: Vec<RunKey> = self.due.iter().filter(is_ripe).copied().collect();
        for key in ripe {
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
        let base = self.quorum_at?;
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
