//! Scores a worker for a task by predicted interference, rack spread and CPU fit.

use crate::collections::HashMap;
use crate::domain::{Class, JobKey, Monotonic, Profile, Resources};
use crate::interference::{Estimator, ProfileId, ProfileTable};

use super::PlacementRequest;
use super::host::Host;

const PRESSURE_WEIGHT: f64 = 4.0;
const RACK_WEIGHT: f64 = 1.0;
const FIT_WEIGHT: f64 = 0.5;
const MIN_TOLERANCE: f64 = 0.02;
/// CPU share down to which a new batch task is assumed throttled, unless its minimum share
/// is higher.
const ASSUMED_SHARE: f64 = 0.5;
/// Number of running tasks of a profile below which another one may be placed as a trial,
/// to measure its interference.
const TRIAL_TASKS: u32 = 4;
/// Effective number of measurements (after decay) from which the interference of a pair of
/// victim and source counts as measured.
const TRIAL_MEASUREMENTS: f64 = 30.0;

/// Inputs of a score.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scorer<'a> {
    pub(super) estimator: &'a Estimator,
    pub(super) profiles: &'a ProfileTable,
    pub(super) racks: &'a Racks,
    /// Number of running tasks by profile index.
    pub(super) running: &'a [u32],
    /// Whether the task has waited so long that the slowdown that it would add is ignored.
    pub(super) overdue: bool,
    pub(super) now: Monotonic,
}

/// Score of one worker; the lowest total wins.
#[derive(Clone, Copy, Debug)]
pub(super) struct Score {
    /// Largest predicted slowdown as a fraction of the victim's tolerance.
    pub(super) pressure: f64,
    /// Pressure if the tasks that may be throttled were throttled; see `pressure_by`.
    pub(super) throttled_pressure: f64,
    /// Weighted sum of pressure, rack spread and fit.
    pub(super) total: f64,
}

impl Scorer<'_> {
    /// Scores a worker for `request`, which would commit `need`.
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

    /// Largest slowdown on `host` with one more batch task, as a fraction of the victim's
    /// tolerance: at the current shares, and with the task and the throttleable sources
    /// throttled.
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
            let tolerance = tolerance(self.profiles.profile(victim.profile).max_slowdown);
            let added_own = self.added_by_task(victim.profile, request, id);
            let added_counted = if self.overdue || self.is_trial(victim.profile, id) {
                0.0
            } else {
                added_own * request.profile.min_share.max(ASSUMED_SHARE)
            };
            let unexplained = victim.unexplained(self.now);
            let (added_now, added_throttled) =
                self.added_by_sources(host, victim.profile, &request.profile);
            worst.0 = worst
                .0
                .max((added_now + unexplained + added_own) / tolerance);
            worst.1 = worst
                .1
                .max((added_throttled + unexplained + added_counted) / tolerance);
        }
        worst
    }

    /// Fraction of `victim`'s baseline latency that the task itself would add to it.
    fn added_by_task(
        &self,
        victim: ProfileId,
        request: &PlacementRequest,
        source: Option<ProfileId>,
    ) -> f64 {
        source.map_or(request.profile.pressure, |source| {
            self.estimator.slope(self.profiles, victim, source)
        })
    }

    /// Whether the pair has few measurements and few tasks of the source profile run.
    ///
    /// Such a task is placed regardless of its declared pressure, because a value that
    /// keeps all tasks of the profile away could never be corrected by measurement.
    fn is_trial(&self, victim: ProfileId, source: Option<ProfileId>) -> bool {
        let Some(source) = source else {
            return true;
        };
        let running = self.running.get(source.index()).copied().unwrap_or(0);
        running < TRIAL_TASKS && self.estimator.weight(victim, source) < TRIAL_MEASUREMENTS
    }

    /// Fraction of `victim`'s baseline latency that the current sources add to it: at the
    /// current shares, and with those throttled that may be throttled for `request`.
    fn added_by_sources(&self, host: &Host, victim: ProfileId, request: &Profile) -> (f64, f64) {
        let (mut all, mut throttled) = (0.0, 0.0);
        for (source, activity) in &host.sources {
            let added = activity * self.estimator.slope(self.profiles, victim, *source);
            let profile = self.profiles.profile(*source);
            let throttleable = profile.worth < request.worth && !profile.urgent;
            all += added;
            throttled += if throttleable {
                added * profile.min_share
            } else {
                added
            };
        }
        (all, throttled)
    }

    /// Predicted slowdown of a latency-critical task on `host`, as a fraction of its tolerance.
    fn pressure_on(&self, host: &Host, request: &PlacementRequest, id: Option<ProfileId>) -> f64 {
        let added = match id {
            Some(id) => self.estimator.added(self.profiles, id, &host.sources),
            None => host
                .sources
                .iter()
                .map(|(source, activity)| activity * self.profiles.profile(*source).pressure)
                .sum(),
        };
        added / tolerance(request.profile.max_slowdown)
    }
}

/// Fraction of the baseline latency that interference may add.
pub(super) fn tolerance(max_slowdown: f64) -> f64 {
    (max_slowdown - 1.0).max(MIN_TOLERANCE)
}

/// Fraction of the worker's CPU that would remain uncommitted and unreserved.
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
    /// Index of a rack, assigned at its first use.
    pub(super) fn index(&mut self, name: &str) -> usize {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let index = self.names.len();
        self.names.insert(name.to_owned(), index);
        index
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
