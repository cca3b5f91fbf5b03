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
use super::keys::{self, OwnerRecord, SuccessorRecord};
use super::link::{self, Inbox};
use super::owner::OwnerEvent;
use super::succession::Capability;
use super::watcher::{WatchTiming, WatchUpdate, watch_prefix};
use super::{election, owner};
use crate::collections::HashMap;
use crate::dispatch::{Account, Queue};
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
    /// Part of an account's cap by which it may be exceeded.
    pub cap_overshoot: f64,
}

/// The owner that the store names.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct KnownOwner {
    pub record: OwnerRecord,
    /// Fencing token.
    pub fence: u64,
    /// Whether it reports that its event loop runs late.
    pub slow: bool,
}

impl KnownOwner {
    pub fn capability(&self) -> Capability {
        Capability {
            share: self.record.share,
            slow: self.slow,
        }
    }
}

/// State that the parts of a host share.
pub(super) struct Shared<P> {
    pub platform: P,
    pub settings: EntrySettings,
    pub queues: Arc<ArcSwapOption<Queues>>,
    pub evacuated_zones: RefCell<Vec<String>>,
    pub owner: watch::Sender<Option<KnownOwner>>,
    /// Largest share of a core of all owners seen, zero before the first.
    pub largest_share: Cell<f64>,
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

    /// Queues and client accounts in force, and the evacuated zones.
    pub fn declared(&self) -> (Vec<Queue>, Vec<Account>, Vec<String>) {
        let declared = self.queues.load_full();
        let routes = declared.iter().flat_map(|queues| &queues.routes);
        let queues = routes.map(|route| route.queue.clone()).collect();
        let accounts = declared.iter().flat_map(|queues| &queues.accounts);
        let accounts = accounts
            .flatten()
            .map(|keyed| keyed.account.clone())
            .collect();
        (queues, accounts, self.evacuated_zones.borrow().clone())
    }

    /// Capability of this host while its event loop is on time.
    pub fn capability(&self) -> Capability {
        Capability {
            share: self.settings.share,
            slow: false,
        }
    }

    fn apply_owner_change(&self, change: &Change) {
        match change {
            Change::Put(item) if item.key == keys::OWNER => self.set_owner(Some(read_owner(item))),
            Change::Put(item) if item.key == keys::SLOW => self.set_slow(Some(item)),
            Change::Put(item) if item.key == keys::SUCCESSOR => self.offer_successor(item),
            Change::Removed(key) if key == keys::OWNER => self.set_owner(None),
            Change::Removed(key) if key == keys::SLOW => self.set_slow(None),
            Change::Put(_) | Change::Removed(_) => {}
        }
    }

    fn set_owner(&self, owner: Option<KnownOwner>) {
        let known = self.owner.borrow().as_ref().map(|known| known.fence);
        if known == owner.as_ref().map(|owner| owner.fence) {
            return;
        }
        let record = owner.as_ref().map(|owner| &owner.record);
        Entry::new(Kind::OwnerChanged)
            .with("owner", record.map(|record| &record.name))
            .with("share", record.map(|record| record.share))
            .with("fence", owner.as_ref().map(|owner| owner.fence))
            .emit();
        let share = owner.as_ref().map_or(0.0, |owner| owner.record.share);
        self.largest_share.set(self.largest_share.get().max(share));
        self.owner.send_replace(owner);
    }

    /// Applies the key that exists while the owner is slow.
    fn set_slow(&self, item: Option<&Item>) {
        let fence = item.and_then(|item| serde_json::from_slice::<u64>(&item.value).ok());
        self.owner.send_if_modified(|owner| {
            let Some(owner) = owner else {
                return false;
            };
            let slow = fence == Some(owner.fence);
            std::mem::replace(&mut owner.slow, slow) != slow
        });
    }

    /// Passes the request of another host to the owner's loop, if it runs here.
    fn offer_successor(&self, item: &Item) {
        match serde_json::from_slice::<SuccessorRecord>(&item.value) {
            Ok(record) => {
                self.inbox.send(OwnerEvent::Offered(Box::new(record)));
            }
            Err(error) => log::error!("the successor's record cannot be parsed: {error}"),
        }
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
            largest_share: Cell::new(0.0),
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
    let kv = shared.platform.kv();
    watch_prefix(
        kv,
        keys::OWNER_PREFIX,
        CONTROL_WATCH,
        |update| match update {
            WatchUpdate::Listed(items) => {
                shared.knows_owner.set(true);
                let find = |key: &str| items.iter().find(|item| item.key == key);
                shared.set_owner(find(keys::OWNER).map(read_owner));
                shared.set_slow(find(keys::SLOW));
                if let Some(item) = find(keys::SUCCESSOR) {
                    shared.offer_successor(item);
                }
                // Wakes waiting candidates even when nothing has changed, since they check
                // `knows_owner` too.
                shared.owner.send_modify(|_| {});
            }
            WatchUpdate::Changes(changes) => {
                shared.knows_owner.set(true);
                for change in changes {
                    shared.apply_owner_change(&change);
                }
            }
            WatchUpdate::Unchanged => shared.knows_owner.set(true),
            WatchUpdate::Unavailable(_) => shared.knows_owner.set(false),
        },
    )
    .await;
}

/// Reads the owner's key. A record that cannot be parsed counts as that of the smallest
/// host, so that others can ask for the ownership.
fn read_owner(item: &Item) -> KnownOwner {
    let record = serde_json::from_slice(&item.value).unwrap_or_else(|error| {
        log::error!("the owner's record cannot be parsed: {error}");
        OwnerRecord::default()
    });
    KnownOwner {
        record,
        fence: item.revision,
        slow: false,
    }
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
