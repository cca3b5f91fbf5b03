//! Route of the worker list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, get, routes};
use serde::Serialize;
use verbenahitch::port::{HostRecord, HostState};

use super::handle::Inner;

/// Availability zone of the callers of one address; `None` for the shared address.
struct CallerZone(Option<String>);

pub(super) fn mount(rocket: Rocket<Build>, inner: Arc<Inner>, zone: Option<&str>) -> Rocket<Build> {
    let zone = CallerZone(zone.map(str::to_owned));
    rocket
        .manage(inner)
        .manage(zone)
        .mount("/v1/health", routes![service])
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireHost {
    node: WireNode,
    service: WireService,
    checks: Vec<WireCheck>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireNode {
    node: String,
    address: String,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireService {
    service: String,
    port: u16,
    meta: BTreeMap<&'static str, String>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireCheck {
    #[serde(rename = "CheckID")]
    check_id: &'static str,
    status: &'static str,
}

#[get("/service/<name>")]
fn service(name: &str, hosts: &State<Arc<Inner>>, zone: &State<CallerZone>) -> Json<Vec<WireHost>> {
    if name != hosts.settings.service {
        return Json(Vec::new());
    }
    let visible = hosts.visible(zone.0.as_deref());
    let listed = visible.iter().filter_map(|record| wire_host(name, record));
    Json(listed.collect())
}

fn wire_host(service: &str, record: &HostRecord) -> Option<WireHost> {
    let upstream: SocketAddr = record.upstream.parse().ok()?;
    let control: SocketAddr = record.control.parse().ok()?;
    let meta = BTreeMap::from([
        ("zone", record.zone.clone()),
        ("rack", record.rack.clone()),
        ("control-port", control.port().to_string()),
        ("slots", record.slots.to_string()),
        ("millicores", record.capacity.millicores.to_string()),
        ("memory-mib", record.capacity.memory_mib.to_string()),
        ("accelerators", record.capacity.accelerators.to_string()),
    ]);
    Some(WireHost {
        node: WireNode {
            node: record.name.clone(),
            address: upstream.ip().to_string(),
        },
        service: WireService {
            service: service.to_owned(),
            port: upstream.port(),
            meta,
        },
        checks: checks(record.state),
    })
}

fn checks(state: HostState) -> Vec<WireCheck> {
    let passing = WireCheck {
        check_id: "serfHealth",
        status: "passing",
    };
    match state {
        HostState::Live => vec![passing],
        HostState::Leaving => vec![
            passing,
            WireCheck {
                check_id: "_node_maintenance",
                status: "critical",
            },
        ],
        HostState::Dead => vec![WireCheck {
            check_id: "serfHealth",
            status: "critical",
        }],
    }
}
