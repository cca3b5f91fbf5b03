//! Where a change is in force.
//!
//! The answer never claims more than was heard: a process counts only once its
//! own record shows the revision. For the others it tells when their permits to
//! start tasks lapse, counted from the moment at which the change was accepted,
//! since no evidence that is older renews a permit for longer. That bound needs
//! one more process beside this one that has the change, because the evidence
//! of an outage rests on the word of the processes that are heard.

use std::time::Duration;

use serde::Serialize;

use super::office::Office;
use crate::domain::{Millis, Monotonic};
use crate::membership::{Member, Role};

/// Longest wait for confirmations, in milliseconds.
const WAIT_MS: Millis = 5_000;

/// Time between two looks at the records, in milliseconds.
const INTERVAL_MS: Millis = 20;

/// Where a revision is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Confirmed {
    /// Revision.
    pub(super) revision: u64,
    /// Names of the processes that have it in force.
    pub(super) in_force: Vec<String>,
    /// All others that are remembered.
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
    /// Time after which it starts no task unless it hears of the change; `None` if unknown.
    starts_stop_in_ms: Option<Millis>,
}

/// Hands the declarations in force to all and waits until every process that is
/// heard has confirmed `revision`, which was accepted at `accepted`.
pub(super) async fn wait(office: &Office, revision: u64, accepted: Monotonic) -> Confirmed {
    let handle = office.handle.clone();
    tokio::spawn(async move { handle.announce().await });
    let deadline = office.now() + WAIT_MS;
    loop {
        let members = office.handle.members();
        let mut live = members.iter().filter(|member| office.is_live(member));
        let all = live.all(|member| member.revision >= revision);
        if all || office.now() >= deadline {
            let stop = accepted + office.permit_ms();
            return judge(&members, revision, stop.since(office.now()));
        }
        tokio::time::sleep(Duration::from_millis(INTERVAL_MS)).await;
    }
}

/// Divides `members` by whether they have `revision`; permits lapse in `lapse_ms`.
fn judge(members: &[Member], revision: u64, lapse_ms: Millis) -> Confirmed {
    let (with, without): (Vec<_>, Vec<_>) = members
        .iter()
        .filter(|member| !member.leaving)
        .partition(|member| member.revision >= revision);
    let bound = with.len() > 1;
    let not_confirmed = without.iter().map(|member| Unconfirmed {
        process: member.name.clone(),
        zone: member.zone.clone(),
        starts_stop_in_ms: match member.role {
            Role::Gateway => Some(0),
            Role::Scheduler => bound.then_some(lapse_ms),
        },
    });
    Confirmed {
        revision,
        in_force: with.iter().map(|member| member.name.clone()).collect(),
        not_confirmed: not_confirmed.collect(),
    }
}
