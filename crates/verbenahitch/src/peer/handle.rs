//! Interface of the node to the rest of the process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::sync::{mpsc, oneshot};

use super::local::unavailable;
use super::shared::{Shared, StoreReports};
use crate::adapter::Store;
use crate::domain::{Millis, Monotonic};
use crate::membership::{Member, OwnedShard};
use crate::scheduler::{Answer, Request};

/// Command to the node's thread.
pub(super) enum NodeCommand {
    Ask {
        shard: String,
        body: Request,
        reply: oneshot::Sender<Answer>,
    },
    Announce {
        done: oneshot::Sender<()>,
    },
    Renew {
        session: String,
        reply: oneshot::Sender<Option<bool>>,
    },
    Stop {
        done: oneshot::Sender<()>,
    },
}

/// Access to the node from any thread.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
    commands: mpsc::Sender<NodeCommand>,
    timeout_ms: Millis,
}

impl Handle {
    pub(super) fn new(
        shared: Arc<Shared>,
        commands: mpsc::Sender<NodeCommand>,
        timeout_ms: Millis,
    ) -> Self {
        Self {
            shared,
            commands,
            timeout_ms,
        }
    }

    /// Address that the node listens on.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Name of this process.
    pub fn name(&self) -> &str {
        &self.shared.identity.name
    }

    /// Time without a heartbeat after which a process counts as lost, in milliseconds.
    pub fn timeout_ms(&self) -> Millis {
        self.timeout_ms
    }

    /// All known processes: this one, the live and the lost ones.
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.shared.members.load_full()
    }

    /// Reports of the other processes on their contact with the store.
    pub fn store_reports(&self) -> StoreReports {
        StoreReports {
            reports: self.shared.store_reports.load_full(),
        }
    }

    /// Publishes that the store answered a call that was sent at `sent`.
    ///
    /// The declarations that the answer contained must be in force before this is called.
    pub fn set_store_contact(&self, sent: Monotonic) {
        self.shared.set_store_contact(sent);
    }

    /// Sending time of the newest call that the store answered.
    pub fn store_contact(&self) -> Option<Monotonic> {
        self.shared.store_contact()
    }

    /// Publishes which shards this process owns.
    pub fn set_shards(&self, shards: Vec<OwnedShard>) {
        self.shared.shards.store(Arc::new(shards));
    }

    /// Publishes until when this process may start tasks.
    pub fn set_permit(&self, until: Monotonic) {
        self.shared.set_permit(until);
    }

    /// Publishes that this process is stopping.
    pub fn set_leaving(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// Enables renewing store sessions through `store` for processes that cannot reach it.
    pub fn serve_renewals(&self, store: Store) {
        self.shared.store.store(Some(Arc::new(store)));
    }

    /// Sends a request to the owner of `shard` with the highest known epoch.
    pub async fn ask(&self, shard: &str, request: Request) -> Answer {
        let (reply, answer) = oneshot::channel();
        let command = NodeCommand::Ask {
            shard: shard.to_owned(),
            body: request,
            reply,
        };
        if self.commands.send(command).await.is_err() {
            return unavailable("this process is stopping".to_owned());
        }
        let answer = answer.await;
        answer.unwrap_or_else(|_| unavailable("this process has stopped".to_owned()))
    }

    /// Sends the declarations in force to every live process, and waits for the answers.
    pub async fn announce(&self) {
        let (done, ended) = oneshot::channel();
        if self
            .commands
            .send(NodeCommand::Announce { done })
            .await
            .is_ok()
        {
            let _ = ended.await;
        }
    }

    /// Renews a store session through a process that reaches the store; `None` if none answers.
    pub async fn renew(&self, session: &str) -> Option<bool> {
        let (reply, answer) = oneshot::channel();
        let command = NodeCommand::Renew {
            session: session.to_owned(),
            reply,
        };
        self.commands.send(command).await.ok()?;
        answer.await.ok()?
    }

    /// Finishes the commands in progress, tells peers that this process is leaving, and stops
    /// listening.
    pub async fn stop(self) {
        let (done, ended) = oneshot::channel();
        if self.commands.send(NodeCommand::Stop { done }).await.is_ok() {
            let _ = ended.await;
        }
    }
}
