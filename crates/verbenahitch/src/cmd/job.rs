//! `verbenahitch job`: how a job stands.

use bpaf::Bpaf;
use serde_json::Value;

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
}

impl Args {
    /// Carries the subcommand out.
    pub fn execute(self) -> Exit {
        let job = self.job;
        self.remote
            .call(|client| async move { client.job(&job).await }, standing)
    }
}

/// How a job stands, in words.
pub fn standing(answer: &Value) -> String {
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
