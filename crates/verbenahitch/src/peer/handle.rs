//! What the rest of the process uses of the node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::sync::{mpsc, oneshot};

use super::local::unavailable;
use super::shared::{Evidence, Shared};
use crate::adapter::Store;
use crate::domain::{Millis, Monotonic};
use crate::membership::{Member, OwnedShard};
use crate::scheduler::{Answer, Request};

/// What the node's thread is told to do.
pub(super) enum Order {
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
    orders: mpsc::Sender<Order>,
    timeout_ms: Millis,
}

impl Handle {
    pub(super) fn new(
        shared: Arc<Shared>,
        orders: mpsc::Sender<Order>,
        timeout_ms: Millis,
    ) -> Self {
        Self {
            shared,
            orders,
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

    /// Time without a heartbeat after which a process is presumed gone, in milliseconds.
    pub fn timeout_ms(&self) -> Millis {
        self.timeout_ms
    }

    /// All processes that are known, this one included, also those no longer heard.
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.shared.members.load_full()
    }

    /// What the other processes have said of the store.
    pub fn evidence(&self) -> Evidence {
        Evidence {
            testimonies: self.shared.testimonies.load_full(),
        }
    }

    /// Tells the others that the store answered a call that was sent at `sent`.
    ///
    /// What the answer said of the declarations must be in force before this is called.
    pub fn set_store_contact(&self, sent: Monotonic) {
        self.shared.set_store_contact(sent);
    }

    /// Sending time of the newest call that the store is known to have answered.
    pub fn store_contact(&self) -> Option<Monotonic> {
        self.shared.store_contact()
    }

    /// Tells the others which shards this process owns.
    pub fn set_shards(&self, shards: Vec<OwnedShard>) {
        self.shared.shards.store(Arc::new(shards));
    }

    /// Tells the others until when this process may start tasks.
    pub fn set_permit(&self, until: Monotonic) {
        self.shared.set_permit(until);
    }

    /// Tells the others that this process was told to stop.
    pub fn set_leaving(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// Renews sessions through `store` for processes that cannot reach it.
    pub fn serve_renewals(&self, store: Store) {
        self.shared.store.store(Some(Arc::new(store)));
    }

    /// Asks the owner of `shard` with the highest epoch that is known.
    pub async fn ask(&self, shard: &str, request: Request) -> Answer {
        let (reply, answer) = oneshot::channel();
        let order = Order::Ask {
            shard: shard.to_owned(),
            body: request,
            reply,
        };
        if self.orders.send(order).await.is_err() {
            return unavailable("this process is stopping".to_owned());
        }
        let answer = answer.await;
        answer.unwrap_or_else(|_| unavailable("this process has stopped".to_owned()))
    }

    /// Hands the declarations in force to every process that is heard, and waits for their answers.
    pub async fn announce(&self) {
        let (done, ended) = oneshot::channel();
        if self.orders.send(Order::Announce { done }).await.is_ok() {
            let _ = ended.await;
        }
    }

    /// Renews a store session through processes that reach the store; `None` if none does.
    pub async fn renew(&self, session: &str) -> Option<bool> {
        let (reply, answer) = oneshot::channel();
        let order = Order::Renew {
            session: session.to_owned(),
            reply,
        };
        self.orders.send(order).await.ok()?;
        answer.await.ok()?
    }

    /// Finishes what is under way, tells the others, and stops listening.
    pub async fn stop(self) {
        let (done, ended) = oneshot::channel();
        if self.orders.send(Order::Stop { done }).await.is_ok() {
            let _ = ended.await;
        }
    }
}
