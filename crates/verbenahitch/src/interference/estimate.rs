//! Estimates how strongly each batch profile slows each latency-critical one.
//!
//! For every latency-critical profile the reported latency is regressed on the
//! activity of all batch profiles beside it at the time of the measurement:
//!
//! `latency = alone * (1 + load * l + sum(slope[source] * units[source]))`
//!
//! so that several sources on one worker share the slowdown by what each does
//! elsewhere, and none takes the whole blame. Old measurements are forgotten
//! exponentially. What the measurements leave open is filled by the prior, the
//! `pressure` of the source's profile.

use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic};

use super::matrix::Symmetric;
use super::{ProfileId, Roster};

const HALF_LIFE_MS: f64 = 180_000.0;
const REFRESH_MS: Millis = 1_000;
const MOST_SOURCES: usize = 64;
const FULL_COUNT: f64 = 50.0;
/// Inverse of the variance of a measurement relative to the latency alone.
const MEASUREMENT_PRECISION: f64 = 16.0;
const BASELINE_PRECISION: f64 = 0.01;
const LOAD_PRECISION: f64 = 20.0;
const SLOPE_PRECISION: f64 = 20.0;
const LEAST_BASELINE: f64 = 0.02;
const OUTLIER_RATIO: f64 = 8.0;
const ALONE: usize = 0;
const LOAD: usize = 1;
const FIXED: usize = 2;

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
    usual_count: f64,
    sources: Vec<ProfileId>,
    columns: HashMap<ProfileId, usize>,
    moments: Symmetric,
    products: Vec<f64>,
    alone: f64,
    load: f64,
    slopes: Vec<f64>,
}

impl Regression {
    fn new(latency_us: f64, count: f64) -> Self {
        let mut moments = Symmetric::default();
        moments.grow();
        moments.grow();
        Self {
            scale: latency_us.max(1.0),
            usual_count: count.max(1.0),
            sources: Vec::new(),
            columns: HashMap::default(),
            moments,
            products: vec![0.0; FIXED],
            alone: 1.0,
            load: 0.0,
            slopes: Vec::new(),
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
        Some(column)
    }

    /// Load relative to the usual one, from -1.0 to 3.0.
    fn load_of(&self, count: f64) -> f64 {
        (count / self.usual_count - 1.0).clamp(-1.0, 3.0)
    }

    fn learn(&mut self, seen: &Observation<'_>) {
        let load = self.load_of(seen.count);
        self.usual_count += 0.01 * (seen.count - self.usual_count);
        let mut inputs = vec![(ALONE, 1.0), (LOAD, load)];
        for (source, units) in seen.units {
            inputs.extend(self.column(*source).map(|column| (column, *units)));
        }
        let most = OUTLIER_RATIO * self.alone;
        let latency = (seen.latency_us / self.scale).min(most);
        let weight = self.weight(seen.count);
        for (at, (row, x)) in inputs.iter().enumerate() {
            self.products[*row] += weight * x * latency;
            for (column, y) in &inputs[..=at] {
                self.moments.add(*row, *column, weight * x * y);
            }
        }
    }

    fn weight(&self, count: f64) -> f64 {
        let precision = MEASUREMENT_PRECISION / (self.alone * self.alone);
        precision * (count / FULL_COUNT).min(1.0)
    }

    fn forget(&mut self, elapsed: Millis) {
        let keep = (-(elapsed as f64) / HALF_LIFE_MS).exp2();
        self.moments.scale(keep);
        for product in &mut self.products {
            *product *= keep;
        }
    }

    fn solve(&mut self, roster: &Roster) {
        let mut moments = self.moments.clone();
        let mut products = self.products.clone();
        let unit = self.alone * self.alone;
        moments.add(ALONE, ALONE, BASELINE_PRECISION / unit);
        products[ALONE] += BASELINE_PRECISION / unit * self.alone;
        moments.add(LOAD, LOAD, LOAD_PRECISION / unit);
        for (at, source) in self.sources.iter().enumerate() {
            // The prior ties the slope to the latency alone, which is unknown too.
            let pressure = roster.profile(*source).pressure;
            let precision = SLOPE_PRECISION / unit;
            moments.add(FIXED + at, FIXED + at, precision);
            moments.add(FIXED + at, ALONE, -precision * pressure);
            moments.add(ALONE, ALONE, precision * pressure * pressure);
        }
        let solved = moments.solve(&products);
        self.alone = solved[ALONE].max(LEAST_BASELINE);
        self.load = solved[LOAD] / self.alone;
        let slopes = solved[FIXED..].iter();
        self.slopes = slopes.map(|slope| (slope / self.alone).max(0.0)).collect();
    }
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
            victim.solve(roster);
            victim.forget(elapsed);
        }
    }

    /// Part of its latency alone that a usual task of `source` adds to `victim`.
    pub fn slope(&self, roster: &Roster, victim: ProfileId, source: ProfileId) -> f64 {
        let learnt = self.regression(victim).and_then(|regression| {
            let column = regression.columns.get(&source)?;
            regression.slopes.get(column - FIXED)
        });
        learnt
            .copied()
            .unwrap_or_else(|| roster.profile(source).pressure)
    }

    /// Latency of a profile alone at its usual load, in microseconds.
    pub fn alone_us(&self, victim: ProfileId) -> Option<f64> {
        let regression = self.regression(victim)?;
        Some(regression.alone * regression.scale)
    }

    /// Ratio of a measured latency to the latency alone at the same load.
    pub fn ratio(&self, victim: ProfileId, latency_us: f64, count: f64) -> Option<f64> {
        let regression = self.regression(victim)?;
        let load = 1.0 + regression.load * regression.load_of(count);
        let alone = regression.alone * regression.scale * load.max(0.2);
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
    let sources = regression.sources.iter().zip(&regression.slopes);
    sources.enumerate().map(move |(at, (source, slope))| {
        let precision = MEASUREMENT_PRECISION / (regression.alone * regression.alone);
        Attribution {
            victim: roster.name_at(victim).to_string(),
            source: roster.name(*source).to_string(),
            slowdown: 1.0 + slope,
            weight: regression.moments.diagonal(FIXED + at) / precision,
        }
    })
}
