//! Keys, locks, watches, transactions and limits of the store stand-in.

use std::sync::Arc;

use test_case::test_case;
use verbenahitch::adapter::Store as Client;
use verbenahitch::port::{ManualClock, Op, StoreError, TxnOutcome};
use verbenahitch_standin::store::{Limits, Settings, Store};

const TIMEOUT_MS: u64 = 5_000;
const TTL_MS: u64 = 10_000;

async fn start() -> (Store, Client) {
    let any_port = "127.0.0.1:0".parse().unwrap();
    let store = Store::start(any_port, Settings::default()).await.unwrap();
    let client = Client::new(&store.address().to_string(), TIMEOUT_MS);
    (store, client)
}

async fn start_with(clock: &Arc<ManualClock>, settings: Settings) -> (Store, Client) {
    let any_port = "127.0.0.1:0".parse().unwrap();
    let clock = Arc::clone(clock);
    let store = Store::with_clock(any_port, &[], settings, clock)
        .await
        .unwrap();
    let client = Client::new(&store.address().to_string(), TIMEOUT_MS);
    (store, client)
}

fn set(key: &str) -> Op {
    Op::Set {
        key: key.to_owned(),
        value: b"new".to_vec(),
    }
}

#[tokio::test]
async fn changes_of_one_transaction_share_its_index() {
    let (_store, client) = start().await;
    let outcome = client.transact(&[set("a"), set("b"), set("c")]).await;
    let Ok(TxnOutcome::Committed { index }) = outcome else {
        panic!("unexpected outcome: {outcome:?}");
    };
    for key in ["a", "b", "c"] {
        let entry = client.get(key).await.unwrap().unwrap();
        assert_eq!(entry.modify_index, index, "index of {key}");
    }
    let next = client.transact(&[set("a")]).await;
    assert_eq!(next, Ok(TxnOutcome::Committed { index: index + 1 }));
}

#[tokio::test]
async fn cas_succeeds_only_with_the_newest_index() {
    let (_store, client) = start().await;
    assert!(client.cas("a/b", b"1".to_vec(), 0).await.unwrap());
    assert!(!client.cas("a/b", b"2".to_vec(), 0).await.unwrap());
    let first = client.get("a/b").await.unwrap().unwrap();
    assert_eq!(first.value, b"1");
    assert!(
        client
            .cas("a/b", b"3".to_vec(), first.modify_index)
            .await
            .unwrap()
    );
    assert!(
        !client
            .cas("a/b", b"4".to_vec(), first.modify_index)
            .await
            .unwrap()
    );
    assert_eq!(client.get("a/b").await.unwrap().unwrap().value, b"3");
    assert_eq!(client.get("a").await.unwrap(), None);
}

#[tokio::test]
async fn lists_and_deletes_by_prefix() {
    let (store, client) = start().await;
    for key in ["jobs/a-0/x", "jobs/a-0/y", "jobs/a-1/z"] {
        assert!(client.cas(key, Vec::new(), 0).await.unwrap());
    }
    let listed = client.list("jobs/a-0/").await.unwrap();
    let keys: Vec<&str> = listed.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!(keys, ["jobs/a-0/x", "jobs/a-0/y"]);
    client.delete_tree("jobs/a-0/").await.unwrap();
    assert_eq!(store.keys("jobs/"), ["jobs/a-1/z"]);
}

#[tokio::test]
async fn the_lock_index_increases_with_each_holder() {
    let (_store, client) = start().await;
    let first = client.create_session("one", TTL_MS).await.unwrap();
    let second = client.create_session("two", TTL_MS).await.unwrap();
    assert!(
        client
            .acquire("owner", b"1".to_vec(), &first)
            .await
            .unwrap()
    );
    assert!(
        client
            .acquire("owner", b"1".to_vec(), &first)
            .await
            .unwrap()
    );
    assert!(
        !client
            .acquire("owner", b"2".to_vec(), &second)
            .await
            .unwrap()
    );
    let held = client.get("owner").await.unwrap().unwrap();
    assert_eq!(
        (held.lock_index, held.session.as_deref()),
        (1, Some(first.as_str()))
    );
    assert!(
        client
            .release("owner", b"free".to_vec(), &first)
            .await
            .unwrap()
    );
    assert!(
        !client
            .release("owner", b"free".to_vec(), &first)
            .await
            .unwrap()
    );
    assert!(
        client
            .acquire("owner", b"2".to_vec(), &second)
            .await
            .unwrap()
    );
    let held = client.get("owner").await.unwrap().unwrap();
    assert_eq!(
        (held.lock_index, held.session.as_deref()),
        (2, Some(second.as_str()))
    );
    client.destroy_session(&second).await.unwrap();
    let freed = client.get("owner").await.unwrap().unwrap();
    assert_eq!((freed.lock_index, freed.session), (2, None));
}

#[tokio::test]
async fn session_time_to_live_does_not_run_while_the_store_is_down() {
    let clock = Arc::new(ManualClock::default());
    let (store, client) = start_with(&clock, Settings::default()).await;
    let session = client.create_session("one", TTL_MS).await.unwrap();
    assert!(client.acquire("owner", Vec::new(), &session).await.unwrap());
    clock.advance(TTL_MS - 1);
    assert!(client.renew_session(&session).await.unwrap());
    store.set_down(true);
    clock.advance(10 * TTL_MS);
    let error = client.renew_session(&session).await.unwrap_err();
    assert!(matches!(error, StoreError::Unanswered { .. }), "{error}");
    store.set_down(false);
    clock.advance(TTL_MS - 1);
    assert!(client.renew_session(&session).await.unwrap());
    clock.advance(TTL_MS);
    assert!(!client.renew_session(&session).await.unwrap());
    assert_eq!(client.get("owner").await.unwrap().unwrap().session, None);
}

#[tokio::test]
async fn a_watch_returns_a_change_of_its_key() {
    let (store, client) = start().await;
    let absent = client.watch("doc", 0, 60_000).await.unwrap();
    assert!(absent.entries.is_empty());
    let watcher = client.clone();
    let index = absent.index;
    let watch = tokio::spawn(async move { watcher.watch("doc", index, 60_000).await });
    while store.calls().watches == 0 {
        tokio::task::yield_now().await;
    }
    assert!(client.cas("other", Vec::new(), 0).await.unwrap());
    assert!(client.cas("doc", b"1".to_vec(), 0).await.unwrap());
    let changed = watch.await.unwrap().unwrap();
    assert_eq!(changed.entries[0].value, b"1");
    assert_eq!(changed.index, changed.entries[0].modify_index);
    let calls = store.calls();
    assert_eq!((calls.reads, calls.watches, calls.writes), (1, 1, 2));
}

#[tokio::test]
async fn a_watch_without_a_change_returns_after_its_wait() {
    let (_store, client) = start().await;
    assert!(client.cas("doc", b"1".to_vec(), 0).await.unwrap());
    let entry = client.get("doc").await.unwrap().unwrap();
    let same = client.watch("doc", entry.modify_index, 20).await.unwrap();
    assert_eq!(
        (same.index, same.entries),
        (entry.modify_index, vec![entry])
    );
}

struct Transaction {
    ops: fn(u64, &str) -> Vec<Op>,
    failed: &'static [usize],
}

#[test_case(Transaction { ops: |_, _| vec![set("a"), set("b")], failed: &[] }; "sets")]
#[test_case(Transaction { ops: |index, _| vec![Op::Cas { key: "doc".into(), value: vec![], index }], failed: &[] }; "cas")]
#[test_case(Transaction { ops: |index, _| vec![set("a"), Op::Cas { key: "doc".into(), value: vec![], index: index + 1 }], failed: &[1] }; "stale cas")]
#[test_case(Transaction { ops: |_, session| vec![Op::CheckSession { key: "owner".into(), session: session.into() }, set("a")], failed: &[] }; "held")]
#[test_case(Transaction { ops: |_, _| vec![Op::CheckSession { key: "owner".into(), session: "x".into() }, set("a")], failed: &[0] }; "not held")]
#[test_case(Transaction { ops: |_, _| vec![Op::CheckAbsent { key: "a".into() }, set("a")], failed: &[] }; "absent")]
#[test_case(Transaction { ops: |_, _| vec![Op::Delete { key: "doc".into() }, set("a"), Op::CheckAbsent { key: "owner".into() }], failed: &[2] }; "present")]
#[tokio::test]
async fn transactions_are_atomic(case: Transaction) {
    let (store, client) = start().await;
    let session = client.create_session("one", TTL_MS).await.unwrap();
    assert!(client.acquire("owner", Vec::new(), &session).await.unwrap());
    assert!(client.cas("doc", b"old".to_vec(), 0).await.unwrap());
    let index = client.get("doc").await.unwrap().unwrap().modify_index;
    let outcome = client.transact(&(case.ops)(index, &session)).await.unwrap();
    if case.failed.is_empty() {
        assert!(matches!(outcome, TxnOutcome::Committed { index: at } if at >= index));
        return;
    }
    let failed = case.failed.to_vec();
    assert_eq!(outcome, TxnOutcome::Conflict { failed });
    assert_eq!(store.keys(""), ["doc", "owner"]);
    let doc = client.get("doc").await.unwrap().unwrap();
    assert_eq!((doc.value, doc.modify_index), (b"old".to_vec(), index));
    // A refused transaction uses up no index.
    assert!(client.cas("next", Vec::new(), 0).await.unwrap());
    let next = client.get("next").await.unwrap().unwrap();
    assert_eq!(next.modify_index, index + 1);
}

#[tokio::test]
async fn values_and_transactions_over_the_limit_are_refused() {
    let (store, client) = start().await;
    let limit = Settings::default().value_limit;
    assert!(client.cas("fits", vec![0; limit], 0).await.unwrap());
    let error = client
        .cas("large", vec![0; limit + 1], 0)
        .await
        .unwrap_err();
    assert!(
        matches!(error, StoreError::Rejected { status: 413, .. }),
        "{error}"
    );
    let ops: Vec<Op> = (0..129).map(|number| set(&number.to_string())).collect();
    let error = client.transact(&ops).await.unwrap_err();
    assert!(
        matches!(error, StoreError::Rejected { status: 413, .. }),
        "{error}"
    );
    assert_eq!(store.keys(""), ["fits"]);
}

#[tokio::test]
async fn calls_over_the_rate_limit_are_refused() {
    let clock = Arc::new(ManualClock::default());
    let limits = Limits {
        reads: 2,
        writes: 1,
    };
    let settings = Settings {
        limits,
        ..Settings::default()
    };
    let (store, client) = start_with(&clock, settings).await;
    assert!(client.cas("a", Vec::new(), 0).await.unwrap());
    let error = client.cas("b", Vec::new(), 0).await.unwrap_err();
    assert!(matches!(error, StoreError::Unreachable { .. }), "{error}");
    assert!(client.get("a").await.is_ok());
    assert!(client.get("a").await.is_ok());
    assert!(client.get("a").await.is_err());
    clock.advance(1_000);
    assert!(client.cas("b", Vec::new(), 0).await.unwrap());
    assert_eq!(store.calls().limited, 2);
    assert_eq!(store.calls().total(), 4);
}
