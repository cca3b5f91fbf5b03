//! Ledger of what each account has running.
//!
//! Load pattern: starts whose answer is lost, workers that cannot be reached, runs under a
//! former owner, starts that are carried out late. All of them may run, so all count until
//! they are known to have ended. A successor builds the ledger from the records before its
//! first pass.

use super::{AccountKey, Accounts, InUse, admits};
use crate::dispatch::Dispatcher;
use crate::dispatch::job::{Amount, JobId, StepSpec};
use crate::dispatch::report::{EndCause, Evidence};
use crate::dispatch::worker::{Phase, Run, RunKey, Worker};
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};

/// Shortest time between two log lines that an account is at its cap, in milliseconds.
const LOG_INTERVAL_MS: Millis = 5_000;

/// Resources that a run of an account takes, while it may go on.
#[derive(Clone, Copy, Debug)]
pub(in crate::dispatch) struct Claim {
    pub account: AccountKey,
    pub amount: Amount,
}

impl Accounts {
    /// Counts a run.
    pub fn hold(&mut self, claim: Option<Claim>) {
        if let Some(Claim { account, amount }) = claim {
            self.state_mut(account).in_use.held.add(amount);
        }
    }

    /// Counts a run no longer.
    pub fn release(&mut self, claim: Option<Claim>) {
        if let Some(Claim { account, amount }) = claim {
            self.state_mut(account).in_use.held.remove(amount);
        }
    }

    /// Sets the starts that may be carried out late.
    fn set_late(&mut self, claims: impl Iterator<Item = Claim>) {
        for state in &mut self.states {
            state.in_use.late = Amount::default();
        }
        for claim in claims {
            self.state_mut(claim.account).in_use.late.add(claim.amount);
        }
    }

    /// Whether a task fits beside `in_use`. Without any declarations the cap is not known.
    fn admits(&self, claim: Claim, in_use: InUse, overshoot: f64, are_read: bool) -> bool {
        let state = self.state(claim.account);
        if !state.is_known && !are_read {
            return false;
        }
        admits(state.limits.cap, overshoot, in_use, claim.amount)
    }
}

impl Dispatcher {
    /// Account of a job, none if the job is unknown.
    pub(in crate::dispatch) fn account_of(&self, id: JobId) -> Option<AccountKey> {
        self.jobs.get(&id)?.account
    }

    /// What a run of a step takes from its account; all CPU of a filler counts.
    pub(in crate::dispatch) fn claim(&self, id: JobId, step: &StepSpec) -> Option<Claim> {
        let account = self.account_of(id)?;
        Some(Claim {
            account,
            amount: step.amount,
        })
    }

    /// Whether a job's account has room for one more task of a step.
    pub(in crate::dispatch) fn has_cap_room(&self, id: JobId, step: &StepSpec) -> bool {
        let Some(claim) = self.claim(id, step) else {
            return true;
        };
        let in_use = self.accounts.state(claim.account).in_use;
        let (overshoot, are_read) = (self.bounds.cap_overshoot, !self.queues.is_empty());
        self.accounts.admits(claim, in_use, overshoot, are_read)
    }

    /// Whether a start still fits under a cap that may have fallen since its assignment.
    pub(in crate::dispatch) fn is_within_cap(&self, run: &Run) -> bool {
        let Some(claim) = run.claim else {
            return true;
        };
        let mut in_use = self.accounts.state(claim.account).in_use;
        in_use.held.remove(claim.amount);
        if run.tries > 0 {
            in_use.late = Amount::default();
        }
        let (overshoot, are_read) = (self.bounds.cap_overshoot, !self.queues.is_empty());
        self.accounts.admits(claim, in_use, overshoot, are_read)
    }

    /// Counts the starts that a later incarnation of a worker may carry out.
    pub(in crate::dispatch) fn count_late_claims(&mut self, now: Monotonic) {
        if !self.accounts.is_declared() {
            return;
        }
        let workers = self.workers.values();
        let claims = workers.flat_map(|worker: &Worker| worker.late_claims(now));
        self.accounts.set_late(claims);
    }

    /// Logs that an account is at its cap, once in a while.
    pub(in crate::dispatch) fn cap_reached(
        &mut self,
        account: AccountKey,
        task: Amount,
        now: Monotonic,
    ) {
        let overshoot = self.bounds.cap_overshoot;
        let state = self.accounts.state_mut(account);
        let is_due = state
            .cap_logged
            .is_none_or(|at| now.since(at) >= LOG_INTERVAL_MS);
        if !is_due {
            return;
        }
        state.cap_logged = Some(now);
        Entry::new(Kind::CapReached)
            .with("account", &state.limits.name)
            .with("held", state.in_use.held)
            .with("late", state.in_use.late)
            .with("cap", state.limits.cap)
            .with("known", state.is_known)
            .with("overshoot", overshoot)
            .with("task", task)
            .emit();
    }

    /// Withdraws a start that no longer fits under its account's cap; returns whether an order
    /// for the run may be sent now. One that may have been carried out is stopped only when
    /// its worker has answered since and does not list it.
    pub(in crate::dispatch) fn check_cap(&mut self, key: RunKey, now: Monotonic) -> bool {
        let run = &self.runs[key];
        let is_start = run.phase == Phase::Starting && !run.stop_wanted;
        if !is_start || self.is_within_cap(run) {
            return true;
        }
        if run.tries == 0 {
            self.end_run(key, EndCause::Stopped, Evidence::NotOrdered, "", now);
            return false;
        }
        let answered_at = self.workers[run.worker].answered_at;
        let is_absent = answered_at.is_some_and(|at| at > run.retry_at);
        if is_absent {
            self.stop_run(key);
        }
        is_absent
    }
}
