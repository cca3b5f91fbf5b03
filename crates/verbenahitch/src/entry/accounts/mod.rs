//! Who a caller is: client accounts and their keys, and how long this host may use what
//! it has read of them.
//!
//! [`KeyTable`] finds the account of a key, [`check`] finds faults of a declaration,
//! [`InForce`] decides which version is in force, how old its confirmation by the store
//! is, and whether a call is admitted. None of them does I/O or reads a clock.

mod check;
mod in_force;
mod keys;

pub use check::{AccountFault, check};
pub use in_force::{Admission, Declared, Denial, InForce, Offer, Revocation};
pub use keys::{KeyHolder, KeyTable};
