//! One run of a task and its progress.

use verbenahitch::domain::{Class, Millis, Monotonic, Resources, TaskId};
use verbenahitch::port::EndKind;

/// A run that goes on.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) task: TaskId,
    pub(super) run: u64,
    pub(super) shard: String,
    pub(super) profile: String,
    pub(super) class: Class,
    pub(super) resources: Resources,
    pub(super) share: f64,
    /// Milliseconds of work that it takes; `None` until it is stopped.
    pub(super) work_ms: Option<f64>,
    pub(super) progress_ms: f64,
    pub(super) checkpoint_ms: Millis,
    /// When its eviction is over.
    pub(super) evicted: Option<Monotonic>,
    /// Whether its eviction leaves time for a checkpoint.
    pub(super) saves: bool,
    /// Position in the history.
    pub(super) record: usize,
}

/// How and when a run ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunOutcome {
    pub(super) at: Monotonic,
    pub(super) kind: EndKind,
}

impl Run {
    /// Moves the run from `from` to `to` at `speed`; says whether it ended on the way.
    pub(super) fn advance(
        &mut self,
        from: Monotonic,
        to: Monotonic,
        speed: f64,
        lease: Monotonic,
        interval_ms: Millis,
    ) -> Option<RunOutcome> {
        let stop = self.evicted.map_or(lease, |evicted| evicted.min(lease));
        let until = to.min(stop);
        let done = self.done_at(from, speed);
        if let Some(at) = done.filter(|at| *at <= until) {
            self.progress_ms = self.work_ms.unwrap_or(self.progress_ms);
            self.checkpoint_ms = whole(self.progress_ms);
            let kind = EndKind::Done;
            return Some(RunOutcome { at, kind });
        }
        self.progress_ms += span(until.since(from)) * speed;
        let kept = whole(self.progress_ms) / interval_ms.max(1) * interval_ms.max(1);
        self.checkpoint_ms = self.checkpoint_ms.max(kept);
        if stop > to {
            return None;
        }
        let evicted = self.evicted == Some(stop);
        if !evicted || self.saves {
            self.checkpoint_ms = self.checkpoint_ms.max(whole(self.progress_ms));
        }
        let kind = if evicted {
            EndKind::Evicted
        } else {
            EndKind::Lapsed
        };
        Some(RunOutcome { at: stop, kind })
    }

    fn done_at(&self, from: Monotonic, speed: f64) -> Option<Monotonic> {
        let left = self.work_ms? - self.progress_ms;
        let millis = (left.max(0.0) / speed).ceil();
        Some(from + whole(millis))
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "spans are far below 2^52 milliseconds"
)]
pub(super) fn span(millis: Millis) -> f64 {
    millis as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "progress is never negative and far below 2^52 milliseconds"
)]
pub(super) fn whole(millis: f64) -> Millis {
    millis as Millis
}
