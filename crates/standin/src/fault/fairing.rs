//! Fairing that holds calls back and loses answers.

use std::future::pending;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rocket::fairing::{Fairing, Info, Kind};
use rocket::http::Method;
use rocket::{Data, Request, Response};

use super::Faults;

/// The faults as the callers of one address see them.
pub struct Door {
    faults: Faults,
    zone: Option<String>,
}

impl Door {
    pub(super) fn new(faults: Faults, zone: Option<String>) -> Self {
        Self { faults, zone }
    }
}

#[rocket::async_trait]
impl Fairing for Door {
    fn info(&self) -> Info {
        Info {
            name: "faults",
            kind: Kind::Request | Kind::Response,
        }
    }

    async fn on_request(&self, request: &mut Request<'_>, _: &mut Data<'_>) {
        if self.faults.note(request.remote()) {
            pending::<()>().await;
        }
        let delay_ms = self.faults.shared.delay_ms.load(Ordering::Relaxed);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        self.faults.pass(self.zone.as_deref()).await;
    }

    async fn on_response<'r>(&self, request: &'r Request<'_>, _: &mut Response<'r>) {
        let write = request.method() != Method::Get;
        if write && self.faults.take_loss() {
            pending::<()>().await;
        }
        if self.faults.is_silent(request.remote()) {
            pending::<()>().await;
        }
        // A process that is frozen while it works answers after it has thawed.
        self.faults.pass(self.zone.as_deref()).await;
    }
}
