//! `verbenahitch zone`: takes an availability zone out of service or brings it back.

use bpaf::Bpaf;
use serde_json::Value;
use verbenahitch::client::ZoneOrder;

use super::Exit;
use super::remote::{Remote, list, remote, text};

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    remote: Remote,
    #[bpaf(external)]
    order: Order,
}

/// Zone, and whether it is taken out of service or brought back.
#[derive(Clone, Debug, Bpaf)]
pub enum Order {
    /// Take a zone out of service
    #[bpaf(command)]
    Out {
        /// Availability zone
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
    /// Bring a zone back into service
    #[bpaf(command)]
    In {
        /// Availability zone
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
}

impl Args {
    /// Runs the subcommand.
    pub fn execute(self) -> Exit {
        let (zone, order) = match self.order {
            Order::Out { zone } => (zone, ZoneOrder::Out),
            Order::In { zone } => (zone, ZoneOrder::In),
        };
        self.remote.call(
            |client| async move { client.order_zone(&zone, order).await },
            change_summary,
        )
    }
}

/// Processes that have a change in force, and those that have not confirmed it, as text.
pub fn change_summary(answer: &Value) -> String {
    let confirmed = list(answer, "in-force");
    let mut lines = vec![format!(
        "revision {} is in force in {} processes",
        text(answer, "revision"),
        confirmed.len()
    )];
    for process in list(answer, "not-confirmed") {
        lines.push(format!(
            "not confirmed by {} in zone {}: starts no task after {} ms unless it receives the change",
            text(process, "process"),
            text(process, "zone"),
            text(process, "starts-stop-in-ms"),
        ));
    }
    lines.join("\n")
}
