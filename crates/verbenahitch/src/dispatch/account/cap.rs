//! Room of an account under its cap.
//!
//! Load pattern: an account submits several times what its cap lets it run, while starts
//! go unanswered, workers are cut off, and owners change. A start must not bring what the
//! account has running above the cap, and an account that uses little of it must not be
//! kept from starting.
//!
//! Inputs: the ledger, which counts every run from its assignment until its end is known.

use crate::dispatch::job::Amount;

/// What an account has in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InUse {
    /// Resources of its runs, with the CPU of fillers.
    pub held: Amount,
    /// Resources of ended runs whose starts may still be carried out.
    pub late: Amount,
}

/// One resource of a cap, of what is in use, and of a task.
#[derive(Clone, Copy)]
struct Resource {
    cap: u64,
    held: u64,
    late: u64,
    task: u64,
}

impl Resource {
    fn has_room(self, overshoot: f64) -> bool {
        let Self {
            cap,
            held,
            late,
            task,
        } = self;
        if cap == 0 || task == 0 {
            return true;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "resources of a fleet are far below 2^52"
        )]
        let tolerance = (cap as f64 * overshoot.max(0.0)) as u64;
        let limit = cap.saturating_add(tolerance);
        let used = held.saturating_add(late);
        let fits = held.saturating_add(task) <= cap && used.saturating_add(task) <= limit;
        // The bound is the limit and one task more, so a large task finds room, too.
        let is_little_used = held.saturating_mul(2) < cap && used <= limit;
        fits || is_little_used
    }
}

/// Whether a task may start beside what its account has in use. `overshoot` is the part of
/// the cap by which the deployment lets it be exceeded; only late starts may use it.
pub fn admits(cap: Amount, overshoot: f64, in_use: InUse, task: Amount) -> bool {
    let InUse { held, late } = in_use;
    let resource = |of: fn(&Amount) -> u64| Resource {
        cap: of(&cap),
        held: of(&held),
        late: of(&late),
        task: of(&task),
    };
    [
        resource(|amount| amount.cpu_milli),
        resource(|amount| amount.memory_mb),
        resource(|amount| amount.gpus),
    ]
    .into_iter()
    .all(|resource| resource.has_room(overshoot))
}
