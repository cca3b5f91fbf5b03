//! Errors of the peer interface.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why the peer interface could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum PeerError {
    /// The address cannot be listened on.
    #[snafu(display("peer interface cannot listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The thread or its runtime cannot be started.
    #[snafu(display("peer thread cannot be started: {source}"))]
    Thread {
        /// Cause.
        source: std::io::Error,
    },
}

/// Why a call to another process failed.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum CallError {
    /// The call was not sent.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Why.
        reason: String,
    },
    /// The call was sent and may have taken effect.
    #[snafu(display("no answer: {reason}"))]
    Unanswered {
        /// Why.
        reason: String,
    },
}
