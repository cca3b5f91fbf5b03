//! When the caller of a refused job may return.
//!
//! Load pattern: a burst of refusals within a second. If all callers returned at once they
//! would be refused again, so they return one after the other from the time at which room
//! is expected, those that have waited longest first.

use crate::dispatch::JobId;
use crate::domain::Millis;

/// Shortest and longest time after which a caller is asked to return, in milliseconds.
const RETURN_BOUNDS_MS: (Millis, Millis) = (1_000, 60_000);

/// Number of parts of the time over which returns are spread.
const SPREAD_PARTS: u64 = 16;

/// Time after which a caller may return, in milliseconds. Room is expected in `room_ms`; the
/// caller was first refused `waited_ms` ago.
pub fn return_ms(id: JobId, room_ms: Millis, waited_ms: Millis) -> Millis {
    let (least, most) = RETURN_BOUNDS_MS;
    let room_ms = room_ms.min(most);
    let span_ms = room_ms.max(least);
    // Identifiers are random, so any of their bits spread callers evenly.
    let delay_ms = span_ms * (id.0 % SPREAD_PARTS) / SPREAD_PARTS;
    (room_ms + delay_ms)
        .saturating_sub(waited_ms)
        .clamp(least, most)
}
