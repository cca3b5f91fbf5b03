//! Confirmation of a change by the other processes.
//!
//! A process counts as having the change in force only when its own record shows
//! the revision. For every other scheduler, the answer gives the time after
//! which its permit to start tasks has lapsed. The time counts from the
//! acceptance of the change, since older evidence renews no permit beyond that.
//! The bound requires that at least one process besides this one has the change,
//! because a permit in a store outage depends on what live processes report.

use std::time::Duration;

use serde::Serialize;

use super::context::ApiContext;
use crate::domain::{Millis, Monotonic};
use crate::membership::{Member, Role};

/// Longest wait for confirmations, in milliseconds.
const CONFIRM_TIMEOUT_MS: Millis = 5_000;

/// Interval of checks of the records, in milliseconds.
const INTERVAL_MS: Millis = 20;

/// Processes that have a revision in force, and those that have not confirmed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Confirmed {
    /// Revision.
    pub(super) revision: u64,
    /// Names of the processes that have it in force.
    pub(super) in_force: Vec<String>,
    /// All other known processes that are not leaving.
    pub(super) not_confirmed: Vec<Unconfirmed>,
}

/// A process that has not confirmed a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Unconfirmed {
    /// Name.
    process: String,
    /// Availability zone.
    zone: String,
    /// Time after which it starts no task unless it gets the change; `None` if unknown.
    starts_stop_in_ms: Option<Millis>,
}

/// Sends the declarations in force to all processes and waits until every live
/// one has confirmed `revision`, which was accepted at `accepted`.
pub(super) async fn wait(context: &ApiContext, revision: u64, accepted: Monotonic) -> Confirmed {
    let handle = context.handle.clone();
    tokio::spawn(async move { handle.announce().await });
    let deadline = context.now() + CONFIRM_TIMEOUT_MS;
    loop {
        let members = context.handle.members();
        let mut live = members.iter().filter(|member| context.is_live(member));
        let all = live.all(|member| member.revision >= revision);
        if all || context.now() >= deadline {
            let stop = accepted + context.permit_ms();
            return summarize(&members, revision, stop.since(context.now()));
        }
        tokio::time::sleep(Duration::from_millis(INTERVAL_MS)).await;
    }
}

/// Splits `members` by whether they have `revision`; permits lapse in `lapse_ms`.
fn summarize(members: &[Member], revision: u64, lapse_ms: Millis) -> Confirmed {
    let (with, without): (Vec<_>, Vec<_>) = members
        .iter()
        .filter(|member| !member.leaving)
        .partition(|member| member.revision >= revision);
    let is_bounded = with.len() > 1;
    let not_confirmed = without.iter().map(|member| Unconfirmed {
        process: member.name.clone(),
        zone: member.zone.clone(),
        starts_stop_in_ms: match member.role {
            Role::Gateway => Some(0),
            Role::Scheduler => is_bounded.then_some(lapse_ms),
        },
    });
    Confirmed {
        revision,
        in_force: with.iter().map(|member| member.name.clone()).collect(),
        not_confirmed: not_confirmed.collect(),
    }
}
