//! Decisions of admission: who gets the next slot, who is refused, and what an
//! overload leaves of the goodput.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use test_case::test_case;
use verbenahitch::domain::{Millis, Monotonic};
use verbenahitch::gateway::admission::{Budget, Queue, Shed, Ticket};

use super::fake::{Act, Seen, Upstream};
use super::fixture::{Setup, got};

const NOW: Monotonic = Monotonic(10_000);

fn ticket(kind: &str, worth: u32, latest: Monotonic) -> Ticket {
    Ticket {
        kind: kind.to_owned(),
        worth,
        latest,
    }
}

#[test]
fn kinds_share_slots_by_worth_and_none_starves() {
    let mut queue = Queue::new(10_000);
    for number in 0..1_000 {
        for (kind, worth) in [("quote", 100), ("settlement", 50), ("sync", 5)] {
            let latest = NOW + 100_000 + number;
            assert!(queue.push(NOW, ticket(kind, worth, latest), kind).is_none());
        }
    }
    let taken: Vec<_> = (0..310).map(|_| queue.pop(NOW).unwrap().unwrap()).collect();
    let count = |kind| taken.iter().filter(|taken| **taken == kind).count();
    assert!((198..=202).contains(&count("quote")), "{}", count("quote"));
    assert!((98..=102).contains(&count("settlement")));
    assert!((9..=11).contains(&count("sync")));
}

#[test]
fn kind_that_was_away_does_not_catch_up() {
    let mut queue = Queue::new(10_000);
    for _ in 0..500 {
        queue.push(NOW, ticket("quote", 10, NOW + 100_000), "quote");
    }
    for _ in 0..300 {
        queue.pop(NOW).unwrap().unwrap();
    }
    for _ in 0..100 {
        queue.push(NOW, ticket("sync", 10, NOW + 100_000), "sync");
    }
    let taken: Vec<_> = (0..40).map(|_| queue.pop(NOW).unwrap().unwrap()).collect();
    let late = taken.iter().filter(|taken| **taken == "sync").count();
    assert!(
        (19..=21).contains(&late),
        "{late} of 40 went to the newcomer"
    );
}

#[test]
fn earliest_deadline_of_a_kind_is_first() {
    let mut queue = Queue::new(10);
    for latest in [30, 10, 20] {
        queue.push(NOW, ticket("quote", 1, NOW + latest), latest);
    }
    let order: Vec<_> = (0..3).map(|_| queue.pop(NOW).unwrap().unwrap()).collect();
    assert_eq!(order, [10, 20, 30]);
}

#[test]
fn late_request_is_not_given_a_slot() {
    let mut queue = Queue::new(10);
    queue.push(NOW, ticket("quote", 1, NOW + 5), "late");
    assert_eq!(queue.pop(NOW + 6), Some(Err(Shed::Late("late", 0))));
    assert_eq!(queue.pop(NOW + 6), None);
}

#[test]
fn hopeless_request_is_refused_when_it_arrives() {
    let mut queue = Queue::new(1_000);
    for number in 0..100 {
        queue.push(NOW, ticket("quote", 1, NOW + 100_000), number);
    }
    // One slot comes free every ten milliseconds.
    for step in 1..=50 {
        queue.pop(NOW + step * 10).unwrap().unwrap();
    }
    let now = NOW + 500;
    let hopeless = queue.push(now, ticket("quote", 1, now + 100), 0);
    assert!(
        matches!(hopeless, Some(Shed::Late(0, wait)) if wait > 100),
        "{hopeless:?}"
    );
    assert!(
        queue
            .push(now, ticket("quote", 1, now + 5_000), 0)
            .is_none()
    );
}

#[test]
fn full_queue_sheds_the_least_worth() {
    let mut queue = Queue::new(4);
    for (kind, worth, latest) in [
        ("sync", 5, 10),
        ("sync", 5, 20),
        ("quote", 100, 10),
        ("quote", 100, 20),
    ] {
        queue.push(NOW, ticket(kind, worth, NOW + latest), (kind, latest));
    }
    let shed = queue.push(NOW, ticket("quote", 100, NOW + 30), ("quote", 30));
    assert_eq!(shed, Some(Shed::Worthless(("sync", 20), 0)));
}

/// Requests answered within their deadline by `slots` slots of ten milliseconds
/// each, when `load` percent of that capacity is offered for a virtual while.
fn goodput(load: u64, slots: usize, patient: bool) -> usize {
    const SERVICE_MS: Millis = 10;
    const DEADLINE_MS: Millis = 100;
    const LENGTH_MS: Millis = 5_000;
    let mut queue = Queue::new(1_000);
    let mut busy: Vec<Monotonic> = Vec::new();
    let (mut good, mut owed) = (0, 0);
    for step in 0..LENGTH_MS {
        let now = NOW + step;
        owed += load * slots as u64;
        while owed >= 100 * SERVICE_MS {
            owed -= 100 * SERVICE_MS;
            // Without the deadline, the queue neither refuses nor drops anybody.
            let latest = match patient {
                true => now + 1_000_000,
                false => now + DEADLINE_MS - SERVICE_MS,
            };
            queue.push(now, ticket("quote", 1, latest), now);
        }
        busy.retain(|end| *end > now);
        while busy.len() < slots {
            match queue.pop(now) {
                Some(Ok(arrived)) => {
                    busy.push(now + SERVICE_MS);
                    good += usize::from(now + SERVICE_MS <= arrived + DEADLINE_MS);
                }
                Some(Err(_)) => {}
                None => break,
            }
        }
    }
    good
}

#[test_case(150; "half above capacity")]
#[test_case(200; "twice the capacity")]
#[test_case(500; "five times the capacity")]
fn overload_keeps_the_goodput(load: u64) {
    let full = goodput(100, 16, false);
    let over = goodput(load, 16, false);
    assert!(over * 100 >= full * 95, "{over} of {full}");
    let first_come = goodput(load, 16, true);
    assert!(
        first_come * 2 < over,
        "without admission {first_come} of {over}"
    );
}

#[test_case(0, 0; "none")]
#[test_case(10, 10; "tenth")]
#[test_case(100, 100; "as many")]
fn budget_is_a_share_of_the_traffic(percent: u32, expected: usize) {
    const FIRST: usize = 1_000;
    let budget = Budget::new(percent);
    let mut retries = 0;
    for _ in 0..FIRST {
        budget.earn();
        retries += usize::from(budget.spend());
    }
    let most = FIRST * expected / 100 + 10;
    assert!(retries <= most, "{retries} retries");
    assert!(retries >= FIRST * expected / 100, "{retries} retries");
}

#[tokio::test]
async fn refusing_upstreams_are_not_flooded() {
    const REQUESTS: usize = 300;
    let mut full = Vec::new();
    for _ in 0..3 {
        full.push(Upstream::start(|_| Act::Refuse).await);
    }
    let addresses: Vec<_> = full.iter().map(|upstream| upstream.address).collect();
    let gateway = Setup::over(&addresses).start().await;
    for _ in 0..REQUESTS {
        assert!(got(gateway.post("/quote")).await.not_run);
    }
    let attempts: usize = full.iter().map(Upstream::count).sum();
    let most = REQUESTS + REQUESTS / 10 + 10;
    assert!(
        attempts <= most,
        "{attempts} attempts for {REQUESTS} requests"
    );
}

#[tokio::test]
async fn answers_pay_for_retries_after_refusals() {
    const REQUESTS: usize = 200;
    // Every request is refused where it comes first and taken where it comes next.
    let met = Arc::new(Mutex::new(BTreeSet::new()));
    let mut upstreams = Vec::new();
    for _ in 0..2 {
        let met = Arc::clone(&met);
        let script = move |seen: &Seen| match met.lock().unwrap().insert(seen.id().to_owned()) {
            true => Act::Refuse,
            false => Act::Answer("charged".to_owned()),
        };
        upstreams.push(Upstream::start(script).await);
    }
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let gateway = Setup::over(&addresses)
        .with("retry-percent", 0)
        .start()
        .await;
    for _ in 0..REQUESTS {
        assert_eq!(got(gateway.post("/charge")).await.status, 200);
    }
    let sent: usize = upstreams.iter().map(Upstream::count).sum();
    assert_eq!(sent, 2 * REQUESTS);
}

#[tokio::test]
async fn failures_are_not_multiplied() {
    const REQUESTS: usize = 300;
    let mut broken = Vec::new();
    for _ in 0..3 {
        broken.push(Upstream::start(|_| Act::Close).await);
    }
    let addresses: Vec<_> = broken.iter().map(|upstream| upstream.address).collect();
    let gateway = Setup::over(&addresses).start().await;
    for _ in 0..REQUESTS {
        assert_ne!(got(gateway.post("/quote")).await.status, 200);
    }
    let attempts: usize = broken.iter().map(Upstream::count).sum();
    let most = REQUESTS + REQUESTS / 10 + 10;
    assert!(
        attempts <= most,
        "{attempts} attempts for {REQUESTS} requests"
    );
}

#[tokio::test]
async fn waiting_requests_get_freed_slots() {
    const REQUESTS: usize = 40;
    let upstream = Upstream::start(|_| Act::Gated("done".to_owned())).await;
    let gateway = Setup::over(&[upstream.address]).start().await;
    let requests: Vec<_> = (0..REQUESTS)
        .map(|_| tokio::spawn(got(gateway.post("/charge"))))
        .collect();
    // Eight slots are taken; the others wait.
    upstream.arrived(8).await;
    upstream.open_gate();
    for request in requests {
        assert_eq!(request.await.unwrap().status, 200);
    }
    assert_eq!(upstream.count(), REQUESTS);
}

#[tokio::test]
async fn request_that_gets_no_slot_in_time_has_not_run() {
    let upstream = Upstream::start(|_| Act::Gated("done".to_owned())).await;
    let gateway = Setup::over(&[upstream.address]).start().await;
    let running: Vec<_> = (0..8)
        .map(|_| tokio::spawn(got(gateway.post("/charge"))))
        .collect();
    upstream.arrived(8).await;
    let late = gateway.post("/charge").header("x-deadline-ms", "150");
    let late = got(late).await;
    assert_eq!((late.status, late.not_run), (503, true), "{late:?}");
    assert!(late.retry_after.is_some());
    upstream.open_gate();
    for request in running {
        assert_eq!(request.await.unwrap().status, 200);
    }
    assert_eq!(upstream.count(), 8);
}
