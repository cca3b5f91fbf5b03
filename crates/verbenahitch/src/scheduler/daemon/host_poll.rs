//! Reads of the platform's list of workers, each with its time.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::adapter::HostList;
use crate::domain::{Millis, Monotonic};
use crate::port::{Clock, HostRecord};

/// List of workers as the platform returned it.
#[derive(Clone, Debug)]
pub(super) struct HostReading {
    /// When the read began.
    pub(super) read: Monotonic,
    /// Workers of all shards.
    pub(super) hosts: Arc<Vec<HostRecord>>,
}

/// Reads the list every `interval_ms` and publishes each reading, until all receivers are dropped.
pub(super) async fn run(
    list: HostList,
    interval_ms: Millis,
    clock: Arc<dyn Clock>,
    readings: watch::Sender<Option<HostReading>>,
) {
    while !readings.is_closed() {
        let read = clock.now();
        match list.read().await {
            Ok(hosts) => {
                let hosts = Arc::new(hosts);
                readings.send_replace(Some(HostReading { read, hosts }));
            }
            Err(error) => log::warn!("cannot read the list of workers: {error}"),
        }
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}
