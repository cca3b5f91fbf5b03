//! Permits to start tasks, by the evidence that they rest on.

use proptest::prelude::*;
use std::sync::Arc;
use test_case::test_case;
use verbenahitch::config::{Permit, ZoneState};
use verbenahitch::domain::Monotonic;
use verbenahitch::peer::{Evidence, Testimony};

use super::network::declarations;

const PERMIT_MS: u64 = 3_000;
const NOW: Monotonic = Monotonic(100_000);
const REVISION: u64 = 7;

/// Word of a process: heard and proven so many milliseconds ago.
fn word(zone: &str, proven_ms: u64, store_age_ms: Option<u64>) -> Testimony {
    Testimony {
        name: format!("process-of-{zone}"),
        zone: zone.to_owned(),
        revision: REVISION,
        heard: NOW - proven_ms,
        proven: Some(NOW - proven_ms),
        store_age_ms,
    }
}

fn evidence(words: &[Testimony]) -> Evidence {
    Evidence {
        testimonies: Arc::new(words.to_vec()),
    }
}

struct Case {
    own_ms: Option<u64>,
    words: Vec<Testimony>,
    until: Option<u64>,
}

fn silent(zone: &str) -> Testimony {
    word(zone, 500, Some(60_000))
}

#[test_case(Case { own_ms: Some(400), words: vec![], until: Some(2_600) }; "the store answered")]
#[test_case(Case { own_ms: Some(3_400), words: vec![], until: None }; "the store answered too long ago")]
#[test_case(Case { own_ms: None, words: vec![], until: None }; "no evidence at all")]
#[test_case(Case { own_ms: None, words: vec![word("b", 300, Some(200))], until: Some(2_500) }; "a peer reached the store")]
#[test_case(Case { own_ms: Some(2_000), words: vec![word("b", 300, Some(200))], until: Some(2_500) }; "the better evidence counts")]
#[test_case(Case { own_ms: None, words: vec![Testimony { revision: 8, ..word("b", 300, Some(200)) }], until: None }; "a peer knows a newer revision")]
#[test_case(Case { own_ms: None, words: vec![Testimony { proven: None, ..word("b", 0, Some(0)) }], until: None }; "a greeting proves nothing")]
#[test_case(Case { own_ms: None, words: vec![silent("a"), silent("b"), silent("c")], until: Some(2_500) }; "the store answers nobody")]
#[test_case(Case { own_ms: None, words: vec![silent("b"), word("c", 900, None)], until: Some(2_100) }; "the oldest word counts in an outage")]
#[test_case(Case { own_ms: None, words: vec![silent("a"), silent("b")], until: None }; "one zone is not heard in an outage")]
#[test_case(Case { own_ms: None, words: vec![silent("a")], until: None }; "the zone hears only itself")]
#[test_case(Case { own_ms: None, words: vec![silent("b"), word("c", 5_000, Some(60_000))], until: None }; "one zone was heard too long ago")]
#[test_case(Case { own_ms: None, words: vec![silent("b"), silent("c"), Testimony { revision: 8, ..silent("c") }], until: None }; "a newer revision is known in an outage")]
#[test_case(Case { own_ms: None, words: vec![silent("b"), silent("c"), Testimony { proven: None, ..silent("c") }], until: None }; "one process has only greeted in an outage")]
fn permits_rest_on_evidence(case: Case) {
    let declared = declarations(REVISION, &["a", "b", "c"]);
    let mut permit = Permit::new(PERMIT_MS);
    let own = case.own_ms.map(|age| NOW - age);
    let until = permit.review(own, &evidence(&case.words), &declared, "a", NOW);
    let left = (until > NOW).then(|| until.since(NOW));
    assert_eq!(left, case.until);
}

#[test]
fn a_zone_that_is_out_has_no_permit_whatever_was_known_before() {
    let mut declared = declarations(REVISION, &["a", "b"]);
    let mut permit = Permit::new(PERMIT_MS);
    assert!(permit.review(Some(NOW), &evidence(&[]), &declared, "a", NOW) > NOW);
    declared.zones.get_mut("a").expect("declared").state = ZoneState::Out;
    assert!(permit.review(Some(NOW), &evidence(&[]), &declared, "a", NOW) <= NOW);
    assert!(permit.review(Some(NOW), &evidence(&[]), &declared, "unknown", NOW) <= NOW);
}

/// One word of a process in a random history.
#[derive(Clone, Debug)]
struct Said {
    zone: usize,
    at: u64,
    delay: u64,
    reaches_store: bool,
}

fn said() -> impl Strategy<Value = Said> {
    (0..4_usize, 0..20_000_u64, 0..4_000_u64, any::<bool>()).prop_map(
        |(zone, at, delay, reaches_store)| Said {
            zone,
            at,
            delay,
            reaches_store,
        },
    )
}

proptest! {
    /// Zone `a` is taken out at an instant after which every answer of the store
    /// shows it. Whatever words reach zone `a` and however late, its permit
    /// lapses by that instant and the permit's length, unless every zone said
    /// later that it cannot reach the store.
    #[test]
    fn no_permit_outlives_a_change_by_more_than_its_length(
        out_at in 4_000..16_000_u64,
        mut history in prop::collection::vec(said(), 1..60),
    ) {
        const ZONES: [&str; 4] = ["a", "b", "c", "d"];
        let old = declarations(REVISION, &ZONES);
        let mut permit = Permit::new(PERMIT_MS);
        let mut words: Vec<Testimony> = Vec::new();
        history.sort_by_key(|said| said.at + said.delay);
        // Zone d accepted the change and is never heard by zone a afterwards.
        history.retain(|said| said.zone != 0 && !(said.zone == 3 && said.at >= out_at));
        for said in history {
            let revision = if said.reaches_store && said.at >= out_at { REVISION + 1 } else { REVISION };
            let proven = Monotonic(said.at);
            let name = ZONES[said.zone].to_owned();
            words.retain(|word| word.name != name || word.proven > Some(proven));
            if words.iter().all(|word| word.name != name) {
                words.push(Testimony {
                    zone: name.clone(),
                    name,
                    revision,
                    heard: proven,
                    proven: Some(proven),
                    store_age_ms: Some(if said.reaches_store { 0 } else { 60_000 }),
                });
            }
            let now = Monotonic(said.at + said.delay);
            let until = permit.review(None, &evidence(&words), &old, "a", now);
            prop_assert!(until <= Monotonic(out_at + PERMIT_MS), "until {until:?}");
        }
    }
}
