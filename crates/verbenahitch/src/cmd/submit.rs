//! `verbenahitch submit`: submits a job.

use bpaf::Bpaf;
use verbenahitch::domain::JobSpec;

use super::Exit;
use super::job::job_summary;
use super::remote::{Remote, remote};

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    remote: Remote,
    /// Key of the submission, chosen by the team; repeating it changes nothing
    #[bpaf(long, argument("KEY"))]
    key: String,
    /// Profile that every task runs under
    #[bpaf(long, argument("PROFILE"))]
    profile: String,
    /// Number of tasks
    #[bpaf(long, argument("COUNT"), fallback(1))]
    tasks: u32,
    /// Declared run time of one task in milliseconds; zero runs until cancelled
    #[bpaf(long, argument("MS"))]
    run_ms: u64,
    /// Payload passed to every task
    #[bpaf(long, argument("TEXT"), fallback(String::new()))]
    payload: String,
}

impl Args {
    /// Runs the subcommand.
    pub fn execute(self) -> Exit {
        let spec = JobSpec {
            profile: self.profile,
            tasks: self.tasks,
            run_ms: self.run_ms,
            payload: self.payload,
        };
        let key = self.key;
        self.remote.call(
            |client| async move { client.submit(&key, &spec).await },
            job_summary,
        )
    }
}
