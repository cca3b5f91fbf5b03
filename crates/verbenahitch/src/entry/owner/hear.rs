//! What the store's watches tell: the registry of workers, and the intake.

use super::driver::{Driver, read};
use crate::entry::follow::News;
use crate::entry::keys::{self, IntakeKey, JobEntry};
use crate::event::{Entry, Kind};
use crate::port::{Change, Clock, Item, Platform};

impl<P: Platform> Driver<P> {
    pub(super) fn hear_registry(&mut self, news: News) {
        match news {
            News::All(items) => {
                let gone: Vec<String> = self
                    .listed
                    .keys()
                    .filter(|key| !items.iter().any(|item| item.key == **key))
                    .cloned()
                    .collect();
                for key in gone {
                    self.unlist(&key);
                }
                for item in &items {
                    self.list(item);
                }
            }
            News::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(item) => self.list(&item),
                        Change::Removed(key) => self.unlist(&key),
                    }
                }
            }
            News::Nothing | News::Silence(_) => {}
        }
    }

    pub(super) fn list(&mut self, item: &Item) {
        match self.shared.platform.worker(item) {
            Ok(info) => {
                self.listed.insert(item.key.clone(), info.name.clone());
                self.dispatcher.list_worker(info, self.clock.now());
            }
            Err(cause) => {
                Entry::new(Kind::DeclarationUnreadable)
                    .with("key", &item.key)
                    .with("revision", item.revision)
                    .with("cause", cause)
                    .emit();
                self.unlist(&item.key);
            }
        }
    }

    pub(super) fn unlist(&mut self, key: &str) {
        if let Some(name) = self.listed.remove(key) {
            self.dispatcher.unlist_worker(&name, self.clock.now());
        }
    }

    pub(super) fn hear_intake(&mut self, news: News) {
        let items = match news {
            News::All(items) => items,
            News::Changes(changes) => changes
                .into_iter()
                .filter_map(|change| match change {
                    Change::Put(item) => Some(item),
                    Change::Removed(_) => None,
                })
                .collect(),
            News::Nothing | News::Silence(_) => return,
        };
        let now = self.now();
        for item in &items {
            match keys::parse_intake(&item.key) {
                Some(IntakeKey::Job(id)) => {
                    if self.dispatcher.state(id).is_none()
                        && let Some(JobEntry::Open(record)) = read(item)
                    {
                        self.dispatcher.submit(id, record, now);
                    }
                }
                Some(IntakeKey::Cancel(id)) => self.dispatcher.cancel(id, now.at),
                None => {}
            }
        }
    }
}
