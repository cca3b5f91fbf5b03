//! Decisions of the routing table.

use std::collections::BTreeMap;
use std::sync::Arc;

use test_case::test_case;
use verbenahitch::config::Declarations;
use verbenahitch::domain::Monotonic;
use verbenahitch::gateway::admission::SlotSignal;
use verbenahitch::gateway::route::{Health, Limit, Reason, RoutingConfig, Table};
use verbenahitch::port::HostRecord;

use super::fixture::{declarations, host};

const NOW: Monotonic = Monotonic(1_000);

fn config(name: &str, subset: usize) -> RoutingConfig {
    config_in("a", name, subset)
}

fn config_in(zone: &str, name: &str, subset: usize) -> RoutingConfig {
    RoutingConfig {
        name: name.to_owned(),
        zone: zone.to_owned(),
        subset,
        silence_ms: 1_000,
        slot_signal: Arc::new(SlotSignal::default()),
    }
}

fn hosts(zone: &str, ports: std::ops::Range<u16>) -> Vec<HostRecord> {
    let at = |port| host(zone, std::net::SocketAddr::from(([127, 0, 0, 1], port)));
    ports.map(at).collect()
}

fn table(config: &RoutingConfig, hosts: &[HostRecord]) -> Table {
    let mut declarations = declarations();
    for zone in ["c", "d"] {
        declarations["zones"][zone]["state"] = "in".into();
    }
    let declarations: Declarations = serde_json::from_value(declarations).unwrap();
    Table::default().next(config, hosts, Arc::new(declarations))
}

fn names(table: &Table) -> Vec<String> {
    let mut names: Vec<_> = table.upstreams().map(|u| u.name.clone()).collect();
    names.sort();
    names
}

#[test]
fn less_busy_of_two_is_chosen() {
    let table = table(&config("gw", 60), &hosts("a", 1..3));
    let mut slots = Vec::new();
    for random in 0..16_u64 {
        let random = random.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        slots.push(table.choose(NOW, random, &[]).unwrap().slot);
        let busy: Vec<_> = table.upstreams().map(|u| u.in_flight()).collect();
        assert!(busy[0].abs_diff(busy[1]) <= 1, "{busy:?}");
    }
    // Both are at their limit of eight.
    assert!(table.choose(NOW, 7, &[]).is_none());
    slots.pop();
    assert!(table.choose(NOW, 7, &[]).is_some());
}

#[test]
fn tried_and_leaving_upstreams_are_not_chosen() {
    let table = table(&config("gw", 60), &hosts("a", 1..5));
    let upstreams: Vec<_> = table.upstreams().collect();
    upstreams[0].note_leaving();
    let tried = [upstreams[1].id, upstreams[2].id];
    for random in 0..64_u64 {
        let random = random.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let choice = table.choose(NOW, random, &tried).unwrap();
        assert_eq!(choice.slot.upstream().id, upstreams[3].id);
    }
}

#[test]
fn leaving_upstream_returns_once_its_port_was_closed() {
    let table = table(&config("gw", 60), &hosts("a", 1..2));
    let upstream = table.upstreams().next().unwrap();
    assert!(upstream.note_leaving());
    // It still listens while it finishes the requests in progress.
    assert!(!upstream.note_listening());
    assert!(table.choose(NOW, 0, &[]).is_none());
    upstream.note_closed();
    assert!(table.choose(NOW, 0, &[]).is_none());
    assert!(upstream.note_listening());
    assert!(table.choose(NOW, 0, &[]).is_some());
}

#[test]
fn other_zone_is_chosen_when_the_own_is_full() {
    let mut all = hosts("a", 1..2);
    all.extend(hosts("b", 2..3));
    let table = table(&config("gw", 60), &all);
    let near: Vec<_> = (0..8).map(|_| table.choose(NOW, 3, &[]).unwrap()).collect();
    assert!(near.iter().all(|choice| choice.reason != Reason::OtherZone));
    assert_eq!(table.choose(NOW, 3, &[]).unwrap().reason, Reason::OtherZone);
}

#[test]
fn subset_is_bounded_stable_and_spread() {
    const GATEWAYS: usize = 28;
    const SUBSET: usize = 60;
    const ZONES: [&str; 4] = ["a", "b", "c", "d"];
    let all: Vec<_> = ZONES
        .iter()
        .zip(0_u16..)
        .flat_map(|(zone, at)| hosts(zone, at * 300 + 1..at * 300 + 301))
        .collect();
    assert_eq!(all.len(), 1_200);
    let mut gateways = BTreeMap::<String, usize>::new();
    for number in 0..GATEWAYS {
        let zone = ZONES[number % ZONES.len()];
        let config = config_in(zone, &format!("gw-{number}"), SUBSET);
        let kept = names(&table(&config, &all));
        assert_eq!(kept.len(), SUBSET);
        // Removing one worker replaces at most one member.
        let fewer = names(&table(&config, &all[1..]));
        assert!(kept.iter().filter(|name| !fewer.contains(name)).count() <= 1);
        for name in kept {
            *gateways.entry(name).or_default() += 1;
        }
    }
    // Eight connections from each of at most seven gateways stay within sixty.
    let most = *gateways.values().max().unwrap();
    assert!(most * 8 <= 60, "{most} gateways keep one worker");
}

#[test]
fn upstream_state_is_kept_in_the_next_table() {
    let config = config("gw", 60);
    let list = hosts("a", 1..3);
    let first = table(&config, &list);
    let busy = first.choose(NOW, 0, &[]).unwrap();
    let next = first.next(&config, &list[..], first.declarations.clone());
    let in_flight: u32 = next.upstreams().map(|u| u.in_flight()).sum();
    assert_eq!(in_flight, 1);
    drop(busy);
    assert!(next.upstreams().all(|u| u.in_flight() == 0));
}

#[test]
fn ejection_leaves_a_minimum_of_upstreams() {
    let table = table(&config("gw", 60), &hosts("a", 1..11));
    for upstream in table.upstreams() {
        for _ in 0..10 {
            upstream.health.failed(NOW, table.may_eject());
        }
    }
    let ejected = table.upstreams().filter(|u| u.health.is_ejected()).count();
    assert_eq!(ejected, 3, "a shared cause must not empty the pool");
}

#[test]
fn ejected_upstream_returns_by_one_trial_at_a_time() {
    let health = Health::default();
    let limit = 8;
    let mut ejected = false;
    while !ejected {
        assert_eq!(health.allowed(NOW, limit), limit);
        ejected = health.failed(NOW, true);
    }
    assert_eq!(health.allowed(NOW, limit), 0);
    let later = NOW + 600;
    assert_eq!(health.allowed(later, limit), 1);
    // A failed trial ejects for longer.
    health.failed(later, true);
    assert_eq!(health.allowed(later + 600, limit), 0);
    assert_eq!(health.allowed(later + 1_200, limit), 1);
    assert!(health.succeeded());
    assert_eq!(health.allowed(later, limit), limit);
}

#[test_case(1; "one slot")]
#[test_case(8; "eight slots")]
fn limit_falls_on_refusals_and_recovers(slots: u32) {
    let limit = Limit::new(slots);
    assert_eq!(limit.current(), slots);
    for _ in 0..100 {
        limit.refused();
    }
    assert_eq!(limit.current(), 1);
    for _ in 0..10_000 {
        limit.accepted(limit.current());
    }
    assert_eq!(limit.current(), slots);
}

#[test]
fn unused_limit_does_not_grow() {
    let limit = Limit::new(8);
    for _ in 0..100 {
        limit.refused();
    }
    for _ in 0..10_000 {
        limit.accepted(0);
    }
    assert_eq!(limit.current(), 1);
}
