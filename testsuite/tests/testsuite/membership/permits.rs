//! Permits to start tasks, and the evidence that extends them.

use proptest::prelude::*;
use std::sync::Arc;
use test_case::test_case;
use verbenahitch::config::{Permit, ZoneState};
use verbenahitch::domain::Monotonic;
use verbenahitch::peer::{StoreReport, StoreReports};

use super::network::declarations;

const PERMIT_MS: u64 = 3_000;
const NOW: Monotonic = Monotonic(100_000);
const REVISION: u64 = 7;

/// Report of a process, received and proven to have been made `age_ms` ago.
fn report(zone: &str, age_ms: u64, store_age_ms: Option<u64>) -> StoreReport {
    StoreReport {
        name: format!("process-of-{zone}"),
        zone: zone.to_owned(),
        revision: REVISION,
        heard: NOW - age_ms,
        made_after: Some(NOW - age_ms),
        store_age_ms,
    }
}

fn store_reports(reports: &[StoreReport]) -> StoreReports {
    StoreReports {
        reports: Arc::new(reports.to_vec()),
    }
}

struct Case {
    /// Milliseconds since the store last answered this process.
    contact_ms: Option<u64>,
    reports: Vec<StoreReport>,
    /// Milliseconds until the permit lapses; `None` if it has lapsed.
    left_ms: Option<u64>,
}

/// Report of a process that the store has not answered for a minute.
fn without_store(zone: &str) -> StoreReport {
    report(zone, 500, Some(60_000))
}

#[test_case(Case { contact_ms: Some(400), reports: vec![], left_ms: Some(2_600) }; "the store answered")]
#[test_case(Case { contact_ms: Some(3_400), reports: vec![], left_ms: None }; "the store answered too long ago")]
#[test_case(Case { contact_ms: None, reports: vec![], left_ms: None }; "no evidence at all")]
#[test_case(Case { contact_ms: None, reports: vec![report("b", 300, Some(200))], left_ms: Some(2_500) }; "a peer reached the store")]
#[test_case(Case { contact_ms: Some(2_000), reports: vec![report("b", 300, Some(200))], left_ms: Some(2_500) }; "the newer evidence counts")]
#[test_case(Case { contact_ms: None, reports: vec![StoreReport { revision: 8, ..report("b", 300, Some(200)) }], left_ms: None }; "a peer knows a newer revision")]
#[test_case(Case { contact_ms: None, reports: vec![StoreReport { made_after: None, ..report("b", 0, Some(0)) }], left_ms: None }; "a greeting is no evidence")]
#[test_case(Case { contact_ms: None, reports: vec![without_store("a"), without_store("b"), without_store("c")], left_ms: Some(2_500) }; "the store answers no process")]
#[test_case(Case { contact_ms: None, reports: vec![without_store("b"), report("c", 900, None)], left_ms: Some(2_100) }; "the oldest report counts in an outage")]
#[test_case(Case { contact_ms: None, reports: vec![without_store("a"), without_store("b")], left_ms: None }; "one zone sends no report in an outage")]
#[test_case(Case { contact_ms: None, reports: vec![without_store("a")], left_ms: None }; "only the own zone reports")]
#[test_case(Case { contact_ms: None, reports: vec![without_store("b"), report("c", 5_000, Some(60_000))], left_ms: None }; "the report of one zone is too old")]
#[test_case(Case { contact_ms: None, reports: vec![without_store("b"), without_store("c"), StoreReport { revision: 8, ..without_store("c") }], left_ms: None }; "a newer revision is known in an outage")]
#[test_case(Case { contact_ms: None, reports: vec![without_store("b"), without_store("c"), StoreReport { made_after: None, ..without_store("c") }], left_ms: None }; "one process has sent only a greeting in an outage")]
fn a_permit_ends_a_fixed_time_after_its_evidence(case: Case) {
    let declared = declarations(REVISION, &["a", "b", "c"]);
    let mut permit = Permit::new(PERMIT_MS);
    let own = case.contact_ms.map(|age| NOW - age);
    let until = permit.evaluate(own, &store_reports(&case.reports), &declared, "a", NOW);
    let left = (until > NOW).then(|| until.since(NOW));
    assert_eq!(left, case.left_ms);
}

#[test]
fn a_zone_that_is_out_has_no_permit_despite_earlier_evidence() {
    let mut declared = declarations(REVISION, &["a", "b"]);
    let mut permit = Permit::new(PERMIT_MS);
    assert!(permit.evaluate(Some(NOW), &store_reports(&[]), &declared, "a", NOW) > NOW);
    declared.zones.get_mut("a").expect("declared").state = ZoneState::Out;
    assert!(permit.evaluate(Some(NOW), &store_reports(&[]), &declared, "a", NOW) <= NOW);
    assert!(permit.evaluate(Some(NOW), &store_reports(&[]), &declared, "unknown", NOW) <= NOW);
}

/// One report in a random history: sent at `at` and received `delay` later, in milliseconds.
#[derive(Clone, Debug)]
struct SentReport {
    zone: usize,
    at: u64,
    delay: u64,
    reaches_store: bool,
}

fn sent_report() -> impl Strategy<Value = SentReport> {
    (0..4_usize, 0..20_000_u64, 0..4_000_u64, any::<bool>()).prop_map(
        |(zone, at, delay, reaches_store)| SentReport {
            zone,
            at,
            delay,
            reaches_store,
        },
    )
}

proptest! {
    /// Zone `a` is taken out at `out_at`, and every later answer of the store shows
    /// it. Whichever reports reach zone `a` and however late, its permit lapses at
    /// most one permit length after `out_at`, unless every zone reported after
    /// that instant that it cannot reach the store.
    #[test]
    fn no_permit_outlives_a_change_by_more_than_its_length(
        out_at in 4_000..16_000_u64,
        mut history in prop::collection::vec(sent_report(), 1..60),
    ) {
        const ZONES: [&str; 4] = ["a", "b", "c", "d"];
        let old = declarations(REVISION, &ZONES);
        let mut permit = Permit::new(PERMIT_MS);
        let mut reports: Vec<StoreReport> = Vec::new();
        history.sort_by_key(|sent| sent.at + sent.delay);
        // Zone d accepted the change, and none of its later reports reach zone a.
        history.retain(|sent| sent.zone != 0 && !(sent.zone == 3 && sent.at >= out_at));
        for sent in history {
            let revision = if sent.reaches_store && sent.at >= out_at { REVISION + 1 } else { REVISION };
            let made_after = Monotonic(sent.at);
            let name = ZONES[sent.zone].to_owned();
            reports.retain(|report| report.name != name || report.made_after > Some(made_after));
            if reports.iter().all(|report| report.name != name) {
                reports.push(StoreReport {
                    zone: name.clone(),
                    name,
                    revision,
                    heard: made_after,
                    made_after: Some(made_after),
                    store_age_ms: Some(if sent.reaches_store { 0 } else { 60_000 }),
                });
            }
            let now = Monotonic(sent.at + sent.delay);
            let until = permit.evaluate(None, &store_reports(&reports), &old, "a", now);
            prop_assert!(until <= Monotonic(out_at + PERMIT_MS), "until {until:?}");
        }
    }
}
