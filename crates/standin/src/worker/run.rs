//! One run of a task and its progress.

use verbenahitch::domain::{Class, Millis, Monotonic, Resources, TaskId};
use verbenahitch::port::EndKind;

/// A run in progress.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) task: TaskId,
    pub(super) run: u64,
    pub(super) shard: String,
    pub(super) profile: String,
    pub(super) class: Class,
    pub(super) resources: Resources,
    /// CPU share.
    pub(super) share: f64,
    /// Work of the run, in milliseconds at full speed; `None` if it runs until it is stopped.
    pub(super) work_ms: Option<f64>,
    pub(super) progress_ms: f64,
    pub(super) checkpoint_ms: Millis,
    /// End of the eviction, if the run is being evicted.
    pub(super) eviction_end: Option<Monotonic>,
    /// Whether the grace of the eviction suffices for a checkpoint.
    pub(super) can_checkpoint: bool,
    /// Index of the run in the history.
    pub(super) record_index: usize,
}

/// How and when a run ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunOutcome {
    pub(super) at: Monotonic,
    pub(super) kind: EndKind,
}

impl Run {
    /// Simulates the run from `from` to `to` at `speed`; returns its outcome if it ended.
    pub(super) fn advance(
        &mut self,
        from: Monotonic,
        to: Monotonic,
        speed: f64,
        lease_end: Monotonic,
        interval_ms: Millis,
    ) -> Option<RunOutcome> {
        let end = self
            .eviction_end
            .map_or(lease_end, |eviction| eviction.min(lease_end));
        let run_until = to.min(end);
        let done = self.done_at(from, speed);
        if let Some(at) = done.filter(|at| *at <= run_until) {
            self.progress_ms = self.work_ms.unwrap_or(self.progress_ms);
            self.checkpoint_ms = truncate(self.progress_ms);
            let kind = EndKind::Done;
            return Some(RunOutcome { at, kind });
        }
        self.progress_ms += to_float(run_until.since(from)) * speed;
        let periodic_ms = truncate(self.progress_ms) / interval_ms.max(1) * interval_ms.max(1);
        self.checkpoint_ms = self.checkpoint_ms.max(periodic_ms);
        if end > to {
            return None;
        }
        let is_evicted = self.eviction_end == Some(end);
        if !is_evicted || self.can_checkpoint {
            self.checkpoint_ms = self.checkpoint_ms.max(truncate(self.progress_ms));
        }
        let kind = if is_evicted {
            EndKind::Evicted
        } else {
            EndKind::Lapsed
        };
        Some(RunOutcome { at: end, kind })
    }

    fn done_at(&self, from: Monotonic, speed: f64) -> Option<Monotonic> {
        let left_ms = self.work_ms? - self.progress_ms;
        let needed_ms = (left_ms.max(0.0) / speed).ceil();
        Some(from + truncate(needed_ms))
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "spans are far below 2^52 milliseconds"
)]
pub(super) fn to_float(value: Millis) -> f64 {
    value as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "progress is never negative and far below 2^52 milliseconds"
)]
pub(super) fn truncate(value: f64) -> Millis {
    value as Millis
}
