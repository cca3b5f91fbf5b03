//! Choice of the upstreams that a gateway keeps connections to.
//!
//! Rendezvous hashing by the gateway's name gives each gateway a stable subset:
//! adding or removing a worker changes at most one member, and the subsets of
//! all gateways spread over all workers.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

use crate::port::HostRecord;

use super::table::RoutingConfig;

/// Share of the subset reserved for upstreams of other zones, if there are any, in percent.
const FAR_PERCENT: usize = 25;

/// Chooses the subset of `hosts` for the gateway that `config` describes.
pub fn choose<'a>(
    config: &RoutingConfig,
    hosts: impl Iterator<Item = &'a HostRecord>,
) -> Vec<&'a HostRecord> {
    let (mut near, mut far): (Vec<_>, Vec<_>) = hosts.partition(|host| host.zone == config.zone);
    let reserved = far.len().min(config.subset * FAR_PERCENT / 100);
    keep(&mut near, config, config.subset.saturating_sub(reserved));
    keep(&mut far, config, config.subset.saturating_sub(near.len()));
    near.append(&mut far);
    near
}

fn keep(hosts: &mut Vec<&HostRecord>, config: &RoutingConfig, count: usize) {
    hosts.sort_by_cached_key(|host| (weight(&config.name, &host.name), host.name.clone()));
    hosts.truncate(count);
}

fn weight(gateway: &str, worker: &str) -> u64 {
    let mut hasher = FxHasher::default();
    gateway.hash(&mut hasher);
    worker.hash(&mut hasher);
    // The low bits of FxHash depend on few bits of its input; this mixes all
    // bits of the hash into them.
    let mixed = hasher.finish().wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93)
}
