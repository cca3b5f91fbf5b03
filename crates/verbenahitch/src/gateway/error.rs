//! Why the gateway could not start.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why the gateway could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum GatewayError {
    /// The callers' address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {reason}"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
}
