//! Clocks for the code that performs I/O; the decision logic reads none.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::domain::{Millis, Monotonic};

/// Source of time.
pub trait Clock: Send + Sync {
    /// Time since an arbitrary origin; never decreases.
    fn now(&self) -> Monotonic;

    /// Wall-clock time in milliseconds since the Unix epoch.
    fn wall_ms(&self) -> Millis;
}

/// Clock of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl SystemClock {
    /// Reading of the boot-time clock, zero if it cannot be read. A gap after a reading that
    /// failed counts as a pause.
    pub fn boot_ms(self) -> Millis {
        boot_now().map_or(0, |now| now.0)
    }
}

/// Time of the boot-time clock, which also runs while the host is suspended; `None` if it
/// cannot be read.
pub fn boot_now() -> Option<Monotonic> {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => {
            let millis = time.tv_sec() * 1000 + time.tv_nsec() / 1_000_000;
            Millis::try_from(millis).ok().map(Monotonic)
        }
        Err(error) => {
            log::error!("CLOCK_BOOTTIME cannot be read: {error}");
            None
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Monotonic {
        Monotonic(u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    fn wall_ms(&self) -> Millis {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| {
                u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
            })
    }
}

/// Clock that a test or a replay advances explicitly.
#[derive(Debug, Default)]
pub struct ManualClock {
    millis: AtomicU64,
}

impl ManualClock {
    /// Moves the clock forward by `millis`.
    pub fn advance(&self, millis: Millis) {
        self.millis.fetch_add(millis, Ordering::Relaxed);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Monotonic {
        Monotonic(self.millis.load(Ordering::Relaxed))
    }

    fn wall_ms(&self) -> Millis {
        self.millis.load(Ordering::Relaxed)
    }
}
