//! Route of the task interface.

use std::sync::Arc;

use rocket::http::Status;
use rocket::serde::json::{Json, Value, json};
use rocket::{Build, Rocket, State, post, routes};
use verbenahitch::port::{SyncReply, SyncRequest};

use super::engine::SyncRefusal;
use super::handle::Inner;

pub(super) fn mount(rocket: Rocket<Build>, inner: Arc<Inner>) -> Rocket<Build> {
    rocket.manage(inner).mount("/v1", routes![sync])
}

#[post("/sync", data = "<request>")]
fn sync(
    request: Json<SyncRequest>,
    worker: &State<Arc<Inner>>,
) -> Result<Json<SyncReply>, (Status, Value)> {
    match worker.sync(&request) {
        Ok(reply) => Ok(Json(reply)),
        Err(SyncRefusal::Stale { epoch }) => Err((Status::Conflict, json!({ "epoch": epoch }))),
        Err(SyncRefusal::Late { clock, life }) => {
            Err((Status::Gone, json!({ "clock": clock, "life": life })))
        }
    }
}
