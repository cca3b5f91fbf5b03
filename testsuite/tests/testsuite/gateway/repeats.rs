//! Who may send a request again: the gateway, after an attempt that provably has not run
//! it, or if it is idempotent. The HTTP clients below and above it repeat nothing.

use std::collections::BTreeMap;

use test_case::test_case;

use super::fake::{Action, Seen, Upstream};
use super::fixture::{Answer, Setup, send};

/// Callers at the same time.
const CALLERS: usize = 8;

/// Requests of each caller, one after another.
const ROUNDS: usize = 25;

/// What the upstreams do with connections while requests reuse them.
struct Case {
    path: &'static str,
    action: fn(&Seen) -> Action,
    /// Whether the gateway may send a request again that may have run.
    is_idempotent: bool,
}

/// Answers, and closes the connection although the answer does not say so.
fn answer_and_close(seen: &Seen) -> Action {
    Action::Raw(seen.answer("", "done"))
}

/// Closes every third connection in place of an answer.
fn close_some(seen: &Seen) -> Action {
    if seen.number % 3 == 2 {
        Action::Close
    } else {
        Action::Answer("done".to_owned())
    }
}

/// Refuses every third request.
fn refuse_some(seen: &Seen) -> Action {
    if seen.number % 3 == 2 {
        Action::Refuse
    } else {
        Action::Answer("done".to_owned())
    }
}

/// Requests that arrived, by order.
fn arrivals(upstreams: &[Upstream]) -> BTreeMap<usize, Vec<Seen>> {
    let mut counts: BTreeMap<usize, Vec<Seen>> = BTreeMap::new();
    for seen in upstreams.iter().flat_map(Upstream::seen) {
        let order = seen.field("x-order").and_then(|order| order.parse().ok());
        let order = order.unwrap_or_else(|| panic!("a request of nobody: {seen:?}"));
        counts.entry(order).or_default().push(seen);
    }
    counts
}

#[test_case(Case { path: "/charge", action: answer_and_close, is_idempotent: false }; "charge, closed once idle")]
#[test_case(Case { path: "/charge", action: close_some, is_idempotent: false }; "charge, closed without an answer")]
#[test_case(Case { path: "/charge", action: refuse_some, is_idempotent: false }; "charge, refused")]
#[test_case(Case { path: "/quote", action: close_some, is_idempotent: true }; "quote, closed without an answer")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_what_has_not_run_is_sent_again(case: Case) {
    let upstreams = [
        Upstream::start(case.action).await,
        Upstream::start(case.action).await,
    ];
    let gateway = Setup::over(&upstreams.each_ref().map(|upstream| upstream.address));
    let gateway = gateway.start().await;
    let callers = (0..CALLERS).map(|caller| {
        let gateway = &gateway;
        async move {
            let mut answers: Vec<(usize, Answer)> = Vec::new();
            for order in caller * ROUNDS..(caller + 1) * ROUNDS {
                let request = gateway.post(case.path).header("x-order", order);
                answers.push((order, send(request).await));
            }
            answers
        }
    });
    let answers = futures::future::join_all(callers).await;
    let arrivals = arrivals(&upstreams);
    for (order, answer) in answers.into_iter().flatten() {
        let seen = arrivals.get(&order).map_or(&[][..], Vec::as_slice);
        let ran = seen
            .iter()
            .filter(|seen| !matches!((case.action)(seen), Action::Refuse))
            .count();
        match (answer.status, answer.not_run) {
            (200, _) => assert!(ran >= 1, "order {order}: {answer:?}"),
            (503, true) => assert_eq!(ran, 0, "order {order}: {answer:?}, {seen:?}"),
            (502..=504, false) => {}
            _ => panic!("order {order}: {answer:?}"),
        }
        if !case.is_idempotent {
            assert!(ran <= 1, "order {order}: {answer:?}, {seen:#?}");
        }
    }
}
