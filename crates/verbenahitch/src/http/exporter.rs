//! Exporter of the metrics in the text format of Prometheus.

use std::net::SocketAddr;
use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use rocket::State;
use rocket::http::ContentType;

use super::listener::{Limits, ListenError, Listener};

/// Longest time that a stop waits for a reading in progress, in seconds.
const GRACE_S: u32 = 1;

/// Listener that serves `/metrics`.
#[derive(Debug)]
pub struct Exporter {
    listener: Listener,
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
        Ok(Self { listener })
    }

    /// Address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Ends.
    pub async fn stop(self) {
        self.listener.stop().await;
    }
}

#[rocket::get("/metrics")]
fn read(recorder: &State<PrometheusHandle>) -> (ContentType, String) {
    recorder.run_upkeep();
    (ContentType::Plain, recorder.render())
}
