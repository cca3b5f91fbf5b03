//! One pass of the dispatcher: the polls, starts, stops and changes of pace that are due.

use serde::Serialize;

use super::report::{EndCause, Evidence, Order, Start, Target};
use super::worker::{Listing, Run, WorkerKey};
use super::{
    Dispatcher, Entry, Kind, Millis, Monotonic, Now, Phase, RunKey, Worker, health, place,
};

/// Maximum age of a worker's last answer for it to be given tasks, in milliseconds.
/// Longer than a poll with its grace.
pub(super) const USABLE_AGE_MS: Millis = 1_800;

/// Time after which the assignment of waiting tasks is retried without a change, in
/// milliseconds.
const ASSIGN_RETRY_MS: Millis = 100;

/// Shortest time between two assignments, in milliseconds. On a large fleet a run ends
/// every few milliseconds; ends of this time are handled together.
const ASSIGN_PAUSE_MS: Millis = 15;

/// Reason for which a recorded start is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Withdrawal {
    /// The worker drains or its zone is evacuated.
    Leaving,
    /// The worker's registry entry cannot be read.
    Unreadable,
    /// The worker's runs need more than it has.
    NoRoom,
    /// The worker is of another pool, or not known to have the label.
    Unfit,
}

impl Dispatcher {
    /// Longest time until the next pass, in milliseconds, at most `limit_ms`.
    pub fn next_pass_ms(&self, limit_ms: Millis) -> Millis {
        if self.assign_needed {
            limit_ms.min(ASSIGN_PAUSE_MS)
        } else {
            limit_ms
        }
    }

    /// Makes all decisions that are due and returns the resulting orders.
    pub fn pass(&mut self, now: Now) -> Vec<Order> {
        let mut orders = Vec::new();
        if self.is_fenced {
            return orders;
        }
        self.listed_count = self.listed_workers().count();
        self.expire_leases(now.at);
        self.begin_rounds(now.wall_ms);
        self.check_progress(now.at);
        self.due_polls(now.at, &mut orders);
        if self.may_act(now.at) {
            let pause_ms = if self.assign_needed {
                ASSIGN_PAUSE_MS
            } else {
                ASSIGN_RETRY_MS
            };
            if now.at.since(self.assigned_at) >= pause_ms {
                self.assign_needed = false;
                self.assigned_at = now.at;
                self.assign(now.at);
            }
            self.due_orders(now.at, &mut orders);
            self.update_forecast(now);
        }
        orders
    }

    /// Whether a worker may be given tasks.
    pub(super) fn is_usable(&self, key: WorkerKey, now: Monotonic) -> bool {
        let worker = &self.workers[key];
        let is_listed = match worker.listing {
            Listing::Listed => true,
            Listing::Missing(at) => now.since(at) <= self.bounds.relist_ms,
            Listing::Unreadable | Listing::Unknown => false,
        };
        is_listed
            && !self.is_leaving(key)
            && worker.session.is_some()
            && worker.answered_within(now, USABLE_AGE_MS)
            && !worker.may_have_restarted()
            && worker.quarantined_until <= now
            && worker.unsized_runs == 0
    }

    fn begin_rounds(&mut self, wall_ms: Millis) {
        let (jobs, pending) = (&mut self.jobs, &mut self.pending);
        self.recurring.retain(|id| {
            let job = jobs.get_mut(id).filter(|job| !job.state.is_final());
            let Some(job) = job else {
                return false;
            };
            let begun = job.rounds_begun;
            job.begin_due(wall_ms);
            if job.rounds_begun > begun {
                pending.insert(*id);
            }
            job.rounds_begun < job.times()
        });
    }

    /// Adds the orders for runs that are due.
    fn due_orders(&mut self, now: Monotonic, orders: &mut Vec<Order>) {
        let runs = &self.runs;
        self.due_runs
            .retain(|key| runs.get(*key).is_some_and(Run::is_due));
        let is_ready = |key: &&RunKey| {
            let run = &runs[**key];
            !run.in_flight && run.retry_at <= now
        };
        let ready: Vec<RunKey> = self.due_runs.iter().filter(is_ready).copied().collect();
        for key in ready {
            // Giving up a start can end further runs.
            let Some(run) = self.runs.get(key) else {
                continue;
            };
            if self.is_leaving(run.worker) {
                self.withdraw_start(key, Withdrawal::Leaving, now);
            } else if self.workers[run.worker].listing == Listing::Unreadable {
                self.withdraw_start(key, Withdrawal::Unreadable, now);
            } else if !self.check_room(key, now) || !self.check_cap(key, now) {
                continue;
            }
            if let Some(order) = self.next_order(key, now) {
                self.runs[key].in_flight = true;
                orders.push(order);
            }
        }
    }

    /// Whether a worker drains or its zone is evacuated.
    fn is_leaving(&self, key: WorkerKey) -> bool {
        let info = &self.workers[key].info;
        info.draining || self.evacuated.contains(&info.zone)
    }

    /// Whether an order for a run may be sent as far as the room of its worker goes; a start
    /// that no longer fits is given up. One that was ordered before may be running already, so
    /// a list that was asked for since then decides.
    fn check_room(&mut self, key: RunKey, now: Monotonic) -> bool {
        let run = &self.runs[key];
        let worker = &self.workers[run.worker];
        if run.phase != Phase::Starting || run.stop_wanted || !worker.is_over() {
            return true;
        }
        let is_absent = worker.answered_at.is_some_and(|at| at > run.retry_at);
        if run.tries == 0 || is_absent {
            self.withdraw_start(key, Withdrawal::NoRoom, now);
        }
        self.runs.get(key).is_some_and(|run| run.stop_wanted)
    }

    /// Gives up a start that the worker has not confirmed; one that may still be carried out
    /// is stopped first.
    fn withdraw_start(&mut self, key: RunKey, cause: Withdrawal, now: Monotonic) {
        let run = &self.runs[key];
        if run.phase != Phase::Starting {
            return;
        }
        // A stop that is sent again is no new decision.
        if !run.stop_wanted {
            Entry::new(Kind::TaskRequeued)
                .with_text("task", run.task)
                .with("run", run.number)
                .with("worker", &self.workers[run.worker].info.name)
                .with("cause", cause)
                .with("tries", run.tries)
                .emit();
        }
        if run.tries == 0 {
            self.end_run(key, EndCause::Stopped, Evidence::NotOrdered, "", now);
        } else {
            self.stop_run(key);
        }
    }

    fn next_order(&mut self, key: RunKey, now: Monotonic) -> Option<Order> {
        let run = self.runs.get(key)?;
        let (phase, stop, pace, task, number) =
            (run.phase, run.stop_wanted, run.pace, run.task, run.number);
        let worker = &self.workers[run.worker];
        if worker.info.address.is_empty() || worker.session.is_none() {
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
            return (run.stopped_at.is_none()).then_some(Order::Stop(target));
        }
        if phase == Phase::Starting {
            // Another incarnation may carry out late what the earlier one was sent; its list comes
            // first.
            if !worker.answered_within(now, USABLE_AGE_MS)
                || worker.may_have_restarted()
                || *worker.home() != *target.address
            {
                return None;
            }
            let run = &self.runs[key];
            let is_other = worker.incarnation() != run.incarnation;
            if is_other && run.unanswered {
                self.blame_start(key);
                return None;
            }
            // The worker may have crashed at the start, and be back already.
            if run.unanswered && !worker.has_listed_since(run.unanswered_at) {
                return None;
            }
            if !self.is_fit(run) {
                self.withdraw_start(key, Withdrawal::Unfit, now);
                return None;
            }
            if is_other {
                self.record_again(key);
                return None;
            }
            return self.start_order(key, target, now);
        }
        let wanted = self.runs[key].wanted_pace;
        (wanted != pace && phase == Phase::Live).then_some(Order::Pace(target, wanted))
    }

    /// Whether its worker may still take a start. It may have come back as another kind since the run
    /// was placed.
    fn is_fit(&self, run: &Run) -> bool {
        let worker = &self.workers[run.worker];
        let queue = self.jobs.get(&run.task.job).map(|job| self.queue_of(job));
        let spec = self.spec_of(run.task);
        queue.is_none_or(|queue| queue.pool == worker.info.pool)
            && spec.is_none_or(|spec| place::has_label(worker, spec))
    }

    /// Records a run anew for the present incarnation of its worker, before it starts there.
    fn record_again(&mut self, key: RunKey) {
        let run = &self.runs[key];
        let (worker, job) = (&self.workers[run.worker], run.task.job);
        let (incarnation, home) = (worker.incarnation(), worker.home());
        Entry::new(Kind::StartRenewed)
            .with_text("task", run.task)
            .with("run", run.number)
            .with("worker", &worker.info.name)
            .with("tries", run.tries)
            .with("run-incarnation", run.incarnation)
            .with("incarnation", incarnation)
            .emit();
        self.mark_dirty(job);
        let version = self.jobs.get(&job).map_or(0, |job| job.version);
        let run = &mut self.runs[key];
        run.incarnation = incarnation;
        run.home = home;
        run.bounded = false;
        run.phase = Phase::Recording;
        run.recorded_in = version;
    }

    fn start_order(&mut self, key: RunKey, target: Target, now: Monotonic) -> Option<Order> {
        let payload = self.payload(target.task.job);
        let checkpoint = self
            .task_mut(target.task)
            .map(|task| task.checkpoint.clone())
            .unwrap_or_default();
        let lease_ms = self.lease_ms();
        let worker = &mut self.workers[self.runs[key].worker];
        let session = worker.session.as_mut()?;
        let lease_end = session.give_lease(now, lease_ms, lease_ms);
        let run = &mut self.runs[key];
        run.tries += 1;
        run.resumed = !checkpoint.is_empty();
        self.mark_ordered(target.task);
        Some(Order::Start(Start {
            target,
            payload,
            lease_end,
            checkpoint,
        }))
    }

    /// Logs until when runs of silent workers may go on, for each worker and cause once.
    fn log_lease_waits(&mut self, now: Monotonic) {
        // A successor has asked no worker yet when it begins.
        let is_asked = |worker: &Worker| {
            worker.answered_at.is_some()
                || worker.failed_polls > 0
                || worker.info.address.is_empty()
        };
        let is_silent = |worker: &Worker| {
            !worker.runs.is_empty()
                && is_asked(worker)
                && !worker.answered_within(now, USABLE_AGE_MS)
        };
        let silent = self.workers.iter().filter(|(_, worker)| is_silent(worker));
        let silent: Vec<WorkerKey> = silent.map(|(key, _)| key).collect();
        for key in silent {
            let (lapse, bound) = self.lapse_bound(key);
            let worker = &mut self.workers[key];
            if worker.logged_bound.replace(bound) == Some(bound) {
                continue;
            }
            let worker = &self.workers[key];
            Entry::new(Kind::LeaseAwaited)
                .with("worker", &worker.info.name)
                .with("listed", worker.listing == Listing::Listed)
                .with("runs", worker.runs.len())
                .with("standing", worker.standing)
                .with("answer-age-ms", worker.answered_at.map(|at| now.since(at)))
                .with("bound", bound)
                .with("left-ms", lapse.since(now))
                .emit();
        }
    }

    /// Ends the runs of silent workers whose leases have lapsed, and drops those workers
    /// that have no entry in the registry. One that may have crashed under a run is asked on: silence
    /// does not tell.
    fn expire_leases(&mut self, now: Monotonic) {
        self.log_lease_waits(now);
        let lease_ms = self.bounds.lease_ms;
        let silent: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.answered_within(now, lease_ms))
            .map(|(key, _)| key)
            .collect();
        for key in silent {
            let runs = self.workers[key].runs.iter().copied();
            let lapsed: Vec<RunKey> = runs.filter(|run| self.run_lapse(*run) <= now).collect();
            for run in lapsed {
                self.end_run(run, EndCause::Lapsed, Evidence::Lapse, "", now);
            }
            let has_entry = match self.workers[key].listing {
                Listing::Listed | Listing::Unreadable => true,
                Listing::Missing(_) | Listing::Unknown => false,
            };
            if self.lapsed_at(key) > now || has_entry {
                continue;
            }
            if self.has_open_lapses(key) {
                self.suspect_vanished(key, now);
            } else {
                self.drop_worker(key);
            }
        }
    }

    fn drop_worker(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.worker_keys.remove(&worker.info.name);
            self.voters.mark_dirty();
        }
    }

    /// Records that a worker refused an order or did not get it.
    pub(super) fn order_refused(&mut self, key: WorkerKey, now: Monotonic) {
        if let Some(worker) = self.workers.get_mut(key) {
            health::order_refused(worker, now);
        }
    }
}
