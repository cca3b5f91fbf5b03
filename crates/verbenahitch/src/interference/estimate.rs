//! Estimates how strongly each batch profile slows each latency-critical one.
//!
//! For every latency-critical profile the reported latency is regressed on the
//! activity of all batch profiles beside it at the time of the measurement:
//!
//! `latency = alone(load) * (1 + sum(slope[source] * units[source]))`
//!
//! with `alone` a parabola of the logarithm of the reported number of answers,
//! so that several sources on one worker share the slowdown by what each does
//! elsewhere, and none takes the whole blame. Old measurements are forgotten
//! exponentially. What the measurements leave open is filled by the prior: the
//! `pressure` of the source's profile at first, then the estimates of the last
//! minutes. So an estimate is kept while the sources lie so evenly that the
//! measurements can't tell a slope from the latency alone.
//!
//! A second regression over the last seconds explains what the first leaves
//! over, with a prior of zero. It follows a wave of noise at once, where
//! shorter forgetting alone would make every estimate noisy.

use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic};

use super::matrix::Symmetric;
use super::{ProfileId, Roster};

const HALF_LIFE_MS: f64 = 60_000.0;
/// Time over which the prior of a slope follows what was measured.
const PRIOR_MS: f64 = 300_000.0;
const SURGE_HALF_LIFE_MS: f64 = 8_000.0;
/// Inverse of the variance of a surge relative to the latency alone.
const SURGE_PRECISION: f64 = 500.0;
const REFRESH_MS: Millis = 1_000;
const MOST_SOURCES: usize = 64;
const FULL_COUNT: f64 = 50.0;
/// Inverse of the variance of a measurement relative to the latency alone.
const MEASUREMENT_PRECISION: f64 = 16.0;
const BASELINE_PRECISION: f64 = 0.01;
const LOAD_PRECISION: f64 = 1.0;
const SLOPE_PRECISION: f64 = 20.0;
const LEAST_BASELINE: f64 = 0.02;
const OUTLIER_RATIO: f64 = 8.0;
const MOST_LOAD: f64 = 3.0;
const LOAD_SMOOTHING: f64 = 0.05;
/// Columns before those of the sources: powers of the load.
const FIXED: usize = 3;

/// How strongly one profile pressed on another.
#[derive(Clone, Debug, PartialEq)]
pub struct Attribution {
    /// Profile that was slowed.
    pub victim: String,
    /// Profile that slowed it.
    pub source: String,
    /// Estimated ratio of the victim's latency to its latency alone, per task of the source.
    pub slowdown: f64,
    /// Measurements behind the estimate, after forgetting.
    pub weight: f64,
}

/// One measurement of a latency-critical profile on one worker.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Profile that was measured.
    pub victim: ProfileId,
    /// Measured latency in microseconds.
    pub latency_us: f64,
    /// Answers behind the measurement.
    pub count: f64,
    /// Activity of each batch profile beside it, in units of a usual task.
    pub units: &'a [(ProfileId, f64)],
}

#[derive(Debug)]
struct Regression {
    /// Latency in microseconds that counts as 1.0.
    scale: f64,
    /// Number of answers that counts as load zero.
    reference: f64,
    /// Logarithm of the number of answers of late, relative to the reference.
    load: f64,
    sources: Vec<ProfileId>,
    columns: HashMap<ProfileId, usize>,
    moments: Symmetric,
    products: Vec<f64>,
    /// Coefficients of the latency alone.
    base: [f64; FIXED],
    slopes: Vec<f64>,
    /// Mean of the prior of each slope.
    priors: Vec<f64>,
    surge_moments: Symmetric,
    surge_products: Vec<f64>,
    /// What each source adds of late beyond its slope.
    surges: Vec<f64>,
}

impl Regression {
    fn new(latency_us: f64, count: f64) -> Self {
        let mut moments = Symmetric::default();
        for _ in 0..FIXED {
            moments.grow();
        }
        Self {
            scale: latency_us.max(1.0),
            reference: count.max(1.0),
            load: 0.0,
            sources: Vec::new(),
            columns: HashMap::default(),
            moments,
            products: vec![0.0; FIXED],
            base: [1.0, 0.0, 0.0],
            slopes: Vec::new(),
            priors: Vec::new(),
            surge_moments: Symmetric::default(),
            surge_products: Vec::new(),
            surges: Vec::new(),
        }
    }

    fn column(&mut self, source: ProfileId) -> Option<usize> {
        if let Some(column) = self.columns.get(&source) {
            return Some(*column);
        }
        if self.sources.len() >= MOST_SOURCES {
            return None;
        }
        let column = FIXED + self.sources.len();
        self.columns.insert(source, column);
        self.sources.push(source);
        self.moments.grow();
        self.products.push(0.0);
        self.surge_moments.grow();
        self.surge_products.push(0.0);
        Some(column)
    }

    fn load_of(&self, count: f64) -> f64 {
        let load = (count / self.reference).ln();
        load.clamp(-MOST_LOAD, MOST_LOAD)
    }

    /// Latency alone at some load, relative to the scale.
    fn alone(&self, load: f64) -> f64 {
        let powers = powers(load);
        let sum: f64 = self.base.iter().zip(powers).map(|(a, b)| a * b).sum();
        sum.max(LEAST_BASELINE)
    }

    /// Measurements behind a column, each counted at its usual precision.
    fn weight(&self, column: usize) -> f64 {
        let alone = self.alone(self.load);
        self.moments.diagonal(column) * alone * alone / MEASUREMENT_PRECISION
    }

    fn learn(&mut self, seen: &Observation<'_>) {
        let load = self.load_of(seen.count);
        self.load += LOAD_SMOOTHING * (load - self.load);
        let mut inputs: Vec<(usize, f64)> = powers(load).into_iter().enumerate().collect();
        let alone = self.alone(load);
        for (source, units) in seen.units {
            inputs.extend(self.column(*source).map(|column| (column, *units)));
        }
        let latency = (seen.latency_us / self.scale).min(OUTLIER_RATIO * alone);
        let precision = MEASUREMENT_PRECISION / (alone * alone);
        let weight = precision * (seen.count / FULL_COUNT).min(1.0);
        for (row, x) in &inputs {
            self.products[*row] += weight * x * latency;
        }
        self.moments.add_outer(&inputs, weight);
        self.learn_surge(&inputs[FIXED..], latency / alone, weight * alone * alone);
    }

    fn learn_surge(&mut self, units: &[(usize, f64)], ratio: f64, weight: f64) {
        let units: Vec<(usize, f64)> = units
            .iter()
            .map(|(column, units)| (column - FIXED, *units))
            .collect();
        if units.iter().any(|(at, _)| *at >= self.slopes.len()) {
            return;
        }
        let slope = |at: usize| self.slopes[at];
        let explained: f64 = units.iter().map(|(at, units)| units * slope(*at)).sum();
        for (at, x) in &units {
            self.surge_products[*at] += weight * x * (ratio - 1.0 - explained);
        }
        self.surge_moments.add_outer(&units, weight);
    }

    fn solve_surge(&mut self) {
        let mut moments = self.surge_moments.clone();
        for at in 0..moments.len() {
            moments.add(at, at, SURGE_PRECISION);
        }
        self.surges = moments.solve(&self.surge_products);
    }

    /// Part of the latency alone that a unit of the source at a position adds now.
    fn slope(&self, at: usize) -> Option<f64> {
        let surge = self.surges.get(at).copied().unwrap_or(0.0);
        Some((self.slopes.get(at)? + surge).max(0.0))
    }

    fn forget(&mut self, elapsed: Millis) {
        let keep = kept(elapsed, HALF_LIFE_MS);
        self.moments.scale(keep);
        for product in &mut self.products {
            *product *= keep;
        }
        let keep = kept(elapsed, SURGE_HALF_LIFE_MS);
        self.surge_moments.scale(keep);
        for product in &mut self.surge_products {
            *product *= keep;
        }
    }

    fn solve(&mut self, roster: &Roster, elapsed: Millis) {
        for source in &self.sources[self.priors.len()..] {
            self.priors.push(roster.profile(*source).pressure);
        }
        let mut moments = self.moments.clone();
        let mut products = self.products.clone();
        let powers = powers(self.load);
        let alone = self.alone(self.load);
        let unit = 1.0 / (alone * alone);
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
            // The prior ties the slope to the latency alone, which is unknown too.
            let mut tie = vec![(FIXED + at, 1.0)];
            let base = powers.iter().enumerate();
            tie.extend(base.map(|(at, power)| (at, -pressure * power)));
            moments.add_outer(&tie, SLOPE_PRECISION * unit);
        }
        let solved = moments.solve(&products);
        self.base.copy_from_slice(&solved[..FIXED]);
        let alone = self.alone(self.load);
        let slopes = solved[FIXED..].iter();
        self.slopes = slopes.map(|slope| (slope / alone).max(0.0)).collect();
        let gain = (elapsed as f64 / PRIOR_MS).min(1.0);
        for (prior, slope) in self.priors.iter_mut().zip(&self.slopes) {
            *prior += gain * (slope - *prior);
        }
    }
}

/// Part of what is known that is left after `elapsed`.
fn kept(elapsed: Millis, half_life_ms: f64) -> f64 {
    (-(elapsed as f64) / half_life_ms).exp2()
}

/// Powers of the load, one for each column of the latency alone.
fn powers(load: f64) -> [f64; FIXED] {
    [1.0, load, load * load]
}

/// Estimates for all pairs of profiles of one shard.
#[derive(Debug, Default)]
pub struct Estimator {
    victims: Vec<Option<Box<Regression>>>,
    refreshed: Monotonic,
}

impl Estimator {
    /// Learns from one measurement; [`Self::refresh`] makes it count.
    pub fn learn(&mut self, seen: &Observation<'_>) {
        if seen.count <= 0.0 || seen.latency_us <= 0.0 {
            return;
        }
        let at = seen.victim.index();
        if self.victims.len() <= at {
            self.victims.resize_with(at + 1, || None);
        }
        self.victims[at]
            .get_or_insert_with(|| Box::new(Regression::new(seen.latency_us, seen.count)))
            .learn(seen);
    }

    /// Works the estimates out again and forgets, at most once a second.
    pub fn refresh(&mut self, roster: &Roster, now: Monotonic) {
        let elapsed = now.since(self.refreshed);
        if elapsed < REFRESH_MS {
            return;
        }
        self.refreshed = now;
        for victim in self.victims.iter_mut().flatten() {
            victim.solve(roster, elapsed);
            victim.solve_surge();
            victim.forget(elapsed);
        }
    }

    /// Part of its latency alone that a usual task of `source` adds to `victim`.
    pub fn slope(&self, roster: &Roster, victim: ProfileId, source: ProfileId) -> f64 {
        let learnt = self.regression(victim).and_then(|regression| {
            let column = regression.columns.get(&source)?;
            regression.slope(column - FIXED)
        });
        learnt.unwrap_or_else(|| roster.profile(source).pressure)
    }

    /// Part of its latency alone that all `units` together add to `victim`.
    pub fn added(&self, roster: &Roster, victim: ProfileId, units: &[(ProfileId, f64)]) -> f64 {
        let parts = units.iter();
        parts
            .map(|(source, units)| units * self.slope(roster, victim, *source))
            .sum()
    }

    /// Measurements behind the estimate of a pair, after forgetting.
    pub fn weight(&self, victim: ProfileId, source: ProfileId) -> f64 {
        let Some(regression) = self.regression(victim) else {
            return 0.0;
        };
        let column = regression.columns.get(&source);
        column.map_or(0.0, |column| regression.weight(*column))
    }

    /// Latency of a profile alone at its load of late, in microseconds.
    pub fn alone_us(&self, victim: ProfileId) -> Option<f64> {
        let regression = self.regression(victim)?;
        Some(regression.alone(regression.load) * regression.scale)
    }

    /// Ratio of a measured latency to the latency alone at the same load.
    pub fn ratio(&self, victim: ProfileId, latency_us: f64, count: f64) -> Option<f64> {
        let regression = self.regression(victim)?;
        let alone = regression.alone(regression.load_of(count)) * regression.scale;
        Some(latency_us / alone)
    }

    /// All pairs that were measured, the strongest first.
    pub fn attributions(&self, roster: &Roster) -> Vec<Attribution> {
        let mut all: Vec<Attribution> = self
            .victims
            .iter()
            .enumerate()
            .filter_map(|(at, regression)| Some((at, regression.as_ref()?)))
            .flat_map(|(at, regression)| pairs(roster, at, regression))
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
    roster: &'a Roster,
    victim: usize,
    regression: &'a Regression,
) -> impl Iterator<Item = Attribution> + 'a {
    let sources = regression.sources.iter().enumerate();
    sources.filter_map(move |(at, source)| {
        Some(Attribution {
            victim: roster.name_at(victim).to_string(),
            source: roster.name(*source).to_string(),
            slowdown: 1.0 + regression.slope(at)?,
            weight: regression.weight(FIXED + at),
        })
    })
}
