//! `verbenahitch explain`: why a task is where it is.

use bpaf::Bpaf;

use super::Exit;
use super::remote::{Remote, remote, text};

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    remote: Remote,
    /// Identity of the job, as team.key
    #[bpaf(positional("JOB"))]
    job: String,
    /// Index of the task in its job
    #[bpaf(positional("INDEX"))]
    index: u32,
}

impl Args {
    /// Carries the subcommand out.
    pub fn execute(self) -> Exit {
        let (job, index) = (self.job, self.index);
        self.remote.call(
            |client| async move { client.explain(&job, index).await },
            |answer| text(answer, "explained"),
        )
    }
}
