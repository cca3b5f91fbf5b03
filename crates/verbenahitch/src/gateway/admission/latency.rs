//! Observed latency of each request kind.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::collections::HashMap;
use crate::config::Declarations;

/// Weight of a new observation in the mean: one in this many.
const MEAN_WEIGHT: u64 = 16;
/// Weight of a longer observation in the floor: one in this many.
const FLOOR_WEIGHT: u64 = 64;

/// Latency of one kind in microseconds; zero before the first observation.
#[derive(Debug, Default)]
struct KindLatency {
    mean: AtomicU64,
    floor: AtomicU64,
}

/// Latency of each declared kind.
#[derive(Debug, Default)]
pub struct Latency {
    kinds: ArcSwap<HashMap<String, Arc<KindLatency>>>,
}

impl Latency {
    /// Adds newly declared kinds and removes those no longer declared.
    pub fn set_kinds(&self, declarations: &Declarations) {
        let known = self.kinds.load();
        let observed = |name: &String| known.get(name).cloned().unwrap_or_default();
        let names = declarations.kinds.keys();
        let next = names.map(|name| (name.clone(), observed(name))).collect();
        self.kinds.store(Arc::new(next));
    }

    /// Records that an upstream answered a request of `kind` in `took`.
    pub fn observe(&self, kind: &str, took: Duration) {
        let kinds = self.kinds.load();
        let Some(observed) = kinds.get(kind) else {
            return;
        };
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX).max(1);
        // A concurrent update may be lost; that drops one observation.
        let mean = observed.mean.load(Ordering::Relaxed);
        let floor = observed.floor.load(Ordering::Relaxed);
        let mean = match mean {
            0 => micros,
            _ => mean - mean / MEAN_WEIGHT + micros / MEAN_WEIGHT,
        };
        let floor = match floor {
            0 => micros,
            _ if micros < floor => micros,
            _ => floor + (micros - floor) / FLOOR_WEIGHT,
        };
        observed.mean.store(mean, Ordering::Relaxed);
        observed.floor.store(floor, Ordering::Relaxed);
    }

    /// Mean in microseconds, zero if nothing was observed.
    pub fn mean_us(&self, kind: &str) -> u64 {
        self.kinds
            .load()
            .get(kind)
            .map_or(0, |observed| observed.mean.load(Ordering::Relaxed))
    }

    /// Approximate shortest recent latency in microseconds, zero if nothing was observed.
    pub fn floor_us(&self, kind: &str) -> u64 {
        self.kinds
            .load()
            .get(kind)
            .map_or(0, |observed| observed.floor.load(Ordering::Relaxed))
    }
}
