//! Scores a worker for a task: predicted interference, spread over racks, fit.

use crate::collections::HashMap;
use crate::domain::{Class, JobKey, Monotonic, Resources};
use crate::interference::{Estimator, ProfileId, Roster};

use super::Ask;
use super::host::Host;

const PRESSURE_WEIGHT: f64 = 4.0;
const RACK_WEIGHT: f64 = 1.0;
const FIT_WEIGHT: f64 = 0.5;
const LEAST_TOLERANCE: f64 = 0.02;

/// What a score is worked out from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scorer<'a> {
    pub(super) estimator: &'a Estimator,
    pub(super) roster: &'a Roster,
    pub(super) racks: &'a Racks,
    pub(super) now: Monotonic,
}

/// Score of one worker; the lowest total is best.
#[derive(Clone, Copy, Debug)]
pub(super) struct Score {
    /// Largest predicted slowdown as a part of what its victim tolerates.
    pub(super) pressure: f64,
    /// Sum over all concerns.
    pub(super) total: f64,
}

impl Scorer<'_> {
    /// Scores a worker for `ask`, which needs `need` of it.
    pub(super) fn score(
        &self,
        host: &Host,
        ask: &Ask,
        id: Option<ProfileId>,
        need: Resources,
    ) -> Score {
        let pressure = match ask.profile.class {
            Class::Batch => self.pressure_by(host, ask, id),
            Class::LatencyCritical => self.pressure_on(host, ask, id),
        };
        let rack = self.racks.part(ask.task.job, host.rack);
        let total =
            PRESSURE_WEIGHT * pressure + RACK_WEIGHT * rack + FIT_WEIGHT * slack(host, need);
        Score { pressure, total }
    }

    /// Slowdown that a victim on `host` would have beside one more batch task.
    fn pressure_by(&self, host: &Host, ask: &Ask, id: Option<ProfileId>) -> f64 {
        let mut most: f64 = 0.0;
        for victim in &host.victims {
            if victim.residents == 0 && !victim.is_fresh(self.now) {
                continue;
            }
            let own = id.map_or(ask.profile.pressure, |id| {
                self.estimator.slope(self.roster, victim.profile, id)
            });
            let mut present = self.present(host, victim.profile);
            if victim.is_hot(self.now) {
                present = present.max(victim.ratio - 1.0);
            }
            let limit = self.roster.profile(victim.profile).max_slowdown;
            most = most.max((present + own) / tolerance(limit));
        }
        most
    }

    /// Slowdown that a latency-critical task would have on `host`.
    fn pressure_on(&self, host: &Host, ask: &Ask, id: Option<ProfileId>) -> f64 {
        let present = match id {
            Some(id) => self.present(host, id),
            None => host
                .sources
                .iter()
                .map(|(source, units)| units * self.roster.profile(*source).pressure)
                .sum(),
        };
        present / tolerance(ask.profile.max_slowdown)
    }

    /// Predicted part of its latency alone that the present sources add to `victim`.
    fn present(&self, host: &Host, victim: ProfileId) -> f64 {
        let sources = host.sources.iter();
        sources
            .map(|(source, units)| units * self.estimator.slope(self.roster, victim, *source))
            .sum()
    }
}

fn tolerance(limit: f64) -> f64 {
    (limit - 1.0).max(LEAST_TOLERANCE)
}

/// Part of the processors that would be left.
fn slack(host: &Host, need: Resources) -> f64 {
    let left = host.room().millicores.saturating_sub(need.millicores);
    left as f64 / host.capacity.millicores.max(1) as f64
}

/// Tasks of each job in each rack.
#[derive(Debug, Default)]
pub(super) struct Racks {
    names: HashMap<String, usize>,
    tasks: HashMap<(JobKey, usize), u32>,
    totals: HashMap<JobKey, u32>,
}

impl Racks {
    /// Number of a rack, given at its first use.
    pub(super) fn number(&mut self, name: &str) -> usize {
        if let Some(number) = self.names.get(name) {
            return *number;
        }
        let number = self.names.len();
        self.names.insert(name.to_owned(), number);
        number
    }

    /// Counts a task.
    pub(super) fn add(&mut self, job: JobKey, rack: usize) {
        *self.tasks.entry((job, rack)).or_default() += 1;
        *self.totals.entry(job).or_default() += 1;
    }

    /// Counts a task no more.
    pub(super) fn remove(&mut self, job: JobKey, rack: usize) {
        release(&mut self.tasks, (job, rack));
        release(&mut self.totals, job);
    }

    /// Part of the job's tasks that lie in the rack.
    fn part(&self, job: JobKey, rack: usize) -> f64 {
        let Some(total) = self.totals.get(&job) else {
            return 0.0;
        };
        let here = self.tasks.get(&(job, rack)).copied().unwrap_or(0);
        f64::from(here) / f64::from(*total)
    }
}

fn release<K: Eq + std::hash::Hash>(counts: &mut HashMap<K, u32>, key: K) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}
