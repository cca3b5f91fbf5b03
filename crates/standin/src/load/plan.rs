//! Plan of a load.

use std::net::SocketAddr;

use verbenahitch::config::Declarations;
use verbenahitch::domain::Millis;

/// A bounded open-loop load.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Prefix of every call ID, unique in a session.
    pub label: String,
    /// Callers' addresses of the gateways, used round robin.
    pub callers: Vec<SocketAddr>,
    /// Kinds of request.
    pub kinds: Vec<KindPlan>,
    /// Mean calls per second over all kinds.
    pub rate: f64,
    /// Amplitude of the rate as a fraction of its mean; the duration is one sine period.
    pub swing: f64,
    /// Maximum number of calls in progress; further ones wait, which counts as latency.
    pub concurrency: usize,
    /// Maximum number of calls.
    pub count: u64,
    /// Longest time in which calls are sent, in milliseconds.
    pub duration_ms: Millis,
    /// Timeout of a call, in milliseconds.
    pub timeout_ms: Millis,
    /// Seed of the arrival times and the kinds.
    pub seed: u64,
}

/// One kind of request in a load.
#[derive(Clone, Debug, PartialEq)]
pub struct KindPlan {
    /// Name of the kind.
    pub name: String,
    /// Path that calls are sent to.
    pub path: String,
    /// Weight in the load, relative to the other kinds.
    pub weight: f64,
    /// Whether calls carry an idempotency key, and are repeated with it if their outcome is unknown.
    pub keyed: bool,
}

impl KindPlan {
    /// All kinds of `declarations` with equal weights; those that must not run twice are keyed.
    pub fn all(declarations: &Declarations) -> Vec<Self> {
        let kinds = declarations.kinds.iter();
        let plan = kinds.map(|(name, kind)| {
            let profile = declarations.profiles.get(&kind.profile);
            Self {
                name: name.clone(),
                path: kind.path.clone(),
                weight: 1.0,
                keyed: profile.is_some_and(|profile| !profile.idempotent),
            }
        });
        plan.collect()
    }
}
