//! `verbenahitch cancel`: cancels a job.

use bpaf::Bpaf;

use super::Exit;
use super::job::job_summary;
use super::remote::{Remote, remote};

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    remote: Remote,
    /// Job ID, as team.key
    #[bpaf(positional("JOB"))]
    job: String,
}

impl Args {
    /// Runs the subcommand.
    pub fn execute(self) -> Exit {
        let job = self.job;
        self.remote.call(
            |client| async move { client.cancel(&job).await },
            job_summary,
        )
    }
}
