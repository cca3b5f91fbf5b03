//! The parts of one entry host, put together.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwapOption;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::follow::{News, Pacing, follow};
use super::intake::{self, Intake};
use super::keys::{self, OwnerRecord};
use super::link::{self, Inbox};
use super::owner::OwnerEvent;
use super::{lead, owner};
use crate::collections::HashMap;
use crate::dispatch::Queue;
use crate::domain::Millis;
use crate::event::{Entry, Kind};
use crate::port::{Change, Directive, Item, Platform, Queues};

/// How the operators' keys and the owner's key are followed. A quarter of the
/// time in which a change has to be in force.
const FOLLOW: Pacing = Pacing {
    wait_ms: 1_000,
    pause_ms: 0,
};

/// Settings of an entry host, beside those of the platform.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the host.
    pub name: String,
    /// Address for calls of other hosts.
    pub address: SocketAddr,
    /// Share of a core that the host has; larger hosts own the dispatching first.
    pub share: f64,
    /// Longest lease that workers give, in milliseconds.
    pub lease_max: Millis,
}

/// What the parts of a host share.
pub(super) struct Shared<P> {
    pub platform: P,
    pub settings: EntrySettings,
    pub queues: Arc<ArcSwapOption<Queues>>,
    pub evacuated: RefCell<Vec<String>>,
    pub owner: watch::Sender<Option<OwnerRecord>>,
    /// Whether the key of the owner was read since the store answered last.
    pub knows_owner: Cell<bool>,
    /// Whether the store has answered this host lately.
    pub store_up: Arc<AtomicBool>,
    pub inbox: Inbox,
    pub stopping: watch::Receiver<bool>,
}

impl<P: Platform> Shared<P> {
    /// Whether the store has answered this host lately.
    pub fn is_store_up(&self) -> bool {
        self.store_up.load(Ordering::Relaxed)
    }

    /// Queues in force, and the zones that get nothing.
    pub fn declared(&self) -> (Vec<Queue>, Vec<String>) {
        let queues = self.queues.load_full();
        let routes = queues.iter().flat_map(|queues| &queues.routes);
        let queues = routes.map(|route| route.queue.clone()).collect();
        (queues, self.evacuated.borrow().clone())
    }

    fn hear_store(&self, is_up: bool, cause: Option<String>) {
        if self.store_up.swap(is_up, Ordering::Relaxed) == is_up {
            return;
        }
        let kind = if is_up {
            Kind::StoreUp
        } else {
            Kind::StoreDown
        };
        Entry::new(kind).with("cause", cause).emit();
    }
}

/// One entry host.
pub struct Node<P> {
    shared: Rc<Shared<P>>,
    intake: Intake,
    calls: mpsc::UnboundedReceiver<intake::Call>,
}

impl<P: Platform> Node<P> {
    /// Creates the host without starting anything.
    pub fn new(platform: P, settings: EntrySettings, stopping: watch::Receiver<bool>) -> Self {
        let (sender, calls) = mpsc::unbounded_channel();
        let queues = Arc::new(ArcSwapOption::empty());
        let store_up = Arc::new(AtomicBool::new(false));
        let shared = Shared {
            platform,
            settings,
            queues: Arc::clone(&queues),
            evacuated: RefCell::new(Vec::new()),
            owner: watch::channel(None).0,
            knows_owner: Cell::new(false),
            store_up: Arc::clone(&store_up),
            inbox: Inbox::default(),
            stopping,
        };
        Self {
            shared: Rc::new(shared),
            intake: Intake {
                calls: sender,
                queues,
                store_up,
            },
            calls,
        }
    }

    /// Handle for callers' calls.
    pub fn intake(&self) -> Intake {
        self.intake.clone()
    }

    /// Runs the host on the local task set until it is dropped.
    ///
    /// # Errors
    ///
    /// When the address for other hosts cannot be listened on.
    pub async fn run(self) -> std::io::Result<()> {
        let Self {
            shared,
            intake,
            calls,
        } = self;
        drop(intake);
        let listener = TcpListener::bind(shared.settings.address).await?;
        tokio::join!(
            link::serve(listener, shared.inbox.clone()),
            intake::serve(Rc::clone(&shared), calls),
            follow_operators(&shared),
            follow_owner(&shared),
            lead::campaign(&shared),
        );
        Ok(())
    }
}

async fn follow_operators<P: Platform>(shared: &Shared<P>) {
    let mut zones: HashMap<String, String> = HashMap::default();
    let kv = shared.platform.kv();
    let prefix = shared.platform.operator_prefix();
    follow(kv, prefix, FOLLOW, |news| {
        shared.hear_store(
            !matches!(news, News::Silence(_)),
            match &news {
                News::Silence(error) => Some(error.to_string()),
                _ => None,
            },
        );
        match news {
            News::All(items) => {
                zones.clear();
                for item in &items {
                    apply(shared, &mut zones, item);
                }
            }
            News::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(item) => apply(shared, &mut zones, &item),
                        Change::Removed(key) => {
                            zones.remove(&key);
                        }
                    }
                }
            }
            News::Nothing | News::Silence(_) => return,
        }
        let mut out: Vec<String> = zones.values().cloned().collect();
        out.sort_unstable();
        if *shared.evacuated.borrow() != out {
            Entry::new(Kind::Declared).with("zones-out", &out).emit();
            shared.evacuated.replace(out);
        }
        shared.inbox.tell(OwnerEvent::Declared);
    })
    .await;
}

fn apply<P: Platform>(shared: &Shared<P>, zones: &mut HashMap<String, String>, item: &Item) {
    match shared.platform.directive(item) {
        Ok(Directive::Queues(queues)) => {
            let held = shared.queues.load_full();
            if held.is_some_and(|held| held.version >= queues.version) {
                return;
            }
            Entry::new(Kind::Declared)
                .with("version", queues.version)
                .with("queues", queues.routes.len())
                .emit();
            shared.queues.store(Some(Arc::new(queues)));
        }
        Ok(Directive::Evacuate(zone)) => {
            zones.insert(item.key.clone(), zone);
        }
        Ok(Directive::Other) => {}
        Err(cause) => Entry::new(Kind::DeclarationUnreadable)
            .with("key", &item.key)
            .with("revision", item.revision)
            .with("cause", cause)
            .emit(),
    }
}

async fn follow_owner<P: Platform>(shared: &Shared<P>) {
    let set = |record: Option<OwnerRecord>| {
        if *shared.owner.borrow() != record {
            Entry::new(Kind::OwnerChanged)
                .with("owner", record.as_ref().map(|record| &record.name))
                .emit();
            shared.owner.send_replace(record);
        }
    };
    let read = |item: &Item| match serde_json::from_slice(&item.value) {
        Ok(record) => set(Some(record)),
        Err(error) => log::error!("the record of the owner cannot be read: {error}"),
    };
    let kv = shared.platform.kv();
    follow(kv, keys::LEAD, FOLLOW, |news| match news {
        News::All(items) => {
            shared.knows_owner.set(true);
            match items.iter().find(|item| item.key == keys::OWNER) {
                Some(item) => read(item),
                None => set(None),
            }
            // Waiting candidates look again even when nothing has changed.
            shared.owner.send_modify(|_| {});
        }
        News::Changes(changes) => {
            shared.knows_owner.set(true);
            for change in changes {
                match change {
                    Change::Put(item) if item.key == keys::OWNER => read(&item),
                    Change::Removed(key) if key == keys::OWNER => set(None),
                    Change::Put(_) | Change::Removed(_) => {}
                }
            }
        }
        News::Nothing => shared.knows_owner.set(true),
        News::Silence(_) => shared.knows_owner.set(false),
    })
    .await;
}

/// Runs the owner's part while this process holds `term`.
pub(super) async fn own<P: Platform>(shared: &Rc<Shared<P>>, term: lead::Term) -> owner::Outcome {
    let (sender, events) = mpsc::unbounded_channel();
    shared.inbox.set(Some(sender.clone()));
    let outcome = owner::run(shared, term, sender, events).await;
    shared.inbox.set(None);
    outcome
}
