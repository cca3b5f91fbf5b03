//! `verbenahitch shard`: shows the workers of a shard and the interference between profiles.

use bpaf::Bpaf;
use serde_json::Value;

use super::Exit;
use super::remote::{Remote, list, remote, text};

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    remote: Remote,
    /// Shard, as zone-index
    #[bpaf(positional("SHARD"))]
    shard: String,
}

impl Args {
    /// Runs the subcommand.
    pub fn execute(self) -> Exit {
        let shard = self.shard;
        self.remote
            .call(|client| async move { client.shard(&shard).await }, summary)
    }
}

fn summary(answer: &Value) -> String {
    let mut lines = vec![format!(
        "shard {} owned by {} in epoch {}: {} queued, {} running, may start tasks: {}",
        text(answer, "shard"),
        text(answer, "owner"),
        text(answer, "epoch"),
        text(answer, "queued"),
        text(answer, "running"),
        text(answer, "permitted"),
    )];
    for worker in list(answer, "workers") {
        lines.push(format!(
            "worker {} {}: {} running, {}% committed",
            text(worker, "name"),
            text(worker, "state"),
            text(worker, "running"),
            text(worker, "committed-percent"),
        ));
    }
    for pressure in list(answer, "pressures") {
        lines.push(format!(
            "{} takes {}% of its baseline latency next to {}",
            text(pressure, "victim"),
            text(pressure, "slowdown-percent"),
            text(pressure, "source"),
        ));
    }
    lines.join("\n")
}
