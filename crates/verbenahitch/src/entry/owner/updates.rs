//! Updates from the watches on the registry of workers and on the accepted jobs and
//! cancels (the intake).

use super::driver::Driver;
use crate::entry::keys::{self, IntakeKey, JobEntry};
use crate::entry::watcher::WatchUpdate;
use crate::port::{Change, Clock, Item, Platform};

impl<P: Platform> Driver<P> {
    pub(super) fn apply_registry(&mut self, update: WatchUpdate) {
        match update {
            WatchUpdate::Listed(items) => {
                let removed: Vec<String> = self
                    .worker_names
                    .keys()
                    .filter(|key| !items.iter().any(|item| item.key == **key))
                    .cloned()
                    .collect();
                for key in removed {
                    self.unlist_worker(&key);
                }
                for item in &items {
                    self.upsert_worker(item);
                }
            }
            WatchUpdate::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(item) => self.upsert_worker(&item),
                        Change::Removed(key) => self.unlist_worker(&key),
                    }
                }
            }
            WatchUpdate::Unchanged | WatchUpdate::Unavailable(_) => {}
        }
    }

    pub(super) fn upsert_worker(&mut self, item: &Item) {
        match self.shared.platform.parse_worker(item) {
            Ok(info) => {
                self.worker_names
                    .insert(item.key.clone(), info.name.clone());
                self.dispatcher.upsert_worker(info, self.clock.now());
            }
            Err(cause) => {
                self.shared.report_unreadable(item, &cause);
                if let Some(name) = self.worker_names.get(&item.key) {
                    self.dispatcher.entry_unreadable(name);
                }
            }
        }
    }

    /// Removes the worker whose registry entry has the key `key`.
    pub(super) fn unlist_worker(&mut self, key: &str) {
        if let Some(name) = self.worker_names.remove(key) {
            self.dispatcher.unlist_worker(&name, self.clock.now());
        }
    }

    pub(super) fn apply_intake(&mut self, update: WatchUpdate) {
        match update {
            WatchUpdate::Listed(items) => {
                let cancels = items
                    .iter()
                    .filter_map(|item| match keys::parse_intake(&item.key) {
                        Some(IntakeKey::Cancel(id)) => Some(id),
                        Some(IntakeKey::Job(_)) | None => None,
                    });
                self.dispatcher.retain_cancels(&cancels.collect());
                for item in &items {
                    self.apply_intake_item(item);
                }
            }
            WatchUpdate::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(item) => self.apply_intake_item(&item),
                        // The key of a cancel goes once its job has ended as cancelled, or with its
                        // lease.
                        Change::Removed(key) => {
                            if let Some(IntakeKey::Cancel(id)) = keys::parse_intake(&key) {
                                self.dispatcher.forget_cancel(id);
                            }
                        }
                    }
                }
            }
            WatchUpdate::Unchanged | WatchUpdate::Unavailable(_) => {}
        }
    }

    fn apply_intake_item(&mut self, item: &Item) {
        let now = self.now();
        match keys::parse_intake(&item.key) {
            Some(IntakeKey::Job(id)) => {
                if self.dispatcher.state(id).is_none()
                    && let Some(JobEntry::Open(record)) = self.shared.read(item, keys::read_job)
                {
                    self.dispatcher.submit(id, record, now);
                }
            }
            Some(IntakeKey::Cancel(id)) => {
                let account = keys::read_cancel(item).account;
                self.dispatcher.cancel_for(id, account.as_deref(), now.at);
            }
            None => {}
        }
    }
}
