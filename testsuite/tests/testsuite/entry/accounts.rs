//! Who a caller is, which version is in force and how old its confirmation is.

use test_case::test_case;
use verbenahitch::collections::HashSet;
use verbenahitch::dispatch::{Account, Amount};
use verbenahitch::domain::Monotonic;
use verbenahitch::entry::accounts::{AccountFault, Denial, InForce, Offer, Revocation, check};
use verbenahitch::port::{KeyDigest, KeyedAccount, Queues};

use super::routes::route;

const BOUND_MS: u64 = 5_000;

fn account(name: &str, weight: f64, keys: &[&str]) -> KeyedAccount {
    KeyedAccount {
        account: Account {
            name: name.to_owned(),
            weight,
            cap: Amount::default(),
        },
        keys: keys.iter().map(|key| KeyDigest::new(key)).collect(),
    }
}

/// Version that gives account `a` these keys.
fn version(version: u64, keys: &[&str]) -> Queues {
    Queues {
        version,
        routes: vec![route("h", "/p/", false), route("h", "/open/", true)],
        accounts: Some(vec![account("a", 1.0, keys)]),
    }
}

fn fault(text: &str) -> Option<String> {
    Some(text.to_owned())
}

#[test_case(&[account("a", 1.0, &["k"]), account("b", 0.5, &["l", "m"])], None; "sound accounts")]
#[test_case(&[account("a", 1.0, &["k", "k"])], None; "a key twice in one account")]
#[test_case(&[account("a", 1.0, &[])], None; "an account without keys")]
#[test_case(&[], None; "no account")]
#[test_case(&[account("", 1.0, &["k"])], fault("an account has no name"); "no name")]
#[test_case(&[account("a", 1.0, &[]), account("a", 1.0, &[])], fault("two accounts are named `a`"); "one name twice")]
#[test_case(&[account("a", 0.0, &[])], fault("the weight of account `a` is 0, not a number above 0"); "no weight")]
#[test_case(&[account("a", -1.0, &[])], fault("the weight of account `a` is -1, not a number above 0"); "a negative weight")]
#[test_case(&[account("a", f64::NAN, &[])], fault("the weight of account `a` is NaN, not a number above 0"); "a weight that is no number")]
#[test_case(&[account("a", f64::INFINITY, &[])], fault("the weight of account `a` is inf, not a number above 0"); "an infinite weight")]
#[test_case(&[account("a", 1.0, &["k", ""])], fault("a key of account `a` is empty"); "an empty key")]
#[test_case(&[account("a", 1.0, &["secret"]), account("b", 1.0, &["secret"])], fault("accounts `a` and `b` have a key in common"); "one key in two accounts")]
fn a_fault_is_found_and_shows_no_key(accounts: &[KeyedAccount], expected: Option<String>) {
    let found = check(accounts).err().map(|fault| fault.to_string());
    assert_eq!(found, expected);
}

/// What a host hears, in order.
#[derive(Clone, Debug)]
enum Event {
    /// Document at a revision, with what becomes of it.
    Document(u64, Queues, Offer),
    /// Document that cannot be read, with the keys that can be.
    Unreadable(u64, Option<&'static [&'static str]>),
    Removed,
    /// Listing sent at a time.
    Listed(u64),
    /// Strong read sent at a time that shows a revision.
    Read(u64, u64),
    /// The watch covers a revision.
    Covered(u64),
    /// The last call to the store failed.
    Cut,
}

use Event::{Covered, Cut, Document, Listed, Read, Removed, Unreadable};

fn adopted(revision: u64, number: u64, keys: &[&str]) -> Event {
    Document(revision, version(number, keys), Offer::Adopted)
}

/// Version 1 with keys `k` and `l`, listed at 1,000 ms.
fn first() -> [Event; 2] {
    [adopted(10, 1, &["k", "l"]), Listed(1_000)]
}

fn after_first(events: &[Event]) -> Vec<Event> {
    [&first()[..], events].concat()
}

fn weightless(number: u64, keys: &[&str]) -> Queues {
    Queues {
        accounts: Some(vec![account("a", 0.0, keys)]),
        ..version(number, keys)
    }
}

fn weightless_fault() -> Offer {
    Offer::Faulty(AccountFault::Weight {
        name: "a".to_owned(),
        weight: 0.0,
    })
}

fn denied(denial: Denial) -> Result<Option<&'static str>, Denial> {
    Err(denial)
}

const SERVED: Result<Option<&str>, Denial> = Ok(Some("a"));

fn withdrawn() -> Result<Option<&'static str>, Denial> {
    denied(Denial::Withdrawn("a".into()))
}

/// A call with a key at a time, after some events.
struct Case {
    events: Vec<Event>,
    at: u64,
    key: Option<&'static str>,
    expected: Result<Option<&'static str>, Denial>,
}

fn case(
    events: Vec<Event>,
    at: u64,
    key: &'static str,
    expected: Result<Option<&'static str>, Denial>,
) -> Case {
    Case {
        events,
        at,
        key: Some(key),
        expected,
    }
}

// Who the caller is.
#[test_case(case(first().to_vec(), 1_001, "k", SERVED); "a good key")]
#[test_case(case(first().to_vec(), 1_001, "x", denied(Denial::Unknown)); "an unknown key")]
#[test_case(Case { key: None, ..case(first().to_vec(), 1_001, "", denied(Denial::NoKey)) }; "no key")]
#[test_case(case(after_first(&[adopted(11, 2, &["k"])]), 1_001, "l", withdrawn()); "a withdrawn key")]
#[test_case(case(after_first(&[adopted(11, 2, &["k"]), adopted(12, 3, &["k", "l"])]), 1_001, "l", SERVED); "a key that is back")]
#[test_case(case(after_first(&[adopted(11, 2, &["k", "m"])]), 1_001, "m", SERVED); "an added key")]
#[test_case(case(after_first(&[Cut]), 1_001, "k", SERVED); "a good key without the store")]
#[test_case(case(after_first(&[Cut]), 1_001, "x", denied(Denial::Outdated)); "a key that may have been added")]
#[test_case(Case { key: None, ..case(after_first(&[Cut]), 1_001, "", denied(Denial::Outdated)) }; "a route that may have become public")]
#[test_case(case(first().to_vec(), 3_449, "x", denied(Denial::Unknown)); "an unknown key after a short silence")]
#[test_case(case(first().to_vec(), 3_450, "x", denied(Denial::Outdated)); "a key that may have been added during a pause")]
// Age: a fiftieth of the bound is left for the clock.
#[test_case(case(first().to_vec(), 5_899, "k", SERVED); "within the bound")]
#[test_case(case(first().to_vec(), 5_900, "k", denied(Denial::Outdated)); "at the bound")]
#[test_case(case(first().to_vec(), 5_900, "x", denied(Denial::Outdated)); "an unknown key after the bound")]
#[test_case(case(vec![adopted(10, 1, &["k"])], 1, "k", denied(Denial::Outdated)); "before the first confirmation")]
#[test_case(case(after_first(&[Read(4_000, 20), Covered(20)]), 8_899, "k", SERVED); "a read that the watch covers")]
#[test_case(case(after_first(&[Read(4_000, 20), Covered(20)]), 8_900, "k", denied(Denial::Outdated)); "a read counts from its sending")]
#[test_case(case(after_first(&[Read(4_000, 20), Covered(19)]), 5_900, "k", denied(Denial::Outdated)); "a watch that is behind the read")]
#[test_case(case(after_first(&[Covered(99)]), 5_900, "k", denied(Denial::Outdated)); "a watch alone")]
#[test_case(case(after_first(&[Read(4_000, 20)]), 5_900, "k", denied(Denial::Outdated)); "a read alone")]
#[test_case(case(after_first(&[Covered(30), Read(4_000, 20), Cut]), 5_900, "k", denied(Denial::Outdated)); "a watch that was answered before the read")]
#[test_case(case(after_first(&[Read(4_000, 20), Read(5_000, 25), Covered(22)]), 9_000, "k", denied(Denial::Outdated)); "only the covered one of two reads")]
#[test_case(case(after_first(&[Read(2_000, 20), Covered(20)]), 60_000, "k", denied(Denial::Outdated)); "answers of before a pause")]
#[test_case(case(after_first(&[Read(2_000, 20), Covered(20), Read(60_000, 30), Covered(31)]), 60_001, "k", SERVED); "a read after a pause")]
#[test_case(case(after_first(&[Listed(60_000)]), 60_001, "k", SERVED); "a listing after a pause")]
#[test_case(case(after_first(&[Read(4_000, 20), adopted(18, 2, &["k"]), Covered(20)]), 6_000, "l", withdrawn()); "a withdrawal that the read covers")]
#[test_case(case(after_first(&[Read(4_000, 20), adopted(18, 2, &["k"]), Covered(20)]), 8_000, "l", denied(Denial::Outdated)); "a withdrawn key that may be back")]
// Versions out of order.
#[test_case(case(after_first(&[adopted(12, 3, &["k"]), Document(13, version(2, &["k", "l"]), Offer::Superseded)]), 1_001, "l", withdrawn()); "an older version brings no key back")]
#[test_case(case(after_first(&[adopted(12, 3, &["k", "l"]), Document(13, version(2, &["k"]), Offer::Superseded)]), 1_001, "l", withdrawn()); "an older version that lacks a key")]
#[test_case(case(after_first(&[Document(10, version(1, &["k", "l"]), Offer::Held), Listed(9_000)]), 9_001, "k", SERVED); "the same version again")]
#[test_case(case(after_first(&[Document(11, version(1, &["k", "l", "m"]), Offer::Superseded)]), 1_001, "m", denied(Denial::Unknown)); "another document of the same version")]
// Documents that do not come into force.
#[test_case(case(after_first(&[Document(11, weightless(2, &["k", "l"]), weightless_fault()), Listed(9_000)]), 9_001, "k", SERVED); "a fault leaves the version in force")]
#[test_case(case(after_first(&[Document(11, weightless(2, &["k"]), weightless_fault())]), 1_001, "l", withdrawn()); "a fault does not stop a withdrawal")]
#[test_case(case(after_first(&[Document(11, weightless(2, &["k", "l", "m"]), weightless_fault())]), 1_001, "m", denied(Denial::Unknown)); "a fault adds no key")]
#[test_case(case(after_first(&[Unreadable(11, Some(&["k"])), Listed(9_000)]), 9_001, "k", SERVED); "an unreadable version whose keys can be read")]
#[test_case(case(after_first(&[Unreadable(11, Some(&["k"]))]), 1_001, "l", withdrawn()); "a withdrawal in an unreadable version")]
#[test_case(case(after_first(&[Unreadable(11, None), Listed(4_000)]), 5_899, "k", SERVED); "an unreadable version within the bound")]
#[test_case(case(after_first(&[Unreadable(11, None), Listed(4_000)]), 5_900, "k", denied(Denial::Outdated)); "an unreadable version is not confirmed")]
#[test_case(case(after_first(&[Unreadable(11, None), adopted(12, 3, &["k"]), Listed(9_000)]), 9_001, "k", SERVED); "the next version after an unreadable one")]
#[test_case(case(after_first(&[Removed, Listed(4_000)]), 5_900, "k", denied(Denial::Outdated)); "a document that is gone")]
#[test_case(case(after_first(&[Removed, Document(12, version(1, &["k", "l"]), Offer::Held), Listed(9_000)]), 9_001, "k", SERVED); "a document that is back")]
fn admits(case: Case) {
    let mut in_force = InForce::new(Revocation::strict(BOUND_MS));
    let mut in_touch = true;
    for event in case.events {
        match event {
            Document(revision, queues, expected) => {
                assert!(in_force.is_new(revision) || expected == Offer::Held);
                assert_eq!(in_force.offer(revision, queues), expected);
                assert!(!in_force.is_new(revision));
            }
            Unreadable(revision, listed) => {
                let digests = |keys: &[&str]| -> HashSet<KeyDigest> {
                    keys.iter().map(|key| KeyDigest::new(key)).collect()
                };
                in_force.offer_unreadable(revision, listed.map(digests).as_ref());
            }
            Removed => in_force.remove(),
            Listed(asked) => in_force.list(Monotonic(asked)),
            Read(asked, revision) => in_force.read(Monotonic(asked), revision),
            Covered(revision) => in_force.cover(revision),
            Cut => in_touch = false,
        }
    }
    let key = case.key.map(KeyDigest::new);
    let now = Monotonic(case.at);
    let admission = in_force.admit(now, in_touch, false, key.as_ref());
    let admission = admission.map(|account| account.map(|name| name.to_string()));
    let expected = case.expected.map(|account| account.map(str::to_owned));
    assert_eq!(admission, expected);
    // A public route needs neither a key nor a confirmation.
    assert_eq!(in_force.admit(now, in_touch, true, None), Ok(None));
}

#[test]
fn where_no_accounts_are_declared_no_key_is_needed() {
    let mut in_force = InForce::new(Revocation::strict(BOUND_MS));
    let queues = Queues {
        accounts: None,
        ..version(1, &[])
    };
    assert_eq!(in_force.offer(1, queues), Offer::Adopted);
    let late = Monotonic(1 << 40);
    assert!(in_force.is_fresh(late) && !in_force.needs_confirmation());
    for key in [None, Some(KeyDigest::new("x"))] {
        assert_eq!(in_force.admit(late, false, false, key.as_ref()), Ok(None));
    }
}

#[test]
fn without_a_bound_a_host_serves_what_it_knows() {
    let mut in_force = InForce::new(Revocation::unbounded());
    in_force.offer(1, version(1, &["k"]));
    let late = Monotonic(1 << 40);
    let key = KeyDigest::new("k");
    let admission = in_force.admit(late, false, false, Some(&key));
    assert_eq!(admission.unwrap().as_deref(), Some("a"));
    assert!(!in_force.needs_confirmation());
}

#[test]
fn a_digest_shows_nothing() {
    let key = KeyDigest::new("secret");
    assert_eq!(format!("{key:?}"), "KeyDigest(..)");
}
