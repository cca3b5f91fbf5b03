//! Messages to workers and their answers.
//!
//! At most one sync per worker is under way. A sync names an instant of the
//! worker's own clock after which the worker refuses it, so that neither a lease
//! nor a start takes effect later than this owner has reckoned with.

use super::starts::run_of;
use super::worker::InFlight;
use super::{Ownership, Shard};
use crate::collections::HashSet;
use crate::domain::{Millis, Monotonic, WorkerKey};
use crate::event::{Entry, Kind};
use crate::port::{Command, Refusal, SyncError, SyncReply, SyncRequest};
use crate::scheduler::Action;

/// Time between two syncs with a worker on which a run writes its checkpoint.
const EVICTING_SYNC_MS: Millis = 250;
/// Probes of a silent worker in the time of one sync with another.
const PROBES_PER_SYNC: Millis = 4;
/// Largest deviation of a worker's clock, as one part in so many, that is no sign of a restart.
const CLOCK_DRIFT_PARTS: Millis = 16;
const CLOCK_ROUNDING_MS: Millis = 10;

impl Shard {
    /// Has a worker looked at no later than `at`.
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

    /// Sends what is due and gives up what was not answered in time.
    pub(super) fn flush_syncs(&mut self, now: Monotonic) {
        while let Some((_, key)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            let Some(owned) = self.owned else {
                return;
            };
            if self.workers[key].inflight.is_some() {
                let reason = "no answer in time".to_owned();
                self.fail_sync(key, SyncError::Unanswered { reason }, now);
            }
            if !self.drop_unlisted(key) {
                self.send_sync(key, owned, now);
            }
        }
    }

    fn send_sync(&mut self, key: WorkerKey, owned: Ownership, now: Monotonic) {
        let may_start = self.may_start(now);
        let worker = &self.workers[key];
        // A silent worker is only probed, so that its leases lapse.
        let may_renew = now < self.authority && worker.clock.is_some() && !worker.silent;
        if !may_start || !may_renew {
            self.withdraw_unsent(key, now);
        }
        let bound_ms = self.bound_of(key, may_renew, now);
        let lease_ms = if may_renew {
            self.params.task_lease_ms
        } else {
            0
        };
        self.next_seq += 1;
        let seq = self.next_seq;
        let worker = &mut self.workers[key];
        let commands = match worker.clock {
            Some(_) => std::mem::take(&mut worker.commands),
            None => Vec::new(),
        };
        for run in commands.iter().filter_map(start_of) {
            if let Some(run) = self.runs.get_mut(&run) {
                run.sent = Some(seq);
            }
        }
        if may_renew {
            worker.lapse = worker.lapse.max(now + bound_ms + lease_ms);
        }
        let request = SyncRequest {
            shard: self.name.clone(),
            owner: self.params.owner.clone(),
            epoch: owned.epoch,
            seq,
            not_after: worker.not_after(now, bound_ms),
            lease_ms,
            commands: commands.clone(),
            acked: std::mem::take(&mut worker.acks),
        };
        worker.inflight = Some(InFlight {
            seq,
            sent: now,
            commands: commands
                .into_iter()
                .filter(|command| start_of(command).is_none())
                .collect(),
        });
        self.out.push(Action::Sync {
            worker: worker.host.name.clone(),
            address: worker.host.control.clone(),
            request,
        });
        self.set_due(key, now + self.params.sync_limit_ms());
    }

    /// How long after now the worker may still take the next sync.
    ///
    /// Starts are not taken once the permit has lapsed, nor leases renewed once
    /// the authority has.
    fn bound_of(&self, key: WorkerKey, may_renew: bool, now: Monotonic) -> Millis {
        let mut bound_ms = self.params.call_bound_ms();
        if may_renew {
            bound_ms = bound_ms.min(self.authority.since(now));
        }
        if self.workers[key].commands.iter().any(is_start) {
            bound_ms = bound_ms.min(self.permit.since(now));
        }
        bound_ms
    }

    /// Takes back the starts that wait for a sync with a worker.
    fn withdraw_unsent(&mut self, key: WorkerKey, now: Monotonic) {
        let commands = &self.workers[key].commands;
        let starts: Vec<u64> = commands.iter().filter_map(start_of).collect();
        for run in starts {
            self.withdraw(run, now);
        }
    }

    pub(super) fn on_synced(
        &mut self,
        name: &str,
        seq: u64,
        sent: Monotonic,
        reply: SyncReply,
        now: Monotonic,
    ) {
        let Some(key) = self.by_name.get(name).copied() else {
            return;
        };
        let worker = &mut self.workers[key];
        let Some(inflight) = worker.inflight.take_if(|inflight| inflight.seq == seq) else {
            return;
        };
        let restarted = worker.clock.is_some_and(|(clock, read)| {
            let passed = inflight.sent.min(sent).since(read);
            let slack = passed / CLOCK_DRIFT_PARTS + CLOCK_ROUNDING_MS;
            reply.clock + slack < clock + passed
        });
        worker.clock = Some((reply.clock, now));
        let first = !std::mem::replace(&mut worker.answered, true);
        if first {
            // An earlier owner may have renewed until the worker took this epoch.
            worker.lapse = now + self.params.task_lease_ms;
        }
        let silent = std::mem::replace(&mut worker.silent, false);
        if first || silent {
            let entry = Entry::new(Kind::WorkerAnswering).with("worker", name);
            self.log(entry);
        }
        self.take_report(key, seq, restarted, &reply, now);
        self.placer.observe(key, &reply.usage, now);
        self.refresh(key, now);
        self.set_due(key, self.next_sync(key, first || silent, now));
    }

    fn next_sync(&self, key: WorkerKey, probed: bool, now: Monotonic) -> Monotonic {
        let worker = &self.workers[key];
        // A probe renews nothing.
        if !worker.commands.is_empty() || (probed && !worker.runs.is_empty()) {
            return now;
        }
        if worker.evicting > 0 || !worker.strays.is_empty() {
            return now + EVICTING_SYNC_MS.min(self.params.sync_ms);
        }
        now + self.params.sync_ms
    }

    /// Takes in what a worker says of its runs.
    fn take_report(
        &mut self,
        key: WorkerKey,
        seq: u64,
        restarted: bool,
        reply: &SyncReply,
        now: Monotonic,
    ) {
        self.workers[key].strays.clear();
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
            self.on_missing(run, seq, restarted, now);
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
        if run.worker != key || run.sent != Some(seq) || run.seen || reported {
            if std::mem::take(&mut run.evicting) {
                self.workers[key].evicting -= 1;
            }
            return;
        }
        // The worker lacks what the list says it has; it gets a rest.
        let pause = self.params.sync_ms;
        let worker = &mut self.workers[key];
        worker.opens = worker.opens.max(now + pause);
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
            SyncError::StaleEpoch { epoch } => {
                if self.owned.is_some_and(|owned| epoch > owned.epoch) {
                    return self.stand_down("a worker has seen a higher epoch", now);
                }
            }
            // An earlier copy of the call may have been taken: the next answer tells.
            SyncError::Late { clock } => {
                self.workers[key].clock = Some((clock, now));
                retry = now;
            }
            SyncError::Unreachable { .. } => self.withdraw_sent(key, inflight.seq, now),
            SyncError::Unanswered { .. } => {}
        }
        let worker = &mut self.workers[key];
        let answered = matches!(error, SyncError::Late { .. });
        if !answered && !std::mem::replace(&mut worker.silent, true) {
            let entry = Entry::new(Kind::WorkerUnreachable)
                .with("worker", &worker.host.name)
                .with_text("reason", &error);
            self.log(entry);
        }
        self.refresh(key, now);
        self.lapse_silent(key, now);
        self.set_due(key, retry);
    }

    /// Puts commands of a failed sync in front of those that wait.
    fn resend(&mut self, key: WorkerKey, mut commands: Vec<Command>) {
        let worker = &mut self.workers[key];
        commands.append(&mut worker.commands);
        worker.commands = commands;
    }

    /// Takes back the starts of a sync that provably had no effect.
    fn withdraw_sent(&mut self, key: WorkerKey, seq: u64, now: Monotonic) {
        let sent: Vec<u64> = self.workers[key]
            .runs
            .iter()
            .copied()
            .filter(|run| self.runs[run].sent == Some(seq))
            .collect();
        for run in sent {
            self.withdraw(run, now);
        }
    }

    /// Queues a command, in place of an equal one about the same run.
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
