//! Which scheduler takes or hands over a shard.

use test_case::test_case;
use verbenahitch::domain::ShardId;
use verbenahitch::membership::{Choice, surplus};
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

fn choices(shard: &ShardId, members: &[Member]) -> Vec<(String, Choice)> {
    let choice = |member: &Member| Choice::of(shard, &member.name, members, TIMEOUT_MS);
    members
        .iter()
        .map(|m| (m.name.clone(), choice(m)))
        .collect()
}

/// Names in the order in which they would take the shard; those that would not are left out.
fn order(shard: &ShardId, members: &[Member]) -> Vec<String> {
    let delays = choices(shard, members)
        .into_iter()
        .filter_map(|(name, choice)| match choice {
            Choice::Now => Some((0, name)),
            Choice::After(delay) => Some((delay, name)),
            Choice::No => None,
        });
    let mut delays: Vec<(u64, String)> = delays.collect();
    delays.sort();
    let distinct: std::collections::BTreeSet<u64> = delays.iter().map(|(d, _)| *d).collect();
    assert_eq!(distinct.len(), delays.len(), "no two at once: {delays:?}");
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
fn exactly_one_scheduler_takes_a_free_shard_at_once() {
    for index in 0..64 {
        let now = choices(&shard("north", index), &zone_of_four());
        let now = now.iter().filter(|(_, choice)| *choice == Choice::Now);
        assert_eq!(now.count(), 1);
    }
}

#[test]
fn every_scheduler_is_preferred_for_some_shards() {
    let members = zone_of_four();
    for member in &members {
        let preferred = (0..64).filter(|index| {
            Choice::of(&shard("north", *index), &member.name, &members, TIMEOUT_MS) == Choice::Now
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
fn the_order_of_the_others_stays_when_one_is_gone() {
    let members = zone_of_four();
    for index in 0..16 {
        let shard = shard("north", index);
        let before = order(&shard, &members);
        let mut less = members.clone();
        less.retain(|member| member.name != before[0]);
        assert_eq!(order(&shard, &less), before[1..]);
    }
}

struct Situation {
    change: fn(&mut Vec<Member>),
    first: Option<&'static str>,
}

fn alone(members: &mut Vec<Member>) {
    members.retain(|member| member.name == "s0");
}

#[test_case(Situation { change: |m| alone(m), first: Some("s0") }; "the only one")]
#[test_case(Situation { change: |m| { alone(m); m.push(scheduler("away", "south", &[])); }, first: Some("s0") }; "the own zone before others")]
#[test_case(Situation { change: |m| { alone(m); m[0].age_ms = 9_000; m.push(scheduler("away", "south", &[])); }, first: Some("away") }; "another zone when the own has none")]
#[test_case(Situation { change: |m| { alone(m); m[0].leaving = true; m.push(scheduler("back", "north", &[])); }, first: Some("back") }; "not one that leaves")]
#[test_case(Situation { change: |m| { alone(m); m.push(scheduler("owner", "north", &["north-0"])); }, first: None }; "not from a live owner")]
#[test_case(Situation { change: |m| { alone(m); m.push(Member { age_ms: 9_000, ..scheduler("owner", "north", &["north-0"]) }); }, first: Some("s0") }; "from an owner that is gone")]
#[test_case(Situation { change: |m| { alone(m); m.push(Member { role: Role::Gateway, ..scheduler("gateway", "north", &[]) }); }, first: Some("s0") }; "gateways own nothing")]
fn shards_are_taken_in_order(situation: Situation) {
    let mut members = zone_of_four();
    (situation.change)(&mut members);
    let live = |member: &Member| {
        member.role == Role::Scheduler && member.is_live(TIMEOUT_MS) && !member.leaving
    };
    let shard = shard("north", 0);
    let delay = |member: &&Member| match Choice::of(&shard, &member.name, &members, TIMEOUT_MS) {
        Choice::Now => Some(0),
        Choice::After(delay) => Some(delay),
        Choice::No => None,
    };
    let able = members.iter().filter(|m| live(m) && m.shards.is_empty());
    let first = able.filter(|m| delay(m).is_some()).min_by_key(delay);
    assert_eq!(first.map(|member| member.name.as_str()), situation.first);
}

struct Balance {
    mine: &'static [&'static str],
    theirs: &'static [&'static str],
    zone: &'static str,
    hands_over: Option<&'static str>,
}

#[test_case(Balance { mine: &["north-0", "north-1"], theirs: &[], zone: "north", hands_over: Some("north-0") }; "two against none")]
#[test_case(Balance { mine: &["north-0"], theirs: &[], zone: "north", hands_over: None }; "one against none")]
#[test_case(Balance { mine: &["north-0", "north-1"], theirs: &["north-2"], zone: "north", hands_over: None }; "two against one")]
#[test_case(Balance { mine: &["south-0"], theirs: &[], zone: "south", hands_over: Some("south-0") }; "a shard goes home")]
#[test_case(Balance { mine: &["south-0"], theirs: &[], zone: "north", hands_over: None }; "a shard whose zone has no scheduler stays")]
fn surplus_shards_are_handed_over(case: Balance) {
    let members = [
        scheduler("me", "north", case.mine),
        scheduler("other", case.zone, case.theirs),
    ];
    let handed = surplus("me", &members, TIMEOUT_MS);
    assert_eq!(handed.as_deref(), case.hands_over);
}
