//! Check of the callers' answers against what the upstreams ran.

use std::collections::BTreeMap;

use verbenahitch::collections::HashMap;

use super::check::{Rules, Violation};
use super::record::{CallOutcome, CallRecord, RequestRecord, Session};

/// Worker that ran a call, by the call's identity.
type Ran<'a> = HashMap<&'a str, &'a str>;

pub(super) fn check(session: &Session, rules: &Rules, found: &mut Vec<Violation>) {
    let mut ran = Ran::default();
    let mut runs: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for worker in &session.workers {
        for request in &worker.requests {
            ran.insert(&request.call_id, &worker.worker);
            if rules.once_kinds.contains(&request.kind) {
                *runs.entry((&request.kind, identity(request))).or_default() += 1;
            }
        }
    }
    let twice = runs.into_iter().filter(|(_, runs)| *runs > 1);
    found.extend(twice.map(|((kind, key), runs)| Violation::RanTwice {
        kind: kind.to_owned(),
        key: key.to_owned(),
        runs,
    }));
    let calls = session.calls.iter();
    found.extend(calls.filter_map(|call| wrong(call, &ran)));
}

/// What two runs of the same request have in common.
fn identity(request: &RequestRecord) -> &str {
    let call_id = Some(request.call_id.as_str()).filter(|call_id| !call_id.is_empty());
    let key = request.key.as_deref().or(call_id);
    key.unwrap_or(&request.request_id)
}

fn wrong(call: &CallRecord, ran: &Ran<'_>) -> Option<Violation> {
    let call_id = call.call_id.clone();
    let worker = ran.get(call.call_id.as_str());
    match &call.outcome {
        CallOutcome::Answered {
            call_id: got,
            whole,
        } if *got != call_id || !whole => Some(Violation::WrongAnswer {
            call_id,
            got: got.clone(),
            whole: *whole,
        }),
        CallOutcome::Answered { .. } if worker.is_none() => Some(Violation::RanNowhere { call_id }),
        CallOutcome::NotRun => worker.map(|worker| Violation::RanAfterAll {
            call_id,
            worker: (*worker).to_owned(),
        }),
        _ => None,
    }
}
