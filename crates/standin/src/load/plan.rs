//! What a load sends.

use std::net::SocketAddr;

use verbenahitch::config::Declarations;
use verbenahitch::domain::Millis;

/// A bounded open load.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Start of the identity of every call, unique in a session.
    pub label: String,
    /// Callers' addresses of the gateways, used in turn.
    pub callers: Vec<SocketAddr>,
    /// Kinds of request.
    pub kinds: Vec<KindPlan>,
    /// Mean calls a second over all kinds.
    pub rate: f64,
    /// Share by which the rate swings around its mean, once up and down in the duration.
    pub swing: f64,
    /// Most calls in progress; further ones wait and their wait counts as latency.
    pub concurrency: usize,
    /// Most calls.
    pub count: u64,
    /// Longest time in which calls are sent, in milliseconds.
    pub duration_ms: Millis,
    /// Time limit of a call, in milliseconds.
    pub timeout_ms: Millis,
    /// Seed of the instants and the kinds.
    pub seed: u64,
}

/// One kind of request in a load.
#[derive(Clone, Debug, PartialEq)]
pub struct KindPlan {
    /// Name of the kind.
    pub name: String,
    /// Path that calls are sent to.
    pub path: String,
    /// Share of the load, relative to the other kinds.
    pub weight: f64,
    /// Whether calls carry an idempotency key, and are repeated under it if their outcome is unclear.
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
