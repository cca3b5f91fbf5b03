//! Syncs: calls to workers and their answers.
//!
//! At most one sync per worker is in flight. A sync contains a time on the
//! worker's own clock after which the worker refuses it, so that neither a lease
//! nor a start takes effect later than this owner assumes.
//!
//! * *Probe*: a sync without renewal, sent to a worker whose clock is not known or
//!   that did not answer the last sync.
//! * *Authority*: the time until which this owner may renew leases.
//! * *Permit*: the time until which it may start tasks.

use super::starts::run_of;
use super::worker::InFlight;
use super::{Ownership, Shard};
use crate::collections::HashSet;
use crate::domain::{Millis, Monotonic, WorkerKey};
use crate::event::{Entry, Kind};
use crate::port::{Command, Refusal, SyncError, SyncReply, SyncRequest};
use crate::scheduler::Action;

/// Sync interval of a worker while one of its runs is being evicted or keeps the worker closed to
/// new tasks.
const EVICTING_SYNC_MS: Millis = 250;
/// Probes of an unresponsive worker per regular sync interval.
const PROBES_PER_SYNC: Millis = 4;

impl Shard {
    /// Makes the next sync with a worker due at `at` at the latest, unless one is in flight.
    pub(super) fn wake(&mut self, key: WorkerKey, at: Monotonic) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.inflight.is_some() || at >= worker.due {
            return;
        }
        self.timers.remove(&(worker.due, key));
        worker.due = at;
        self.timers.insert((at, key));
    }

    fn set_due(&mut self, key: WorkerKey, at: Monotonic) {
        let worker = &mut self.workers[key];
        self.timers.remove(&(worker.due, key));
        worker.due = at;
        self.timers.insert((at, key));
    }

    /// Sends the syncs that are due and fails those that were not answered in time.
    pub(super) fn flush_syncs(&mut self, now: Monotonic) {
        while let Some((_, key)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            let Some(owned) = self.owned else {
                return;
            };
            if self.workers[key].inflight.is_some() {
                let reason = "the worker did not answer in time".to_owned();
                self.fail_sync(key, SyncError::Unanswered { reason }, now);
            }
            if !self.drop_unlisted(key, now) {
                self.send_sync(key, owned, now);
            }
        }
    }

    fn send_sync(&mut self, key: WorkerKey, owned: Ownership, now: Monotonic) {
        let may_start = self.may_start(now);
        let worker = &self.workers[key];
        // An unresponsive worker gets probes, so that its leases lapse.
        let may_renew = now < self.authority && worker.clock.is_some() && !worker.sync_failed;
        if !may_start || !may_renew {
            self.withdraw_unsent_starts(key, now);
        }
        let ttl_ms = self.sync_ttl_ms(key, may_renew, now);
        let lease_ms = if may_renew {
            self.params.task_lease_ms
        } else {
            0
        };
        self.next_seq += 1;
        let seq = self.next_seq;
        let worker = &mut self.workers[key];
        let life = worker.life;
        let commands = match worker.clock {
            Some(_) => std::mem::take(&mut worker.commands),
            None => Vec::new(),
        };
        for run in commands.iter().filter_map(start_of) {
            if let Some(run) = self.runs.get_mut(&run) {
                run.start_seq = Some(seq);
                run.life = life;
            }
        }
        if may_renew {
            worker.lapses_at = worker.lapses_at.max(now + ttl_ms + lease_ms);
        }
        let request = SyncRequest {
            shard: self.name.clone(),
            owner: self.params.owner.clone(),
            epoch: owned.epoch,
            seq,
            not_after: worker.not_after(now, ttl_ms),
            life,
            lease_ms,
            commands: commands.clone(),
            acked: std::mem::take(&mut worker.acks),
        };
        worker.inflight = Some(InFlight {
            seq,
            commands: commands
                .into_iter()
                .filter(|command| start_of(command).is_none())
                .collect(),
        });
        self.actions.push(Action::Sync {
            worker: worker.host.name.clone(),
            address: worker.host.control.clone(),
            request,
        });
        self.set_due(key, now + self.params.sync_limit_ms());
    }

    /// How long after sending the worker may accept the next sync.
    ///
    /// It must not accept starts after the permit has lapsed, nor renew leases after
    /// the authority has lapsed.
    fn sync_ttl_ms(&self, key: WorkerKey, may_renew: bool, now: Monotonic) -> Millis {
        let mut ttl_ms = self.params.call_ttl_ms();
        if may_renew {
            ttl_ms = ttl_ms.min(self.authority.since(now));
        }
        if self.workers[key].commands.iter().any(is_start) {
            ttl_ms = ttl_ms.min(self.permit.since(now));
        }
        ttl_ms
    }

    /// Withdraws the starts that wait for a sync with a worker.
    fn withdraw_unsent_starts(&mut self, key: WorkerKey, now: Monotonic) {
        let commands = &self.workers[key].commands;
        let starts: Vec<u64> = commands.iter().filter_map(start_of).collect();
        for run in starts {
            self.withdraw(run, now);
        }
    }

    pub(super) fn on_synced(&mut self, name: &str, seq: u64, reply: SyncReply, now: Monotonic) {
        let Some(key) = self.by_name.get(name).copied() else {
            return;
        };
        let worker = &mut self.workers[key];
        let answered = worker.inflight.take_if(|inflight| inflight.seq == seq);
        if answered.is_none() {
            return;
        }
        worker.clock = Some((reply.clock, now));
        worker.life = reply.life;
        let first = !std::mem::replace(&mut worker.answered, true);
        if first {
            // An earlier owner may have renewed leases until the worker accepted this epoch, so they
            // lapse one lease term from now at the latest.
            worker.lapses_at = now + self.params.task_lease_ms;
        }
        let had_failed = std::mem::replace(&mut worker.sync_failed, false);
        if first || had_failed {
            let entry = Entry::new(Kind::WorkerAnswering).with("worker", name);
            self.log(entry);
        }
        self.process_report(key, seq, &reply, now);
        self.placer.observe(key, &reply.usage, now);
        self.refresh_worker(key, now);
        self.set_due(key, self.next_sync(key, first || had_failed, now));
    }

    fn next_sync(&self, key: WorkerKey, probed: bool, now: Monotonic) -> Monotonic {
        let worker = &self.workers[key];
        // A probe renews no leases, so renew them at once.
        if !worker.commands.is_empty() || (probed && !worker.runs.is_empty()) {
            return now;
        }
        if worker.evicting > 0 || !worker.blocking_runs.is_empty() {
            return now + EVICTING_SYNC_MS.min(self.params.sync_ms);
        }
        now + self.params.sync_ms
    }

    /// Processes a worker's report about its runs.
    fn process_report(&mut self, key: WorkerKey, seq: u64, reply: &SyncReply, now: Monotonic) {
        self.workers[key].blocking_runs.clear();
        for refusal in &reply.refused {
            self.on_refused(key, seq, refusal, reply, now);
        }
        for running in &reply.running {
            self.on_running(key, running, now);
        }
        for ended in &reply.ended {
            self.on_ended(key, ended, now);
        }
        let reported: HashSet<u64> = reply
            .running
            .iter()
            .map(|running| running.run)
            .chain(reply.ended.iter().map(|ended| ended.run))
            .collect();
        let missing: Vec<u64> = self.workers[key]
            .runs
            .iter()
            .copied()
            .filter(|run| !reported.contains(run))
            .collect();
        for run in missing {
            self.on_missing(run, seq, reply.life, now);
        }
    }

    fn on_refused(
        &mut self,
        key: WorkerKey,
        seq: u64,
        refusal: &Refusal,
        reply: &SyncReply,
        now: Monotonic,
    ) {
        let Some(run) = self.runs.get_mut(&refusal.run) else {
            return;
        };
        let reported = reply.running.iter().any(|other| other.run == refusal.run)
            || reply.ended.iter().any(|other| other.run == refusal.run);
        if run.worker != key || run.start_seq != Some(seq) || run.seen || reported {
            // The run's start was not refused; a refused eviction may be ordered again.
            if std::mem::take(&mut run.evicting) {
                self.workers[key].evicting -= 1;
            }
            return;
        }
        // The worker has less free capacity than the placer assumes; assign no tasks for one sync
        // interval.
        let pause = self.params.sync_ms;
        let worker = &mut self.workers[key];
        worker.opens_at = worker.opens_at.max(now + pause);
        self.withdraw(refusal.run, now);
    }

    pub(super) fn on_sync_failed(
        &mut self,
        name: &str,
        seq: u64,
        error: SyncError,
        now: Monotonic,
    ) {
        let Some(key) = self.by_name.get(name).copied() else {
            return;
        };
        let current = self.workers[key]
            .inflight
            .as_ref()
            .map(|inflight| inflight.seq);
        if current == Some(seq) {
            self.fail_sync(key, error, now);
        }
    }

    fn fail_sync(&mut self, key: WorkerKey, error: SyncError, now: Monotonic) {
        let Some(inflight) = self.workers[key].inflight.take() else {
            return;
        };
        self.resend(key, inflight.commands);
        let mut retry = now + self.params.sync_ms / PROBES_PER_SYNC;
        match error {
            // Without a higher epoch the answer is inconsistent; the worker counts as unresponsive.
            SyncError::StaleEpoch { epoch } => {
                if self.owned.is_some_and(|owned| epoch > owned.epoch) {
                    return self.on_superseded("a worker has seen a higher epoch", now);
                }
            }
            // An earlier copy of the call may have been accepted; the next report shows it.
            SyncError::Late { clock, life } => {
                let worker = &mut self.workers[key];
                worker.clock = Some((clock, now));
                worker.life = life;
                retry = now;
            }
            SyncError::Unreachable { .. } => self.withdraw_starts_of(key, inflight.seq, now),
            SyncError::Unanswered { .. } => {}
        }
        let worker = &mut self.workers[key];
        let is_reachable = matches!(error, SyncError::Late { .. });
        if !is_reachable && !std::mem::replace(&mut worker.sync_failed, true) {
            let entry = Entry::new(Kind::WorkerUnreachable)
                .with("worker", &worker.host.name)
                .with_text("reason", &error);
            self.log(entry);
        }
        self.refresh_worker(key, now);
        self.lose_lapsed_runs(key, now);
        self.set_due(key, retry);
    }

    /// Queues the commands of a failed sync before those that are waiting.
    fn resend(&mut self, key: WorkerKey, mut commands: Vec<Command>) {
        let worker = &mut self.workers[key];
        commands.append(&mut worker.commands);
        worker.commands = commands;
    }

    /// Withdraws the starts of a sync that provably had no effect.
    fn withdraw_starts_of(&mut self, key: WorkerKey, seq: u64, now: Monotonic) {
        let sent: Vec<u64> = self.workers[key]
            .runs
            .iter()
            .copied()
            .filter(|run| self.runs[run].start_seq == Some(seq))
            .collect();
        for run in sent {
            self.withdraw(run, now);
        }
    }

    /// Queues a command, replacing one of the same kind for the same run.
    pub(super) fn command(&mut self, key: WorkerKey, command: Command, now: Monotonic) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let same = |other: &Command| {
            run_of(other) == run_of(&command)
                && std::mem::discriminant(other) == std::mem::discriminant(&command)
        };
        worker.commands.retain(|other| !same(other));
        worker.commands.push(command);
        self.wake(key, now);
    }
}

fn start_of(command: &Command) -> Option<u64> {
    is_start(command).then(|| run_of(command))
}

fn is_start(command: &Command) -> bool {
    matches!(command, Command::Start { .. })
}
