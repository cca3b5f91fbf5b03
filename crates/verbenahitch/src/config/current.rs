//! The declarations in force in this process, read without a lock.

use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::watch;

use super::Declarations;

/// Declarations in force in this process; clones share them.
#[derive(Clone, Debug)]
pub struct CurrentDeclarations {
    declarations: Arc<ArcSwap<Declarations>>,
    revision_sender: Arc<watch::Sender<u64>>,
}

impl Default for CurrentDeclarations {
    fn default() -> Self {
        Self {
            declarations: Arc::new(ArcSwap::from_pointee(Declarations::default())),
            revision_sender: Arc::new(watch::channel(0).0),
        }
    }
}

impl CurrentDeclarations {
    /// Declarations in force.
    pub fn load(&self) -> Arc<Declarations> {
        self.declarations.load_full()
    }

    /// Puts `next` in force if its revision is newer; returns whether it was.
    pub fn advance(&self, next: Arc<Declarations>) -> bool {
        let revision = next.revision;
        self.revision_sender.send_if_modified(|current| {
            if revision <= *current {
                return false;
            }
            self.declarations.store(next);
            *current = revision;
            true
        })
    }

    /// Receiver that is notified of new revisions.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision_sender.subscribe()
    }
}
