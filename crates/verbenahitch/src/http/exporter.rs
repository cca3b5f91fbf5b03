//! Exporter of the metrics in the Prometheus text format.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use rocket::State;
use rocket::http::ContentType;
use tokio::task::JoinHandle;

use super::limits::Limits;
use super::listener::{ListenError, Listener};

/// Interval of the upkeep of the recorder.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Longest time that a stop waits for a scrape in progress.
const GRACE: Duration = Duration::from_secs(1);

/// Listener that serves `/metrics`.
#[derive(Debug)]
pub struct Exporter {
    listener: Listener,
    upkeep: JoinHandle<()>,
}

/// Installs the metrics recorder of the process; later calls return the same recorder.
pub fn install_recorder() -> PrometheusHandle {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    let handle = RECORDER.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("another metrics recorder is already installed");
        }
        handle
    });
    handle.clone()
}

impl Exporter {
    /// Starts to serve the metrics of this process on `address`.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub async fn start(address: SocketAddr) -> Result<Self, ListenError> {
        let rocket = rocket::build()
            .manage(install_recorder())
            .mount("/", rocket::routes![scrape]);
        let listener = Listener::start("metrics", address, Limits::few(GRACE), rocket).await?;
        let upkeep = tokio::spawn(upkeep());
        Ok(Self { listener, upkeep })
    }

    /// Bound address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops the upkeep and the listener.
    pub async fn stop(self) {
        self.upkeep.abort();
        self.listener.stop().await;
    }
}

/// Merges recorded samples into their distributions at intervals; without scrapes
/// they would otherwise accumulate in memory.
async fn upkeep() {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        install_recorder().run_upkeep();
    }
}

#[rocket::get("/metrics")]
fn scrape(recorder: &State<PrometheusHandle>) -> (ContentType, String) {
    (ContentType::Plain, recorder.render())
}
