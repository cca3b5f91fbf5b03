//! `verbenahitch cancel`: cancels a job.

use bpaf::Bpaf;

use super::Exit;
use super::job::standing;
use super::remote::{Remote, remote};

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    remote: Remote,
    /// Identity of the job, as team.key
    #[bpaf(positional("JOB"))]
    job: String,
}

impl Args {
    /// Carries the subcommand out.
    pub fn execute(self) -> Exit {
        let job = self.job;
        self.remote
            .call(|client| async move { client.cancel(&job).await }, standing)
    }
}
