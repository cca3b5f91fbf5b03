//! Several addresses for one service: on a loopback network, the address that a
//! caller uses identifies its availability zone.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::{Build, Rocket};

use super::{Mount, Server, StartError};
use crate::fault::Faults;

/// Mounts routes, state and fairings for the callers of a zone; `None` for the shared address.
pub type ZoneMount = dyn Fn(Rocket<Build>, Option<&str>) -> Rocket<Build> + Send + Sync;

/// Addresses of one service.
pub struct Endpoints {
    shared: Server,
    zones: Vec<(String, Server)>,
}

impl Endpoints {
    /// Opens `address` for all callers, and another port for each of `zones`.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        zones: &[String],
        faults: &Faults,
        mount: Arc<ZoneMount>,
    ) -> Result<Self, StartError> {
        let shared = open(address, None, faults, &mount).await?;
        let mut zone_servers = Vec::new();
        for zone in zones {
            let free = SocketAddr::new(address.ip(), 0);
            let server = open(free, Some(zone), faults, &mount).await?;
            zone_servers.push((zone.clone(), server));
        }
        Ok(Self {
            shared,
            zones: zone_servers,
        })
    }

    /// Address for the callers of `zone`; the shared address for a zone without its own.
    pub fn address(&self, zone: Option<&str>) -> SocketAddr {
        let is_own = |(name, _): &&(String, Server)| Some(name.as_str()) == zone;
        let server = self.zones.iter().find(is_own);
        server.map_or(&self.shared, |(_, server)| server).address()
    }

    /// Closes all ports and connections.
    pub fn stop(&self) {
        for server in self.servers() {
            server.stop();
        }
    }

    /// Opens all ports again.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn resume(&self) -> Result<(), StartError> {
        for server in self.servers() {
            server.resume().await?;
        }
        Ok(())
    }

    fn servers(&self) -> impl Iterator<Item = &Server> {
        let zones = self.zones.iter().map(|(_, server)| server);
        std::iter::once(&self.shared).chain(zones)
    }
}

async fn open(
    address: SocketAddr,
    zone: Option<&str>,
    faults: &Faults,
    mount: &Arc<ZoneMount>,
) -> Result<Server, StartError> {
    let faults = faults.clone();
    let zone = zone.map(str::to_owned);
    let zone_mount = Arc::clone(mount);
    let mount: Arc<Mount> = Arc::new(move |rocket| {
        let fairing = faults.fairing(zone.as_deref());
        zone_mount(rocket, zone.as_deref()).attach(fairing)
    });
    Server::start(address, mount).await
}
