//! Declarations of the operators: profiles, request kinds, teams and
//! availability zones, under one revision number that grows with each change.

mod adopt;
pub mod change;
mod current;
mod declarations;
mod diff;
mod permit;
pub mod watch;

pub use adopt::{adopt, adopt_text};
pub use current::CurrentDeclarations;
pub use declarations::{
    DECLARATIONS_KEY, Declarations, Fault, Kind, Team, Zone, ZoneState, token_digest,
};
pub use diff::{Change, diff};
pub use permit::{Permit, Proof, ProofSource};
