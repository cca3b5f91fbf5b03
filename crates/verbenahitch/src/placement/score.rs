//! Scores a worker for a task by predicted interference, spread over racks, and fit.

use crate::collections::HashMap;
use crate::domain::{Class, JobKey, Monotonic, Profile, Resources};
use crate::interference::{Estimator, ProfileId, ProfileTable};

use super::PlacementRequest;
use super::host::Host;

const PRESSURE_WEIGHT: f64 = 4.0;
const RACK_WEIGHT: f64 = 1.0;
const FIT_WEIGHT: f64 = 0.5;
const MIN_TOLERANCE: f64 = 0.02;
/// CPU share at which the slowdown added by a batch task must be tolerable, unless its
/// profile's minimum share is higher.
const ASSUMED_SHARE: f64 = 0.5;
/// Number of running tasks of a profile below which more are placed to measure its pressure.
const TRIAL_TASKS: u32 = 4;
/// Number of measurements from which the pressure of a pair counts as measured.
const TRIAL_MEASUREMENTS: f64 = 30.0;

/// Inputs of a score.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scorer<'a> {
    pub(super) estimator: &'a Estimator,
    pub(super) profiles: &'a ProfileTable,
    pub(super) racks: &'a Racks,
    /// Number of running tasks by profile index.
    pub(super) running: &'a [u32],
    /// Whether the task has waited so long that its own pressure is ignored.
    pub(super) overdue: bool,
    pub(super) now: Monotonic,
}

/// Score of one worker; the lowest total wins.
#[derive(Clone, Copy, Debug)]
pub(super) struct Score {
    /// Largest predicted slowdown as a fraction of what its victim tolerates.
    pub(super) pressure: f64,
    /// The same once all tasks that may be throttled for this one are throttled.
    pub(super) throttled_pressure: f64,
    /// Weighted sum of pressure, rack spread and fit.
    pub(super) total: f64,
}

impl Scorer<'_> {
    /// Scores a worker for `request`, which needs `need` of it.
    pub(super) fn score(
        &self,
        host: &Host,
        request: &PlacementRequest,
        id: Option<ProfileId>,
        need: Resources,
    ) -> Score {
        let (pressure, throttled_pressure) = match request.profile.class {
            Class::Batch => self.pressure_by(host, request, id),
            Class::LatencyCritical => {
                let pressure = self.pressure_on(host, request, id);
                (pressure, pressure)
            }
        };
        let rack = self.racks.job_fraction(request.task.job, host.rack);
        let total =
            PRESSURE_WEIGHT * pressure + RACK_WEIGHT * rack + FIT_WEIGHT * slack(host, need);
        Score {
            pressure,
            throttled_pressure,
            total,
        }
    }

    /// Largest slowdown on `host` with one more batch task, as a fraction of what the
    /// victim tolerates: without throttling, and once the task and those of lower worth
    /// are throttled.
    ///
    /// The second value leaves out the task itself if it is overdue or a trial.
    fn pressure_by(
        &self,
        host: &Host,
        request: &PlacementRequest,
        id: Option<ProfileId>,
    ) -> (f64, f64) {
        let mut worst: (f64, f64) = (0.0, 0.0);
        for victim in &host.victims {
            if victim.task_count == 0 && !victim.is_fresh(self.now) {
                continue;
            }
            let limit = tolerance(self.profiles.profile(victim.profile).max_slowdown);
            let own = self.own_pressure(victim.profile, request, id);
            let counted = if self.overdue || self.is_trial(victim.profile, id) {
                0.0
            } else {
                own * request.profile.min_share.max(ASSUMED_SHARE)
            };
            let unexplained = victim.unexplained(self.now);
            let (present, throttled) =
                self.present_pressure(host, victim.profile, &request.profile);
            worst.0 = worst.0.max((present + unexplained + own) / limit);
            worst.1 = worst.1.max((throttled + unexplained + counted) / limit);
        }
        worst
    }

    /// Fraction of its baseline latency that the task itself would add to `victim`.
    fn own_pressure(
        &self,
        victim: ProfileId,
        request: &PlacementRequest,
        id: Option<ProfileId>,
    ) -> f64 {
        id.map_or(request.profile.pressure, |id| {
            self.estimator.slope(self.profiles, victim, id)
        })
    }

    /// Whether the pair has few measurements and few tasks of the source profile run.
    ///
    /// Such a task is placed regardless of its declared pressure, because a value that
    /// keeps all tasks of the profile away could never be corrected by measurement.
    fn is_trial(&self, victim: ProfileId, id: Option<ProfileId>) -> bool {
        let Some(id) = id else {
            return true;
        };
        let running = self.running.get(id.index()).copied().unwrap_or(0);
        running < TRIAL_TASKS && self.estimator.weight(victim, id) < TRIAL_MEASUREMENTS
    }

    /// Fraction of its baseline latency that the current sources add to `victim`:
    /// without throttling, and with those of lower worth than `request` throttled.
    fn present_pressure(&self, host: &Host, victim: ProfileId, request: &Profile) -> (f64, f64) {
        let (mut all, mut throttled) = (0.0, 0.0);
        for (source, activity) in &host.sources {
            let added = activity * self.estimator.slope(self.profiles, victim, *source);
            let profile = self.profiles.profile(*source);
            let yields = profile.worth < request.worth && !profile.urgent;
            all += added;
            throttled += if yields {
                added * profile.min_share
            } else {
                added
            };
        }
        (all, throttled)
    }

    /// Slowdown of a latency-critical task on `host`, as a fraction of what it tolerates.
    fn pressure_on(&self, host: &Host, request: &PlacementRequest, id: Option<ProfileId>) -> f64 {
        let present = match id {
            Some(id) => self.estimator.added(self.profiles, id, &host.sources),
            None => host
                .sources
                .iter()
                .map(|(source, activity)| activity * self.profiles.profile(*source).pressure)
                .sum(),
        };
        present / tolerance(request.profile.max_slowdown)
    }
}

/// Fraction of the baseline latency that interference may add.
pub(super) fn tolerance(limit: f64) -> f64 {
    (limit - 1.0).max(MIN_TOLERANCE)
}

/// Fraction of the worker's CPU that would remain unused.
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
    /// Number of a rack, assigned at its first use.
    pub(super) fn number(&mut self, name: &str) -> usize {
        if let Some(number) = self.names.get(name) {
            return *number;
        }
        let number = self.names.len();
        self.names.insert(name.to_owned(), number);
        number
    }

    /// Adds a task.
    pub(super) fn add(&mut self, job: JobKey, rack: usize) {
        *self.tasks.entry((job, rack)).or_default() += 1;
        *self.totals.entry(job).or_default() += 1;
    }

    /// Removes a task.
    pub(super) fn remove(&mut self, job: JobKey, rack: usize) {
        decrement(&mut self.tasks, (job, rack));
        decrement(&mut self.totals, job);
    }

    /// Fraction of the job's tasks that are in the rack.
    fn job_fraction(&self, job: JobKey, rack: usize) -> f64 {
        let Some(total) = self.totals.get(&job) else {
            return 0.0;
        };
        let in_rack = self.tasks.get(&(job, rack)).copied().unwrap_or(0);
        f64::from(in_rack) / f64::from(*total)
    }
}

fn decrement<K: Eq + std::hash::Hash>(counts: &mut HashMap<K, u32>, key: K) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}
