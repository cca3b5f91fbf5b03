//! Interface of operators and of teams that submit jobs.
//!
//! It listens on an address of its own. Every call shows a bearer token: an
//! operator's from the settings, or a team's from the declarations. A team may
//! submit, read and cancel its own jobs and nothing else.

mod confirm;
mod error;
mod jobs;
mod office;
mod principal;
mod routes;
mod token;

pub use error::Failure;
pub use office::Office;

use std::net::SocketAddr;
use std::sync::Arc;

use crate::http::{Limits, ListenError, Listener};

/// Longest time that a stop waits for calls in progress, in seconds.
const GRACE_S: u32 = 10;

/// Starts the interface on `address`.
///
/// # Errors
///
/// When the address cannot be listened on.
pub async fn listen(address: SocketAddr, office: Arc<Office>) -> Result<Listener, ListenError> {
    let rocket = rocket::build()
        .manage(office)
        .mount("/v1", routes::routes())
        .register("/", routes::catchers());
    let limits = Limits { grace_s: GRACE_S };
    Listener::start(address, limits, rocket).await
}
