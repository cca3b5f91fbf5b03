//! One session from the first declarations to a graceful stop, compared with a snapshot.

use std::fmt::Write as _;

use serde_json::json;
use verbenahitch::port::EndKind;

use super::deployment::{
    Daemon, Deployment, Process, ended_count, is_busy, json_output, wait_until,
};

const KINDS: [&str; 6] = [
    "/price-push",
    "/label-watch",
    "/discount",
    "/pass-quote",
    "/gate-sync",
    "/pass-charge",
];

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_session() {
    let deployment = Deployment::start("whole", &["a", "b"]);
    let mut gateways = Vec::new();
    let mut schedulers = Vec::new();
    for host in 0..2 {
        schedulers.push(deployment.start_daemon(Daemon::Scheduler, host));
        gateways.push(deployment.start_daemon(Daemon::Gateway, host));
    }
    deployment.apply_declarations().await;
    deployment.wait_for_owners().await;
    let mut golden = String::new();

    serve_each_kind(&deployment, &mut golden).await;
    run_a_job_with_an_eviction(&deployment, &mut golden).await;
    take_a_zone_out_and_back(&deployment, &mut golden).await;
    stop_with_requests_in_progress(&deployment, gateways, &mut golden).await;
    for scheduler in schedulers {
        scheduler.signal("TERM");
        writeln!(golden, "scheduler stopped: {}", scheduler.wait()).unwrap();
    }
    insta::assert_snapshot!(golden);
}

async fn serve_each_kind(deployment: &Deployment, golden: &mut String) {
    wait_until("the gateways serve", async || {
        let mut served = 0;
        for host in 0..2 {
            let call = deployment.http.post(deployment.url(host, "/price-push/1"));
            served += u8::from(call.send().await.is_ok_and(|a| a.status().is_success()));
        }
        served == 2
    })
    .await;
    for (number, kind) in KINDS.iter().enumerate() {
        for key in [None, Some(format!("key-{number}"))] {
            let host = number % 2;
            let request = format!("request-{number}-{}", key.is_some());
            let url = deployment.url(host, &format!("{kind}/{number}"));
            let mut call = deployment.http.post(url).header("x-request-id", &request);
            if let Some(key) = &key {
                call = call.header("idempotency-key", key);
            }
            let reply = call.body("payload").send().await.expect("an answer");
            let echoed = reply.headers().get("x-request-id").cloned();
            assert_eq!(
                echoed.as_ref().map(|id| id.as_bytes()),
                Some(request.as_bytes())
            );
            let keyed = key.is_some();
            writeln!(golden, "{kind} keyed {keyed}: {}", reply.status()).unwrap();
        }
    }
    let unknown = deployment.http.get(deployment.url(0, "/no-such-kind"));
    let status = unknown.send().await.expect("an answer").status();
    writeln!(golden, "unknown kind: {status}").unwrap();
    let repeat = deployment
        .http
        .post(deployment.url(0, "/pass-charge/5"))
        .header("idempotency-key", "key-5");
    let status = repeat
        .body("payload")
        .send()
        .await
        .expect("an answer")
        .status();
    writeln!(golden, "repeated charge at the other gateway: {status}").unwrap();
}

async fn run_a_job_with_an_eviction(deployment: &Deployment, golden: &mut String) {
    let submit = "submit --key overnight --profile recalculation --tasks 6 --run-ms 3000";
    let submitted = deployment.run_as_team(0, submit);
    writeln!(golden, "submitted: {}", submitted.status.success()).unwrap();
    let repeated = json_output(&deployment.run_as_team(1, submit));
    writeln!(golden, "repeat names the same job: {}", repeated["id"]).unwrap();
    let refused = deployment.run_as_team(0, "submit --key unknown --profile nothing --run-ms 1");
    writeln!(
        golden,
        "unknown profile: status {:?}",
        refused.status.code()
    )
    .unwrap();

    let mut worker = String::new();
    wait_until("a task runs", async || {
        let histories = deployment.histories().await;
        let running = histories.iter().find(|history| is_busy(history));
        worker = running.map_or(String::new(), |history| history.worker.clone());
        !worker.is_empty()
    })
    .await;
    let leaving = json!({"worker": worker, "state": "leaving"});
    deployment.post_control("/hosts/state", &leaving).await;
    deployment.wait_for_done(1, "bureau.overnight", 6).await;
    let live = json!({"worker": worker, "state": "live"});
    deployment.post_control("/hosts/state", &live).await;
    let explained = json_output(&deployment.run_as_operator(1, "explain bureau.overnight 0"));
    writeln!(golden, "explained: {explained}").unwrap();
    let shard = json_output(&deployment.run_as_operator(0, "shard a-0"));
    let workers = shard["workers"].as_array().map_or(0, Vec::len);
    writeln!(golden, "shard {}: {workers} workers", shard["shard"]).unwrap();
    let histories = deployment.histories().await;
    let evicted = ended_count(&histories, EndKind::Evicted) > 0;
    writeln!(
        golden,
        "tasks done: {}",
        ended_count(&histories, EndKind::Done)
    )
    .unwrap();
    writeln!(golden, "evicted on the way: {evicted}").unwrap();
}

async fn take_a_zone_out_and_back(deployment: &Deployment, golden: &mut String) {
    let submit = "submit --key long --profile recalculation --tasks 4 --run-ms 4000";
    assert!(deployment.run_as_team(0, submit).status.success());
    let out = json_output(&deployment.run_as_operator(0, "zone out a"));
    let confirmed = out["in-force"].as_array().map_or(0, Vec::len);
    let unconfirmed = out["not-confirmed"].as_array().map_or(0, Vec::len);
    writeln!(
        golden,
        "zone out: confirmed by {confirmed}, open {unconfirmed}"
    )
    .unwrap();
    deployment.wait_for_done(1, "bureau.long", 4).await;
    let back = deployment.run_as_operator(1, "zone in a");
    writeln!(golden, "zone in: {}", back.status.success()).unwrap();
    let after = "submit --key after --profile recalculation --tasks 2 --run-ms 500";
    assert!(deployment.run_as_team(1, after).status.success());
    deployment.wait_for_done(1, "bureau.after", 2).await;
    let histories = deployment.histories().await;
    writeln!(
        golden,
        "tasks done in all: {}",
        ended_count(&histories, EndKind::Done)
    )
    .unwrap();
}

async fn stop_with_requests_in_progress(
    deployment: &Deployment,
    gateways: Vec<Process>,
    golden: &mut String,
) {
    for worker in deployment.histories().await {
        let path = format!("/workers/{}/fault", worker.worker);
        let slow = json!({"part": "upstream", "fault": "slow", "delay-ms": 2_000});
        deployment.post_control(&path, &slow).await;
    }
    let mut calls = Vec::new();
    for number in 0..20 {
        let url = deployment.url(number % 2, "/price-push/stop");
        let call = deployment.http.post(url).body("payload");
        let call = call.header("x-request-id", format!("stop-{number}"));
        calls.push(tokio::spawn(call.send()));
    }
    wait_until("the requests are in progress", async || {
        let routed = (0..2).map(|host| deployment.log_count(host, "routed", "stop-"));
        routed.sum::<usize>() == 20
    })
    .await;
    for gateway in &gateways {
        gateway.signal("TERM");
    }
    let mut served = 0;
    for call in calls {
        let reply = call.await.expect("the call ends");
        served += u8::from(reply.is_ok_and(|reply| reply.status().is_success()));
    }
    writeln!(golden, "served over a planned stop: {served} of 20").unwrap();
    for gateway in gateways {
        writeln!(golden, "gateway stopped: {}", gateway.wait()).unwrap();
    }
}
