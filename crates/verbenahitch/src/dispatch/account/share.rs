//! Order among accounts when all workers are full.
//!
//! Load pattern: one account has several times the work of the others, or all have more
//! than there is room for. Up to its entitlement, its weight among the accounts that run
//! or wait, an account's steps are equal to those of the others, so that deadlines decide;
//! beyond it they come later. What an account lacked, or had beyond its entitlement,
//! while others waited is carried over for a short time. Idle room is lent: the rank only
//! orders steps.
//!
//! Inputs: the ledger, which is exact, and declared resources of waiting steps.

use super::{AccountKey, Accounts};
use crate::collections::HashSet;
use crate::dispatch::Dispatcher;
use crate::dispatch::job::{Amount, JobId};
use crate::dispatch::step_order::StepRank;
use crate::dispatch::table::Step;
use crate::domain::{Millis, Monotonic};

/// Time over which deficits and debts are carried, in milliseconds; about the length of
/// common runs, after which room comes back.
const CARRY_MS: Millis = 2_000;

/// Largest credit, in entitlements: an account may have twice its own for a while.
const MAX_CREDIT: f64 = 1.0;

/// Largest debt, in entitlements. Beyond one, so that an account whose steps are wider than
/// its entitlement waits between them.
const MAX_DEBT: f64 = 3.0;

/// Number of ranks for each entitlement that an account is beyond its own.
const LEVELS: f64 = 4.0;

/// Rank of a step among those of other accounts; the lesser is placed first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShareRank {
    /// Whether its job lies beyond the rate of its account.
    pub beyond_rate: bool,
    /// How far its account is beyond its entitlement, zero for not at all.
    pub level: u16,
}

impl ShareRank {
    /// Rank of a step whose account has the share `used` with it and the steps before it.
    pub fn new(beyond_rate: bool, used: f64, entitled: f64) -> Self {
        let beyond = (used / entitled.max(f64::MIN_POSITIVE) - 1.0).max(0.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the conversion saturates"
        )]
        let level = (beyond * LEVELS).ceil() as u16;
        Self { beyond_rate, level }
    }
}

/// Largest share of the resources of all workers.
pub(super) fn dominant(amount: Amount, total: Amount) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "resources of a fleet are far below 2^52"
    )]
    let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
    share(amount.cpu_milli, total.cpu_milli)
        .max(share(amount.memory_mb, total.memory_mb))
        .max(share(amount.gpus, total.gpus))
}

/// Place of an account among the others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Standing {
    /// Dominant share of what it has running.
    pub share: f64,
    /// Share that it is entitled to.
    pub entitled: f64,
    /// Share that it lacked lately, negative for one that it had beyond its entitlement.
    pub credit: f64,
    /// Resources of its steps that come before the next one.
    queued: Amount,
    /// Number of its waiting steps, and of those of jobs beyond its rate.
    pub waiting: u32,
    pub beyond_rate: u32,
    /// Longest time since acceptance among its waiting jobs, in milliseconds.
    pub oldest_ms: Millis,
}

impl Accounts {
    /// Sets the entitlements; the accounts with waiting steps are marked.
    fn weigh(&mut self, total: Amount, now: Monotonic) {
        let elapsed_ms = now.since(self.weighed_at);
        self.weighed_at = now;
        let is_full = self.is_full;
        let (mut shares, mut weights) = (0.0, 0.0);
        for state in &mut self.states {
            let standing = &mut state.standing;
            standing.share = dominant(state.in_use.held, total);
            shares += standing.share;
            if standing.share > 0.0 || standing.waiting > 0 {
                weights += state.limits.weight;
            }
        }
        #[expect(clippy::cast_precision_loss, reason = "at most the window")]
        let passed = elapsed_ms.min(CARRY_MS) as f64 / CARRY_MS as f64;
        for state in &mut self.states {
            let is_at_cap = state.is_at_cap;
            let standing = &mut state.standing;
            // The CPU of fillers may exceed that of the workers.
            let part = state.limits.weight / weights.max(f64::MIN_POSITIVE);
            // The sum of weights near the largest number is infinite, a quotient of least ones, too.
            standing.entitled = shares.max(1.0) * part.min(1.0);
            let lacking = standing.entitled - standing.share;
            let counts = is_full && (lacking < 0.0 || (standing.waiting > 0 && !is_at_cap));
            if counts {
                let (least, most) = (
                    -standing.entitled * MAX_DEBT,
                    standing.entitled * MAX_CREDIT,
                );
                standing.credit = (standing.credit + lacking * passed).clamp(least, most);
            } else {
                standing.credit -= standing.credit * passed;
            }
        }
    }

    /// Records the outcome of a pass: whether steps found no place, and which accounts met
    /// their cap.
    pub fn end_pass(&mut self, is_full: bool, capped: &HashSet<AccountKey>, now: Monotonic) {
        if !self.is_declared {
            return;
        }
        self.is_full = is_full;
        for (number, state) in (0u32..).zip(&mut self.states) {
            state.is_at_cap = capped.contains(&AccountKey(number));
        }
        self.log_waiting(now);
    }
}

impl Dispatcher {
    /// Ranks waiting steps among the accounts. `waiting` has the rank, job, round and step
    /// of each, in the order in which an account's own steps are placed.
    pub(in crate::dispatch) fn rank_shares<'a>(
        &mut self,
        waiting: impl Iterator<Item = (&'a mut StepRank, JobId, u32, u32)>,
        now: Monotonic,
    ) {
        self.rate_jobs();
        let mut total = Amount::default();
        for worker in self.listed_workers() {
            total.add(worker.info.capacity);
        }
        for state in &mut self.accounts.states {
            let standing = &mut state.standing;
            (standing.queued, standing.oldest_ms) = (Amount::default(), 0);
            (standing.waiting, standing.beyond_rate) = (0, 0);
        }
        let mut steps = Vec::new();
        for (rank, id, round, step) in waiting {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            // Overdue tasks precede all shares, and are listed again with the others of their step.
            let Some(account) = job.account.filter(|_| !rank.overdue) else {
                continue;
            };
            let standing = &mut self.accounts.state_mut(account).standing;
            standing.waiting += 1;
            standing.beyond_rate += u32::from(job.beyond_rate);
            standing.oldest_ms = standing.oldest_ms.max(rank.age_ms);
            let mut rounds = job.rounds.iter();
            let tasks = rounds
                .find(|other| other.number == round)
                .and_then(|round| round.steps.get(step as usize))
                .map_or(0, Step::waiting);
            let each = job
                .step_spec(step)
                .map_or(Amount::default(), |spec| spec.amount);
            steps.push((rank, account, job.beyond_rate, each.times(tasks.into())));
        }
        self.accounts.weigh(total, now);
        for (rank, account, beyond_rate, amount) in steps {
            // Standing steps hold their room for long, and a restart must not wait.
            if rank.standing {
                rank.share = ShareRank {
                    beyond_rate,
                    level: 0,
                };
                continue;
            }
            let state = self.accounts.state_mut(account);
            let mut used = state.in_use.held;
            used.add(state.standing.queued);
            let standing = &mut state.standing;
            let used = dominant(used, total) - standing.credit;
            rank.share = ShareRank::new(beyond_rate, used, standing.entitled);
            standing.queued.add(amount);
        }
    }
}
