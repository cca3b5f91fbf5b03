//! HTTP interface for operators and for teams that submit jobs.
//!
//! It has its own listener. Every call carries a bearer token: an operator's
//! from the settings, or a team's from the declarations. A team may submit,
//! read and cancel its own jobs and nothing else.

mod confirm;
mod context;
mod error;
mod jobs;
mod principal;
mod routes;
mod token;

pub use context::ApiContext;
pub use error::ApiError;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::http::{Limits, ListenError, Listener};

/// Longest wait for calls in progress at a stop.
const GRACE: Duration = Duration::from_secs(10);

/// Starts the interface on `address`.
///
/// # Errors
///
/// When the address cannot be listened on.
pub async fn listen(
    address: SocketAddr,
    context: Arc<ApiContext>,
) -> Result<Listener, ListenError> {
    let limits = Limits {
        connections: context.settings.gateway.connections,
        memory: context.settings.gateway.memory_limit,
        ..Limits::few(GRACE)
    };
    let rocket = rocket::build()
        .manage(context)
        .mount("/v1", routes::routes())
        .register("/", routes::catchers());
    Listener::start("operators", address, limits, rocket).await
}
