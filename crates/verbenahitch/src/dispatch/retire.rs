//! Planned end of an ownership: what the owner leaves to its successor.
//!
//! Load pattern: owners are replaced one after another, as in a rolling restart, while
//! workers are lost. Each owner would otherwise wait anew for the leases that earlier ones
//! gave, and the tasks of lost workers would start elsewhere only after the last change. See
//! `docs/design/recovery-of-leases.md`.

use super::orders::USABLE_AGE_MS;
use super::report::Retirement;
use super::worker::{Session, WorkerKey, on_slowest_clock};
use super::{Dispatcher, Monotonic};

impl Dispatcher {
    /// Record of this owner, which must make no pass after `now` if it is stored.
    pub fn retirement(&self, now: Monotonic) -> Retirement {
        let silent = self.workers.iter().filter(|(_, worker)| {
            !worker.runs.is_empty() && !worker.answered_within(now, USABLE_AGE_MS)
        });
        let lapse = |key: WorkerKey| self.lapsed_at(key).since(now);
        Retirement {
            acts_ms: self.inherited_end().since(now),
            lapses: silent
                .map(|(key, worker)| (worker.info.name.clone(), lapse(key)))
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
        let session = self.workers[key].session.as_ref();
        session.map_or_else(|| self.inherited_lapse_of(key), Session::lapsed_at)
    }

    fn inherited_lapse_of(&self, key: WorkerKey) -> Monotonic {
        let recorded = self.recorded_lapses.get(key).copied();
        let lapse = self.inherited_lapse();
        recorded.map_or(lapse, |at| at.min(lapse))
    }
}
