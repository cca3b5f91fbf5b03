//! Planned end of an ownership: what the owner leaves to its successor.
//!
//! Load pattern: owners are replaced one after another, as in a rolling restart, while
//! workers are lost. Each owner would otherwise wait anew for the leases that earlier ones
//! gave, and the tasks of lost workers would start elsewhere only after the last change. See
//! `docs/design/recovery-of-leases.md`.

use super::orders::USABLE_AGE_MS;
use super::quorum::LapseBound;
use super::report::Retirement;
use super::worker::{RunKey, WorkerKey, on_slowest_clock};
use super::{Dispatcher, Monotonic, Worker};

impl Dispatcher {
    /// Record of this owner, which must make no pass after `now` if it is stored.
    pub fn retirement(&self, now: Monotonic) -> Retirement {
        let silent = self.workers.iter().filter(|(_, worker)| {
            !worker.runs.is_empty() && !worker.answered_within(now, USABLE_AGE_MS)
        });
        let lapse = |worker: &Worker| {
            let ends = worker.runs.iter().map(|run| self.run_lapse(*run));
            ends.max().map_or(0, |at| at.since(now))
        };
        Retirement {
            acts_ms: self.inherited_end().since(now),
            lapses: silent
                .map(|(_, worker)| (worker.info.name.clone(), lapse(worker)))
                .collect(),
        }
    }

    /// Applies the record of the owner before this one, which was read at `now`, once the
    /// workers and runs are restored.
    pub fn restore_retirement(&mut self, record: &Retirement, now: Monotonic) {
        self.retired_end = Some(now + on_slowest_clock(record.acts_ms));
        for (name, lapse_ms) in &record.lapses {
            if let Some(key) = self.worker_keys.get(name) {
                let lapse = now + on_slowest_clock(*lapse_ms);
                self.recorded_lapses.insert(*key, lapse);
            }
        }
    }

    /// When all leases that a worker may have been given have lapsed, unless it is given
    /// further ones.
    pub(super) fn lapsed_at(&self, key: WorkerKey) -> Monotonic {
        self.lapse_bound(key).0
    }

    /// When all leases of a run have lapsed: for one that is bounded, before those that its worker
    /// may have given others.
    pub(super) fn run_lapse(&self, key: RunKey) -> Monotonic {
        let run = &self.runs[key];
        let worker_lapse = self.lapsed_at(run.worker);
        if run.bounded && self.workers[run.worker].session.is_none() {
            worker_lapse.min(self.bounded_lapse())
        } else {
            worker_lapse
        }
    }

    /// [`Self::lapsed_at`], and what tells so.
    pub(super) fn lapse_bound(&self, key: WorkerKey) -> (Monotonic, LapseBound) {
        if let Some(session) = &self.workers[key].session {
            return (session.lapsed_at(), LapseBound::Session);
        }
        let inherited = (self.inherited_lapse(), self.inherited_bound().1);
        match self.recorded_lapses.get(key) {
            Some(at) if *at < inherited.0 => (*at, LapseBound::Recorded),
            Some(_) | None => inherited,
        }
    }
}
