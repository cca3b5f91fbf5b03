//! Failures of processes and of the store, with what workers and callers saw.

use serde_json::json;
use test_case::test_case;
use verbenahitch::port::{Clock as _, EndKind, SystemClock};
use verbenahitch_standin::history::Outage;

use super::daemons::{Daemons, TASKS, finish, start, submit};
use super::deployment::{Deployment, answer, ended, runs_now, wait_until};

fn shard_of_job(deployment: &Deployment) -> String {
    let status = answer(&deployment.team(2, "job bureau.job"));
    status["shard"].as_str().expect("a shard").to_owned()
}

enum Fault {
    Kill,
    FreezeAndWake,
}

#[test_case("killed", &Fault::Kill; "killed")]
#[test_case("frozen", &Fault::FreezeAndWake; "frozen past its lease and woken")]
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_is_replaced(name: &str, fault: &Fault) {
    let (deployment, mut daemons) = start(name).await;
    submit(&deployment).await;
    deployment.wait_for_run().await;
    let shard = shard_of_job(&deployment);
    let owner = deployment.owner(&shard);
    let process = daemons.schedulers[owner].take().expect("it runs");
    match fault {
        Fault::Kill => drop(process),
        Fault::FreezeAndWake => {
            process.signal("STOP");
            wait_until("another process owns the shard", async || {
                deployment.owner(&shard) != owner
            })
            .await;
            process.signal("CONT");
            daemons.schedulers[owner] = Some(process);
        }
    }
    finish(&deployment, TASKS).await;
    assert_ne!(deployment.owner(&shard), owner);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_dies_while_a_worker_does_not_answer() {
    let (deployment, mut daemons) = start("unheard").await;
    let submit = "submit --key job --profile recalculation --tasks 4 --run-ms 12000";
    assert!(deployment.team(2, submit).status.success());
    deployment.wait_for_run().await;
    let shard = shard_of_job(&deployment);
    let owner = deployment.owner(&shard);
    let histories = deployment.histories().await;
    let busy = histories.iter().find(|worker| runs_now(worker));
    let worker = &busy.expect("a task runs").worker;
    let fault = format!("/workers/{worker}/fault");
    let freeze = json!({"part": "control", "fault": "freeze"});
    deployment.control(&fault, &freeze).await;
    drop(daemons.schedulers[owner].take());
    wait_until("the new owner misses the worker", async || {
        let heir = deployment.owner(&shard);
        heir != owner && deployment.logged(heir, "worker-unreachable", worker) > 0
    })
    .await;
    let thaw = json!({"part": "control", "fault": "thaw"});
    deployment.control(&fault, &thaw).await;
    finish(&deployment, 4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entry_hosts_are_replaced_at_once() {
    let (deployment, mut daemons) = start("replaced").await;
    submit(&deployment).await;
    deployment.wait_for_run().await;
    daemons.kill_all();
    let _replacements = Daemons::start(&deployment);
    deployment.wait_for_owners().await;
    finish(&deployment, TASKS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_store_is_down_while_tasks_run() {
    let (deployment, _daemons) = start("outage").await;
    submit(&deployment).await;
    deployment.wait_for_run().await;
    deployment.control("/store/power", &json!("down")).await;
    let refused = deployment.team(2, "submit --key other --profile recalculation --run-ms 10");
    assert_eq!(refused.status.code(), Some(1), "not accepted in an outage");
    wait_until("running tasks end in the outage", async || {
        ended(&deployment.histories().await, EndKind::Done) > 0
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
    deployment.control("/store/power", &json!("on")).await;
    finish(&deployment, TASKS).await;
    let ran = deployment.histories().await;
    let mut requests = ran.iter().flat_map(|worker| &worker.requests);
    assert!(!requests.any(|request| request.key.as_deref() == Some("outage")));
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_of_the_store_are_lost_after_their_effect() {
    let (deployment, _daemons) = start("lost").await;
    let lose = json!({"fault": "lose", "answers": 15});
    deployment.control("/store/fault", &lose).await;
    submit(&deployment).await;
    finish(&deployment, TASKS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_dies_between_send_and_answer() {
    let (deployment, mut daemons) = start("died").await;
    for worker in deployment.histories().await {
        let path = format!("/workers/{}/fault", worker.worker);
        let slow = json!({"part": "upstream", "fault": "slow", "delay-ms": 1_000});
        deployment.control(&path, &slow).await;
    }
    let charge = |host: usize| {
        let call = deployment.http.post(deployment.url(host, "/pass-charge/1"));
        let call = call.header("idempotency-key", "charge-1");
        call.header("x-request-id", "charge").body("payload").send()
    };
    let first = tokio::spawn(charge(0));
    wait_until("the request is sent", async || {
        deployment.logged(0, "routed", "charge") == 1
    })
    .await;
    drop(daemons.gateways[0].take());
    assert!(first.await.expect("the call ends").is_err());
    let repeated = charge(1).await.expect("an answer");
    assert_eq!(repeated.status(), 409);
    assert!(!repeated.headers().contains_key("verbenahitch-not-run"));
    wait_until("the request has run", async || ran(&deployment).await == 1).await;
    assert_eq!(charge(2).await.expect("an answer").status(), 409);
    assert_eq!(ran(&deployment).await, 1);
    assert_eq!(deployment.violations(Vec::new()).await, []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_is_taken_out_while_it_is_cut_from_the_platform() {
    let (deployment, _daemons) = start("cut").await;
    let clock = SystemClock::default();
    let submit = "submit --key long --profile recalculation --tasks 40 --run-ms 1000";
    for key in ["long", "longer"] {
        let submit = submit.replace("long", key);
        assert!(deployment.team(0, &submit).status.success());
    }
    deployment.wait_for_run().await;
    deployment.control("/zones/b/cut", &json!(null)).await;
    let out = deployment.operate(0, "zone out b");
    let outage = Outage {
        zone: "b".to_owned(),
        from: clock.wall_ms(),
        until: None,
    };
    assert!(out.status.success());
    let confirmed = answer(&out)["in-force"].to_string();
    assert!(
        confirmed.contains("entry-2/scheduler"),
        "peers tell the zone of the change: {confirmed}"
    );
    deployment.wait_until_idle("b").await;
    deployment.control("/zones/mend", &json!(null)).await;
    for job in ["bureau.long", "bureau.longer"] {
        deployment.wait_for_done(0, job, 40).await;
    }
    assert_eq!(ended(&deployment.histories().await, EndKind::Done), 80);
    assert_eq!(deployment.violations(vec![outage]).await, []);
}

/// Times that the upstreams ran the request with the key `charge-1`.
async fn ran(deployment: &Deployment) -> usize {
    let histories = deployment.histories().await;
    let requests = histories.iter().flat_map(|worker| &worker.requests);
    requests
        .filter(|request| request.key.as_deref() == Some("charge-1"))
        .count()
}
