//! `verbenahitch explain`: why a task runs on its worker, or why it waits.

use bpaf::Bpaf;

use super::Exit;
use super::remote::{Remote, remote, text};

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    remote: Remote,
    /// Job ID, as team.key
    #[bpaf(positional("JOB"))]
    job: String,
    /// Index of the task in its job
    #[bpaf(positional("INDEX"))]
    index: u32,
}

impl Args {
    /// Runs the subcommand.
    pub fn execute(self) -> Exit {
        let (job, index) = (self.job, self.index);
        self.remote.call(
            |client| async move { client.explain(&job, index).await },
            |answer| text(answer, "explained"),
        )
    }
}
