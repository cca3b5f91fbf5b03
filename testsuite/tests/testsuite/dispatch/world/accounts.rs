//! Client accounts of the jobs, and the check that no start exceeds a cap.

use std::collections::BTreeMap;

use verbenahitch::dispatch::{Account, Amount, JobId, JobSpec, TaskId};
use verbenahitch::domain::Millis;

use super::{BOUNDS, FakeRun, FakeWorker, World};

/// Time for which an earlier cap may be in force, and starts under it are under way, in
/// milliseconds.
const CAP_APPLY_MS: Millis = 3_000;

pub fn cores(count: u64) -> Amount {
    Amount {
        cpu_milli: count * 1_000,
        ..Amount::default()
    }
}

pub fn account(name: &str, weight: f64, cap: Amount) -> Account {
    Account {
        name: name.to_owned(),
        weight,
        cap,
    }
}

#[derive(Default)]
pub struct AccountUsage {
    pub accounts: Vec<Account>,
    /// Accounts of the jobs.
    pub owners: BTreeMap<JobId, String>,
    /// Caps by account that were declared, with the time from which each was no longer in
    /// force.
    earlier: Vec<(Millis, Account)>,
    pub violations: Vec<String>,
}

impl AccountUsage {
    /// CPU that an account has running, in thousandths of a core.
    pub fn cpu<'a>(
        &self,
        name: &str,
        specs: &BTreeMap<JobId, JobSpec>,
        workers: impl Iterator<Item = &'a FakeWorker>,
    ) -> u64 {
        let runs = workers.flat_map(|worker| &worker.life.runs);
        let is_own = |run: &&FakeRun| self.owners.get(&run.task.job).is_some_and(|n| n == name);
        let cpu = |run: &FakeRun| {
            specs[&run.task.job].steps[run.task.step as usize]
                .amount
                .cpu_milli
        };
        runs.filter(is_own).map(cpu).sum()
    }

    /// Highest cap of an account that may be in force, zero for none.
    fn cap(&self, name: &str, now: Millis) -> u64 {
        let earlier = self.earlier.iter();
        let recent = earlier.filter(|(until, _)| now.saturating_sub(*until) <= CAP_APPLY_MS);
        let known = recent.map(|(_, account)| account).chain(&self.accounts);
        let own = known.filter(|account| account.name == name);
        own.map(|account| account.cap.cpu_milli).max().unwrap_or(0)
    }

    pub fn check_start<'a>(
        &mut self,
        now: Millis,
        task: TaskId,
        specs: &BTreeMap<JobId, JobSpec>,
        workers: impl Iterator<Item = &'a FakeWorker>,
    ) {
        let Some(name) = self.owners.get(&task.job) else {
            return;
        };
        let cap = self.cap(name, now);
        let own = specs[&task.job].steps[task.step as usize].amount.cpu_milli;
        let used = self.cpu(name, specs, workers);
        #[expect(clippy::cast_precision_loss, reason = "a few thousand cores")]
        let is_over = used as f64 > cap as f64 * (1.0 + BOUNDS.cap_overshoot) + own as f64;
        if cap > 0 && is_over {
            let violation = format!("{now}: {name} has {used} of {cap} by the start of {task}");
            self.violations.push(violation);
        }
    }
}

impl World {
    /// Declares client accounts in place of the earlier ones.
    pub fn declare_accounts(&mut self, accounts: Vec<Account>) {
        let earlier = std::mem::replace(&mut self.usage.accounts, accounts);
        let until = self.now;
        let ended = earlier.into_iter().map(|account| (until, account));
        self.usage.earlier.extend(ended);
        self.declare();
    }

    pub fn submit_for(&mut self, account: &str, id: u64, name: &str, spec: JobSpec) -> JobId {
        self.usage.owners.insert(JobId(id), account.to_owned());
        self.submit(id, name, spec)
    }

    /// Cores that an account has running.
    pub fn cores_of(&self, account: &str) -> u64 {
        let workers = self.workers.values();
        self.usage.cpu(account, &self.specs, workers) / 1_000
    }
}
