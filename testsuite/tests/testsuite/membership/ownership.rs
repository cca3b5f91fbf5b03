//! Which scheduler acquires or hands over a shard.

use test_case::test_case;
use verbenahitch::domain::ShardId;
use verbenahitch::membership::{AcquireDecision, shard_to_release};
use verbenahitch::peer::{Member, OwnedShard, Role};

const TIMEOUT_MS: u64 = 3_000;

fn scheduler(name: &str, zone: &str, shards: &[&str]) -> Member {
    let owned = shards.iter().map(|shard| OwnedShard {
        shard: (*shard).to_owned(),
        epoch: 1,
        queued: 0,
        running: 0,
    });
    Member {
        name: name.to_owned(),
        zone: zone.to_owned(),
        role: Role::Scheduler,
        address: "127.0.0.1:1".parse().expect("an address"),
        incarnation: 1,
        beat: 1,
        revision: 1,
        store_age_ms: Some(100),
        permit_left_ms: 2_000,
        shards: owned.collect(),
        leaving: false,
        age_ms: 100,
    }
}

fn shard(zone: &str, index: u32) -> ShardId {
    ShardId {
        zone: zone.to_owned(),
        index,
    }
}

fn decisions(shard: &ShardId, members: &[Member]) -> Vec<(String, AcquireDecision)> {
    let decision = |member: &Member| AcquireDecision::of(shard, &member.name, members, TIMEOUT_MS);
    members
        .iter()
        .map(|m| (m.name.clone(), decision(m)))
        .collect()
}

/// Names of the schedulers that would acquire the shard, by increasing delay.
fn acquisition_order(shard: &ShardId, members: &[Member]) -> Vec<String> {
    let delays =
        decisions(shard, members)
            .into_iter()
            .filter_map(|(name, decision)| match decision {
                AcquireDecision::Now => Some((0, name)),
                AcquireDecision::After(delay) => Some((delay, name)),
                AcquireDecision::No => None,
            });
    let mut delays: Vec<(u64, String)> = delays.collect();
    delays.sort();
    let distinct: std::collections::BTreeSet<u64> = delays.iter().map(|(d, _)| *d).collect();
    assert_eq!(
        distinct.len(),
        delays.len(),
        "delays are not distinct: {delays:?}"
    );
    delays.into_iter().map(|(_, name)| name).collect()
}

fn zone_of_four() -> Vec<Member> {
    let names = ["s0", "s1", "s2", "s3"];
    names
        .iter()
        .map(|name| scheduler(name, "north", &[]))
        .collect()
}

#[test]
fn exactly_one_scheduler_acquires_a_free_shard_without_delay() {
    for index in 0..64 {
        let now = decisions(&shard("north", index), &zone_of_four());
        let now = now
            .iter()
            .filter(|(_, decision)| *decision == AcquireDecision::Now);
        assert_eq!(now.count(), 1);
    }
}

#[test]
fn every_scheduler_is_preferred_for_some_shards() {
    let members = zone_of_four();
    for member in &members {
        let preferred = (0..64).filter(|index| {
            AcquireDecision::of(&shard("north", *index), &member.name, &members, TIMEOUT_MS)
                == AcquireDecision::Now
        });
        let count = preferred.count();
        assert!(
            (4..=32).contains(&count),
            "{} has {count} of 64",
            member.name
        );
    }
}

#[test]
fn losing_a_scheduler_keeps_the_order_of_the_others() {
    let members = zone_of_four();
    for index in 0..16 {
        let shard = shard("north", index);
        let before = acquisition_order(&shard, &members);
        let mut remaining = members.clone();
        remaining.retain(|member| member.name != before[0]);
        assert_eq!(acquisition_order(&shard, &remaining), before[1..]);
    }
}

struct AcquisitionCase {
    change: fn(&mut Vec<Member>),
    first: Option<&'static str>,
}

fn keep_only_s0(members: &mut Vec<Member>) {
    members.retain(|member| member.name == "s0");
}

#[test_case(AcquisitionCase { change: |m| keep_only_s0(m), first: Some("s0") }; "only one scheduler")]
#[test_case(AcquisitionCase { change: |m| { keep_only_s0(m); m.push(scheduler("away", "south", &[])); }, first: Some("s0") }; "own zone before others")]
#[test_case(AcquisitionCase { change: |m| { keep_only_s0(m); m[0].age_ms = 9_000; m.push(scheduler("away", "south", &[])); }, first: Some("away") }; "another zone when the own has no live scheduler")]
#[test_case(AcquisitionCase { change: |m| { keep_only_s0(m); m[0].leaving = true; m.push(scheduler("back", "north", &[])); }, first: Some("back") }; "not a leaving scheduler")]
#[test_case(AcquisitionCase { change: |m| { keep_only_s0(m); m.push(scheduler("owner", "north", &["north-0"])); }, first: None }; "no scheduler while the owner is live")]
#[test_case(AcquisitionCase { change: |m| { keep_only_s0(m); m.push(Member { age_ms: 9_000, ..scheduler("owner", "north", &["north-0"]) }); }, first: Some("s0") }; "after the owner is lost")]
#[test_case(AcquisitionCase { change: |m| { keep_only_s0(m); m.push(Member { role: Role::Gateway, ..scheduler("gateway", "north", &[]) }); }, first: Some("s0") }; "not a gateway")]
fn the_expected_scheduler_acquires_a_shard_first(case: AcquisitionCase) {
    let mut members = zone_of_four();
    (case.change)(&mut members);
    let live = |member: &Member| {
        member.role == Role::Scheduler && member.is_live(TIMEOUT_MS) && !member.leaving
    };
    let shard = shard("north", 0);
    let delay =
        |member: &&Member| match AcquireDecision::of(&shard, &member.name, &members, TIMEOUT_MS) {
            AcquireDecision::Now => Some(0),
            AcquireDecision::After(delay) => Some(delay),
            AcquireDecision::No => None,
        };
    let able = members.iter().filter(|m| live(m) && m.shards.is_empty());
    let first = able.filter(|m| delay(m).is_some()).min_by_key(delay);
    assert_eq!(first.map(|member| member.name.as_str()), case.first);
}

struct BalanceCase {
    own_shards: &'static [&'static str],
    other_shards: &'static [&'static str],
    other_zone: &'static str,
    handed_over: Option<&'static str>,
}

#[test_case(BalanceCase { own_shards: &["north-0", "north-1"], other_shards: &[], other_zone: "north", handed_over: Some("north-0") }; "two shards against none")]
#[test_case(BalanceCase { own_shards: &["north-0"], other_shards: &[], other_zone: "north", handed_over: None }; "one shard against none")]
#[test_case(BalanceCase { own_shards: &["north-0", "north-1"], other_shards: &["north-2"], other_zone: "north", handed_over: None }; "two shards against one")]
#[test_case(BalanceCase { own_shards: &["south-0"], other_shards: &[], other_zone: "south", handed_over: Some("south-0") }; "a shard returns to its own zone")]
#[test_case(BalanceCase { own_shards: &["south-0"], other_shards: &[], other_zone: "north", handed_over: None }; "a shard whose zone has no scheduler stays")]
fn surplus_shards_are_handed_over(case: BalanceCase) {
    let members = [
        scheduler("me", "north", case.own_shards),
        scheduler("other", case.other_zone, case.other_shards),
    ];
    let handed = shard_to_release("me", &members, TIMEOUT_MS);
    assert_eq!(handed.as_deref(), case.handed_over);
}
