//! Declarations reach every process, whoever is cut off, and never go back.

use std::sync::Arc;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use verbenahitch::adapter::Store as Client;
use verbenahitch::config::change::{self, Author};
use verbenahitch::config::{self, Current, Permit, ZoneState};
use verbenahitch::domain::Monotonic;
use verbenahitch::peer::Role;
use verbenahitch::port::SystemClock;
use verbenahitch_standin::fault::Fault;
use verbenahitch_standin::store::{Settings, Store};

use super::network::{Network, PATIENCE, Process, declarations, until};

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
                until("all processes hear each other", || process.hears(other)).await;
            }
        }
        region.change(0).await;
        region.wait_for(1).await;
        region
    }

    /// Starts process `number`, in an even or odd zone.
    fn add(&mut self, number: u8) {
        let zone = ZONES[usize::from(number % 2)];
        let seeds: Vec<&Process> = self.processes.iter().take(1).collect();
        let process = self.network.start(number, zone, Role::Scheduler, &seeds);
        let client = Client::new(&self.store.address_for(zone).to_string(), 500);
        let watch = config::watch::run(
            client,
            process.current.clone(),
            process.handle.clone(),
            Arc::clone(&self.network.clock),
        );
        self.watches.push(tokio::spawn(watch));
        self.processes.push(process);
    }

    /// Accepts the successor of revision `from`.
    async fn change(&self, from: u64) {
        let client = Client::new(&self.store.address().to_string(), 500);
        let author = Author {
            write_id: format!("write-{from}"),
            operator: "test".to_owned(),
        };
        let document = declarations(from, &ZONES);
        let accepted = change::apply(&client, document, from, &author).await;
        accepted.expect("the change is accepted");
    }

    async fn wait_for(&self, revision: u64) {
        for process in &self.processes {
            until("the revision is in force", || {
                process.revision() == revision
            })
            .await;
        }
    }

    fn permit(&self, permit: &mut Permit, process: &Process) -> Monotonic {
        permit.review(
            process.handle.store_contact(),
            &process.handle.evidence(),
            &process.current.load(),
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
async fn a_zone_that_is_cut_from_the_store_learns_through_others() {
    let region = Region::start().await;
    region.cut_store("odd");
    region.change(1).await;
    region.wait_for(2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_that_starts_in_an_outage_gets_the_newest() {
    let mut region = Region::start().await;
    region.change(1).await;
    region.wait_for(2).await;
    region.store.stop();
    region.add(5);
    region.wait_for(2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_that_is_cut_off_catches_up_when_it_is_heard_again() {
    let region = Region::start().await;
    region.cut_store("odd");
    region.network.cut(&[1, 3], &[2, 4]);
    region.change(1).await;
    for process in region.processes.iter().filter(|p| p.zone == "even") {
        until("the other zone has it", || process.revision() == 2).await;
    }
    for process in region.processes.iter().filter(|p| p.zone == "odd") {
        assert_eq!(process.revision(), 1);
    }
    region.network.heal();
    region.wait_for(2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_that_hears_nobody_loses_its_permit_in_time() {
    let region = Region::start().await;
    let process = &region.processes[0];
    let mut permit = Permit::new(PERMIT_MS);
    until("the permit is given", || {
        region.permit(&mut Permit::new(PERMIT_MS), process) > region.network.now()
    })
    .await;
    region.permit(&mut permit, process);
    region.cut_store("odd");
    region.network.cut(&[1, 3], &[2, 4]);
    let cut = region.network.now();
    // Evidence was sent for before the cut, so that none lasts longer than this.
    let latest = cut + PERMIT_MS;
    while region.network.now() <= latest + PERMIT_MS {
        assert!(region.permit(&mut permit, process) <= latest);
        tokio::task::yield_now().await;
    }
    assert!(permit.until() < region.network.now());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_that_is_cut_from_the_store_keeps_its_permit_through_others() {
    let region = Region::start().await;
    region.cut_store("odd");
    let cut = region.network.now();
    let process = &region.processes[0];
    until("evidence is newer than the cut", || {
        region.permit(&mut Permit::new(PERMIT_MS), process) > cut + PERMIT_MS
    })
    .await;
    assert!(process.handle.store_contact() <= Some(cut));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_for_everybody_leaves_the_permits() {
    let region = Region::start().await;
    region.store.stop();
    let stopped = region.network.now();
    for process in &region.processes {
        until("evidence is newer than the outage", || {
            let until = region.permit(&mut Permit::new(PERMIT_MS), process);
            until > stopped + 2 * PERMIT_MS
        })
        .await;
    }
    // One zone cannot know what another accepts that it does not hear.
    region.network.cut(&[1, 3], &[2, 4]);
    let cut = region.network.now();
    for process in &region.processes {
        until("the permit has lapsed", || {
            let until = region.permit(&mut Permit::new(PERMIT_MS), process);
            until < region.network.now() && region.network.now() > cut + PERMIT_MS
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
    region.wait_for(2).await;
    for process in region.processes.iter().filter(|p| p.zone == "odd") {
        let until = region.permit(&mut Permit::new(PERMIT_MS), process);
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
    let session = session.expect("the session is made");
    region.cut_store("odd");
    let cut = &region.processes[0];
    assert_eq!(renewed(cut, &session).await, Some(true));
    assert_eq!(renewed(cut, "no-such-session").await, Some(false));
    region.store.stop();
    assert_eq!(cut.handle.renew(&session).await, None);
}

/// Outcome of the first renewal that somebody could carry out.
async fn renewed(process: &Process, session: &str) -> Option<bool> {
    let renewal = async {
        loop {
            let outcome = process.handle.renew(session).await;
            if outcome.is_some() {
                return outcome;
            }
        }
    };
    tokio::time::timeout(PATIENCE, renewal).await.ok().flatten()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crossed_announcements_never_take_a_revision_back() {
    const SEED: u64 = 11;
    const REVISIONS: u64 = 40;
    let network = Network::new(HEARTBEAT_MS);
    let mut processes: Vec<Process> = Vec::new();
    for number in 1..=5 {
        let seeds: Vec<&Process> = processes.iter().take(1).collect();
        processes.push(network.start(number, "odd", Role::Scheduler, &seeds));
    }
    for other in &processes {
        until("the others are heard", || processes[0].hears(other)).await;
    }
    let observers: Vec<JoinHandle<Vec<u64>>> = processes
        .iter()
        .map(|process| {
            let changes = process.current.subscribe();
            tokio::spawn(observe(changes, process.current.clone(), REVISIONS))
        })
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut revisions: Vec<u64> = (1..=REVISIONS).collect();
    revisions.shuffle(&mut rng);
    let mut announcements = Vec::new();
    for revision in revisions {
        let process = &processes[rng.random_range(0..processes.len())];
        let next = Arc::new(declarations(revision, &["odd"]));
        process.current.advance(next);
        let handle = process.handle.clone();
        announcements.push(tokio::spawn(async move { handle.announce().await }));
    }
    for announcement in announcements {
        announcement.await.expect("it ends");
    }
    for process in &processes {
        until("the newest revision arrives", || {
            process.revision() == REVISIONS
        })
        .await;
    }
    for observer in observers {
        let seen = observer.await.expect("the newest revision was seen");
        assert!(seen.is_sorted_by(|a, b| a < b), "{seen:?}");
    }
}

/// Revisions in force in their order, up to `last`.
async fn observe(mut changes: watch::Receiver<u64>, current: Current, last: u64) -> Vec<u64> {
    let mut seen = vec![0];
    while seen.last() != Some(&last) {
        changes.changed().await.expect("the process lives");
        changes.borrow_and_update();
        let revision = current.load().revision;
        if seen.last() != Some(&revision) {
            seen.push(revision);
        }
    }
    seen
}
