//! `verbenahitch job`: shows the state of a job.

use bpaf::Bpaf;
use serde_json::Value;

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
}

impl Args {
    /// Runs the subcommand.
    pub fn execute(self) -> Exit {
        let job = self.job;
        self.remote
            .call(|client| async move { client.job(&job).await }, job_summary)
    }
}

/// State of a job as one line of text.
pub fn job_summary(answer: &Value) -> String {
    format!(
        "job {} on shard {}: {} tasks, {} running, {} done, {} failed, {} cancelled, {} unknown, {} evictions",
        text(answer, "id"),
        text(answer, "shard"),
        text(answer, "tasks"),
        text(answer, "running"),
        text(answer, "done"),
        text(answer, "failed"),
        text(answer, "cancelled"),
        text(answer, "unknown"),
        text(answer, "evictions"),
    )
}
