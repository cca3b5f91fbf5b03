//! Exporter of the metrics in the text format of Prometheus.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use rocket::State;
use rocket::http::ContentType;
use tokio::task::JoinHandle;

use super::listener::{Limits, ListenError, Listener};

/// Time between two upkeeps of the recorder.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Longest time that a stop waits for a reading in progress, in seconds.
const GRACE_S: u32 = 1;

/// Listener that serves `/metrics`.
#[derive(Debug)]
pub struct Exporter {
    listener: Listener,
    upkeep: JoinHandle<()>,
}

/// Installs the recorder of the process, once; later calls return the same.
pub fn install() -> PrometheusHandle {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    let handle = RECORDER.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("another recorder of metrics is installed already");
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
            .manage(install())
            .mount("/", rocket::routes![read]);
        let limits = Limits { grace_s: GRACE_S };
        let listener = Listener::start(address, limits, rocket).await?;
        let upkeep = tokio::spawn(upkeep());
        Ok(Self { listener, upkeep })
    }

    /// Address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Ends.
    pub async fn stop(self) {
        self.upkeep.abort();
        self.listener.stop().await;
    }
}

/// Folds recorded samples into their distributions, which would otherwise pile
/// up while nobody reads the metrics.
async fn upkeep() {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        install().run_upkeep();
    }
}

#[rocket::get("/metrics")]
fn read(recorder: &State<PrometheusHandle>) -> (ContentType, String) {
    (ContentType::Plain, recorder.render())
}
