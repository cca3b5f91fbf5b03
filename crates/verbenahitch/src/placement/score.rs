//! Scores a worker for a task: predicted interference, spread over racks, fit.

use crate::collections::HashMap;
use crate::domain::{Class, JobKey, Monotonic, Profile, Resources};
use crate::interference::{Estimator, ProfileId, Roster};

use super::Ask;
use super::host::Host;

const PRESSURE_WEIGHT: f64 = 4.0;
const RACK_WEIGHT: f64 = 1.0;
const FIT_WEIGHT: f64 = 0.5;
const LEAST_TOLERANCE: f64 = 0.02;
/// Share of its processors at which a task must be bearable to be let in.
const ADMITTED_SHARE: f64 = 0.5;
/// Tasks of a profile that are tried before its pressure was measured.
const TRIALS: u32 = 4;
/// Measurements from which on a pressure counts as measured.
const TRIED: f64 = 30.0;

/// What a score is worked out from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scorer<'a> {
    pub(super) estimator: &'a Estimator,
    pub(super) roster: &'a Roster,
    pub(super) racks: &'a Racks,
    /// Tasks of each profile that run.
    pub(super) running: &'a [u32],
    /// Whether the task has waited so long that its own pressure does not count.
    pub(super) overdue: bool,
    pub(super) now: Monotonic,
}

/// Score of one worker; the lowest total is best.
#[derive(Clone, Copy, Debug)]
pub(super) struct Score {
    /// Largest predicted slowdown as a part of what its victim tolerates.
    pub(super) pressure: f64,
    /// The same once the tasks that yield are throttled.
    pub(super) residual: f64,
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
        let (pressure, residual) = match ask.profile.class {
            Class::Batch => self.pressure_by(host, ask, id),
            Class::LatencyCritical => {
                let pressure = self.pressure_on(host, ask, id);
                (pressure, pressure)
            }
        };
        let rack = self.racks.part(ask.task.job, host.rack);
        let total =
            PRESSURE_WEIGHT * pressure + RACK_WEIGHT * rack + FIT_WEIGHT * slack(host, need);
        Score {
            pressure,
            residual,
            total,
        }
    }

    /// Slowdown that a victim on `host` would have beside one more batch task:
    /// as things are, and once it and the tasks that yield to it are throttled.
    ///
    /// A long overdue task does not count itself.
    fn pressure_by(&self, host: &Host, ask: &Ask, id: Option<ProfileId>) -> (f64, f64) {
        let mut most: (f64, f64) = (0.0, 0.0);
        for victim in &host.victims {
            if victim.residents == 0 && !victim.is_fresh(self.now) {
                continue;
            }
            let limit = tolerance(self.roster.profile(victim.profile).max_slowdown);
            let own = self.own(victim.profile, ask, id);
            let counted = if self.overdue || self.is_trial(victim.profile, id) {
                0.0
            } else {
                own * ask.profile.min_share.max(ADMITTED_SHARE)
            };
            let unexplained = victim.unexplained(self.now);
            let (present, least) = self.present(host, victim.profile, &ask.profile);
            most.0 = most.0.max((present + unexplained + own) / limit);
            most.1 = most.1.max((least + unexplained + counted) / limit);
        }
        most
    }

    /// Part of its latency alone that the task itself would add to `victim`.
    fn own(&self, victim: ProfileId, ask: &Ask, id: Option<ProfileId>) -> f64 {
        id.map_or(ask.profile.pressure, |id| {
            self.estimator.slope(self.roster, victim, id)
        })
    }

    /// Whether little of the pair was measured and few of its tasks run.
    ///
    /// Such a task is let in, since a declared pressure that keeps all of them
    /// away could never be corrected.
    fn is_trial(&self, victim: ProfileId, id: Option<ProfileId>) -> bool {
        let Some(id) = id else {
            return true;
        };
        let running = self.running.get(id.index()).copied().unwrap_or(0);
        running < TRIALS && self.estimator.weight(victim, id) < TRIED
    }

    /// Part of its latency alone that the present sources add to `victim`: as
    /// they are, and with those throttled that are worth less than `ask`.
    fn present(&self, host: &Host, victim: ProfileId, ask: &Profile) -> (f64, f64) {
        let (mut all, mut least) = (0.0, 0.0);
        for (source, units) in &host.sources {
            let added = units * self.estimator.slope(self.roster, victim, *source);
            let profile = self.roster.profile(*source);
            let yields = profile.worth < ask.worth && !profile.urgent;
            all += added;
            least += if yields {
                added * profile.min_share
            } else {
                added
            };
        }
        (all, least)
    }

    /// Slowdown that a latency-critical task would have on `host`.
    fn pressure_on(&self, host: &Host, ask: &Ask, id: Option<ProfileId>) -> f64 {
        let present = match id {
            Some(id) => self.estimator.added(self.roster, id, &host.sources),
            None => host
                .sources
                .iter()
                .map(|(source, units)| units * self.roster.profile(*source).pressure)
                .sum(),
        };
        present / tolerance(ask.profile.max_slowdown)
    }
}

/// Part of the latency alone that may be added.
pub(super) fn tolerance(limit: f64) -> f64 {
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
