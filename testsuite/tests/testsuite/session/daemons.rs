//! Daemons of three entry hosts, and a job submitted to them.

use verbenahitch::port::EndKind;

use super::deployment::{Daemon, Deployment, Process, ended_count, wait_until};

/// Zone of each entry host.
const ZONES: [&str; 3] = ["a", "a", "b"];

pub(super) const TASKS: usize = 8;

pub(super) struct Daemons {
    pub(super) gateways: Vec<Option<Process>>,
    pub(super) schedulers: Vec<Option<Process>>,
}

impl Daemons {
    pub(super) fn start(deployment: &Deployment) -> Self {
        let run =
            |daemon| (0..ZONES.len()).map(move |host| Some(deployment.start_daemon(daemon, host)));
        Self {
            schedulers: run(Daemon::Scheduler).collect(),
            gateways: run(Daemon::Gateway).collect(),
        }
    }

    pub(super) fn kill_all(&mut self) {
        for process in self.gateways.iter_mut().chain(&mut self.schedulers) {
            drop(process.take());
        }
    }
}

pub(super) async fn start(name: &str) -> (Deployment, Daemons) {
    let deployment = Deployment::start(name, &ZONES);
    let daemons = Daemons::start(&deployment);
    deployment.apply_declarations().await;
    deployment.wait_for_owners().await;
    (deployment, daemons)
}

pub(super) async fn submit_job(deployment: &Deployment) {
    let submit = format!("submit --key job --profile recalculation --tasks {TASKS} --run-ms 2500");
    wait_until("the job is accepted", async || {
        deployment.run_as_team(2, &submit).status.success()
    })
    .await;
}

/// Waits until the job is done; checks that each task ran to its end exactly once and that the
/// workers' histories violate no guarantee.
pub(super) async fn wait_for_job(deployment: &Deployment, tasks: usize) {
    let count = u64::try_from(tasks).expect("few tasks");
    deployment.wait_for_done(2, "bureau.job", count).await;
    let done = ended_count(&deployment.histories().await, EndKind::Done);
    assert_eq!(done, tasks, "number of runs that ended as done");
    assert_eq!(deployment.violations(Vec::new()).await, []);
}
