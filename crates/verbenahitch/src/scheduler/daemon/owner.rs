//! Decides which shards this process owns, and feeds their drivers.

use std::sync::Arc;
use std::time::Duration;

use metrics::gauge;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};

use super::acquire::{self, Acquired};
use super::commit::Writer;
use super::driver::{Driver, Ended, Message, not_owner, ownership};
use super::errand::{Errand, Found};
use super::process_name;
use super::session::Session;
use crate::adapter::{Store, Workers};
use crate::collections::{HashMap, HashSet};
use crate::config::{Current, Permit};
use crate::domain::{JobId, Monotonic, ShardId};
use crate::event::{Entry, Kind};
use crate::membership::{self, Choice, OwnedShard};
use crate::peer::{Handle, Incoming};
use crate::port::{Clock, HostRecord};
use crate::scheduler::{Input, Params, Shard, ShardStatus};
use crate::settings::Settings;

/// Time between two looks at what is owned and what should be, in milliseconds.
const LOOK_MS: u64 = 200;

/// Looks between two readings of an inbox.
const INBOX_LOOKS: u64 = 5;

/// Looks between two thoughts about giving a shard to another scheduler.
const BALANCE_LOOKS: u64 = 25;

/// Time for which a shard that was given up is left to others, in milliseconds.
const SHUN_MS: u64 = 15_000;

/// Driver of a shard that this process owns.
struct Owned {
    session: String,
    epoch: u64,
    sender: mpsc::UnboundedSender<Message>,
    status: watch::Receiver<ShardStatus>,
    driver: JoinHandle<Ended>,
    handed: HashSet<JobId>,
    revision: u64,
    hosts: Arc<Vec<HostRecord>>,
}

/// The shards of one process.
pub(super) struct Owner {
    name: String,
    settings: Settings,
    store: Store,
    workers: Workers,
    clock: Arc<dyn Clock>,
    current: Current,
    handle: Handle,
    sessions: watch::Receiver<Option<Session>>,
    hosts: watch::Receiver<Arc<Vec<HostRecord>>>,
    permits: HashMap<String, Permit>,
    owned: HashMap<ShardId, Owned>,
    vacant: HashMap<ShardId, Monotonic>,
    errand: Option<JoinHandle<Found>>,
    /// Shards that are being given up.
    leaving: JoinSet<()>,
    /// Shards that were given up, and until when this process leaves them alone.
    shunned: HashMap<ShardId, Monotonic>,
    looks: u64,
    inbox_due: u64,
}

impl Owner {
    /// Creates the owner of no shards.
    pub(super) fn new(
        settings: Settings,
        store: Store,
        clock: Arc<dyn Clock>,
        current: Current,
        handle: Handle,
        sessions: watch::Receiver<Option<Session>>,
        hosts: watch::Receiver<Arc<Vec<HostRecord>>>,
    ) -> Self {
        Self {
            name: process_name(&settings),
            workers: Workers::new(settings.scheduler.sync_timeout_ms),
            settings,
            store,
            clock,
            current,
            handle,
            sessions,
            hosts,
            permits: HashMap::default(),
            owned: HashMap::default(),
            vacant: HashMap::default(),
            errand: None,
            leaving: JoinSet::new(),
            shunned: HashMap::default(),
            looks: 0,
            inbox_due: 0,
        }
    }

    /// Runs until `stopping` becomes true, then releases every shard.
    pub(super) async fn run(
        mut self,
        mut asked: mpsc::Receiver<Incoming>,
        mut stopping: watch::Receiver<bool>,
    ) {
        let mut look = tokio::time::interval(Duration::from_millis(LOOK_MS));
        look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = look.tick() => self.look().await,
                Some(incoming) = asked.recv() => self.pass_on(incoming),
                () = stopped(&mut stopping) => break,
            }
        }
        Entry::new(Kind::Stopping).emit();
        self.handle.set_leaving();
        self.release_all().await;
    }

    fn pass_on(&self, incoming: Incoming) {
        let Incoming {
            shard,
            request,
            reply,
        } = incoming;
        let owned = self.owned.iter().find(|(id, _)| id.to_string() == shard);
        match owned {
            Some((_, owned)) => {
                owned.sender.send(Message::Ask(request, reply)).ok();
            }
            None => {
                reply.send(not_owner(&shard)).ok();
            }
        }
    }

    async fn look(&mut self) {
        self.looks += 1;
        let now = self.clock.now();
        let permit = self.permit(&self.settings.zone.clone(), now);
        self.handle.set_permit(permit);
        let session = self.sessions.borrow().clone();
        self.drop_lost(session.as_ref()).await;
        if let Some(session) = session {
            self.feed(&session, now);
            self.balance(&session, now);
            self.consult_store(&session, now).await;
        }
        self.publish();
    }

    /// Permit of a zone at `now`.
    fn permit(&mut self, zone: &str, now: Monotonic) -> Monotonic {
        let permit_ms = self.settings.scheduler.permit_ms;
        let permit = self
            .permits
            .entry(zone.to_owned())
            .or_insert_with(|| Permit::new(permit_ms));
        let contact = self.handle.store_contact();
        let evidence = self.handle.evidence();
        permit.review(contact, &evidence, &self.current.load(), zone, now)
    }

    /// Ends the drivers of shards that another process owns or whose session has lapsed.
    async fn drop_lost(&mut self, session: Option<&Session>) {
        let members = self.handle.members();
        let newest = |shard: &ShardId| {
            let name = shard.to_string();
            let claims = members.iter().flat_map(|member| &member.shards);
            let claims = claims.filter(|claim| claim.shard == name);
            claims.map(|claim| claim.epoch).max().unwrap_or(0)
        };
        let lost: Vec<ShardId> = self
            .owned
            .iter()
            .filter(|(shard, owned)| {
                session.is_none_or(|session| session.id != owned.session)
                    || owned.driver.is_finished()
                    || newest(shard) > owned.epoch
            })
            .map(|(shard, _)| shard.clone())
            .collect();
        for shard in lost {
            if let Some(owned) = self.owned.remove(&shard) {
                owned.sender.send(Message::Input(Input::Lost)).ok();
                owned.driver.await.ok();
            }
        }
    }

    fn feed(&mut self, session: &Session, now: Monotonic) {
        let declared = self.current.load();
        let hosts = self.hosts.borrow().clone();
        let authority = session.renewed + self.settings.scheduler.outage_ms;
        let zones: HashSet<String> = self.owned.keys().map(|shard| shard.zone.clone()).collect();
        for zone in zones {
            self.permit(&zone, now);
        }
        for (shard, owned) in &mut self.owned {
            let send = |input| owned.sender.send(Message::Input(input)).ok();
            send(Input::Authority(authority));
            if let Some(permit) = self.permits.get(&shard.zone) {
                send(Input::Permit(permit.until()));
            }
            if owned.revision != declared.revision {
                owned.revision = declared.revision;
                send(Input::Declared(declared.clone()));
            }
            if !Arc::ptr_eq(&owned.hosts, &hosts) {
                owned.hosts = hosts.clone();
                let shards = declared
                    .zones
                    .get(&shard.zone)
                    .map_or(1, |zone| zone.shards);
                send(Input::Hosts(members_of(shard, shards, &hosts)));
            }
        }
    }

    /// Takes in what the store said, and asks it for what is due next.
    ///
    /// The store may take long to answer; permits and leases are fed meanwhile.
    async fn consult_store(&mut self, session: &Session, now: Monotonic) {
        if self
            .errand
            .as_ref()
            .is_some_and(|errand| !errand.is_finished())
        {
            return;
        }
        if let Some(errand) = self.errand.take() {
            let found = errand.await.unwrap_or_default();
            self.take_in(found, session);
        }
        let inboxes: Vec<ShardId> = if self.looks >= self.inbox_due {
            self.inbox_due = self.looks + INBOX_LOOKS;
            self.owned.keys().cloned().collect()
        } else {
            Vec::new()
        };
        let vacant = self.wanted(now);
        if inboxes.is_empty() && vacant.is_empty() {
            return;
        }
        let errand = Errand {
            store: self.store.clone(),
            session: session.clone(),
            name: self.name.clone(),
            inboxes,
            vacant,
        };
        self.errand = Some(tokio::spawn(errand.run()));
    }

    fn take_in(&mut self, found: Found, session: &Session) {
        for (shard, records) in found.handed {
            let Some(owned) = self.owned.get_mut(&shard) else {
                continue;
            };
            for record in records {
                if owned.handed.insert(record.id.clone()) {
                    owned.sender.send(Message::Handed(Box::new(record))).ok();
                }
            }
        }
        for (shard, under, acquired) in found.acquired {
            if under == session.id {
                let owned = self.drive(&shard, session, acquired);
                self.owned.insert(shard, owned);
            }
        }
    }

    /// Shards that nobody is known to own and that this process should take now.
    fn wanted(&mut self, now: Monotonic) -> Vec<ShardId> {
        let declared = self.current.load();
        let members = self.handle.members();
        let claimed: HashSet<&str> = members
            .iter()
            .flat_map(|member| member.shards.iter().map(|claim| claim.shard.as_str()))
            .collect();
        let mut wanted = Vec::new();
        for shard in declared.shards() {
            if self.shunned.get(&shard).is_some_and(|until| now < *until) {
                continue;
            }
            if self.owned.contains_key(&shard) || claimed.contains(shard.to_string().as_str()) {
                self.vacant.remove(&shard);
                continue;
            }
            let since = *self.vacant.entry(shard.clone()).or_insert(now);
            match Choice::of(&shard, &self.name, &members, self.settings.peers.timeout_ms) {
                Choice::Now => wanted.push(shard),
                Choice::After(delay) if now.since(since) >= delay => wanted.push(shard),
                Choice::After(_) | Choice::No => {}
            }
        }
        wanted
    }

    fn drive(&self, shard: &ShardId, session: &Session, acquired: Acquired) -> Owned {
        let epoch = acquired.epoch;
        let params = Params::new(shard.clone(), &self.name, &self.settings.scheduler, epoch);
        let logic = Shard::new(params);
        let (status, watched) = watch::channel(logic.status());
        let writer = Writer::new(
            self.store.clone(),
            shard.clone(),
            &session.id,
            epoch,
            acquired.index,
        );
        let (sender, inputs) = mpsc::unbounded_channel();
        let declared = self.current.load();
        let send = |input| sender.send(Message::Input(input)).ok();
        send(Input::Declared(declared.clone()));
        send(Input::Acquired {
            epoch,
            jobs: acquired.jobs,
            released: acquired.released,
        });
        let driver = Driver::new(
            logic,
            self.clock.clone(),
            self.workers.clone(),
            writer,
            (sender.clone(), inputs),
            status,
        );
        Owned {
            session: session.id.clone(),
            epoch,
            sender,
            status: watched,
            driver: tokio::spawn(driver.run()),
            handed: HashSet::default(),
            revision: declared.revision,
            hosts: Arc::new(Vec::new()),
        }
    }

    fn publish(&self) {
        let shards = self.owned.iter().map(|(shard, owned)| {
            let status = owned.status.borrow();
            let name = shard.to_string();
            gauge!("verbenahitch_tasks_queued", "shard" => name.clone()).set(status.queued);
            gauge!("verbenahitch_tasks_running", "shard" => name.clone()).set(status.running);
            OwnedShard {
                shard: name,
                epoch: owned.epoch,
                queued: status.queued,
                running: status.running,
            }
        });
        self.handle.set_shards(shards.collect());
    }

    /// Hands a shard to a scheduler that should rather own it, one at a time.
    fn balance(&mut self, session: &Session, now: Monotonic) {
        while self.leaving.try_join_next().is_some() {}
        if !self.looks.is_multiple_of(BALANCE_LOOKS) || !self.leaving.is_empty() {
            return;
        }
        let members = self.handle.members();
        let surplus = membership::surplus(&self.name, &members, self.settings.peers.timeout_ms);
        let Some(name) = surplus else {
            return;
        };
        let owned = self.owned.keys().find(|shard| shard.to_string() == name);
        if let Some(shard) = owned.cloned() {
            self.shunned.insert(shard.clone(), now + SHUN_MS);
            self.give_up(shard, session);
        }
    }

    /// Tells a driver to release its shard, and gives the shard back to the store then.
    fn give_up(&mut self, shard: ShardId, session: &Session) {
        let Some(owned) = self.owned.remove(&shard) else {
            return;
        };
        owned.sender.send(Message::Release).ok();
        let store = self.store.clone();
        let name = self.name.clone();
        let session = session.id.clone();
        self.leaving.spawn(async move {
            let Ok(Ended::Released { settled }) = owned.driver.await else {
                return;
            };
            let released = acquire::release(&store, &shard, &session, &name, settled).await;
            ownership(Kind::ShardReleased, &shard.to_string(), owned.epoch)
                .with("in-store", released == Ok(true))
                .emit();
        });
    }

    async fn release_all(mut self) {
        if let Some(errand) = self.errand.take() {
            // A shard that is acquired now is unlocked by the end of the session.
            errand.await.ok();
        }
        let session = self.sessions.borrow().clone();
        if let Some(session) = session {
            let shards: Vec<ShardId> = self.owned.keys().cloned().collect();
            for shard in shards {
                self.give_up(shard, &session);
            }
        }
        while self.leaving.join_next().await.is_some() {}
        self.handle.set_shards(Vec::new());
    }
}

async fn stopped(stopping: &mut watch::Receiver<bool>) {
    stopping.wait_for(|stop| *stop).await.ok();
}

/// Workers of `shard` among `hosts`.
fn members_of(shard: &ShardId, shards: u32, hosts: &[HostRecord]) -> Vec<HostRecord> {
    let in_shard = |host: &&HostRecord| {
        host.zone == shard.zone && ShardId::holding(&host.zone, &host.name, shards) == *shard
    };
    hosts.iter().filter(in_shard).cloned().collect()
}
