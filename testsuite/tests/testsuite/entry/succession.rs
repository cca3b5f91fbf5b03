//! Who owns the dispatching, and when the ownership moves.

use test_case::test_case;
use verbenahitch::domain::Millis;
use verbenahitch::entry::succession::{Capability, LagMeter, PlannedEnd, step_back_ms};

const fn host(share: f64) -> Capability {
    Capability { share, slow: false }
}

const fn slow(share: f64) -> Capability {
    Capability { share, slow: true }
}

struct Request {
    owner: Capability,
    successor: Capability,
    term_ms: Millis,
    yields: bool,
}

#[test_case(Request { owner: host(0.069), successor: host(0.5), term_ms: 1_500, yields: true }; "to a larger host")]
#[test_case(Request { owner: host(0.5), successor: host(0.069), term_ms: 60_000, yields: false }; "not to a smaller one")]
#[test_case(Request { owner: host(0.1), successor: host(0.1), term_ms: 60_000, yields: false }; "not among equals")]
#[test_case(Request { owner: host(0.4), successor: host(0.5), term_ms: 60_000, yields: false }; "not for a small gain")]
#[test_case(Request { owner: host(0.069), successor: host(0.5), term_ms: 200, yields: false }; "not at once after an election")]
#[test_case(Request { owner: slow(0.5), successor: host(0.5), term_ms: 6_000, yields: true }; "from a slow host to an equal one")]
#[test_case(Request { owner: slow(0.5), successor: host(0.1), term_ms: 60_000, yields: false }; "from a slow host not to a smaller one")]
#[test_case(Request { owner: slow(0.5), successor: host(0.5), term_ms: 3_000, yields: false }; "a new owner is slow while it loads")]
#[test_case(Request { owner: host(0.069), successor: slow(0.5), term_ms: 60_000, yields: false }; "not to a slow host")]
#[test_case(Request { owner: host(0.0), successor: host(0.069), term_ms: 2_000, yields: true }; "an owner that reports no share counts as smallest")]
#[test_case(Request { owner: host(f64::NAN), successor: host(0.069), term_ms: 2_000, yields: true }; "a share that is no number counts as smallest")]
#[test_case(Request { owner: host(0.069), successor: host(1e9), term_ms: 2_000, yields: false }; "an absurd share counts as smallest")]
#[test_case(Request { owner: host(0.069), successor: host(-0.5), term_ms: 2_000, yields: false }; "a negative share counts as smallest")]
fn yields(case: Request) {
    assert_eq!(
        case.owner.yields_to(case.successor, case.term_ms),
        case.yields
    );
}

struct Wait {
    first: f64,
    second: f64,
    largest: f64,
    least_ms: Millis,
}

#[test_case(Wait { first: 0.5, second: 0.069, largest: 0.0, least_ms: 60 }; "larger first before any owner is known")]
#[test_case(Wait { first: 0.5, second: 0.069, largest: 0.5, least_ms: 100 }; "larger first after a large owner")]
#[test_case(Wait { first: 0.5, second: f64::NAN, largest: 0.5, least_ms: 100 }; "no number last")]
#[test_case(Wait { first: 0.5, second: 1e9, largest: 0.5, least_ms: 100 }; "absurd share last")]
fn waits_less(case: Wait) {
    let first = host(case.first).rank_wait(case.largest);
    let second = host(case.second).rank_wait(case.largest);
    assert!(second >= first + case.least_ms, "{first} {second}");
}

/// Where no larger host was ever owner, nobody waits for one.
#[test]
fn equal_hosts_do_not_wait_for_a_larger_one() {
    assert_eq!(host(0.1).rank_wait(0.1), 0);
}

/// A host that cannot read the state lets even the smallest host that can try first.
#[test_case(0, 0; "not before a failure")]
#[test_case(1, 201; "once")]
#[test_case(9, 201; "again and again")]
#[test_case(u32::MAX, 201; "always")]
fn a_host_that_cannot_read_the_state_steps_back(unread: u32, least_ms: Millis) {
    let wait_ms = step_back_ms(unread);
    assert!((least_ms..=2_000).contains(&wait_ms), "{wait_ms}");
    assert!(unread > 0 || wait_ms == 0);
}

/// One stall of half a second, whose probes are handled together, is no slow host; a loop
/// that is late all the time is, until it has been on time for a second or two.
#[test]
fn lasting_lag_makes_a_host_slow_and_has_hysteresis() {
    let mut meter = LagMeter::default();
    let mut all = |lags: &[Millis]| {
        let states: Vec<bool> = lags.iter().map(|lag| meter.record(*lag)).collect();
        states.last().copied()
    };
    assert_eq!(all(&[500, 400, 300, 200, 100, 0]), Some(false));
    assert_eq!(all(&[0; 20]), Some(false));
    assert_eq!(all(&[300; 10]), Some(true));
    // Slow and on time alternate.
    assert_eq!(all(&[0, 200, 0, 200]), Some(true));
    assert_eq!(all(&[0; 20]), Some(false));
}

const fn end(handed_over: bool, next: Option<u64>) -> PlannedEnd {
    PlannedEnd {
        revision: 7,
        handed_over,
        next,
    }
}

/// An owner with the token 9, or 7 after a hand-over, finds a record of revision 7.
#[test_case(end(true, None), 7, true; "handed over to this owner")]
#[test_case(end(true, Some(9)), 9, false; "the owner that it was handed over to came between")]
#[test_case(end(false, Some(9)), 9, true; "elected after a stop")]
#[test_case(end(false, Some(8)), 9, false; "another owner after the stop")]
#[test_case(end(false, None), 9, false; "no history")]
fn a_planned_end_counts_for_the_next_owner_only(end: PlannedEnd, fence: u64, counts: bool) {
    assert_eq!(end.is_last_before(fence), counts);
}
