//! Estimates how much each batch profile slows each latency-critical profile.
//!
//! For every latency-critical profile, the reported latency is regressed on the
//! activity of all batch profiles on the same worker at the time of the measurement:
//!
//! `latency = baseline(load) * (1 + sum(slope[source] * activity[source]))`
//!
//! where `baseline` is a quadratic function of the logarithm of the reported number
//! of answers. When several sources share a worker, the regression divides the slowdown
//! among them by their effect on other workers, rather than attributing all of it to
//! one. Old measurements decay exponentially.
//! The prior of a slope is the `pressure` of the source's profile at first, then
//! follows the estimates of the last minutes. It preserves an estimate while the
//! sources are spread so evenly that the measurements can't separate their slopes
//! from the baseline.
//!
//! A second regression over the last seconds fits the residuals of the first, with a
//! prior of zero. It follows a sudden change at once; a shorter half-life of the
//! first regression instead would make every estimate noisy.

use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic};

use super::matrix::Symmetric;
use super::{ProfileId, ProfileTable};

const HALF_LIFE_MS: f64 = 60_000.0;
/// Time constant with which the prior of a slope follows its estimate.
const PRIOR_MS: f64 = 300_000.0;
const RECENT_HALF_LIFE_MS: f64 = 8_000.0;
/// Inverse variance of the prior of a recent deviation, relative to the baseline latency.
const RECENT_PRECISION: f64 = 500.0;
const REFRESH_MS: Millis = 1_000;
const MAX_SOURCES: usize = 64;
/// Number of answers from which a measurement has full weight.
const FULL_WEIGHT_ANSWERS: f64 = 50.0;
/// Inverse variance of a measurement, relative to the baseline latency.
const MEASUREMENT_PRECISION: f64 = 16.0;
const BASELINE_PRECISION: f64 = 0.01;
const LOAD_PRECISION: f64 = 1.0;
const SLOPE_PRECISION: f64 = 20.0;
const MIN_BASELINE: f64 = 0.02;
const OUTLIER_RATIO: f64 = 8.0;
const MAX_LOAD: f64 = 3.0;
const LOAD_SMOOTHING: f64 = 0.05;
/// Number of columns for the powers of the load, which precede those of the sources.
const LOAD_COLUMNS: usize = 3;

/// Estimated slowdown of one profile by another.
#[derive(Clone, Debug, PartialEq)]
pub struct Attribution {
    /// Profile that is slowed.
    pub victim: String,
    /// Profile that slows it.
    pub source: String,
    /// Estimated ratio of the victim's latency beside one task of the source to its
    /// baseline latency.
    pub slowdown: f64,
    /// Effective number of measurements behind the estimate, after decay.
    pub weight: f64,
}

/// One measurement of a latency-critical profile on one worker.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Profile that was measured.
    pub victim: ProfileId,
    /// Measured latency in microseconds.
    pub latency_us: f64,
    /// Number of answers in the measurement.
    pub count: f64,
    /// Activity of each batch profile on the worker, relative to one typical task.
    pub activity: &'a [(ProfileId, f64)],
}

#[derive(Debug)]
struct Regression {
    /// Latency in microseconds that is scaled to 1.0.
    scale: f64,
    /// Number of answers that corresponds to a load of zero.
    reference_count: f64,
    /// Smoothed logarithm of the number of answers relative to the reference.
    load: f64,
    sources: Vec<ProfileId>,
    columns: HashMap<ProfileId, usize>,
    moments: Symmetric,
    products: Vec<f64>,
    /// Coefficients of the baseline latency, by power of the load.
    base: [f64; LOAD_COLUMNS],
    slopes: Vec<f64>,
    /// Mean of the prior of each slope.
    priors: Vec<f64>,
    recent_moments: Symmetric,
    recent_products: Vec<f64>,
    /// Recent deviation of each source from its slope.
    recent_deviations: Vec<f64>,
}

impl Regression {
    fn new(latency_us: f64, count: f64) -> Self {
        let mut moments = Symmetric::default();
        for _ in 0..LOAD_COLUMNS {
            moments.grow();
        }
        Self {
            scale: latency_us.max(1.0),
            reference_count: count.max(1.0),
            load: 0.0,
            sources: Vec::new(),
            columns: HashMap::default(),
            moments,
            products: vec![0.0; LOAD_COLUMNS],
            base: [1.0, 0.0, 0.0],
            slopes: Vec::new(),
            priors: Vec::new(),
            recent_moments: Symmetric::default(),
            recent_products: Vec::new(),
            recent_deviations: Vec::new(),
        }
    }

    fn column(&mut self, source: ProfileId) -> Option<usize> {
        if let Some(column) = self.columns.get(&source) {
            return Some(*column);
        }
        if self.sources.len() >= MAX_SOURCES {
            return None;
        }
        let column = LOAD_COLUMNS + self.sources.len();
        self.columns.insert(source, column);
        self.sources.push(source);
        self.moments.grow();
        self.products.push(0.0);
        self.recent_moments.grow();
        self.recent_products.push(0.0);
        Some(column)
    }

    fn load_of(&self, count: f64) -> f64 {
        let load = (count / self.reference_count).ln();
        load.clamp(-MAX_LOAD, MAX_LOAD)
    }

    /// Baseline latency at a load, relative to the scale.
    fn baseline(&self, load: f64) -> f64 {
        let powers = powers(load);
        let sum: f64 = self.base.iter().zip(powers).map(|(a, b)| a * b).sum();
        sum.max(MIN_BASELINE)
    }

    /// Effective number of measurements behind a column.
    fn weight(&self, column: usize) -> f64 {
        let baseline = self.baseline(self.load);
        self.moments.diagonal(column) * baseline * baseline / MEASUREMENT_PRECISION
    }

    fn learn(&mut self, sample: &Observation<'_>) {
        let load = self.load_of(sample.count);
        self.load += LOAD_SMOOTHING * (load - self.load);
        let mut inputs: Vec<(usize, f64)> = powers(load).into_iter().enumerate().collect();
        let baseline = self.baseline(load);
        for (source, activity) in sample.activity {
            inputs.extend(self.column(*source).map(|column| (column, *activity)));
        }
        let latency = (sample.latency_us / self.scale).min(OUTLIER_RATIO * baseline);
        let precision = MEASUREMENT_PRECISION / (baseline * baseline);
        let weight = precision * (sample.count / FULL_WEIGHT_ANSWERS).min(1.0);
        for (row, x) in &inputs {
            self.products[*row] += weight * x * latency;
        }
        self.moments.add_outer(&inputs, weight);
        self.learn_recent(
            &inputs[LOAD_COLUMNS..],
            latency / baseline,
            weight * baseline * baseline,
        );
    }

    fn learn_recent(&mut self, activity: &[(usize, f64)], ratio: f64, weight: f64) {
        let activity: Vec<(usize, f64)> = activity
            .iter()
            .map(|(column, activity)| (column - LOAD_COLUMNS, *activity))
            .collect();
        if activity.iter().any(|(at, _)| *at >= self.slopes.len()) {
            return;
        }
        let slope = |at: usize| self.slopes[at];
        let explained: f64 = activity
            .iter()
            .map(|(at, activity)| activity * slope(*at))
            .sum();
        for (at, x) in &activity {
            self.recent_products[*at] += weight * x * (ratio - 1.0 - explained);
        }
        self.recent_moments.add_outer(&activity, weight);
    }

    fn solve_recent(&mut self) {
        let mut moments = self.recent_moments.clone();
        for at in 0..moments.len() {
            moments.add(at, at, RECENT_PRECISION);
        }
        self.recent_deviations = moments.solve(&self.recent_products);
    }

    /// Fraction of the baseline latency that one typical task of a source adds now.
    fn slope(&self, at: usize) -> Option<f64> {
        let recent = self.recent_deviations.get(at).copied().unwrap_or(0.0);
        Some((self.slopes.get(at)? + recent).max(0.0))
    }

    fn decay(&mut self, elapsed: Millis) {
        let factor = decay_factor(elapsed, HALF_LIFE_MS);
        self.moments.scale(factor);
        for product in &mut self.products {
            *product *= factor;
        }
        let factor = decay_factor(elapsed, RECENT_HALF_LIFE_MS);
        self.recent_moments.scale(factor);
        for product in &mut self.recent_products {
            *product *= factor;
        }
    }

    fn solve(&mut self, profiles: &ProfileTable, elapsed: Millis) {
        for source in &self.sources[self.priors.len()..] {
            self.priors.push(profiles.profile(*source).pressure);
        }
        let mut moments = self.moments.clone();
        let mut products = self.products.clone();
        let powers = powers(self.load);
        let baseline = self.baseline(self.load);
        let unit = 1.0 / (baseline * baseline);
        for (at, mean) in self.base.iter().enumerate() {
            let precision = unit
                * if at == 0 {
                    BASELINE_PRECISION
                } else {
                    LOAD_PRECISION
                };
            moments.add(at, at, precision);
            products[at] += precision * mean;
        }
        for (at, pressure) in self.priors.iter().enumerate() {
            // The prior relates the slope to the baseline latency, which is estimated too.
            let mut prior_row = vec![(LOAD_COLUMNS + at, 1.0)];
            let base = powers.iter().enumerate();
            prior_row.extend(base.map(|(at, power)| (at, -pressure * power)));
            moments.add_outer(&prior_row, SLOPE_PRECISION * unit);
        }
        let solved = moments.solve(&products);
        self.base.copy_from_slice(&solved[..LOAD_COLUMNS]);
        let baseline = self.baseline(self.load);
        let slopes = solved[LOAD_COLUMNS..].iter();
        self.slopes = slopes.map(|slope| (slope / baseline).max(0.0)).collect();
        let gain = (elapsed as f64 / PRIOR_MS).min(1.0);
        for (prior, slope) in self.priors.iter_mut().zip(&self.slopes) {
            *prior += gain * (slope - *prior);
        }
    }
}

/// Factor by which old measurements decay within `elapsed`.
fn decay_factor(elapsed: Millis, half_life_ms: f64) -> f64 {
    (-(elapsed as f64) / half_life_ms).exp2()
}

/// Powers of the load, one for each column of the baseline.
fn powers(load: f64) -> [f64; LOAD_COLUMNS] {
    [1.0, load, load * load]
}

/// Estimates for all pairs of profiles of one shard.
#[derive(Debug, Default)]
pub struct Estimator {
    victims: Vec<Option<Box<Regression>>>,
    refreshed: Monotonic,
}

impl Estimator {
    /// Adds a measurement; estimates change with the next [`Self::refresh`].
    pub fn learn(&mut self, sample: &Observation<'_>) {
        if sample.count <= 0.0 || sample.latency_us <= 0.0 {
            return;
        }
        let at = sample.victim.index();
        if self.victims.len() <= at {
            self.victims.resize_with(at + 1, || None);
        }
        self.victims[at]
            .get_or_insert_with(|| Box::new(Regression::new(sample.latency_us, sample.count)))
            .learn(sample);
    }

    /// Recomputes the estimates and decays old measurements, at most once a second.
    pub fn refresh(&mut self, profiles: &ProfileTable, now: Monotonic) {
        let elapsed = now.since(self.refreshed);
        if elapsed < REFRESH_MS {
            return;
        }
        self.refreshed = now;
        for victim in self.victims.iter_mut().flatten() {
            victim.solve(profiles, elapsed);
            victim.solve_recent();
            victim.decay(elapsed);
        }
    }

    /// Fraction of its baseline latency that one typical task of `source` adds to `victim`.
    pub fn slope(&self, profiles: &ProfileTable, victim: ProfileId, source: ProfileId) -> f64 {
        let estimate = self.regression(victim).and_then(|regression| {
            let column = regression.columns.get(&source)?;
            regression.slope(column - LOAD_COLUMNS)
        });
        estimate.unwrap_or_else(|| profiles.profile(source).pressure)
    }

    /// Fraction of its baseline latency that all of `activity` adds to `victim`.
    pub fn added(
        &self,
        profiles: &ProfileTable,
        victim: ProfileId,
        activity: &[(ProfileId, f64)],
    ) -> f64 {
        let parts = activity.iter();
        parts
            .map(|(source, activity)| activity * self.slope(profiles, victim, *source))
            .sum()
    }

    /// Effective number of measurements behind the estimate of a pair, after decay.
    pub fn weight(&self, victim: ProfileId, source: ProfileId) -> f64 {
        let Some(regression) = self.regression(victim) else {
            return 0.0;
        };
        let column = regression.columns.get(&source);
        column.map_or(0.0, |column| regression.weight(*column))
    }

    /// Baseline latency of a profile at its recent load, in microseconds.
    pub fn baseline_us(&self, victim: ProfileId) -> Option<f64> {
        let regression = self.regression(victim)?;
        Some(regression.baseline(regression.load) * regression.scale)
    }

    /// Ratio of a measured latency to the baseline latency at the same load.
    pub fn ratio(&self, victim: ProfileId, latency_us: f64, count: f64) -> Option<f64> {
        let regression = self.regression(victim)?;
        let baseline = regression.baseline(regression.load_of(count)) * regression.scale;
        Some(latency_us / baseline)
    }

    /// Estimates of all measured pairs, the largest slowdown first.
    pub fn attributions(&self, profiles: &ProfileTable) -> Vec<Attribution> {
        let mut all: Vec<Attribution> = self
            .victims
            .iter()
            .enumerate()
            .filter_map(|(at, regression)| Some((at, regression.as_ref()?)))
            .flat_map(|(at, regression)| pairs(profiles, at, regression))
            .collect();
        all.sort_by(|a, b| {
            let strength = b.slowdown.total_cmp(&a.slowdown);
            strength.then_with(|| (&a.victim, &a.source).cmp(&(&b.victim, &b.source)))
        });
        all
    }

    fn regression(&self, victim: ProfileId) -> Option<&Regression> {
        self.victims.get(victim.index())?.as_deref()
    }
}

fn pairs<'a>(
    profiles: &'a ProfileTable,
    victim: usize,
    regression: &'a Regression,
) -> impl Iterator<Item = Attribution> + 'a {
    let sources = regression.sources.iter().enumerate();
    sources.filter_map(move |(at, source)| {
        Some(Attribution {
            victim: profiles.name_at(victim).to_string(),
            source: profiles.name(*source).to_string(),
            slowdown: 1.0 + regression.slope(at)?,
            weight: regression.weight(LOAD_COLUMNS + at),
        })
    })
}
