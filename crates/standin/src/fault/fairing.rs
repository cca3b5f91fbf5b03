//! Fairing that holds back calls and answers and loses answers to writes.

use std::future::pending;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rocket::fairing::{Fairing, Info, Kind};
use rocket::http::Method;
use rocket::{Data, Request, Response};

use super::Faults;

/// Applies the faults to the calls at one address.
pub struct FaultFairing {
    faults: Faults,
    zone: Option<String>,
}

impl FaultFairing {
    pub(super) fn new(faults: Faults, zone: Option<String>) -> Self {
        Self { faults, zone }
    }
}

#[rocket::async_trait]
impl Fairing for FaultFairing {
    fn info(&self) -> Info {
        Info {
            name: "faults",
            kind: Kind::Request | Kind::Response,
        }
    }

    async fn on_request(&self, request: &mut Request<'_>, _: &mut Data<'_>) {
        if self.faults.record_connection(request.remote()) {
            pending::<()>().await;
        }
        let delay_ms = self.faults.shared.delay_ms.load(Ordering::Relaxed);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        self.faults.wait_until_open(self.zone.as_deref()).await;
    }

    async fn on_response<'r>(&self, request: &'r Request<'_>, _: &mut Response<'r>) {
        let is_write = request.method() != Method::Get;
        if is_write && self.faults.take_loss() {
            pending::<()>().await;
        }
        if self.faults.is_silent(request.remote()) {
            pending::<()>().await;
        }
        // A call that was being carried out when the freeze began is answered after the thaw.
        self.faults.wait_until_open(self.zone.as_deref()).await;
    }
}
