//! Decides which shards this process owns, and keeps their drivers up to date.
//!
//! A periodic reconciliation compares the owned shards with those that this
//! process should own.

mod release;
mod vacancy;

use std::sync::Arc;
use std::time::Duration;

use metrics::gauge;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};

use super::acquire::Acquired;
use super::commit::Writer;
use super::driver::{Exit, Message, ShardDriver, not_owner};
use super::host_poll::HostReading;
use super::process_name;
use super::session::Session;
use super::store_poll::PollResult;
use crate::adapter::{Store, WorkerClient};
use crate::collections::{HashMap, HashSet};
use crate::config::{CurrentDeclarations, Permit};
use crate::domain::{JobId, Monotonic, ShardId};
use crate::event::{Entry, Kind};
use crate::membership::OwnedShard;
use crate::peer::{Handle, IncomingRequest};
use crate::port::{Clock, HostRecord};
use crate::scheduler::{Input, Params, Shard, ShardStatus};
use crate::settings::Settings;

/// Time between two rounds of reconciliation, in milliseconds.
const RECONCILE_MS: u64 = 200;

/// Reconciliation rounds between two reads of the inboxes.
const INBOX_ROUNDS: u64 = 5;

/// Driver of a shard that this process owns.
struct Owned {
    session: String,
    epoch: u64,
    sender: mpsc::UnboundedSender<Message>,
    status: watch::Receiver<ShardStatus>,
    driver: JoinHandle<Exit>,
    /// Jobs of the inbox that were passed to the driver.
    forwarded: HashSet<JobId>,
    revision: u64,
    /// When the read of the list that it was last given began.
    listed: Option<Monotonic>,
}

/// The shards of one process.
pub(super) struct Owner {
    name: String,
    settings: Settings,
    store: Store,
    workers: WorkerClient,
    clock: Arc<dyn Clock>,
    current: CurrentDeclarations,
    handle: Handle,
    sessions: watch::Receiver<Option<Session>>,
    hosts: watch::Receiver<Option<HostReading>>,
    permits: HashMap<String, Permit>,
    owned: HashMap<ShardId, Owned>,
    vacant_since: HashMap<ShardId, Monotonic>,
    poll: Option<JoinHandle<PollResult>>,
    /// Releases in progress.
    releases: JoinSet<()>,
    /// Shards that this process has released, and until when it does not acquire them again.
    cooldowns: HashMap<ShardId, Monotonic>,
    rounds: u64,
    /// Round in which the inboxes are read next.
    next_inbox_round: u64,
}

impl Owner {
    /// Creates an owner without shards.
    pub(super) fn new(
        settings: Settings,
        store: Store,
        clock: Arc<dyn Clock>,
        current: CurrentDeclarations,
        handle: Handle,
        sessions: watch::Receiver<Option<Session>>,
        hosts: watch::Receiver<Option<HostReading>>,
    ) -> Self {
        Self {
            name: process_name(&settings),
            workers: WorkerClient::new(settings.scheduler.sync_timeout_ms),
            settings,
            store,
            clock,
            current,
            handle,
            sessions,
            hosts,
            permits: HashMap::default(),
            owned: HashMap::default(),
            vacant_since: HashMap::default(),
            poll: None,
            releases: JoinSet::new(),
            cooldowns: HashMap::default(),
            rounds: 0,
            next_inbox_round: 0,
        }
    }

    /// Runs until `stopping` becomes true, then releases every shard.
    pub(super) async fn run(
        mut self,
        mut requests: mpsc::Receiver<IncomingRequest>,
        mut stopping: watch::Receiver<bool>,
    ) {
        let mut reconcile = tokio::time::interval(Duration::from_millis(RECONCILE_MS));
        reconcile.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = reconcile.tick() => self.reconcile().await,
                Some(incoming) = requests.recv() => self.forward(incoming),
                () = stopped(&mut stopping) => break,
            }
        }
        Entry::new(Kind::Stopping).emit();
        self.handle.set_leaving();
        self.release_all().await;
    }

    fn forward(&self, incoming: IncomingRequest) {
        let IncomingRequest {
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

    async fn reconcile(&mut self) {
        self.rounds += 1;
        let now = self.clock.now();
        let permit = self.permit(&self.settings.zone.clone(), now);
        self.handle.set_permit(permit);
        let session = self.sessions.borrow().clone();
        self.drop_lost(session.as_ref()).await;
        if let Some(session) = session {
            self.update_drivers(&session, now);
            self.balance(&session, now);
            self.poll_store(&session, now).await;
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
        let reports = self.handle.store_reports();
        permit.evaluate(contact, &reports, &self.current.load(), zone, now)
    }

    /// Ends the drivers of shards that another process owns or whose session has lapsed.
    async fn drop_lost(&mut self, session: Option<&Session>) {
        let members = self.handle.members();
        let highest_epoch = |shard: &ShardId| {
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
                    || highest_epoch(shard) > owned.epoch
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

    fn update_drivers(&mut self, session: &Session, now: Monotonic) {
        let declared = self.current.load();
        let reading = self.hosts.borrow().clone();
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
            let newer = |reading: &&HostReading| owned.listed != Some(reading.read);
            if let Some(reading) = reading.as_ref().filter(newer) {
                owned.listed = Some(reading.read);
                let shards = declared
                    .zones
                    .get(&shard.zone)
                    .map_or(1, |zone| zone.shards);
                send(Input::Hosts {
                    read: reading.read,
                    hosts: workers_of(shard, shards, &reading.hosts),
                });
            }
        }
    }

    fn start_driver(&self, shard: &ShardId, session: &Session, acquired: Acquired) -> Owned {
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
            workers: acquired.workers,
            released: acquired.released,
        });
        let driver = ShardDriver::new(
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
            forwarded: HashSet::default(),
            revision: declared.revision,
            listed: None,
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
}

async fn stopped(stopping: &mut watch::Receiver<bool>) {
    stopping.wait_for(|stop| *stop).await.ok();
}

/// Workers of `shard` among `hosts`.
fn workers_of(shard: &ShardId, shards: u32, hosts: &[HostRecord]) -> Vec<HostRecord> {
    let in_shard = |host: &&HostRecord| {
        host.zone == shard.zone && ShardId::of_worker(&host.zone, &host.name, shards) == *shard
    };
    hosts.iter().filter(in_shard).cloned().collect()
}
