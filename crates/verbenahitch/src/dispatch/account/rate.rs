//! Rate up to which an account's jobs precede those beyond.
//!
//! Load pattern: an account sends five to eight times its usual for some seconds. What lies
//! beyond its rate waits behind the work of all accounts within theirs, and uses idle room.
//!
//! Inputs: the time of acceptance, with the clock skew of the accepting host.

use super::Accounts;
use crate::dispatch::{Dispatcher, JobId};
use crate::domain::Millis;

/// Time whose jobs may come at once, in seconds: callers do not send evenly.
const BURST_S: f64 = 2.0;

/// Smallest number of jobs that may come at once, for accounts with a low rate.
const BURST_MIN: f64 = 3.0;

impl Accounts {
    /// Adds a job whose rate is yet to be judged.
    pub fn add_job(&mut self, id: JobId, accepted_ms: Millis) {
        self.unrated.push((accepted_ms, id));
    }
}

impl Dispatcher {
    /// Judges the jobs added since the last call, in the order of their acceptance.
    pub(super) fn rate_jobs(&mut self) {
        let mut jobs = std::mem::take(&mut self.accounts.unrated);
        jobs.sort_unstable();
        for (accepted_ms, id) in jobs {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let Some(account) = job.account else {
                continue;
            };
            let state = self.accounts.state_mut(account);
            let rate = state.limits.weight;
            let size = (rate * BURST_S).max(BURST_MIN);
            job.beyond_rate = !state.bucket.take(rate, size, accepted_ms);
        }
    }
}
