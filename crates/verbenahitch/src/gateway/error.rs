//! Errors of the gateway's start.

use std::net::SocketAddr;

use snafu::Snafu;

use crate::http::ListenError;
use crate::peer::PeerError;
use crate::settings::TokenError;

/// Error of the gateway's start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum GatewayError {
    /// The callers' address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {reason}"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause as text.
        reason: String,
    },
    /// A token cannot be used.
    #[snafu(display("{source}"), context(false))]
    Token {
        /// Cause.
        source: TokenError,
    },
    /// The peer interface could not be started.
    #[snafu(display("{source}"), context(false))]
    Peer {
        /// Cause.
        source: PeerError,
    },
}

impl From<ListenError> for GatewayError {
    fn from(error: ListenError) -> Self {
        let ListenError { address, reason } = error;
        Self::Listen { address, reason }
    }
}
