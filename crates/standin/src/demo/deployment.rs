//! Deployments that the demo can run.

use std::fmt;
use std::path::Path;
use std::str::FromStr;

use snafu::ResultExt;
use verbenahitch::config::Declarations;
use verbenahitch::settings::parse_declarations;

use super::error::{DeclarationsSnafu, DemoError, FixtureSnafu};
use super::traffic::Traffic;
use crate::platform::{Pool, parse_fixture};

/// Deployment that the demo runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Chikugo Shelf Label Pricing Cluster.
    Chikugo,
    /// Kilele Lift Pass Scheduling Annex.
    Kilele,
}

impl Deployment {
    /// Name in arguments, paths and call IDs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Chikugo => "chikugo",
            Self::Kilele => "kilele",
        }
    }

    /// Availability zones of the seven entry hosts.
    pub(super) const fn entry_zones(self) -> [&'static str; 7] {
        match self {
            Self::Chikugo => ["a", "a", "b", "b", "c", "c", "d"],
            Self::Kilele => ["a", "a", "a", "b", "b", "c", "c"],
        }
    }

    pub(super) fn declarations(self) -> Result<Declarations, DemoError> {
        let text = match self {
            Self::Chikugo => include_str!("../../../../examples/chikugo/declarations.jsonc"),
            Self::Kilele => include_str!("../../../../examples/kilele/declarations.jsonc"),
        };
        let file = format!("examples/{}/declarations.jsonc", self.name());
        parse_declarations(&file, text).context(DeclarationsSnafu)
    }

    pub(super) fn pool(self) -> Result<Pool, DemoError> {
        let text = match self {
            Self::Chikugo => include_str!("../../fixtures/chikugo/pool.jsonc"),
            Self::Kilele => include_str!("../../fixtures/kilele/pool.jsonc"),
        };
        parse_fixture(Path::new("pool.jsonc"), text).context(FixtureSnafu)
    }

    pub(super) fn traffic(self) -> Result<Traffic, DemoError> {
        let text = match self {
            Self::Chikugo => include_str!("../../fixtures/chikugo/traffic.jsonc"),
            Self::Kilele => include_str!("../../fixtures/kilele/traffic.jsonc"),
        };
        parse_fixture(Path::new("traffic.jsonc"), text).context(FixtureSnafu)
    }
}

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Chikugo => "Chikugo Shelf Label Pricing Cluster",
            Self::Kilele => "Kilele Lift Pass Scheduling Annex",
        })
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let all = [Self::Chikugo, Self::Kilele];
        let matching = all.into_iter().find(|deployment| deployment.name() == text);
        matching.ok_or_else(|| format!("found {text:?}, expected chikugo or kilele"))
    }
}
