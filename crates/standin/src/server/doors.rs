//! One service behind several addresses, so that it can tell its callers'
//! availability zones apart on a loopback network.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::{Build, Rocket};

use super::{Mount, Server, StartError};
use crate::fault::Faults;

/// Mounts routes, state and fairings for the callers of a zone, or for all.
pub type ZoneMount = dyn Fn(Rocket<Build>, Option<&str>) -> Rocket<Build> + Send + Sync;

/// Addresses of one service.
pub struct Doors {
    common: Server,
    zones: Vec<(String, Server)>,
}

impl Doors {
    /// Opens `address` for all callers, and a further port for each of `zones`.
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
        let common = open(address, None, faults, &mount).await?;
        let mut doors = Vec::new();
        for zone in zones {
            let free = SocketAddr::new(address.ip(), 0);
            let server = open(free, Some(zone), faults, &mount).await?;
            doors.push((zone.clone(), server));
        }
        Ok(Self {
            common,
            zones: doors,
        })
    }

    /// Address for the callers of `zone`, the common one if it has none of its own.
    pub fn address(&self, zone: Option<&str>) -> SocketAddr {
        let own = |(name, _): &&(String, Server)| Some(name.as_str()) == zone;
        let server = self.zones.iter().find(own);
        server.map_or(&self.common, |(_, server)| server).address()
    }

    /// Closes all addresses and cuts all connections.
    pub fn stop(&self) {
        for server in self.servers() {
            server.stop();
        }
    }

    /// Opens all addresses again.
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
        std::iter::once(&self.common).chain(zones)
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
    let inner = Arc::clone(mount);
    let mount: Arc<Mount> = Arc::new(move |rocket| {
        let door = faults.door(zone.as_deref());
        inner(rocket, zone.as_deref()).attach(door)
    });
    Server::start(address, mount).await
}
