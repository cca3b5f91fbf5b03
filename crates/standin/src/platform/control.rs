//! Routes of the control port.

use std::sync::Arc;

use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, get, post, routes};
use serde::Deserialize;
use verbenahitch::port::{HostRecord, HostState};

use super::set::Set;
use crate::fault::{Fault, Faults};
use crate::history::WorkerHistory;
use crate::hosts::Hosts;
use crate::store::{Calls, Limits, Store};
use crate::worker::{Behaviour, Worker};

pub(super) fn mount(rocket: Rocket<Build>, set: Arc<Set>) -> Rocket<Build> {
    let store = routes![store_fault, store_state, store_limits, store_calls];
    let hosts = routes![hosts_fault, hosts_put, hosts_state];
    let workers = routes![worker_fault, worker_behaviour, worker_state, histories];
    rocket
        .manage(set)
        .mount("/store", store)
        .mount("/hosts", hosts)
        .mount("/workers", workers)
        .mount("/zones", routes![cut_zone, mend])
}

/// Whether a stand-in works.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Power {
    /// Works.
    On,
    /// Its port is closed.
    Off,
    /// Answers each call with an error.
    Down,
}

/// Address of a worker.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Part {
    Control,
    Upstream,
}

#[derive(Deserialize)]
struct PartFault {
    /// Address that the fault acts on; both if absent.
    part: Option<Part>,
    #[serde(flatten)]
    fault: Fault,
}

#[derive(Deserialize)]
struct Listed {
    worker: String,
    state: HostState,
}

type Shared = State<Arc<Set>>;

fn store(set: &Set) -> Result<&Store, Status> {
    set.store.as_ref().ok_or(Status::NotFound)
}

fn hosts(set: &Set) -> Result<&Hosts, Status> {
    set.hosts.as_ref().ok_or(Status::NotFound)
}

fn worker<'a>(set: &'a Set, name: &str) -> Result<&'a Worker, Status> {
    set.worker(name).ok_or(Status::NotFound)
}

#[post("/fault", data = "<fault>")]
fn store_fault(fault: Json<Fault>, set: &Shared) -> Result<(), Status> {
    store(set)?.faults().apply(fault.into_inner());
    Ok(())
}

#[post("/power", data = "<power>")]
async fn store_state(power: Json<Power>, set: &Shared) -> Result<(), Status> {
    let store = store(set)?;
    match power.into_inner() {
        Power::On => {
            let resumed = store.resume().await;
            resumed.map_err(|_| Status::InternalServerError)?;
        }
        Power::Off => store.stop(),
        Power::Down => store.set_down(true),
    }
    Ok(())
}

#[post("/limits", data = "<limits>")]
fn store_limits(limits: Json<Limits>, set: &Shared) -> Result<(), Status> {
    store(set)?.set_limits(limits.into_inner());
    Ok(())
}

#[get("/calls")]
fn store_calls(set: &Shared) -> Result<Json<Calls>, Status> {
    Ok(Json(store(set)?.calls()))
}

#[post("/fault", data = "<fault>")]
fn hosts_fault(fault: Json<Fault>, set: &Shared) -> Result<(), Status> {
    hosts(set)?.faults().apply(fault.into_inner());
    Ok(())
}

#[post("/worker", data = "<record>")]
fn hosts_put(record: Json<HostRecord>, set: &Shared) -> Result<(), Status> {
    hosts(set)?.put(record.into_inner());
    Ok(())
}

#[post("/state", data = "<listed>")]
fn hosts_state(listed: Json<Listed>, set: &Shared) -> Result<(), Status> {
    hosts(set)?.set_state(&listed.worker, listed.state);
    Ok(())
}

#[post("/<name>/fault", data = "<fault>")]
fn worker_fault(name: &str, fault: Json<PartFault>, set: &Shared) -> Result<(), Status> {
    let worker = worker(set, name)?;
    let PartFault { part, fault } = fault.into_inner();
    let parts: &[&Faults] = match part {
        Some(Part::Control) => &[worker.control_faults()],
        Some(Part::Upstream) => &[worker.upstream_faults()],
        None => &[worker.control_faults(), worker.upstream_faults()],
    };
    for faults in parts {
        faults.apply(fault.clone());
    }
    Ok(())
}

#[post("/<name>/behaviour", data = "<behaviour>")]
fn worker_behaviour(name: &str, behaviour: Json<Behaviour>, set: &Shared) -> Result<(), Status> {
    worker(set, name)?.behave(|current| *current = behaviour.into_inner());
    Ok(())
}

#[post("/<name>/power", data = "<power>")]
async fn worker_state(name: &str, power: Json<Power>, set: &Shared) -> Result<(), Status> {
    let worker = worker(set, name)?;
    match power.into_inner() {
        Power::On => {
            let resumed = worker.resume().await;
            resumed.map_err(|_| Status::InternalServerError)?;
        }
        Power::Off | Power::Down => worker.crash(),
    }
    Ok(())
}

#[post("/<zone>/cut")]
fn cut_zone(zone: &str, set: &Shared) {
    set.cut_zone(zone);
}

#[post("/mend")]
fn mend(set: &Shared) {
    set.mend();
}

#[get("/history")]
fn histories(set: &Shared) -> Json<Vec<WorkerHistory>> {
    Json(set.histories())
}
