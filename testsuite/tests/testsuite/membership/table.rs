//! The member table: which records are merged, by their version and age.

use verbenahitch::domain::Monotonic;
use verbenahitch::membership::{MergeOutcome, Table};
use verbenahitch::peer::{Member, OwnedShard, Role, StoreReport};

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

fn only_report(table: &Table) -> StoreReport {
    let mut all = table.store_reports();
    assert_eq!(all.len(), 1);
    all.remove(0)
}

#[test]
fn a_record_was_made_after_the_send_time_minus_the_age() {
    let mut table = table();
    let received = Member {
        age_ms: 700,
        ..record(1, 5)
    };
    assert_eq!(table.merge_record(received, START), MergeOutcome::Arrived);
    assert_eq!(only_report(&table).made_after, Some(START - 700));
    let relayed = table.relay_records(START + 50);
    assert_eq!(relayed[0].age_ms, 750);
}

#[test]
fn a_greeting_is_no_evidence_and_is_not_relayed() {
    let mut table = table();
    assert_eq!(
        table.merge_greeting(record(1, 5), START),
        MergeOutcome::Arrived
    );
    assert_eq!(only_report(&table).made_after, None);
    assert!(table.relay_records(START).is_empty());
    assert_eq!(table.members(START).len(), 1);
}

#[test]
fn older_records_that_arrive_late_are_ignored() {
    let mut table = table();
    table.merge_record(record(2, 5), START);
    assert_eq!(
        table.merge_record(record(2, 4), START + 10),
        MergeOutcome::Nothing
    );
    assert_eq!(
        table.merge_record(record(1, 9), START + 20),
        MergeOutcome::Nothing
    );
    assert_eq!(
        table.merge_greeting(record(1, 9), START + 30),
        MergeOutcome::Nothing
    );
    let beat = Member {
        age_ms: 0,
        ..record(2, 3)
    };
    assert_eq!(
        table.merge_beat(beat.to_beat(), START + 40),
        MergeOutcome::Nothing
    );
    assert_eq!(only_report(&table).revision, 5);
    assert_eq!(only_report(&table).heard, START);
}

#[test]
fn a_heartbeat_updates_the_changing_fields() {
    let mut table = table();
    table.merge_record(record(1, 5), START);
    let beat = Member {
        store_age_ms: None,
        age_ms: 30,
        ..record(1, 8)
    };
    assert_eq!(
        table.merge_beat(beat.to_beat(), START + 500),
        MergeOutcome::Newer
    );
    let report = only_report(&table);
    assert_eq!(report.revision, 8);
    assert_eq!(report.store_age_ms, None);
    assert_eq!(report.made_after, Some(START + 470));
    let unknown = Member {
        name: "unknown".to_owned(),
        ..record(1, 8)
    };
    assert_eq!(
        table.merge_beat(unknown.to_beat(), START),
        MergeOutcome::Nothing
    );
}

#[test]
fn a_silent_process_is_reported_lost_once_and_owns_nothing() {
    let mut table = table();
    table.merge_record(record(1, 5), START);
    assert!(table.sweep(START + TIMEOUT_MS).is_empty());
    let later = START + TIMEOUT_MS + 1;
    assert_eq!(table.sweep(later).len(), 1);
    assert!(table.sweep(later).is_empty());
    let lost = &table.members(later)[0];
    assert!(!lost.is_live(TIMEOUT_MS));
    assert!(lost.shards.is_empty());
    assert_eq!(lost.permit_left_ms, 0);
    assert_eq!(
        table.merge_record(record(1, 6), later),
        MergeOutcome::Arrived
    );
    assert_eq!(table.members(later)[0].shards.len(), 1);
}

#[test]
fn a_record_under_the_own_name_is_never_stored() {
    let mut table = table();
    let own = Member {
        name: "me".to_owned(),
        ..record(9, 1)
    };
    assert_eq!(table.merge_record(own, START), MergeOutcome::OwnName);
    assert!(table.members(START).is_empty());
}
