//! Checks of declared client accounts.
//!
//! Load pattern: an operator's mistake in a document that all hosts follow within a
//! moment. A document with a fault does not come into force.

use snafu::Snafu;

use crate::collections::{HashMap, HashSet};
use crate::port::{KeyDigest, KeyedAccount};

/// Fault of declared client accounts. It names accounts, never a key.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum AccountFault {
    /// An account has no name.
    #[snafu(display("an account has no name"))]
    Unnamed,
    /// Two accounts have one name.
    #[snafu(display("two accounts are named `{name}`"))]
    Repeated {
        /// Name.
        name: String,
    },
    /// The weight gives no share.
    #[snafu(display("the weight of account `{name}` is {weight}, not a number above 0"))]
    Weight {
        /// Account.
        name: String,
        /// Weight.
        weight: f64,
    },
    /// A key is empty.
    #[snafu(display("a key of account `{name}` is empty"))]
    EmptyKey {
        /// Account.
        name: String,
    },
    /// Two accounts have one key.
    #[snafu(display("accounts `{first}` and `{second}` have a key in common"))]
    SharedKey {
        /// Account that is declared first.
        first: String,
        /// The other account.
        second: String,
    },
}

/// Checks declared accounts.
///
/// # Errors
///
/// The first fault found.
pub fn check(accounts: &[KeyedAccount]) -> Result<(), AccountFault> {
    let empty = KeyDigest::new("");
    let mut names = HashSet::default();
    let mut holders: HashMap<KeyDigest, &str> = HashMap::default();
    for KeyedAccount { account, keys } in accounts {
        let name = account.name.as_str();
        if name.is_empty() {
            return UnnamedSnafu.fail();
        }
        if !names.insert(name) {
            return RepeatedSnafu { name }.fail();
        }
        let weight = account.weight;
        if !weight.is_finite() || weight <= 0.0 {
            return WeightSnafu { name, weight }.fail();
        }
        for key in keys {
            if *key == empty {
                return EmptyKeySnafu { name }.fail();
            }
            if let Some(first) = holders.insert(*key, name)
                && first != name
            {
                return SharedKeySnafu {
                    first,
                    second: name,
                }
                .fail();
            }
        }
    }
    Ok(())
}
