//! The interface of operators and teams: tokens, concurrent changes, lost answers.

use reqwest::{Method, StatusCode};
use serde_json::{Value, json};
use test_case::test_case;
use verbenahitch::domain::JobId;
use verbenahitch::scheduler::{Answer, JobStatus, Request, SubmitError};
use verbenahitch_standin::fault::Fault;

use super::gateway::{
    MARKETS_TOKEN, OPERATOR_TOKEN, PASSES_TOKEN, SECOND_OPERATOR_TOKEN, Site, document,
};
use super::network::wait_until;

struct RefusedCall {
    token: &'static str,
    method: Method,
    path: &'static str,
    status: u16,
}

#[test_case(RefusedCall { token: "", method: Method::GET, path: "declarations", status: 401 }; "no token")]
#[test_case(RefusedCall { token: "guessed", method: Method::GET, path: "status", status: 401 }; "wrong token")]
#[test_case(RefusedCall { token: MARKETS_TOKEN, method: Method::GET, path: "declarations", status: 403 }; "a team reads the declarations")]
#[test_case(RefusedCall { token: MARKETS_TOKEN, method: Method::PUT, path: "declarations?from=1", status: 403 }; "a team changes the declarations")]
#[test_case(RefusedCall { token: MARKETS_TOKEN, method: Method::POST, path: "zones/odd", status: 403 }; "a team takes a zone out")]
#[test_case(RefusedCall { token: MARKETS_TOKEN, method: Method::GET, path: "shards/odd-0", status: 403 }; "a team reads a shard")]
#[test_case(RefusedCall { token: MARKETS_TOKEN, method: Method::GET, path: "jobs/passes.one", status: 403 }; "a team reads the job of another team")]
#[test_case(RefusedCall { token: MARKETS_TOKEN, method: Method::DELETE, path: "jobs/passes.one", status: 403 }; "a team cancels the job of another team")]
#[test_case(RefusedCall { token: OPERATOR_TOKEN, method: Method::GET, path: "jobs/one", status: 400 }; "a job without a team")]
#[test_case(RefusedCall { token: OPERATOR_TOKEN, method: Method::GET, path: "jobs/passes.one", status: 404 }; "an unknown job")]
#[test_case(RefusedCall { token: OPERATOR_TOKEN, method: Method::GET, path: "nothing", status: 404 }; "an unknown path")]
#[test_case(RefusedCall { token: OPERATOR_TOKEN, method: Method::GET, path: "shards/odd-0", status: 503 }; "a shard without an owner")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_calls_leave_the_declarations_unchanged(case: RefusedCall) {
    let site = Site::start(1).await;
    let applied = site.apply(0, 0, &document()).await;
    assert_eq!(applied.status, StatusCode::OK, "{applied:?}");
    let before = site.stored_declarations();
    let body = match case.method {
        Method::PUT => document(),
        Method::POST => json!({ "state": "out" }),
        _ => Value::Null,
    };
    let reply = site
        .call(0, case.token, case.method, case.path, &body)
        .await;
    assert_eq!(reply.status.as_u16(), case.status, "{reply:?}");
    assert!(!reply.error().is_empty());
    assert_eq!(reply.retry_after.is_some(), case.status == 503);
    assert_eq!(site.stored_declarations(), before);
    site.stop().await;
}

struct Submission {
    token: &'static str,
    body: Value,
    status: u16,
    reason: &'static str,
}

fn job(key: &str, profile: &str) -> Value {
    json!({ "key": key, "spec": { "profile": profile, "tasks": 1, "run-ms": 10 } })
}

#[test_case(Submission { token: OPERATOR_TOKEN, body: job("one", "recalculation"), status: 403, reason: "team's token" }; "an operator")]
#[test_case(Submission { token: PASSES_TOKEN, body: job("one", "recalculation"), status: 403, reason: "another team" }; "profile of another team")]
#[test_case(Submission { token: MARKETS_TOKEN, body: job("one.two", "recalculation"), status: 400, reason: "key" }; "a dot in the key")]
#[test_case(Submission { token: MARKETS_TOKEN, body: job("", "recalculation"), status: 400, reason: "key" }; "empty key")]
#[test_case(Submission { token: MARKETS_TOKEN, body: job(&"k".repeat(129), "recalculation"), status: 400, reason: "key" }; "key too long")]
#[test_case(Submission { token: MARKETS_TOKEN, body: json!({ "key": "one" }), status: 400, reason: "spec" }; "no specification")]
#[test_case(Submission { token: MARKETS_TOKEN, body: json!("{"), status: 400, reason: "EOF" }; "truncated")]
#[test_case(Submission { token: MARKETS_TOKEN, body: json!(" ".repeat(70_000)), status: 413, reason: "65536" }; "body too long")]
#[test_case(Submission { token: MARKETS_TOKEN, body: job("one", "recalculation"), status: 503, reason: "no shard" }; "no owner")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submissions_are_refused(case: Submission) {
    let site = Site::start(1).await;
    let applied = site.apply(0, 0, &document()).await;
    assert_eq!(applied.status, StatusCode::OK, "{applied:?}");
    let reply = site
        .call(0, case.token, Method::POST, "jobs", &case.body)
        .await;
    assert_eq!(reply.status.as_u16(), case.status, "{reply:?}");
    assert!(reply.error().contains(case.reason), "{reply:?}");
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_is_in_force_at_every_gateway_listed() {
    let site = Site::start(3).await;
    let handles: Vec<_> = site.gateways.iter().map(|g| g.handle().clone()).collect();
    wait_until("the gateways know each other", || {
        handles.iter().all(|handle| handle.members().len() == 3)
    })
    .await;
    let reply = site.apply(0, 0, &document()).await;
    assert_eq!(reply.body["revision"], 1, "{reply:?}");
    assert_eq!(reply.body["not-confirmed"], json!([]));
    for name in reply.body["in-force"].as_array().expect("a list") {
        let listed = site
            .gateways
            .iter()
            .find(|gateway| *name == gateway.handle().name());
        let gateway = listed.expect("only gateways are listed");
        assert_eq!(gateway.current().load().revision, 1);
    }
    assert_eq!(reply.body["in-force"].as_array().map(Vec::len), Some(3));
    let read = site.get(2, "declarations").await;
    assert_eq!(read.body["zones"], site.stored_declarations()["zones"]);
    let status = site.get(1, "status").await;
    assert_eq!(status.body["members"].as_array().map(Vec::len), Some(3));
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_concurrent_changes_from_the_same_revision_is_accepted() {
    let site = Site::start(2).await;
    assert_eq!(site.apply(0, 0, &document()).await.status, StatusCode::OK);
    let changed = |worth: u32| {
        let mut document = document();
        document["profiles"]["settlement"]["worth"] = worth.into();
        document
    };
    let (first, second) = (changed(11), changed(12));
    let replies = tokio::join!(
        site.apply(0, 1, &first),
        site.call(
            1,
            SECOND_OPERATOR_TOKEN,
            Method::PUT,
            "declarations?from=1",
            &second
        ),
    );
    let (won, lost) = match replies.0.status {
        StatusCode::OK => replies,
        _ => (replies.1, replies.0),
    };
    assert_eq!(won.status, StatusCode::OK, "{won:?}");
    assert_eq!(won.body["revision"], 2);
    assert_eq!(lost.status, StatusCode::CONFLICT, "{lost:?}");
    assert_eq!(lost.body["revision"], 2);
    let stored = site.stored_declarations();
    assert_eq!(lost.body["declarations"], stored);
    assert_eq!(stored["revision"], 2);
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_zone_orders_are_both_accepted() {
    let site = Site::start(2).await;
    assert_eq!(site.apply(0, 0, &document()).await.status, StatusCode::OK);
    let replies = tokio::join!(
        site.set_zone(0, "odd", "out"),
        site.set_zone(1, "even", "out")
    );
    assert_eq!(replies.0.status, StatusCode::OK, "{replies:?}");
    assert_eq!(replies.1.status, StatusCode::OK, "{replies:?}");
    let stored = site.stored_declarations();
    assert_eq!(stored["revision"], 3);
    assert_eq!(stored["zones"]["odd"]["state"], "out");
    assert_eq!(stored["zones"]["even"]["state"], "out");
    let again = site.set_zone(0, "odd", "out").await;
    assert_eq!(again.body["revision"], 3, "{again:?}");
    assert_eq!(
        site.set_zone(0, "north", "out").await.status,
        StatusCode::NOT_FOUND
    );
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_whose_answer_is_lost_is_accepted_once() {
    let site = Site::start(1).await;
    assert_eq!(site.apply(0, 0, &document()).await.status, StatusCode::OK);
    site.store.faults().apply(Fault::Lose { answers: 1 });
    let reply = site.set_zone(0, "odd", "out").await;
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    assert_eq!(reply.body["revision"], 2);
    assert_eq!(site.stored_declarations()["revision"], 2);
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_during_a_store_outage_is_refused_and_not_made() {
    let site = Site::start(1).await;
    assert_eq!(site.apply(0, 0, &document()).await.status, StatusCode::OK);
    let before = site.stored_declarations();
    site.store.stop();
    let reply = site.set_zone(0, "odd", "out").await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{reply:?}");
    assert!(reply.error().starts_with("not changed"), "{reply:?}");
    site.store.resume().await.expect("the store starts again");
    assert_eq!(site.stored_declarations(), before);
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_faults_of_a_document_are_reported_and_nothing_is_stored() {
    let site = Site::start(1).await;
    let mut faulty = document();
    faulty["profiles"]["settlement"]["worth"] = 0.into();
    faulty["zones"]["odd"]["shards"] = 0.into();
    let reply = site.apply(0, 0, &faulty).await;
    assert_eq!(reply.status, StatusCode::BAD_REQUEST, "{reply:?}");
    let faults = reply.body["faults"].as_array().expect("a list");
    let paths: Vec<_> = faults.iter().map(|fault| fault["path"].clone()).collect();
    assert_eq!(paths.len(), 2, "{reply:?}");
    assert!(paths.contains(&json!("profiles.settlement.worth")));
    assert!(paths.contains(&json!("zones.odd.shards")));
    assert_eq!(site.stored_declarations(), Value::Null);
    site.stop().await;
}

fn job_status(id: &JobId) -> JobStatus {
    JobStatus {
        id: id.clone(),
        shard: "odd-0".to_owned(),
        tasks: 1,
        running: 1,
        done: 0,
        failed: 0,
        cancelled: 0,
        unknown: 0,
        evictions: 0,
    }
}

/// Answers as an owner that has the job `markets.one` and accepts every submission.
fn answer_with_one_job(request: &Request) -> Answer {
    match request {
        Request::Submit { id, .. } => Answer::Accepted(job_status(id)),
        Request::Job(id) if id.as_str() == "markets.one" => Answer::Job(job_status(id)),
        Request::Job(id) => Answer::Refused(SubmitError::UnknownJob { id: id.clone() }),
        _ => Answer::Explained("as asked".to_owned()),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_can_be_read_while_the_store_is_down() {
    let site = Site::start(1).await;
    assert_eq!(site.apply(0, 0, &document()).await.status, StatusCode::OK);
    let owner = site.start_owner("odd-0", answer_with_one_job);
    let gateway = site.gateways[0].handle().clone();
    wait_until("the owner is known", || {
        gateway
            .members()
            .iter()
            .any(|member| !member.shards.is_empty())
    })
    .await;
    let submitted = job("one", "recalculation");
    let submit = site.call(0, MARKETS_TOKEN, Method::POST, "jobs", &submitted);
    let accepted = submit.await;
    assert_eq!(accepted.status, StatusCode::OK, "{accepted:?}");
    assert_eq!(accepted.body["id"], "markets.one");
    site.store.stop();
    let read = site.get(0, "jobs/markets.one").await;
    assert_eq!(read.body, accepted.body);
    let unknown = site.get(0, "jobs/markets.two").await;
    assert_eq!(
        unknown.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "{unknown:?}"
    );
    owner.stop().await;
    site.stop().await;
}

#[test_case(1; "no other process has the change")]
#[test_case(2; "another gateway has the change")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unreachable_process_is_never_listed_as_in_force(gateways: usize) {
    const PERMIT_MS: u64 = 3_000;
    let site = Site::start(gateways).await;
    assert_eq!(site.apply(0, 0, &document()).await.status, StatusCode::OK);
    let owner = site.start_owner("odd-0", answer_with_one_job);
    let handles: Vec<_> = site.gateways.iter().map(|g| g.handle().clone()).collect();
    wait_until("all processes know each other", || {
        let known = gateways + 1;
        handles.iter().all(|handle| handle.members().len() == known)
    })
    .await;
    drop(owner);
    let reply = site.set_zone(0, "odd", "out").await;
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    let confirmed = reply.body["in-force"].as_array().expect("a list");
    for handle in &handles {
        assert!(confirmed.contains(&json!(handle.name())), "{reply:?}");
    }
    assert_eq!(confirmed.len(), gateways, "{reply:?}");
    let unconfirmed = reply.body["not-confirmed"].as_array().expect("a list");
    assert_eq!(unconfirmed.len(), 1, "{reply:?}");
    assert_eq!(unconfirmed[0]["process"], "owner-of-odd-0");
    let bound = unconfirmed[0]["starts-stop-in-ms"].as_u64();
    assert_eq!(bound.is_some(), gateways > 1, "{reply:?}");
    assert!(bound.is_none_or(|bound| bound <= PERMIT_MS), "{reply:?}");
    site.stop().await;
}
