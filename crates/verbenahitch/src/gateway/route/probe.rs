//! Return of upstreams that said they are leaving.
//!
//! The list of workers lags, so that it may show a leaving upstream as live all
//! the while. An upstream that left has closed its port; one that listens again
//! after that is a new process, and takes requests again.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;

use crate::domain::Millis;

use super::upstream::Upstream;
use crate::gateway::path::{Shared, report};

/// Time between two probes of a leaving upstream, in milliseconds.
const INTERVAL_MS: Millis = 500;
/// Longest time for a probe, in milliseconds.
const PROBE_LIMIT_MS: Millis = 500;

/// Probes leaving upstreams until the gateway ends.
pub async fn follow(shared: Arc<Shared>) {
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
    let limit = Duration::from_millis(PROBE_LIMIT_MS);
    let connect = TcpStream::connect(&upstream.address);
    match tokio::time::timeout(limit, connect).await {
        Ok(Ok(_)) if upstream.note_listening() => report::returned(upstream),
        Ok(Err(_)) => upstream.note_closed(),
        // Silence proves nothing.
        Ok(Ok(_)) | Err(_) => {}
    }
}
