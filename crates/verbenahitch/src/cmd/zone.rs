//! `verbenahitch zone`: takes an availability zone out or brings it back.

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

/// What to do with which zone.
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
    /// Carries the subcommand out.
    pub fn execute(self) -> Exit {
        let (zone, order) = match self.order {
            Order::Out { zone } => (zone, ZoneOrder::Out),
            Order::In { zone } => (zone, ZoneOrder::In),
        };
        self.remote.call(
            |client| async move { client.order_zone(&zone, order).await },
            in_force,
        )
    }
}

/// Where a change is in force, in words.
pub fn in_force(answer: &Value) -> String {
    let confirmed = list(answer, "in-force");
    let mut lines = vec![format!(
        "revision {} is in force in {} processes",
        text(answer, "revision"),
        confirmed.len()
    )];
    for open in list(answer, "not-confirmed") {
        lines.push(format!(
            "not confirmed by {} in zone {}: starts no task after {} ms unless it hears of the change",
            text(open, "process"),
            text(open, "zone"),
            text(open, "starts-stop-in-ms"),
        ));
    }
    lines.join("\n")
}
