//! Check of the callers' answers against the requests that upstreams ran.

use std::collections::BTreeMap;

use verbenahitch::collections::HashMap;

use super::check::{Rules, Violation};
use super::record::{CallOutcome, CallRecord, RequestRecord, Session};

/// Worker that ran each call, by call ID.
type CallWorkers<'a> = HashMap<&'a str, &'a str>;

pub(super) fn check(session: &Session, rules: &Rules, violations: &mut Vec<Violation>) {
    let mut workers = CallWorkers::default();
    let mut run_counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for worker in &session.workers {
        for request in &worker.requests {
            workers.insert(&request.call_id, &worker.worker);
            if rules.once_kinds.contains(&request.kind) {
                *run_counts
                    .entry((&request.kind, dedup_key(request)))
                    .or_default() += 1;
            }
        }
    }
    let repeated = run_counts.into_iter().filter(|(_, runs)| *runs > 1);
    violations.extend(repeated.map(|((kind, key), runs)| Violation::RanTwice {
        kind: kind.to_owned(),
        key: key.to_owned(),
        runs,
    }));
    let calls = session.calls.iter();
    violations.extend(calls.filter_map(|call| call_violation(call, &workers)));
}

/// Key that is equal for two runs of the same request.
fn dedup_key(request: &RequestRecord) -> &str {
    let call_id = Some(request.call_id.as_str()).filter(|call_id| !call_id.is_empty());
    let key = request.key.as_deref().or(call_id);
    key.unwrap_or(&request.request_id)
}

fn call_violation(call: &CallRecord, workers: &CallWorkers<'_>) -> Option<Violation> {
    let call_id = call.call_id.clone();
    let worker = workers.get(call.call_id.as_str());
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
