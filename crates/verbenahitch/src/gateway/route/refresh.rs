//! Rebuilds the routing table when the list of workers or the declarations change.

use std::sync::Arc;

use tokio::sync::watch;

use crate::config::{CurrentDeclarations, Declarations};
use crate::port::HostRecord;

use crate::gateway::path::Shared;

/// Publishes a table built from `hosts` and `declarations`.
pub fn rebuild(shared: &Shared, hosts: &[HostRecord], declarations: Arc<Declarations>) {
    shared.latency.set_kinds(&declarations);
    let next = shared
        .table
        .load()
        .next(&shared.routing_config(), hosts, declarations);
    shared.table.store(Arc::new(next));
}

/// Rebuilds the table on every change of either source, until one of them ends.
pub async fn follow(
    shared: Arc<Shared>,
    mut hosts: watch::Receiver<Arc<Vec<HostRecord>>>,
    current: CurrentDeclarations,
) {
    let mut revision = current.subscribe();
    loop {
        let list = Arc::clone(&hosts.borrow_and_update());
        rebuild(&shared, &list, current.load());
        let open = tokio::select! {
            changed = hosts.changed() => changed.is_ok(),
            changed = revision.changed() => changed.is_ok(),
        };
        if !open {
            return;
        }
    }
}
