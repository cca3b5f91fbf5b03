//! Detection of pauses of this process or its host. It lasts for a whole ownership, so that a
//! pause during a hand-over that fails counts as well.

use crate::domain::Millis;

/// Gap between two readings above which the process counts as paused, in
/// milliseconds. Half of the shortest time after which another host can be owner.
const PAUSE_THRESHOLD_MS: Millis = 700;

/// Compares readings of a clock that also runs while the host is suspended.
#[derive(Debug, Default)]
pub(super) struct PauseDetector {
    last: Option<Millis>,
}

impl PauseDetector {
    /// Whether the process was paused between the last reading and this one.
    pub fn has_paused(&mut self, boot_ms: Millis) -> bool {
        let last = self.last.replace(boot_ms).unwrap_or(boot_ms);
        boot_ms.saturating_sub(last) > PAUSE_THRESHOLD_MS
    }
}
