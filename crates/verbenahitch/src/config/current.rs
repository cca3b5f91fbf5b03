//! The revision in force in this process, read without a lock.

use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::watch;

use super::Declarations;

/// Declarations in force in this process; clones share them.
#[derive(Clone, Debug)]
pub struct Current {
    newest: Arc<ArcSwap<Declarations>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Default for Current {
    fn default() -> Self {
        Self {
            newest: Arc::new(ArcSwap::from_pointee(Declarations::default())),
            changed: Arc::new(watch::channel(0).0),
        }
    }
}

impl Current {
    /// Declarations in force.
    pub fn load(&self) -> Arc<Declarations> {
        self.newest.load_full()
    }

    /// Puts `next` in force unless the one in force is as new; says whether it did.
    pub fn advance(&self, next: Arc<Declarations>) -> bool {
        let revision = next.revision;
        self.changed.send_if_modified(|held| {
            if revision <= *held {
                return false;
            }
            self.newest.store(next);
            *held = revision;
            true
        })
    }

    /// Receiver that sees each new revision.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}
