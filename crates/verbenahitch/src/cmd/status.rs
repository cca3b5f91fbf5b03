//! `verbenahitch status`: shows processes, shards and workers.

use bpaf::Bpaf;
use serde_json::Value;

use super::Exit;
use super::remote::{Remote, list, remote, text};

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    remote: Remote,
}

impl Args {
    /// Runs the subcommand.
    pub fn execute(self) -> Exit {
        self.remote
            .call(|client| async move { client.status().await }, summary)
    }
}

fn summary(answer: &Value) -> String {
    let mut lines = vec![format!("revision {}", text(answer, "revision"))];
    for member in list(answer, "members") {
        lines.push(format!(
            "process {} zone {} revision {} last heartbeat {} ms ago",
            text(member, "name"),
            text(member, "zone"),
            text(member, "revision"),
            text(member, "age-ms"),
        ));
    }
    for shard in list(answer, "shards") {
        lines.push(format!(
            "shard {} epoch {} queued {} running {}",
            text(shard, "shard"),
            text(shard, "epoch"),
            text(shard, "queued"),
            text(shard, "running"),
        ));
    }
    lines.join("\n")
}
