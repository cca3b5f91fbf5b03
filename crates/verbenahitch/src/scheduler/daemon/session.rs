//! The store session of a scheduler: the lease under which it owns shards.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::adapter::Store;
use crate::domain::{Millis, Monotonic};
use crate::peer::Handle;
use crate::port::Clock;

/// A session that the store granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Session {
    /// Identity in the store.
    pub(super) id: String,
    /// When the last successful renewal was sent.
    pub(super) renewed: Monotonic,
}

/// Creates and renews the session and publishes it; `None` while there is none.
pub(super) struct KeepAlive {
    pub(super) store: Store,
    pub(super) handle: Handle,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) name: String,
    pub(super) lease_ms: Millis,
    pub(super) current: watch::Sender<Option<Session>>,
}

impl KeepAlive {
    /// Runs until all receivers are dropped or the task is aborted.
    pub(super) async fn run(self) {
        let pause = Duration::from_millis(self.lease_ms / 5);
        while !self.current.is_closed() {
            let held = self.current.borrow().clone();
            match held {
                Some(session) => self.renew(session).await,
                None => self.create().await,
            }
            tokio::time::sleep(pause).await;
        }
    }

    async fn create(&self) {
        let sent = self.clock.now();
        if let Ok(id) = self.store.create_session(&self.name, self.lease_ms).await {
            let session = Session { id, renewed: sent };
            self.current.send_replace(Some(session));
        }
    }

    /// Renews directly, or through another process if the store does not answer.
    async fn renew(&self, session: Session) {
        let sent = self.clock.now();
        let renewed = match self.store.renew_session(&session.id).await {
            Ok(renewed) => Some(renewed),
            Err(_) => self.handle.renew(&session.id).await,
        };
        match renewed {
            Some(true) => {
                let id = session.id;
                self.current
                    .send_replace(Some(Session { id, renewed: sent }));
            }
            Some(false) => {
                self.current.send_replace(None);
            }
            None => {}
        }
    }
}
