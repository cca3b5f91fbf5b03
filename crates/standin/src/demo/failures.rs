//! Worker crashes during a demo.

use std::time::{Duration, Instant};

use rand::SeedableRng as _;
use rand::seq::IndexedRandom as _;
use rand_chacha::ChaCha8Rng;
use verbenahitch::port::HostState;

use crate::platform::Platform;
use crate::worker::Worker;

/// Crashes `count` workers outside of `zone`, at equal intervals over `duration`.
pub(super) async fn crash_workers(
    platform: &Platform,
    count: usize,
    zone: &str,
    seed: u64,
    started: Instant,
    duration: Duration,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let candidates = platform.workers().iter();
    let candidates: Vec<&Worker> = candidates.filter(|worker| worker.zone() != zone).collect();
    let intervals = u32::try_from(count + 1).unwrap_or(u32::MAX);
    let mut due = started;
    for worker in candidates.choose_multiple(&mut rng, count) {
        due += duration / intervals;
        tokio::time::sleep_until(due.into()).await;
        worker.crash();
        platform.hosts().set_state(worker.name(), HostState::Dead);
    }
}
