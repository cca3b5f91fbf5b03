//! Detection of pauses of this process or its host.

use nix::time::{ClockId, clock_gettime};

use crate::domain::{Millis, Monotonic};

/// Gap between two readings above which the process counts as paused, in
/// milliseconds. Half of the shortest time after which another host can be owner.
const PAUSE_THRESHOLD_MS: Millis = 700;

/// Compares readings of the boot-time clock, which also runs while the host is suspended.
#[derive(Debug)]
pub(super) struct PauseDetector {
    last: Millis,
}

impl PauseDetector {
    pub fn new() -> Self {
        Self { last: boot_ms() }
    }

    /// Whether the process was paused since the last call.
    pub fn has_paused(&mut self) -> bool {
        let now = boot_ms();
        let gap = now.saturating_sub(self.last);
        self.last = now;
        gap > PAUSE_THRESHOLD_MS
    }
}

fn boot_ms() -> Millis {
    boot_now().map_or(0, |now| now.0)
}

/// Time of the boot-time clock, which also runs while the host is suspended; `None` if it
/// cannot be read.
pub(super) fn boot_now() -> Option<Monotonic> {
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
