//! What a process believes of the others, by the order and age of what it hears.

use verbenahitch::domain::Monotonic;
use verbenahitch::membership::{Learnt, Table};
use verbenahitch::peer::{Member, OwnedShard, Role, Testimony};

const TIMEOUT_MS: u64 = 3_000;
const START: Monotonic = Monotonic(1_000_000);

fn table() -> Table {
    Table::new("me", Role::Scheduler, TIMEOUT_MS)
}

fn record(incarnation: u64, beat: u64) -> Member {
    Member {
        name: "other".to_owned(),
        zone: "odd".to_owned(),
        role: Role::Scheduler,
        address: "127.0.0.1:1".parse().expect("an address"),
        incarnation,
        beat,
        revision: beat,
        store_age_ms: Some(100),
        permit_left_ms: 2_000,
        shards: vec![OwnedShard {
            shard: "odd-0".to_owned(),
            epoch: 1,
            queued: 0,
            running: 0,
        }],
        leaving: false,
        age_ms: 0,
    }
}

fn only(table: &Table) -> Testimony {
    let mut all = table.testimonies();
    assert_eq!(all.len(), 1);
    all.remove(0)
}

#[test]
fn the_proof_is_the_sending_less_the_age() {
    let mut table = table();
    let told = Member {
        age_ms: 700,
        ..record(1, 5)
    };
    assert_eq!(table.learn(told, START), Learnt::Arrived);
    assert_eq!(only(&table).proven, Some(START - 700));
    let relayed = table.relayed(START + 50);
    assert_eq!(relayed[0].age_ms, 750);
}

#[test]
fn a_greeting_proves_nothing_and_is_not_passed_on() {
    let mut table = table();
    assert_eq!(table.greeted(record(1, 5), START), Learnt::Arrived);
    assert_eq!(only(&table).proven, None);
    assert!(table.relayed(START).is_empty());
    assert_eq!(table.members(START).len(), 1);
}

#[test]
fn what_crossed_on_its_way_does_not_replace_what_is_later() {
    let mut table = table();
    table.learn(record(2, 5), START);
    assert_eq!(table.learn(record(2, 4), START + 10), Learnt::Nothing);
    assert_eq!(table.learn(record(1, 9), START + 20), Learnt::Nothing);
    assert_eq!(table.greeted(record(1, 9), START + 30), Learnt::Nothing);
    let beat = Member {
        age_ms: 0,
        ..record(2, 3)
    };
    assert_eq!(table.beat(beat.pulse(), START + 40), Learnt::Nothing);
    assert_eq!(only(&table).revision, 5);
    assert_eq!(only(&table).heard, START);
}

#[test]
fn a_beat_renews_what_changes() {
    let mut table = table();
    table.learn(record(1, 5), START);
    let beat = Member {
        store_age_ms: None,
        age_ms: 30,
        ..record(1, 8)
    };
    assert_eq!(table.beat(beat.pulse(), START + 500), Learnt::Newer);
    let word = only(&table);
    assert_eq!(word.revision, 8);
    assert_eq!(word.store_age_ms, None);
    assert_eq!(word.proven, Some(START + 470));
    let unknown = Member {
        name: "unknown".to_owned(),
        ..record(1, 8)
    };
    assert_eq!(table.beat(unknown.pulse(), START), Learnt::Nothing);
}

#[test]
fn who_is_silent_is_gone_once_and_owns_nothing() {
    let mut table = table();
    table.learn(record(1, 5), START);
    assert!(table.sweep(START + TIMEOUT_MS).is_empty());
    let later = START + TIMEOUT_MS + 1;
    assert_eq!(table.sweep(later).len(), 1);
    assert!(table.sweep(later).is_empty());
    let gone = &table.members(later)[0];
    assert!(!gone.is_live(TIMEOUT_MS));
    assert!(gone.shards.is_empty());
    assert_eq!(gone.permit_left_ms, 0);
    assert_eq!(table.learn(record(1, 6), later), Learnt::Arrived);
    assert_eq!(table.members(later)[0].shards.len(), 1);
}

#[test]
fn a_record_under_the_own_name_is_never_kept() {
    let mut table = table();
    let own = Member {
        name: "me".to_owned(),
        ..record(9, 1)
    };
    assert_eq!(table.learn(own, START), Learnt::Myself);
    assert!(table.members(START).is_empty());
}
