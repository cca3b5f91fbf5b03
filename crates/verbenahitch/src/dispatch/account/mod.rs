//! Client accounts: whose jobs they are, what each may have running, and its share when
//! all workers are full.
//!
//! A deployment whose operators declare no accounts is served as one without this module.

use serde::{Deserialize, Serialize};

use super::job::Amount;

/// Limits of a client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Account {
    /// Name.
    pub name: String,
    /// Share relative to the other accounts when all workers are full; also the number of
    /// jobs a second up to which its jobs precede those beyond.
    pub weight: f64,
    /// Maximum of what it may have running on all workers; zero is no limit.
    pub cap: Amount,
}
