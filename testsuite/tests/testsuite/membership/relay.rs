//! Relay of declarations, permits and session renewals while zones are cut off.
//!
//! Every process receives the newest declarations, and its revision never decreases.

use std::sync::Arc;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use verbenahitch::adapter::Store as Client;
use verbenahitch::config::change::{self, Author};
use verbenahitch::config::{self, CurrentDeclarations, Permit, ZoneState};
use verbenahitch::domain::Monotonic;
use verbenahitch::peer::Role;
use verbenahitch::port::SystemClock;
use verbenahitch_standin::fault::Fault;
use verbenahitch_standin::store::{Settings, Store};

use super::network::{Network, Process, WAIT_TIMEOUT, declarations, wait_until};

const HEARTBEAT_MS: u64 = 40;
const PERMIT_MS: u64 = 3_000;
const ZONES: [&str; 2] = ["even", "odd"];

/// Two processes in each of two zones, all watching one store.
struct Region {
    store: Store,
    network: Network,
    processes: Vec<Process>,
    watches: Vec<JoinHandle<()>>,
}

impl Region {
    async fn start() -> Self {
        let free = "127.0.0.1:0".parse().expect("an address");
        let zones = ZONES.map(str::to_owned);
        let clock = Arc::new(SystemClock::default());
        let store = Store::with_clock(free, &zones, Settings::default(), clock).await;
        let mut region = Self {
            store: store.expect("the store starts"),
            network: Network::new(HEARTBEAT_MS),
            processes: Vec::new(),
            watches: Vec::new(),
        };
        for number in 1..=4 {
            region.add(number);
        }
        for process in &region.processes {
            for other in &region.processes {
                wait_until("all processes are live to each other", || {
                    process.sees_live(other)
                })
                .await;
            }
        }
        region.apply_change(0).await;
        region.wait_for_revision(1).await;
        region
    }

    /// Starts process `number` in the zone `even` or `odd`.
    fn add(&mut self, number: u8) {
        let zone = ZONES[usize::from(number % 2)];
        let seeds: Vec<&Process> = self.processes.iter().take(1).collect();
        let process = self.network.start(number, zone, Role::Scheduler, &seeds);
        let client = Client::new(&self.store.address_for(zone).to_string(), 500);
        let watch = config::watch::run(
            client,
            process.declarations.clone(),
            process.handle.clone(),
            Arc::clone(&self.network.clock),
        );
        self.watches.push(tokio::spawn(watch));
        self.processes.push(process);
    }

    /// Applies a change to revision `from`.
    async fn apply_change(&self, from: u64) {
        let client = Client::new(&self.store.address().to_string(), 500);
        let author = Author {
            write_id: format!("write-{from}"),
            operator: "test".to_owned(),
        };
        let document = declarations(from, &ZONES);
        let accepted = change::apply(&client, document, from, &author).await;
        accepted.expect("the change is accepted");
    }

    async fn wait_for_revision(&self, revision: u64) {
        for process in &self.processes {
            wait_until("the revision is in force", || {
                process.revision() == revision
            })
            .await;
        }
    }

    fn evaluate_permit(&self, permit: &mut Permit, process: &Process) -> Monotonic {
        permit.evaluate(
            process.handle.store_contact(),
            &process.handle.store_reports(),
            &process.declarations.load(),
            &process.zone,
            self.network.now(),
        )
    }

    fn cut_store(&self, zone: &str) {
        let zone = Some(zone.to_owned());
        self.store.faults().apply(Fault::Cut { zone });
    }
}

impl Drop for Region {
    fn drop(&mut self) {
        self.watches.iter().for_each(JoinHandle::abort);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_without_the_store_receives_changes_from_peers() {
    let region = Region::start().await;
    region.cut_store("odd");
    region.apply_change(1).await;
    region.wait_for_revision(2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_started_in_a_store_outage_receives_the_newest_revision() {
    let mut region = Region::start().await;
    region.apply_change(1).await;
    region.wait_for_revision(2).await;
    region.store.stop();
    region.add(5);
    region.wait_for_revision(2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_partitioned_zone_catches_up_after_the_partition() {
    let region = Region::start().await;
    region.cut_store("odd");
    region.network.partition(&[1, 3], &[2, 4]);
    region.apply_change(1).await;
    for process in region.processes.iter().filter(|p| p.zone == "even") {
        wait_until("the other zone has the revision", || {
            process.revision() == 2
        })
        .await;
    }
    for process in region.processes.iter().filter(|p| p.zone == "odd") {
        assert_eq!(process.revision(), 1);
    }
    region.network.heal();
    region.wait_for_revision(2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_isolated_zone_loses_its_permit_in_time() {
    let region = Region::start().await;
    let process = &region.processes[0];
    let mut permit = Permit::new(PERMIT_MS);
    wait_until("the permit is given", || {
        region.evaluate_permit(&mut Permit::new(PERMIT_MS), process) > region.network.now()
    })
    .await;
    region.evaluate_permit(&mut permit, process);
    region.cut_store("odd");
    region.network.partition(&[1, 3], &[2, 4]);
    let cut_at = region.network.now();
    // All evidence was requested before the cut and counts from then, so no permit outlasts this.
    let latest = cut_at + PERMIT_MS;
    while region.network.now() <= latest + PERMIT_MS {
        assert!(region.evaluate_permit(&mut permit, process) <= latest);
        tokio::task::yield_now().await;
    }
    assert!(permit.until() < region.network.now());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_without_the_store_keeps_its_permit_through_peers() {
    let region = Region::start().await;
    region.cut_store("odd");
    let cut_at = region.network.now();
    let process = &region.processes[0];
    wait_until("evidence is newer than the cut", || {
        region.evaluate_permit(&mut Permit::new(PERMIT_MS), process) > cut_at + PERMIT_MS
    })
    .await;
    assert!(process.handle.store_contact() <= Some(cut_at));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn permits_outlast_a_store_outage_until_the_zones_are_partitioned() {
    let region = Region::start().await;
    region.store.stop();
    let stopped = region.network.now();
    for process in &region.processes {
        wait_until("evidence is newer than the outage", || {
            let until = region.evaluate_permit(&mut Permit::new(PERMIT_MS), process);
            until > stopped + 2 * PERMIT_MS
        })
        .await;
    }
    // A zone cannot know whether an unreachable zone has accepted a change.
    region.network.partition(&[1, 3], &[2, 4]);
    let cut_at = region.network.now();
    for process in &region.processes {
        wait_until("the permit has lapsed", || {
            let until = region.evaluate_permit(&mut Permit::new(PERMIT_MS), process);
            until < region.network.now() && region.network.now() > cut_at + PERMIT_MS
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_that_is_taken_out_has_no_permit() {
    let region = Region::start().await;
    region.cut_store("odd");
    let client = Client::new(&region.store.address().to_string(), 500);
    let author = Author {
        write_id: "out".to_owned(),
        operator: "test".to_owned(),
    };
    let out = change::set_zone(&client, "odd", ZoneState::Out, &author).await;
    assert_eq!(out.expect("the change is accepted").revision, 2);
    region.wait_for_revision(2).await;
    for process in region.processes.iter().filter(|p| p.zone == "odd") {
        let until = region.evaluate_permit(&mut Permit::new(PERMIT_MS), process);
        assert!(until <= region.network.now());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_session_is_renewed_through_a_process_that_reaches_the_store() {
    let region = Region::start().await;
    for process in &region.processes {
        let address = region.store.address_for(&process.zone).to_string();
        process.handle.serve_renewals(Client::new(&address, 500));
    }
    let client = Client::new(&region.store.address().to_string(), 500);
    let session = client.create_session("test", 60_000).await;
    let session = session.expect("the session is created");
    region.cut_store("odd");
    let process = &region.processes[0];
    assert_eq!(first_renewal(process, &session).await, Some(true));
    assert_eq!(first_renewal(process, "no-such-session").await, Some(false));
    region.store.stop();
    assert_eq!(process.handle.renew(&session).await, None);
}

/// Outcome of the first renewal that a process with the store carried out; `None` on a timeout.
async fn first_renewal(process: &Process, session: &str) -> Option<bool> {
    let renewal = async {
        loop {
            let outcome = process.handle.renew(session).await;
            if outcome.is_some() {
                return outcome;
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, renewal)
        .await
        .ok()
        .flatten()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_announcements_never_lower_a_revision() {
    const SEED: u64 = 11;
    const REVISIONS: u64 = 40;
    let network = Network::new(HEARTBEAT_MS);
    let mut processes: Vec<Process> = Vec::new();
    for number in 1..=5 {
        let seeds: Vec<&Process> = processes.iter().take(1).collect();
        processes.push(network.start(number, "odd", Role::Scheduler, &seeds));
    }
    for other in &processes {
        wait_until("the other processes are live", || {
            processes[0].sees_live(other)
        })
        .await;
    }
    let observers: Vec<JoinHandle<Vec<u64>>> = processes
        .iter()
        .map(|process| {
            let changes = process.declarations.subscribe();
            tokio::spawn(observe(changes, process.declarations.clone(), REVISIONS))
        })
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut revisions: Vec<u64> = (1..=REVISIONS).collect();
    revisions.shuffle(&mut rng);
    let mut announcements = Vec::new();
    for revision in revisions {
        let process = &processes[rng.random_range(0..processes.len())];
        let next = Arc::new(declarations(revision, &["odd"]));
        process.declarations.advance(next);
        let handle = process.handle.clone();
        announcements.push(tokio::spawn(async move { handle.announce().await }));
    }
    for announcement in announcements {
        announcement.await.expect("the announcement ends");
    }
    for process in &processes {
        wait_until("the newest revision arrives", || {
            process.revision() == REVISIONS
        })
        .await;
    }
    for observer in observers {
        let seen = observer.await.expect("the newest revision was seen");
        assert!(seen.is_sorted_by(|a, b| a < b), "{seen:?}");
    }
}

/// Revisions as they came into force, up to `last`.
async fn observe(
    mut changes: watch::Receiver<u64>,
    current: CurrentDeclarations,
    last: u64,
) -> Vec<u64> {
    let mut seen = vec![0];
    while seen.last() != Some(&last) {
        changes.changed().await.expect("the process runs");
        changes.borrow_and_update();
        let revision = current.load().revision;
        if seen.last() != Some(&revision) {
            seen.push(revision);
        }
    }
    seen
}
