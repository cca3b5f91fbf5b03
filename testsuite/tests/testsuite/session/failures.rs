//! Failures of processes and of the store, checked by the workers' histories and
//! the answers to callers.

use serde_json::json;
use test_case::test_case;
use verbenahitch::port::{Clock as _, EndKind, SystemClock};
use verbenahitch_standin::history::Outage;

use super::daemons::{Daemons, TASKS, start, submit_job, wait_for_job};
use super::deployment::{Deployment, ended_count, is_busy, json_output, wait_until};

fn shard_of_job(deployment: &Deployment) -> String {
    let status = json_output(&deployment.run_as_team(2, "job bureau.job"));
    status["shard"].as_str().expect("a shard").to_owned()
}

enum Fault {
    Kill,
    PauseAndResume,
}

#[test_case("killed", &Fault::Kill; "killed")]
#[test_case("frozen", &Fault::PauseAndResume; "paused past its lease and resumed")]
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_owner_is_replaced(name: &str, fault: &Fault) {
    let (deployment, mut daemons) = start(name).await;
    submit_job(&deployment).await;
    deployment.wait_for_run().await;
    let shard = shard_of_job(&deployment);
    let owner = deployment.owner(&shard);
    let process = daemons.schedulers[owner].take().expect("it runs");
    match fault {
        Fault::Kill => drop(process),
        Fault::PauseAndResume => {
            process.signal("STOP");
            wait_until("another process owns the shard", async || {
                deployment.owner(&shard) != owner
            })
            .await;
            process.signal("CONT");
            daemons.schedulers[owner] = Some(process);
        }
    }
    wait_for_job(&deployment, TASKS).await;
    assert_ne!(deployment.owner(&shard), owner);
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_end_once_after_the_owner_is_killed_while_a_worker_does_not_answer() {
    let (deployment, mut daemons) = start("unheard").await;
    let submit = "submit --key job --profile recalculation --tasks 4 --run-ms 12000";
    assert!(deployment.run_as_team(2, submit).status.success());
    deployment.wait_for_run().await;
    let shard = shard_of_job(&deployment);
    let owner = deployment.owner(&shard);
    let histories = deployment.histories().await;
    let busy = histories.iter().find(|worker| is_busy(worker));
    let worker = &busy.expect("a task runs").worker;
    let fault = format!("/workers/{worker}/fault");
    let freeze = json!({"part": "control", "fault": "freeze"});
    deployment.post_control(&fault, &freeze).await;
    drop(daemons.schedulers[owner].take());
    wait_until("the new owner finds the worker unreachable", async || {
        let successor = deployment.owner(&shard);
        successor != owner && deployment.log_count(successor, "worker-unreachable", worker) > 0
    })
    .await;
    let thaw = json!({"part": "control", "fault": "thaw"});
    deployment.post_control(&fault, &thaw).await;
    wait_for_job(&deployment, 4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_finishes_after_all_entry_hosts_are_replaced_at_once() {
    let (deployment, mut daemons) = start("replaced").await;
    submit_job(&deployment).await;
    deployment.wait_for_run().await;
    daemons.kill_all();
    let _replacements = Daemons::start(&deployment);
    deployment.wait_for_owners().await;
    wait_for_job(&deployment, TASKS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_and_requests_continue_during_a_store_outage() {
    let (deployment, _daemons) = start("outage").await;
    submit_job(&deployment).await;
    deployment.wait_for_run().await;
    deployment
        .post_control("/store/power", &json!("down"))
        .await;
    let refused =
        deployment.run_as_team(2, "submit --key other --profile recalculation --run-ms 10");
    assert_eq!(refused.status.code(), Some(1), "not accepted in an outage");
    wait_until("running tasks end in the outage", async || {
        ended_count(&deployment.histories().await, EndKind::Done) > 0
    })
    .await;
    let url = deployment.url(2, "/price-push/1");
    let served = deployment.http.post(url).send().await.expect("an answer");
    assert!(served.status().is_success(), "requests are served");
    let charge = deployment.http.post(deployment.url(2, "/pass-charge/1"));
    let charge = charge.header("idempotency-key", "outage").send().await;
    let charge = charge.expect("an answer");
    assert_eq!(charge.status(), 503);
    assert!(charge.headers().contains_key("verbenahitch-not-run"));
    deployment.post_control("/store/power", &json!("on")).await;
    wait_for_job(&deployment, TASKS).await;
    let histories = deployment.histories().await;
    let mut requests = histories.iter().flat_map(|worker| &worker.requests);
    assert!(!requests.any(|request| request.key.as_deref() == Some("outage")));
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_end_once_when_answers_of_the_store_are_lost_after_their_effect() {
    let (deployment, _daemons) = start("lost").await;
    let lose = json!({"fault": "lose", "answers": 15});
    deployment.post_control("/store/fault", &lose).await;
    submit_job(&deployment).await;
    wait_for_job(&deployment, TASKS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_runs_once_when_its_gateway_is_killed_before_the_answer() {
    let (deployment, mut daemons) = start("died").await;
    for worker in deployment.histories().await {
        let path = format!("/workers/{}/fault", worker.worker);
        let slow = json!({"part": "upstream", "fault": "slow", "delay-ms": 1_000});
        deployment.post_control(&path, &slow).await;
    }
    let charge = |host: usize| {
        let call = deployment.http.post(deployment.url(host, "/pass-charge/1"));
        let call = call.header("idempotency-key", "charge-1");
        call.header("x-request-id", "charge").body("payload").send()
    };
    let first = tokio::spawn(charge(0));
    wait_until("the request is sent", async || {
        deployment.log_count(0, "routed", "charge") == 1
    })
    .await;
    drop(daemons.gateways[0].take());
    assert!(first.await.expect("the call ends").is_err());
    let repeated = charge(1).await.expect("an answer");
    assert_eq!(repeated.status(), 409);
    assert!(!repeated.headers().contains_key("verbenahitch-not-run"));
    wait_until("the request has run", async || {
        charge_runs(&deployment).await == 1
    })
    .await;
    assert_eq!(charge(2).await.expect("an answer").status(), 409);
    assert_eq!(charge_runs(&deployment).await, 1);
    assert_eq!(deployment.violations(Vec::new()).await, []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_is_cut_off_from_the_platform_can_be_taken_out() {
    let (deployment, _daemons) = start("cut").await;
    let clock = SystemClock::default();
    let submit = "submit --key long --profile recalculation --tasks 40 --run-ms 1000";
    for key in ["long", "longer"] {
        let submit = submit.replace("long", key);
        assert!(deployment.run_as_team(0, &submit).status.success());
    }
    deployment.wait_for_run().await;
    deployment.post_control("/zones/b/cut", &json!(null)).await;
    let out = deployment.run_as_operator(0, "zone out b");
    let outage = Outage {
        zone: "b".to_owned(),
        from: clock.wall_ms(),
        until: None,
    };
    assert!(out.status.success());
    let confirmed = json_output(&out)["in-force"].to_string();
    assert!(
        confirmed.contains("entry-2/scheduler"),
        "peers send the change to the zone: {confirmed}"
    );
    deployment.wait_until_idle("b").await;
    deployment.post_control("/zones/mend", &json!(null)).await;
    for job in ["bureau.long", "bureau.longer"] {
        deployment.wait_for_done(0, job, 40).await;
    }
    assert_eq!(
        ended_count(&deployment.histories().await, EndKind::Done),
        80
    );
    assert_eq!(deployment.violations(vec![outage]).await, []);
}

/// Number of times that upstreams ran the request with the key `charge-1`.
async fn charge_runs(deployment: &Deployment) -> usize {
    let histories = deployment.histories().await;
    let requests = histories.iter().flat_map(|worker| &worker.requests);
    requests
        .filter(|request| request.key.as_deref() == Some("charge-1"))
        .count()
}
