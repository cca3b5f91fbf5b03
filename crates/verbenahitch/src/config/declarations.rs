//! The declarations: the document that operators keep in version control and apply.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::domain::{Millis, Profile, Resources, ShardId};

/// Key of the declarations in the store.
pub const DECLARATIONS_KEY: &str = "verbenahitch/declarations";

/// All declarations of the operators, under one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Declarations {
    /// Number of the accepted change; zero before the first.
    #[serde(default)]
    pub revision: u64,
    /// Unique ID of the write that created this revision.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub write_id: String,
    /// Profiles by name.
    #[serde(default)]
    pub profiles: BTreeMap<String, Profile>,
    /// Request kinds by name.
    #[serde(default)]
    pub kinds: BTreeMap<String, Kind>,
    /// Teams by name.
    #[serde(default)]
    pub teams: BTreeMap<String, Team>,
    /// Availability zones by name.
    #[serde(default)]
    pub zones: BTreeMap<String, Zone>,
}

/// A kind of request that callers send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Kind {
    /// Prefix of the request path, such as `/price-push`.
    pub path: String,
    /// Profile that requests of the kind run under.
    pub profile: String,
}

/// A team that submits work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Team {
    /// Resources that the team's running tasks may commit over all availability zones.
    pub quota: Resources,
    /// Hexadecimal SHA-256 digest of the team's bearer token.
    pub token_digest: String,
}

/// Whether an availability zone takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// In service.
    In,
    /// Out of service: starts no tasks and hands its tasks over to other zones.
    Out,
}

/// An availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Zone {
    /// Whether the zone takes work.
    pub state: ZoneState,
    /// Number of shards that its workers are divided into, from 1 to 64.
    #[serde(default = "one")]
    pub shards: u32,
    /// Time over which the workers of a returning zone start to take tasks again, in milliseconds.
    #[serde(default = "default_ramp")]
    pub ramp_ms: Millis,
}

fn one() -> u32 {
    1
}

fn default_ramp() -> Millis {
    30_000
}

/// One fault in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the key, such as `profiles.quote.worth`.
    pub path: String,
    /// What was found and what is allowed.
    pub reason: String,
}

impl Declarations {
    /// Request kind with the longest path that is a prefix of `path`, with its name.
    pub fn kind_of(&self, path: &str) -> Option<(&str, &Kind)> {
        self.kinds
            .iter()
            .filter(|(_, kind)| is_path_prefix(&kind.path, path))
            .max_by_key(|(_, kind)| kind.path.len())
            .map(|(name, kind)| (name.as_str(), kind))
    }

    /// Whether the zone is declared and in service.
    pub fn is_in_service(&self, zone: &str) -> bool {
        self.zones
            .get(zone)
            .is_some_and(|zone| zone.state == ZoneState::In)
    }

    /// All shards of all zones, both in and out of service.
    pub fn shards(&self) -> impl Iterator<Item = ShardId> {
        self.zones.iter().flat_map(|(name, zone)| {
            (0..zone.shards).map(|index| ShardId {
                zone: name.clone(),
                index,
            })
        })
    }

    /// All faults in the document, in the order of its keys.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (name, profile) in &self.profiles {
            self.profile_faults(name, profile, &mut faults);
        }
        for (name, kind) in &self.kinds {
            if !self.profiles.contains_key(&kind.profile) {
                let reason = format!("profile {:?} is not declared", kind.profile);
                push_fault(&mut faults, format!("kinds.{name}.profile"), reason);
            }
            if !kind.path.starts_with('/') {
                let reason = format!("found {:?}, a path starts with /", kind.path);
                push_fault(&mut faults, format!("kinds.{name}.path"), reason);
            }
        }
        for (name, team) in &self.teams {
            let hex = team
                .token_digest
                .bytes()
                .all(|byte| byte.is_ascii_hexdigit());
            if team.token_digest.len() != 64 || !hex {
                let reason = "a SHA-256 digest has 64 hexadecimal digits".to_owned();
                push_fault(&mut faults, format!("teams.{name}.token-digest"), reason);
            }
        }
        for (name, zone) in &self.zones {
            if !(1..=64).contains(&zone.shards) {
                let reason = format!("found {}, allowed are 1 to 64", zone.shards);
                push_fault(&mut faults, format!("zones.{name}.shards"), reason);
            }
        }
        faults
    }

    /// Faults in `next` as the successor of this document.
    ///
    /// A job belongs to its shard permanently, so a shard that may hold jobs must
    /// not be removed.
    pub fn succession_faults(&self, next: &Self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (name, zone) in &self.zones {
            match next.zones.get(name) {
                None => {
                    let reason = "a declared zone is taken out, not left out".to_owned();
                    push_fault(&mut faults, format!("zones.{name}"), reason);
                }
                Some(after) if after.shards < zone.shards => {
                    let reason = format!(
                        "found {}, allowed is at least the {} that may hold jobs",
                        after.shards, zone.shards
                    );
                    push_fault(&mut faults, format!("zones.{name}.shards"), reason);
                }
                Some(_) => {}
            }
        }
        faults
    }

    fn profile_faults(&self, name: &str, profile: &Profile, faults: &mut Vec<Fault>) {
        let mut check = |valid: bool, key: &str, reason: String| {
            if !valid {
                push_fault(faults, format!("profiles.{name}.{key}"), reason);
            }
        };
        check(
            self.teams.contains_key(&profile.team),
            "team",
            format!("team {:?} is not declared", profile.team),
        );
        check(
            (1..=1_000).contains(&profile.worth),
            "worth",
            format!("found {}, allowed are 1 to 1000", profile.worth),
        );
        check(
            profile.target_ms > 0 && profile.target_ms <= profile.deadline_ms,
            "target-ms",
            format!(
                "found {}, allowed are 1 to deadline-ms ({})",
                profile.target_ms, profile.deadline_ms
            ),
        );
        check(
            profile.max_slowdown >= 1.0 && profile.max_slowdown.is_finite(),
            "max-slowdown",
            format!("found {}, allowed is 1.0 or more", profile.max_slowdown),
        );
        check(
            profile.min_share > 0.0 && profile.min_share <= 1.0,
            "min-share",
            format!("found {}, allowed are above 0.0 to 1.0", profile.min_share),
        );
        check(
            (0.0..=1.0).contains(&profile.pressure),
            "pressure",
            format!("found {}, allowed are 0.0 to 1.0", profile.pressure),
        );
        check(
            profile.resources.millicores > 0 && profile.resources.memory_mib > 0,
            "resources",
            "a task needs processors and memory above zero".to_owned(),
        );
    }
}

fn is_path_prefix(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}

fn push_fault(faults: &mut Vec<Fault>, path: String, reason: String) {
    faults.push(Fault { path, reason });
}

/// Hexadecimal SHA-256 digest of a bearer token.
pub fn token_digest(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
