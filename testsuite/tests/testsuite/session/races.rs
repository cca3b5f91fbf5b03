//! Callers, submitters and operators who act at once, and connections that go silent.

use serde_json::json;
use test_case::test_case;
use verbenahitch::port::EndKind;

use super::daemons::{start, submit};
use super::deployment::{Deployment, answer, ended, wait_until};

/// Entry hosts whose gateways are used at once.
const HOSTS: [usize; 3] = [0, 1, 2];

#[tokio::test(flavor = "multi_thread")]
async fn one_submission_through_every_gateway_at_once_runs_once() {
    let (deployment, _daemons) = start("resubmitted").await;
    let keys = 6;
    std::thread::scope(|scope| {
        for key in 0..keys {
            for host in HOSTS {
                let deployment = &deployment;
                scope.spawn(move || {
                    let submit =
                        format!("submit --key k{key} --profile recalculation --run-ms 300");
                    deployment.team(host, &submit)
                });
            }
        }
    });
    for key in 0..keys {
        let submit = format!("submit --key k{key} --profile recalculation --run-ms 300");
        wait_until("a repeat is accepted", async || {
            deployment.team(0, &submit).status.success()
        })
        .await;
        deployment
            .wait_for_done(1, &format!("bureau.k{key}"), 1)
            .await;
    }
    assert_eq!(ended(&deployment.histories().await, EndKind::Done), keys);
    assert_eq!(deployment.violations(Vec::new()).await, []);
}

#[tokio::test(flavor = "multi_thread")]
async fn of_operators_who_race_one_succeeds() {
    let (deployment, _daemons) = start("operators").await;
    let before = answer(&deployment.operate(0, "status"));
    let file = deployment.dir.join("changed.jsonc");
    let fixture = std::fs::read_to_string(super::deployment::fixture("declarations.jsonc"));
    let fixture = fixture.expect("the fixture is there");
    let changed = fixture.replacen("\"worth\": 50", "\"worth\": 60", 1);
    std::fs::write(&file, changed).expect("the folder can be written");
    let apply = format!("apply --from {} {}", before["revision"], file.display());
    let outputs: Vec<_> = std::thread::scope(|scope| {
        let tries = HOSTS.map(|host| {
            let (deployment, apply) = (&deployment, &apply);
            scope.spawn(move || deployment.operate(host, apply))
        });
        tries
            .map(|each| each.join().expect("the command ends"))
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
    let newer = answer(refused)["revision"].as_u64();
    assert_eq!(
        newer,
        before["revision"].as_u64().map(|revision| revision + 1)
    );
}

#[test_case("store"; "store")]
#[test_case("control"; "task interface of the workers")]
#[test_case("upstream"; "upstreams")]
#[tokio::test(flavor = "multi_thread")]
async fn open_connections_that_go_silent_are_replaced(part: &str) {
    let (deployment, _daemons) = start(&format!("silent-{part}")).await;
    submit(&deployment).await;
    deployment.wait_for_run().await;
    call_all(&deployment).await;
    silence(&deployment, part).await;
    call_all(&deployment).await;
    let submit = "submit --key more --profile recalculation --run-ms 100";
    wait_until("another job is accepted", async || {
        deployment.team(1, submit).status.success()
    })
    .await;
    deployment.wait_for_done(0, "bureau.more", 1).await;
    deployment.wait_for_done(2, "bureau.job", 8).await;
    assert_eq!(deployment.violations(Vec::new()).await, []);
}

async fn silence(deployment: &Deployment, part: &str) {
    if part == "store" {
        let silence = json!({"fault": "silence"});
        return deployment.control("/store/fault", &silence).await;
    }
    for history in deployment.histories().await {
        let path = format!("/workers/{}/fault", history.worker);
        let silence = json!({"part": part, "fault": "silence"});
        deployment.control(&path, &silence).await;
    }
}

/// Every gateway serves an idempotent request.
async fn call_all(deployment: &Deployment) {
    for host in HOSTS {
        let url = deployment.url(host, "/price-push/1");
        let served = deployment.http.post(url).send().await.expect("an answer");
        assert!(served.status().is_success(), "answered {}", served.status());
    }
}
