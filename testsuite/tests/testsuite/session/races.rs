//! Concurrent submissions and changes of the declarations, and open connections
//! that stop answering.

use serde_json::json;
use test_case::test_case;
use verbenahitch::port::EndKind;

use super::daemons::{start, submit_job};
use super::deployment::{Deployment, ended_count, json_output, wait_until};

/// Entry hosts whose gateways are used concurrently.
const HOSTS: [usize; 3] = [0, 1, 2];

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_submissions_of_a_job_run_it_once() {
    let (deployment, _daemons) = start("resubmitted").await;
    let keys = 6;
    std::thread::scope(|scope| {
        for key in 0..keys {
            for host in HOSTS {
                let deployment = &deployment;
                scope.spawn(move || {
                    let submit =
                        format!("submit --key k{key} --profile recalculation --run-ms 300");
                    deployment.run_as_team(host, &submit)
                });
            }
        }
    });
    for key in 0..keys {
        let submit = format!("submit --key k{key} --profile recalculation --run-ms 300");
        wait_until("a repeat is accepted", async || {
            deployment.run_as_team(0, &submit).status.success()
        })
        .await;
        deployment
            .wait_for_done(1, &format!("bureau.k{key}"), 1)
            .await;
    }
    assert_eq!(
        ended_count(&deployment.histories().await, EndKind::Done),
        keys
    );
    assert_eq!(deployment.violations(Vec::new()).await, []);
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_several_concurrent_changes_is_accepted() {
    let (deployment, _daemons) = start("operators").await;
    let before = json_output(&deployment.run_as_operator(0, "status"));
    let file = deployment.dir.join("changed.jsonc");
    let fixture = std::fs::read_to_string(super::deployment::fixture_path("declarations.jsonc"));
    let fixture = fixture.expect("the fixture can be read");
    let changed = fixture.replacen("\"worth\": 50", "\"worth\": 60", 1);
    std::fs::write(&file, changed).expect("the temporary folder can be written");
    let apply = format!("apply --from {} {}", before["revision"], file.display());
    let outputs: Vec<_> = std::thread::scope(|scope| {
        let attempts = HOSTS.map(|host| {
            let (deployment, apply) = (&deployment, &apply);
            scope.spawn(move || deployment.run_as_operator(host, apply))
        });
        attempts
            .map(|attempt| attempt.join().expect("the command ends"))
            .into()
    });
    let accepted = outputs
        .iter()
        .filter(|output| output.status.success())
        .count();
    assert_eq!(accepted, 1);
    let refused = outputs.iter().find(|output| !output.status.success());
    let refused = refused.expect("the others are refused");
    assert_eq!(refused.status.code(), Some(1));
    let newer = json_output(refused)["revision"].as_u64();
    assert_eq!(
        newer,
        before["revision"].as_u64().map(|revision| revision + 1)
    );
}

#[test_case("store"; "store")]
#[test_case("control"; "task interface of the workers")]
#[test_case("upstream"; "upstreams")]
#[tokio::test(flavor = "multi_thread")]
async fn open_connections_that_stop_answering_are_replaced(part: &str) {
    let (deployment, _daemons) = start(&format!("silent-{part}")).await;
    submit_job(&deployment).await;
    deployment.wait_for_run().await;
    assert_all_serve(&deployment).await;
    silence_connections(&deployment, part).await;
    assert_all_serve(&deployment).await;
    let submit = "submit --key more --profile recalculation --run-ms 100";
    wait_until("another job is accepted", async || {
        deployment.run_as_team(1, submit).status.success()
    })
    .await;
    deployment.wait_for_done(0, "bureau.more", 1).await;
    deployment.wait_for_done(2, "bureau.job", 8).await;
    assert_eq!(deployment.violations(Vec::new()).await, []);
}

async fn silence_connections(deployment: &Deployment, part: &str) {
    if part == "store" {
        let silence = json!({"fault": "silence"});
        return deployment.post_control("/store/fault", &silence).await;
    }
    for history in deployment.histories().await {
        let path = format!("/workers/{}/fault", history.worker);
        let silence = json!({"part": part, "fault": "silence"});
        deployment.post_control(&path, &silence).await;
    }
}

/// Checks that every gateway serves an idempotent request.
async fn assert_all_serve(deployment: &Deployment) {
    for host in HOSTS {
        let url = deployment.url(host, "/price-push/1");
        let served = deployment.http.post(url).send().await.expect("an answer");
        assert!(served.status().is_success(), "answered {}", served.status());
    }
}
