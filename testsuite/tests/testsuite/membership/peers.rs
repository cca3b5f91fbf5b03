//! Heartbeats, relay and calls between processes over real sockets.

use std::sync::Arc;

use verbenahitch::peer::{OwnedShard, Role};
use verbenahitch::scheduler::{Answer, Request, ShardStatus, SubmitError};

use super::network::{Network, Process, declarations, until};

const HEARTBEAT_MS: u64 = 40;

/// A chain: each process knows only the one before it.
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

async fn acquainted(processes: &[Process]) {
    for process in processes {
        for other in processes {
            until("all processes hear each other", || process.hears(other)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_learn_of_each_other_through_others() {
    let network = Network::new(HEARTBEAT_MS);
    let processes = chain(&network, 5);
    acquainted(&processes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_with_another_token_learns_nothing() {
    let network = Network::new(HEARTBEAT_MS);
    let first = network.start(1, "odd", Role::Scheduler, &[]);
    first.current.advance(Arc::new(declarations(3, &["odd"])));
    let stranger = network.start_with(2, "odd", Role::Scheduler, &[&first], "guessed", 1);
    let friend = network.start(3, "odd", Role::Scheduler, &[&first]);
    until("the friend has the declarations", || friend.revision() == 3).await;
    until("both hear each other", || first.hears(&friend)).await;
    assert_eq!(stranger.revision(), 0);
    assert_eq!(first.sees(&stranger), None);
    assert_eq!(stranger.sees(&first), None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_answers_what_it_is_asked() {
    let network = Network::new(HEARTBEAT_MS);
    let mut processes = chain(&network, 3);
    acquainted(&processes).await;
    let mut owner = processes.remove(2);
    let shard = OwnedShard {
        shard: "odd-0".to_owned(),
        epoch: 7,
        queued: 0,
        running: 0,
    };
    owner.handle.set_shards(vec![shard.clone()]);
    let asker = &processes[0];
    until("the owner is known", || {
        asker
            .sees(&owner)
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
    let answering = answer.clone();
    let serve = tokio::spawn(async move {
        let incoming = owner.requests.recv().await.expect("a request arrives");
        assert!(matches!(incoming.request, Request::Shard));
        incoming.reply.send(answering).expect("somebody waits");
        owner
    });
    assert_eq!(asker.handle.ask("odd-0", Request::Shard).await, answer);
    serve.await.expect("the owner has answered");
    let unknown = asker.handle.ask("odd-1", Request::Shard).await;
    assert!(matches!(
        unknown,
        Answer::Refused(SubmitError::Unavailable { .. })
    ));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_drops_the_request_leaves_it_unclear() {
    let network = Network::new(HEARTBEAT_MS);
    let mut processes = chain(&network, 2);
    acquainted(&processes).await;
    let mut owner = processes.remove(1);
    let shard = OwnedShard {
        shard: "odd-0".to_owned(),
        epoch: 1,
        queued: 0,
        running: 0,
    };
    owner.handle.set_shards(vec![shard]);
    let asker = &processes[0];
    until("the owner is known", || {
        asker.sees(&owner).is_some_and(|m| !m.shards.is_empty())
    })
    .await;
    let drop = tokio::spawn(async move {
        drop(owner.requests.recv().await);
        owner
    });
    let answer = asker.handle.ask("odd-0", Request::Shard).await;
    assert!(matches!(
        answer,
        Answer::Refused(SubmitError::Unclear { .. })
    ));
    drop.await.expect("the owner has dropped the request");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_that_go_silent_are_replaced() {
    let network = Network::new(HEARTBEAT_MS);
    let processes = chain(&network, 4);
    acquainted(&processes).await;
    network.silence_open();
    processes[0]
        .current
        .advance(Arc::new(declarations(9, &["odd"])));
    for process in &processes {
        until("the revision arrives over new connections", || {
            process.revision() == 9
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_process_replaces_its_earlier_self() {
    let network = Network::new(HEARTBEAT_MS);
    let first = network.start(1, "odd", Role::Scheduler, &[]);
    let earlier = network.start_with(2, "odd", Role::Scheduler, &[&first], "peers-of-the-test", 5);
    until("the earlier process is heard", || first.hears(&earlier)).await;
    let old = earlier.handle.address();
    earlier.handle.clone().stop().await;
    // The wall clock of the host was set back between the two starts.
    let later = network.start_with(2, "odd", Role::Scheduler, &[&first], "peers-of-the-test", 4);
    until("the later process is heard at its address", || {
        first
            .sees(&later)
            .is_some_and(|m| m.address != old && m.incarnation > 5 && !m.leaving)
    })
    .await;
}
