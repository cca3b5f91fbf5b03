//! Log lines on entries of the store that cannot be read.

use test_case::test_case;
use verbenahitch::domain::{Millis, Monotonic};
use verbenahitch::entry::unreadable::UnreadableLog;
use verbenahitch::port::Item;

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: Err("odd".to_owned()),
        revision,
        created: 1,
    }
}

struct Case {
    /// Pause between two lines on one key, in milliseconds.
    pause_ms: Millis,
    /// Time in milliseconds and revision of each entry that is seen.
    seen: &'static [(Millis, u64)],
    logged: usize,
}

/// An odd entry must not fill the log.
#[test_case(Case { pause_ms: 60_000, seen: &[(0, 5), (1_000, 5), (900_000, 5)], logged: 1 }; "listed again and again")]
#[test_case(Case { pause_ms: 60_000, seen: &[(0, 5), (1_000, 6), (2_000, 7), (59_999, 8)], logged: 1 }; "written each second")]
#[test_case(Case { pause_ms: 60_000, seen: &[(0, 5), (60_000, 6), (61_000, 7)], logged: 2 }; "written a minute later")]
#[test_case(Case { pause_ms: 0, seen: &[(0, 5), (10, 5), (20, 6)], logged: 2 }; "each revision of a document")]
fn an_odd_entry_is_logged_once(case: Case) {
    let mut log = UnreadableLog::default();
    assert!(log.is_due(&item("other", 5), case.pause_ms, Monotonic(0)));
    let mut logged = 0;
    for (at, revision) in case.seen {
        let entry = item("k", *revision);
        logged += usize::from(log.is_due(&entry, case.pause_ms, Monotonic(*at)));
    }
    assert_eq!(logged, case.logged);
}

/// Many writers of odd entries must not fill the memory.
#[test]
fn any_number_of_odd_entries_is_remembered_in_bounded_memory() {
    let mut log = UnreadableLog::default();
    let logged = (0..20_000_u64)
        .filter(|number| log.is_due(&item(&format!("k{number}"), 1), 60_000, Monotonic(0)));
    assert_eq!(logged.count(), 20_000);
    assert!(format!("{log:?}").len() < 1 << 20);
}
