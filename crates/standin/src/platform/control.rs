//! Routes of the control port.

use std::sync::Arc;

use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, get, post, routes};
use serde::Deserialize;
use verbenahitch::port::{HostRecord, HostState};

use super::stand_ins::StandIns;
use crate::fault::{Fault, Faults};
use crate::history::WorkerHistory;
use crate::hosts::Hosts;
use crate::store::{Calls, Limits, Store};
use crate::worker::{Behaviour, Worker};

pub(super) fn mount(rocket: Rocket<Build>, stand_ins: Arc<StandIns>) -> Rocket<Build> {
    let store = routes![store_fault, store_power, store_limits, store_calls];
    let hosts = routes![hosts_fault, hosts_put, hosts_state];
    let workers = routes![worker_fault, worker_behaviour, worker_power, histories];
    rocket
        .manage(stand_ins)
        .mount("/store", store)
        .mount("/hosts", hosts)
        .mount("/workers", workers)
        .mount("/zones", routes![cut_zone, mend])
}

/// Power state of a stand-in.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Power {
    /// Accepts calls.
    On,
    /// Closes its ports.
    Off,
    /// Answers each call with an error; a worker is switched off instead.
    Down,
}

/// Interface of a worker.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Interface {
    Control,
    Upstream,
}

#[derive(Deserialize)]
struct WorkerFault {
    /// Interface that the fault acts on; both if absent.
    part: Option<Interface>,
    #[serde(flatten)]
    fault: Fault,
}

#[derive(Deserialize)]
struct StateChange {
    worker: String,
    state: HostState,
}

type Shared = State<Arc<StandIns>>;

fn store(stand_ins: &StandIns) -> Result<&Store, Status> {
    stand_ins.store.as_ref().ok_or(Status::NotFound)
}

fn hosts(stand_ins: &StandIns) -> Result<&Hosts, Status> {
    stand_ins.hosts.as_ref().ok_or(Status::NotFound)
}

fn worker<'a>(stand_ins: &'a StandIns, name: &str) -> Result<&'a Worker, Status> {
    stand_ins.worker(name).ok_or(Status::NotFound)
}

#[post("/fault", data = "<fault>")]
fn store_fault(fault: Json<Fault>, stand_ins: &Shared) -> Result<(), Status> {
    store(stand_ins)?.faults().apply(fault.into_inner());
    Ok(())
}

#[post("/power", data = "<power>")]
async fn store_power(power: Json<Power>, stand_ins: &Shared) -> Result<(), Status> {
    let store = store(stand_ins)?;
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
fn store_limits(limits: Json<Limits>, stand_ins: &Shared) -> Result<(), Status> {
    store(stand_ins)?.set_limits(limits.into_inner());
    Ok(())
}

#[get("/calls")]
fn store_calls(stand_ins: &Shared) -> Result<Json<Calls>, Status> {
    Ok(Json(store(stand_ins)?.calls()))
}

#[post("/fault", data = "<fault>")]
fn hosts_fault(fault: Json<Fault>, stand_ins: &Shared) -> Result<(), Status> {
    hosts(stand_ins)?.faults().apply(fault.into_inner());
    Ok(())
}

#[post("/worker", data = "<record>")]
fn hosts_put(record: Json<HostRecord>, stand_ins: &Shared) -> Result<(), Status> {
    hosts(stand_ins)?.put(record.into_inner());
    Ok(())
}

#[post("/state", data = "<change>")]
fn hosts_state(change: Json<StateChange>, stand_ins: &Shared) -> Result<(), Status> {
    hosts(stand_ins)?.set_state(&change.worker, change.state);
    Ok(())
}

#[post("/<name>/fault", data = "<fault>")]
fn worker_fault(name: &str, fault: Json<WorkerFault>, stand_ins: &Shared) -> Result<(), Status> {
    let worker = worker(stand_ins, name)?;
    let WorkerFault { part, fault } = fault.into_inner();
    let targets: &[&Faults] = match part {
        Some(Interface::Control) => &[worker.control_faults()],
        Some(Interface::Upstream) => &[worker.upstream_faults()],
        None => &[worker.control_faults(), worker.upstream_faults()],
    };
    for faults in targets {
        faults.apply(fault.clone());
    }
    Ok(())
}

#[post("/<name>/behaviour", data = "<behaviour>")]
fn worker_behaviour(
    name: &str,
    behaviour: Json<Behaviour>,
    stand_ins: &Shared,
) -> Result<(), Status> {
    worker(stand_ins, name)?.behave(|current| *current = behaviour.into_inner());
    Ok(())
}

#[post("/<name>/power", data = "<power>")]
async fn worker_power(name: &str, power: Json<Power>, stand_ins: &Shared) -> Result<(), Status> {
    let worker = worker(stand_ins, name)?;
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
fn cut_zone(zone: &str, stand_ins: &Shared) {
    stand_ins.cut_zone(zone);
}

#[post("/mend")]
fn mend(stand_ins: &Shared) {
    stand_ins.mend();
}

#[get("/history")]
fn histories(stand_ins: &Shared) -> Json<Vec<WorkerHistory>> {
    Json(stand_ins.histories())
}
