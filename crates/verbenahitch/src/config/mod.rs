//! Declarations of the operators: profiles, request kinds, teams and
//! availability zones, ordered by one revision.

mod current;
mod declarations;
mod diff;

pub use current::Current;
pub use declarations::{
    DECLARATIONS_KEY, Declarations, Fault, Kind, Team, Zone, ZoneState, token_digest,
};
pub use diff::{Change, diff};
