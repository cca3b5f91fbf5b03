//! Assembly of an entry host from its parts.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwapOption;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::intake::{self, Intake};
use super::keys::{self, OwnerRecord};
use super::link::{self, Inbox};
use super::owner::OwnerEvent;
use super::watcher::{WatchTiming, WatchUpdate, watch_prefix};
use super::{election, owner};
use crate::collections::HashMap;
use crate::dispatch::Queue;
use crate::domain::Millis;
use crate::event::{Entry, Kind};
use crate::port::{Change, Directive, Item, Platform, Queues};

/// Timing of the watches on the operators' keys and the owner's key. The wait is a
/// quarter of the time within which a change must be in force.
const CONTROL_WATCH: WatchTiming = WatchTiming {
    wait_ms: 1_000,
    pause_ms: 0,
};

/// Settings of an entry host, without those of the platform.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the host.
    pub name: String,
    /// Address for calls of other hosts.
    pub address: SocketAddr,
    /// Share of a core that the host has; larger hosts are preferred as owner.
    pub share: f64,
    /// Longest lease that workers accept, in milliseconds.
    pub lease_max: Millis,
}

/// State that the parts of a host share.
pub(super) struct Shared<P> {
    pub platform: P,
    pub settings: EntrySettings,
    pub queues: Arc<ArcSwapOption<Queues>>,
    pub evacuated_zones: RefCell<Vec<String>>,
    pub owner: watch::Sender<Option<OwnerRecord>>,
    /// Whether the last read or watch of the owner's key succeeded.
    pub knows_owner: Cell<bool>,
    /// Whether the last read or watch of the operators' keys succeeded.
    pub store_up: Arc<AtomicBool>,
    pub inbox: Inbox,
    pub stopping: watch::Receiver<bool>,
}

impl<P: Platform> Shared<P> {
    /// Whether the last read or watch of the operators' keys succeeded.
    pub fn is_store_up(&self) -> bool {
        self.store_up.load(Ordering::Relaxed)
    }

    /// Queues in force, and the evacuated zones.
    pub fn declared(&self) -> (Vec<Queue>, Vec<String>) {
        let queues = self.queues.load_full();
        let routes = queues.iter().flat_map(|queues| &queues.routes);
        let queues = routes.map(|route| route.queue.clone()).collect();
        (queues, self.evacuated_zones.borrow().clone())
    }

    fn set_store_up(&self, is_up: bool, cause: Option<String>) {
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
pub struct EntryHost<P> {
    shared: Rc<Shared<P>>,
    intake: Intake,
    calls: mpsc::UnboundedReceiver<intake::Call>,
}

impl<P: Platform> EntryHost<P> {
    /// Creates a host; [`EntryHost::run`] starts it.
    pub fn new(platform: P, settings: EntrySettings, stopping: watch::Receiver<bool>) -> Self {
        let (sender, calls) = mpsc::unbounded_channel();
        let queues = Arc::new(ArcSwapOption::empty());
        let store_up = Arc::new(AtomicBool::new(false));
        let shared = Shared {
            platform,
            settings,
            queues: Arc::clone(&queues),
            evacuated_zones: RefCell::new(Vec::new()),
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

    /// Handle for serving callers.
    pub fn intake(&self) -> Intake {
        self.intake.clone()
    }

    /// Runs the host on the local task set until it is dropped.
    ///
    /// # Errors
    ///
    /// When the address for calls of other hosts cannot be bound.
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
            watch_operators(&shared),
            watch_owner(&shared),
            election::campaign(&shared),
        );
        Ok(())
    }
}

async fn watch_operators<P: Platform>(shared: &Shared<P>) {
    let mut zones: HashMap<String, String> = HashMap::default();
    let kv = shared.platform.kv();
    let prefix = shared.platform.operator_prefix();
    watch_prefix(kv, prefix, CONTROL_WATCH, |update| {
        shared.set_store_up(
            !matches!(update, WatchUpdate::Unavailable(_)),
            match &update {
                WatchUpdate::Unavailable(error) => Some(error.to_string()),
                _ => None,
            },
        );
        match update {
            WatchUpdate::Listed(items) => {
                zones.clear();
                for item in &items {
                    apply_directive(shared, &mut zones, item);
                }
            }
            WatchUpdate::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(item) => apply_directive(shared, &mut zones, &item),
                        Change::Removed(key) => {
                            zones.remove(&key);
                        }
                    }
                }
            }
            WatchUpdate::Unchanged | WatchUpdate::Unavailable(_) => return,
        }
        let mut evacuated: Vec<String> = zones.values().cloned().collect();
        evacuated.sort_unstable();
        if *shared.evacuated_zones.borrow() != evacuated {
            Entry::new(Kind::Declared)
                .with("zones-out", &evacuated)
                .emit();
            shared.evacuated_zones.replace(evacuated);
        }
        shared.inbox.send(OwnerEvent::Declared);
    })
    .await;
}

fn apply_directive<P: Platform>(
    shared: &Shared<P>,
    zones: &mut HashMap<String, String>,
    item: &Item,
) {
    match shared.platform.parse_directive(item) {
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

async fn watch_owner<P: Platform>(shared: &Shared<P>) {
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
        Err(error) => log::error!("the owner's record cannot be parsed: {error}"),
    };
    let kv = shared.platform.kv();
    watch_prefix(
        kv,
        keys::OWNER_PREFIX,
        CONTROL_WATCH,
        |update| match update {
            WatchUpdate::Listed(items) => {
                shared.knows_owner.set(true);
                match items.iter().find(|item| item.key == keys::OWNER) {
                    Some(item) => read(item),
                    None => set(None),
                }
                // Wakes waiting candidates even when nothing has changed, since they check
                // `knows_owner` too.
                shared.owner.send_modify(|_| {});
            }
            WatchUpdate::Changes(changes) => {
                shared.knows_owner.set(true);
                for change in changes {
                    match change {
                        Change::Put(item) if item.key == keys::OWNER => read(&item),
                        Change::Removed(key) if key == keys::OWNER => set(None),
                        Change::Put(_) | Change::Removed(_) => {}
                    }
                }
            }
            WatchUpdate::Unchanged => shared.knows_owner.set(true),
            WatchUpdate::Unavailable(_) => shared.knows_owner.set(false),
        },
    )
    .await;
}

/// Runs the owner's loop for the length of `term`.
pub(super) async fn run_owner<P: Platform>(
    shared: &Rc<Shared<P>>,
    term: election::Term,
) -> owner::Outcome {
    let (sender, events) = mpsc::unbounded_channel();
    shared.inbox.set(Some(sender.clone()));
    let outcome = owner::run(shared, term, sender, events).await;
    shared.inbox.set(None);
    outcome
}
