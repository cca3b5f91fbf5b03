//! Random orders of submissions, repeats, cancels and changes of the owner over a model of the store.
//!
//! The model answers no call by itself. A seeded draw picks the next step: a call that the store
//! carries out, whose answer it loses, that it drops, or that it carries out later without an answer;
//! a submission or a cancel that begins at another host; an owner that reads the store. A host pauses
//! in that its calls are not picked. The only check is the promise: nothing starts after the ack of a
//! cancel.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use futures::channel::oneshot;
use futures::executor::LocalPool;
use futures::task::LocalSpawnExt;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;
use verbenahitch::dispatch::JobId;
use verbenahitch::domain::Millis;
use verbenahitch::entry::IntakeOutcome;
use verbenahitch::entry::acceptance::accept;
use verbenahitch::entry::cancels::{CancelOutcome, Cancels};
use verbenahitch::entry::refusals::{Exclusion, Refusals};
use verbenahitch::port::{Change, Item, KeyValue, KvError, Put, Transaction};

use super::world::open_job;

const ID: JobId = JobId(0xc1);
const JOB: &str = "intake/job/00000000000000c1";
const CANCEL: &str = "intake/cancel/00000000000000c1";

const HOSTS: usize = 3;

/// Steps of one order.
const STEPS: usize = 60;

/// A call that waits for its answer.
enum Pending {
    Get(String, oneshot::Sender<Result<Option<Item>, KvError>>),
    Commit(Transaction, oneshot::Sender<Result<u64, KvError>>),
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    pending: Vec<Pending>,
    /// Writes that the store carries out later, without an answer.
    late: Vec<Transaction>,
}

impl State {
    fn apply(&mut self, transaction: &Transaction) -> Result<u64, KvError> {
        let revision_of = |key: &String| self.items.get(key).map_or(0, |item| item.revision);
        let expected = &transaction.expected;
        if expected.iter().any(|(key, at)| revision_of(key) != *at) {
            let found = expected.iter().filter_map(|(key, _)| self.items.get(key));
            return Err(KvError::Conflict {
                items: found.cloned().collect(),
            });
        }
        self.revision += 1;
        for key in &transaction.removes {
            self.items.remove(key);
        }
        for put in &transaction.puts {
            let item = Item {
                key: put.key.clone(),
                value: Ok(put.value.clone()),
                revision: self.revision,
                created: self.revision,
            };
            self.items.insert(put.key.clone(), item);
        }
        Ok(self.revision)
    }

    /// Carries out a drawn call or a late write, or loses it.
    fn step(&mut self, rng: &mut ChaCha8Rng) {
        if !self.late.is_empty() && rng.random_bool(0.2) {
            let at = rng.random_range(0..self.late.len());
            let transaction = self.late.swap_remove(at);
            // A late write is not answered.
            let _ = self.apply(&transaction);
            return;
        }
        if self.pending.is_empty() {
            return;
        }
        let at = rng.random_range(0..self.pending.len());
        let unanswered = || KvError::Unanswered {
            cause: "lost".to_owned(),
        };
        let refused = || KvError::Refused {
            cause: "busy".to_owned(),
        };
        // The host may have stopped waiting for an answer.
        match self.pending.swap_remove(at) {
            Pending::Get(key, answer) => {
                let result = match rng.random_range(0..10) {
                    0 => Err(refused()),
                    _ => Ok(self.items.get(&key).cloned()),
                };
                let _ = answer.send(result);
            }
            Pending::Commit(transaction, answer) => {
                let result = match rng.random_range(0..10) {
                    0 => Err(refused()),
                    // Dropped.
                    1 => Err(unanswered()),
                    2 => self.apply(&transaction).and_then(|_| Err(unanswered())),
                    3 | 4 => {
                        self.late.push(transaction);
                        Err(unanswered())
                    }
                    _ => self.apply(&transaction),
                };
                let _ = answer.send(result);
            }
        }
    }
}

/// Store whose calls are answered step by step; clones share it.
#[derive(Clone, Default)]
struct StepKv(Rc<RefCell<State>>);

impl KeyValue for StepKv {
    fn value_max(&self) -> usize {
        1 << 20
    }

    async fn get(&self, key: &str) -> Result<Option<Item>, KvError> {
        let (sender, answer) = oneshot::channel();
        let call = Pending::Get(key.to_owned(), sender);
        self.0.borrow_mut().pending.push(call);
        answer.await.expect("each call is answered or kept")
    }

    async fn range(&self, _: &str) -> Result<(Vec<Item>, u64), KvError> {
        Err(KvError::Compacted)
    }

    async fn watch(&self, _: &str, _: u64, _: Millis) -> Result<(Vec<Change>, u64), KvError> {
        Err(KvError::Compacted)
    }

    async fn commit(&self, transaction: &Transaction) -> Result<u64, KvError> {
        let (sender, answer) = oneshot::channel();
        let call = Pending::Commit(transaction.clone(), sender);
        self.0.borrow_mut().pending.push(call);
        answer.await.expect("each call is answered or kept")
    }

    async fn grant(&self, _: Millis) -> Result<u64, KvError> {
        Ok(1)
    }

    async fn renew(&self, _: u64) -> Result<(), KvError> {
        Ok(())
    }

    async fn revoke(&self, _: u64) -> Result<(), KvError> {
        Ok(())
    }
}

/// What callers and the owner have seen.
#[derive(Debug, Default)]
struct Seen {
    is_cancelled: bool,
    is_accepted: bool,
    has_started: bool,
    /// Starts after the ack of a cancel.
    late_starts: usize,
}

/// An owner that reads the store: it starts a job that is not cancelled, and ends it at random.
fn look(state: &mut State, seen: &mut Seen, rng: &mut ChaCha8Rng) {
    let Some(job) = state.items.get(JOB).cloned() else {
        return;
    };
    if job
        .value
        .as_deref()
        .is_ok_and(|value| value.starts_with(b"{\"ended\""))
    {
        return;
    }
    let is_cancelled = state.items.contains_key(CANCEL);
    if !is_cancelled {
        seen.has_started = true;
        seen.late_starts += usize::from(seen.is_cancelled);
    }
    let end = match is_cancelled {
        true if rng.random() => "cancelled",
        false if rng.random_bool(0.1) => "completed",
        true | false => return,
    };
    let transaction = Transaction {
        expected: Vec::new(),
        puts: vec![Put::persistent(
            JOB.to_owned(),
            format!("{{\"ended\":\"{end}\"}}").into_bytes(),
        )],
        removes: is_cancelled
            .then(|| CANCEL.to_owned())
            .into_iter()
            .collect(),
    };
    state.apply(&transaction).expect("it expects nothing");
}

/// Plays one order; returns what was seen.
fn play(seed: u64) -> Seen {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (kv, seen) = (StepKv::default(), Rc::new(RefCell::new(Seen::default())));
    let hosts: Vec<Rc<Cancels>> = (0..HOSTS).map(|_| Rc::default()).collect();
    let mut pool = LocalPool::new();
    for _ in 0..STEPS {
        let (kv, seen) = (kv.clone(), Rc::clone(&seen));
        match rng.random_range(0..20) {
            0 | 1 => pool.spawner().spawn_local(async move {
                let outcome = accept(&kv, ID, open_job(None), None).await;
                seen.borrow_mut().is_accepted |= outcome == IntakeOutcome::Stored;
            }),
            2 => pool.spawner().spawn_local(async move {
                let outcome = Refusals::default().exclude(&kv, ID).await;
                seen.borrow_mut().is_accepted |= outcome == Exclusion::Stored;
            }),
            3 => {
                let host = Rc::clone(&hosts[rng.random_range(0..HOSTS)]);
                pool.spawner().spawn_local(async move {
                    let outcome = host.cancel(&kv, ID, None).await;
                    seen.borrow_mut().is_cancelled |= matches!(
                        outcome,
                        CancelOutcome::Stored | CancelOutcome::Ended | CancelOutcome::Excluded
                    );
                })
            }
            4 => {
                look(&mut kv.0.borrow_mut(), &mut seen.borrow_mut(), &mut rng);
                Ok(())
            }
            _ => {
                kv.0.borrow_mut().step(&mut rng);
                Ok(())
            }
        }
        .expect("the pool lives");
        pool.run_until_stalled();
    }
    look(&mut kv.0.borrow_mut(), &mut seen.borrow_mut(), &mut rng);
    // Calls that have not been answered keep their part of what was seen.
    Rc::clone(&seen).take()
}

/// Seeds that CI plays.
const SEEDS: u64 = 20_000;

// Guards against any order in which something starts after the ack of a cancel.
#[test_case(1)]
#[test_case(2)]
fn nothing_starts_after_the_ack_of_a_cancel(series: u64) {
    let (mut cancelled, mut started, mut accepted) = (0, 0, 0);
    for seed in (0..SEEDS).map(|at| series * 1_000_000 + at) {
        let seen = play(seed);
        assert_eq!(seen.late_starts, 0, "seed {seed}: {seen:?}");
        cancelled += usize::from(seen.is_cancelled);
        started += usize::from(seen.has_started);
        accepted += usize::from(seen.is_accepted);
    }
    // The draw comes upon all of it.
    assert!(cancelled > 1_000 && started > 1_000 && accepted > 1_000);
}
