//! Heartbeats, relay and calls between processes over real sockets.

use std::sync::Arc;

use verbenahitch::peer::{OwnedShard, Role};
use verbenahitch::scheduler::{Answer, Request, ShardStatus, SubmitError};

use super::network::{Network, Process, declarations, wait_until};

const HEARTBEAT_MS: u64 = 40;

/// Starts `count` processes, each with only the one before it as a seed.
fn chain(network: &Network, count: u8) -> Vec<Process> {
    let mut processes: Vec<Process> = Vec::new();
    for number in 1..=count {
        let zone = if number % 2 == 0 { "even" } else { "odd" };
        let seeds: Vec<&Process> = processes.last().into_iter().collect();
        let process = network.start(number, zone, Role::Scheduler, &seeds);
        processes.push(process);
    }
    processes
}

async fn wait_until_all_live(processes: &[Process]) {
    for process in processes {
        for other in processes {
            wait_until("all processes are live to each other", || {
                process.sees_live(other)
            })
            .await;
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_discover_each_other_through_relayed_records() {
    let network = Network::new(HEARTBEAT_MS);
    let processes = chain(&network, 5);
    wait_until_all_live(&processes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_with_a_wrong_token_receives_nothing() {
    let network = Network::new(HEARTBEAT_MS);
    let first = network.start(1, "odd", Role::Scheduler, &[]);
    first
        .declarations
        .advance(Arc::new(declarations(3, &["odd"])));
    let rejected = network.start_with(2, "odd", Role::Scheduler, &[&first], "guessed", 1);
    let accepted = network.start(3, "odd", Role::Scheduler, &[&first]);
    wait_until("the accepted process has the declarations", || {
        accepted.revision() == 3
    })
    .await;
    wait_until("the first process sees the accepted one as live", || {
        first.sees_live(&accepted)
    })
    .await;
    assert_eq!(rejected.revision(), 0);
    assert_eq!(first.record_of(&rejected), None);
    assert_eq!(rejected.record_of(&first), None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_for_a_shard_is_answered_by_its_owner() {
    let network = Network::new(HEARTBEAT_MS);
    let mut processes = chain(&network, 3);
    wait_until_all_live(&processes).await;
    let mut owner = processes.remove(2);
    let shard = OwnedShard {
        shard: "odd-0".to_owned(),
        epoch: 7,
        queued: 0,
        running: 0,
    };
    owner.handle.set_shards(vec![shard.clone()]);
    let requester = &processes[0];
    wait_until("the owner is known", || {
        requester
            .record_of(&owner)
            .is_some_and(|m| m.shards == [shard.clone()])
    })
    .await;
    let answer = Answer::Shard(ShardStatus {
        shard: "odd-0".to_owned(),
        owner: owner.name.clone(),
        epoch: 7,
        permitted: true,
        queued: 0,
        running: 0,
        workers: Vec::new(),
        pressures: Vec::new(),
    });
    let sent = answer.clone();
    let serve = tokio::spawn(async move {
        let incoming = owner.requests.recv().await.expect("the request arrives");
        assert!(matches!(incoming.request, Request::Shard));
        incoming.reply.send(sent).expect("the requester waits");
        owner
    });
    assert_eq!(requester.handle.ask("odd-0", Request::Shard).await, answer);
    serve.await.expect("the owner has answered");
    let unknown = requester.handle.ask("odd-1", Request::Shard).await;
    assert!(matches!(
        unknown,
        Answer::Refused(SubmitError::Unavailable { .. })
    ));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_dropped_by_the_shard_owner_has_an_unknown_outcome() {
    let network = Network::new(HEARTBEAT_MS);
    let mut processes = chain(&network, 2);
    wait_until_all_live(&processes).await;
    let mut owner = processes.remove(1);
    let shard = OwnedShard {
        shard: "odd-0".to_owned(),
        epoch: 1,
        queued: 0,
        running: 0,
    };
    owner.handle.set_shards(vec![shard]);
    let requester = &processes[0];
    wait_until("the owner is known", || {
        requester
            .record_of(&owner)
            .is_some_and(|m| !m.shards.is_empty())
    })
    .await;
    let dropping = tokio::spawn(async move {
        drop(owner.requests.recv().await);
        owner
    });
    let answer = requester.handle.ask("odd-0", Request::Shard).await;
    assert!(matches!(
        answer,
        Answer::Refused(SubmitError::Unclear { .. })
    ));
    dropping.await.expect("the owner has dropped the request");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_that_go_silent_are_replaced() {
    let network = Network::new(HEARTBEAT_MS);
    let processes = chain(&network, 4);
    wait_until_all_live(&processes).await;
    network.silence_connections();
    processes[0]
        .declarations
        .advance(Arc::new(declarations(9, &["odd"])));
    for process in &processes {
        wait_until("the revision arrives over new connections", || {
            process.revision() == 9
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_process_replaces_its_earlier_incarnation() {
    let network = Network::new(HEARTBEAT_MS);
    let first = network.start(1, "odd", Role::Scheduler, &[]);
    let earlier = network.start_with(2, "odd", Role::Scheduler, &[&first], "peers-of-the-test", 5);
    wait_until("the earlier incarnation is live", || {
        first.sees_live(&earlier)
    })
    .await;
    let old_address = earlier.handle.address();
    earlier.handle.clone().stop().await;
    // Its incarnation number is lower, as after the wall clock of the host was set back between the
    // two starts.
    let later = network.start_with(2, "odd", Role::Scheduler, &[&first], "peers-of-the-test", 4);
    wait_until(
        "the first process sees the later incarnation at its new address",
        || {
            first
                .record_of(&later)
                .is_some_and(|m| m.address != old_address && m.incarnation > 5 && !m.leaving)
        },
    )
    .await;
}
