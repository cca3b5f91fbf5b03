//! Assembly of an entry host from its parts.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::accounts::{InForce, Offer, Revocation};
use super::intake::{self, Intake};
use super::keys::{self, OwnerRecord, SuccessorRecord};
use super::link::{self, Inbox};
use super::owner::OwnerEvent;
use super::succession::Capability;
use super::unreadable::UnreadableLog;
use super::watcher::{Coverage, WatchTiming, WatchUpdate, watch_prefix};
use super::{election, observe, owner};
use crate::collections::{HashMap, HashSet};
use crate::dispatch::{Account, Queue};
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};
use crate::port::{Change, Directive, Item, KeyValue, Platform, Queues, Unreadable, boot_now};

/// Timing of the watches on the operators' keys and the owner's key. The wait is a
/// quarter of the time within which a change must be in force.
const CONTROL_WATCH: WatchTiming = WatchTiming {
    wait_ms: 1_000,
    pause_ms: 0,
};

/// Timing of the watch on the operators' keys while calls with keys are refused.
const CATCH_UP_WATCH: WatchTiming = WatchTiming {
    wait_ms: CATCH_UP_MS,
    pause_ms: 0,
};

/// Time between two strong reads that confirm the version in force, in milliseconds. With
/// the wait of the watch it is well below the shortest bound of a withdrawal.
const CONFIRM_MS: Millis = 1_000;

/// The same while calls with keys are refused, in milliseconds.
const CATCH_UP_MS: Millis = 200;

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
    /// How long a withdrawn key may still be used.
    pub revocation: Revocation,
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
    pub in_force: Arc<ArcSwap<InForce>>,
    /// Whether the version in force was confirmed in time when it was last looked at.
    was_fresh: Cell<bool>,
    pub evacuated_zones: RefCell<Vec<String>>,
    pub owner: watch::Sender<Option<KnownOwner>>,
    /// Largest share of a core of all owners seen, zero before the first.
    pub largest_share: Cell<f64>,
    /// Whether the last read or watch of the owner's key succeeded.
    pub knows_owner: Cell<bool>,
    /// Whether the last read or watch of the operators' keys succeeded.
    pub store_up: Arc<AtomicBool>,
    pub inbox: Inbox,
    /// Entries of the store that were logged as unreadable.
    unreadable: RefCell<UnreadableLog>,
    /// Last request of another host for the ownership.
    pub offered: watch::Sender<Option<SuccessorRecord>>,
    pub stopping: watch::Receiver<bool>,
}

impl<P: Platform> Shared<P> {
    /// Whether the last read or watch of the operators' keys succeeded.
    pub fn is_store_up(&self) -> bool {
        self.store_up.load(Ordering::Relaxed)
    }

    /// Queues and client accounts in force, and the evacuated zones.
    pub fn declared(&self) -> (Vec<Queue>, Vec<Account>, Vec<String>) {
        let in_force = self.in_force.load();
        let declared = in_force.declared().map(|declared| declared.queues());
        let routes = declared.iter().flat_map(|queues| &queues.routes);
        let queues = routes.map(|route| route.queue.clone()).collect();
        let accounts = declared.iter().flat_map(|queues| &queues.accounts);
        let accounts = accounts
            .flatten()
            .map(|keyed| keyed.account.clone())
            .collect();
        (queues, accounts, self.evacuated_zones.borrow().clone())
    }

    /// Logs an entry that cannot be read, once for its key.
    pub fn report_unreadable(&self, item: &Item, cause: &str) {
        let now = boot_now().unwrap_or_default();
        self.unreadable.borrow_mut().report(item, cause, now);
    }

    /// Reads an entry; one that cannot be read is logged.
    pub fn read<T>(&self, item: &Item, read: impl FnOnce(&Item) -> Result<T, String>) -> Option<T> {
        match read(item) {
            Ok(value) => Some(value),
            Err(cause) => {
                self.report_unreadable(item, &cause);
                None
            }
        }
    }

    /// Capability of this host while its event loop is on time.
    pub fn capability(&self) -> Capability {
        Capability {
            share: self.settings.share,
            slow: false,
        }
    }

    /// Whether calls with keys can be served.
    fn is_fresh(&self) -> bool {
        boot_now().is_some_and(|now| self.in_force.load().is_fresh(now))
    }

    /// Changes what is known of the version in force.
    fn update<T>(&self, change: impl FnOnce(&mut InForce) -> T) -> T {
        let mut next = InForce::clone(&self.in_force.load());
        let result = change(&mut next);
        self.in_force.store(Arc::new(next));
        result
    }

    /// Reports the age of the version in force, and whether it is too old for calls with
    /// keys.
    fn report_age(&self) {
        let in_force = self.in_force.load();
        if !in_force.needs_confirmation() {
            return;
        }
        let now = boot_now().unwrap_or(Monotonic(Millis::MAX));
        let (age, fresh) = (in_force.age_ms(now), in_force.is_fresh(now));
        observe::set_declaration_age(age);
        if self.was_fresh.replace(fresh) == fresh {
            return;
        }
        let kind = if fresh {
            Kind::DeclarationsConfirmed
        } else {
            Kind::DeclarationsOutdated
        };
        let version = in_force.declared().map(|held| held.queues().version);
        Entry::new(kind)
            .with("version", version)
            .with("age-ms", age)
            .with("store-up", self.is_store_up())
            .emit();
    }

    fn apply_owner_change(&self, change: &Change) {
        match change {
            Change::Put(item) if item.key == keys::OWNER => {
                self.set_owner(Some(self.read_owner(item)));
            }
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
        let fence = item.and_then(|item| self.read::<u64>(item, Item::decode));
        self.owner.send_if_modified(|owner| {
            let Some(owner) = owner else {
                return false;
            };
            let slow = fence == Some(owner.fence);
            std::mem::replace(&mut owner.slow, slow) != slow
        });
    }

    /// Passes the request of another host to the owner's loop, if it runs here, and to an
    /// owner that still reads the state.
    fn offer_successor(&self, item: &Item) {
        if let Some(record) = self.read::<SuccessorRecord>(item, Item::decode) {
            self.offered.send_replace(Some(record.clone()));
            self.inbox.send(OwnerEvent::Offered(Box::new(record)));
        }
    }

    /// Reads the owner's key. A record that cannot be read counts as that of the smallest
    /// host, so that others can ask for the ownership.
    fn read_owner(&self, item: &Item) -> KnownOwner {
        KnownOwner {
            record: self.read(item, Item::decode).unwrap_or_default(),
            fence: item.revision,
            slow: false,
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
        let in_force = Arc::new(ArcSwap::from_pointee(InForce::new(settings.revocation)));
        let store_up = Arc::new(AtomicBool::new(false));
        let shared = Shared {
            platform,
            settings,
            in_force: Arc::clone(&in_force),
            was_fresh: Cell::new(false),
            evacuated_zones: RefCell::new(Vec::new()),
            owner: watch::channel(None).0,
            largest_share: Cell::new(0.0),
            knows_owner: Cell::new(false),
            store_up: Arc::clone(&store_up),
            inbox: Inbox::default(),
            unreadable: RefCell::default(),
            offered: watch::channel(None).0,
            stopping,
        };
        Self {
            shared: Rc::new(shared),
            intake: Intake {
                calls: sender,
                in_force,
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
            confirm(&shared),
            watch_owner(&shared),
            election::campaign(&shared),
        );
        Ok(())
    }
}

async fn watch_operators<P: Platform>(shared: &Shared<P>) {
    let mut operators = Operators::default();
    let kv = shared.platform.kv();
    let prefix = shared.platform.operator_prefix();
    let timing = || {
        if shared.is_fresh() {
            CONTROL_WATCH
        } else {
            CATCH_UP_WATCH
        }
    };
    watch_prefix(kv, prefix, timing, |update, coverage| {
        shared.set_store_up(
            !matches!(update, WatchUpdate::Unavailable(_)),
            match &update {
                WatchUpdate::Unavailable(error) => Some(error.to_string()),
                _ => None,
            },
        );
        let has_changed = operators.apply(shared, update, coverage);
        shared.report_age();
        if !has_changed {
            return;
        }
        let mut evacuated: Vec<String> = operators.zones.values().cloned().collect();
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

/// Asks the store again and again for its revision, so that the watch can tell how old
/// what it has heard is.
async fn confirm<P: Platform>(shared: &Shared<P>) {
    loop {
        let pause = if shared.is_fresh() {
            CONFIRM_MS
        } else {
            CATCH_UP_MS
        };
        tokio::time::sleep(Duration::from_millis(pause)).await;
        if !shared.in_force.load().needs_confirmation() {
            continue;
        }
        let Some(asked) = boot_now() else {
            continue;
        };
        match shared.platform.kv().range(keys::READ_PREFIX).await {
            Ok((_, revision)) => shared.update(|in_force| in_force.read(asked, revision)),
            Err(error) => log::info!("the version in force was not confirmed: {error}"),
        }
        shared.report_age();
    }
}

/// What the watch has heard of the operators' keys.
#[derive(Default)]
struct Operators {
    /// Evacuated zones by key.
    zones: HashMap<String, String>,
    /// Key of the document that declares queues and accounts, once it was seen.
    document: Option<String>,
}

impl Operators {
    /// Applies an update; returns whether there may be a change.
    fn apply<P: Platform>(
        &mut self,
        shared: &Shared<P>,
        update: WatchUpdate,
        coverage: Coverage,
    ) -> bool {
        let has_changed = match update {
            WatchUpdate::Listed(items) => {
                self.zones.clear();
                let mut has_document = false;
                for item in &items {
                    has_document |= self.apply_item(shared, item);
                }
                match coverage.asked {
                    Some(asked) if has_document => shared.update(|in_force| in_force.list(asked)),
                    _ => {}
                }
                if !has_document {
                    shared.update(InForce::remove);
                }
                true
            }
            WatchUpdate::Changes(changes) => {
                let mut seen = HashSet::default();
                // A key's last change is the one that counts.
                for change in changes.iter().rev() {
                    match change {
                        Change::Put(item) if seen.insert(item.key.as_str()) => {
                            self.apply_item(shared, item);
                        }
                        Change::Removed(key) if seen.insert(key.as_str()) => {
                            self.zones.remove(key);
                            if self.document.as_ref() == Some(key) {
                                shared.update(InForce::remove);
                            }
                        }
                        Change::Put(_) | Change::Removed(_) => {}
                    }
                }
                true
            }
            WatchUpdate::Unchanged => false,
            WatchUpdate::Unavailable(_) => return false,
        };
        if shared.in_force.load().needs_confirmation() {
            shared.update(|in_force| in_force.cover(coverage.revision));
        }
        has_changed
    }

    /// Applies an entry; returns whether it is the document that declares queues and
    /// accounts.
    fn apply_item<P: Platform>(&mut self, shared: &Shared<P>, item: &Item) -> bool {
        let is_document = self.document.as_ref() == Some(&item.key);
        if is_document && !shared.in_force.load().is_new(item.revision) {
            return true;
        }
        match shared.platform.parse_directive(item) {
            Ok(Directive::Queues(queues)) => {
                self.document = Some(item.key.clone());
                offer(shared, item, queues);
                true
            }
            Ok(Directive::Evacuate(zone)) => {
                self.zones.insert(item.key.clone(), zone);
                false
            }
            Ok(Directive::Other) => false,
            Err(Unreadable { cause, listed }) => {
                self.document = Some(item.key.clone());
                shared.update(|in_force| {
                    in_force.offer_unreadable(item.revision, listed.as_ref());
                });
                report_unusable(shared, item, &cause);
                true
            }
        }
    }
}

fn offer<P: Platform>(shared: &Shared<P>, item: &Item, queues: Queues) {
    let (version, routes) = (queues.version, queues.routes.len());
    let accounts = queues.accounts.as_ref().map(Vec::len);
    match shared.update(|in_force| in_force.offer(item.revision, queues)) {
        Offer::Adopted => Entry::new(Kind::Declared)
            .with("version", version)
            .with("queues", routes)
            .with("accounts", accounts)
            .emit(),
        Offer::Held => {}
        Offer::Superseded => report_unusable(
            shared,
            item,
            &format!("version {version} is no newer than the one in force and differs from it"),
        ),
        Offer::Faulty(fault) => {
            report_unusable(shared, item, &format!("version {version}: {fault}"));
        }
    }
}

/// Reports a document that does not come into force.
fn report_unusable<P: Platform>(shared: &Shared<P>, item: &Item, cause: &str) {
    let now = boot_now().unwrap_or_default();
    let mut log = shared.unreadable.borrow_mut();
    log.report_document(item, cause, now);
}

async fn watch_owner<P: Platform>(shared: &Shared<P>) {
    let kv = shared.platform.kv();
    watch_prefix(
        kv,
        keys::OWNER_PREFIX,
        || CONTROL_WATCH,
        |update, _| match update {
            WatchUpdate::Listed(items) => {
                shared.knows_owner.set(true);
                let find = |key: &str| items.iter().find(|item| item.key == key);
                shared.set_owner(find(keys::OWNER).map(|item| shared.read_owner(item)));
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
