//! Detects the return of upstreams that announced that they are leaving.
//!
//! The list of workers lags, so that it may show a leaving upstream as live
//! throughout. An upstream that has left has closed its port; if the port
//! accepts connections after that, a new process listens there, and it gets
//! requests again.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;

use crate::domain::Millis;

use super::upstream::Upstream;
use crate::gateway::path::{Shared, report};

/// Interval of probes of a leaving upstream, in milliseconds.
const INTERVAL_MS: Millis = 500;
/// Timeout of a probe in milliseconds.
const PROBE_TIMEOUT_MS: Millis = 500;

/// Probes leaving upstreams until the task is aborted.
pub async fn run(shared: Arc<Shared>) {
    let mut tick = tokio::time::interval(Duration::from_millis(INTERVAL_MS));
    loop {
        tick.tick().await;
        let table = shared.table.load_full();
        let leaving = table.upstreams().filter(|upstream| upstream.is_leaving());
        let probes = leaving.map(|upstream| probe(upstream));
        futures::future::join_all(probes).await;
    }
}

async fn probe(upstream: &Upstream) {
    let limit = Duration::from_millis(PROBE_TIMEOUT_MS);
    let connect = TcpStream::connect(&upstream.address);
    match tokio::time::timeout(limit, connect).await {
        Ok(Ok(_)) if upstream.note_listening() => report::returned(upstream),
        Ok(Err(_)) => upstream.note_closed(),
        // An upstream may still finish its requests, and a timeout does not show a closed port.
        Ok(Ok(_)) | Err(_) => {}
    }
}
