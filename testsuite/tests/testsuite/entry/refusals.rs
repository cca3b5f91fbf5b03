//! Refusals over a store that carries out writes late or loses their answers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use test_case::test_case;
use verbenahitch::dispatch::JobId;
use verbenahitch::domain::Millis;
use verbenahitch::entry::IntakeOutcome;
use verbenahitch::entry::acceptance;
use verbenahitch::entry::refusals::{Exclusion, Refusals};
use verbenahitch::port::{Change, Item, KeyValue, KvError, Transaction};

const ID: JobId = JobId(0xabc);
const JOB: &str = "intake/job/0000000000000abc";
const REFUSED: &str = "refused/0000000000000abc";

/// What the store does with a write.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Mode {
    #[default]
    Answers,
    /// Carries it out and loses the answer.
    Loses,
    /// Carries it out later.
    Delays,
    /// Has lost the lease.
    NoLease,
    /// Removes the key of a refusal, whose lease ends, before the write that names it.
    Lapses,
}

#[derive(Clone, Default)]
struct FakeKv(Rc<State>);

#[derive(Default)]
struct State {
    items: RefCell<BTreeMap<String, Item>>,
    late: RefCell<Vec<Transaction>>,
    revision: Cell<u64>,
    mode: Cell<Mode>,
}

impl FakeKv {
    fn has(&self, key: &str) -> bool {
        self.0.items.borrow().contains_key(key)
    }

    fn apply(&self, transaction: &Transaction) -> Result<u64, KvError> {
        let mut items = self.0.items.borrow_mut();
        let revision_of = |key| items.get(key).map_or(0, |item: &Item| item.revision);
        let expected = &transaction.expected;
        if expected.iter().any(|(key, at)| revision_of(key) != *at) {
            let found = expected.iter().filter_map(|(key, _)| items.get(key));
            return Err(KvError::Conflict {
                items: found.cloned().collect(),
            });
        }
        let revision = self.0.revision.get() + 1;
        self.0.revision.set(revision);
        for key in &transaction.removes {
            items.remove(key);
        }
        for put in &transaction.puts {
            let item = Item {
                key: put.key.clone(),
                value: Ok(put.value.clone()),
                revision,
                created: revision,
            };
            items.insert(put.key.clone(), item);
        }
        Ok(revision)
    }

    fn carry_out_late(&self) {
        self.0.mode.set(Mode::Answers);
        for transaction in self.0.late.take() {
            // A late write is not answered.
            let _ = self.apply(&transaction);
        }
    }
}

impl KeyValue for FakeKv {
    fn value_max(&self) -> usize {
        1 << 20
    }

    async fn get(&self, key: &str) -> Result<Option<Item>, KvError> {
        Ok(self.0.items.borrow().get(key).cloned())
    }

    async fn range(&self, _: &str) -> Result<(Vec<Item>, u64), KvError> {
        Err(KvError::Compacted)
    }

    async fn watch(&self, _: &str, _: u64, _: Millis) -> Result<(Vec<Change>, u64), KvError> {
        Err(KvError::Compacted)
    }

    async fn commit(&self, transaction: &Transaction) -> Result<u64, KvError> {
        let unanswered = || KvError::Unanswered {
            cause: "lost".to_owned(),
        };
        match self.0.mode.get() {
            Mode::Answers => self.apply(transaction),
            Mode::Loses => {
                self.0.mode.set(Mode::Answers);
                self.apply(transaction).and_then(|_| Err(unanswered()))
            }
            Mode::Delays => {
                self.0.late.borrow_mut().push(transaction.clone());
                Err(unanswered())
            }
            Mode::NoLease => Err(KvError::NoLease),
            Mode::Lapses => {
                let names_refusal = |(key, at): &(String, u64)| key == REFUSED && *at > 0;
                if transaction.expected.iter().any(names_refusal) {
                    self.0.mode.set(Mode::Answers);
                    self.0.items.borrow_mut().remove(REFUSED);
                }
                self.apply(transaction)
            }
        }
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

async fn accept(kv: &FakeKv) -> IntakeOutcome {
    acceptance::accept(kv, ID, b"{}".to_vec(), None).await
}

#[tokio::test]
async fn a_late_acceptance_does_not_follow_a_refusal() {
    let (kv, refusals) = (FakeKv::default(), Refusals::default());
    kv.0.mode.set(Mode::Delays);
    assert_eq!(accept(&kv).await, IntakeOutcome::Unknown);
    kv.0.mode.set(Mode::Answers);
    let excluded = refusals.exclude(&kv, ID).await;
    assert!(matches!(excluded, Exclusion::Excluded(_)));
    kv.carry_out_late();
    assert!(!kv.has(JOB));
}

#[tokio::test]
async fn an_accepted_job_is_not_refused() {
    let (kv, refusals) = (FakeKv::default(), Refusals::default());
    assert_eq!(accept(&kv).await, IntakeOutcome::Stored);
    assert_eq!(refusals.exclude(&kv, ID).await, Exclusion::Stored);
    assert_eq!(accept(&kv).await, IntakeOutcome::Stored);
}

#[test_case(Mode::Answers; "at once")]
#[test_case(Mode::Loses; "after a lost answer")]
#[test_case(Mode::Lapses; "as the lease of the refusal ends")]
#[tokio::test]
async fn a_refused_job_is_accepted_when_its_caller_returns(mode: Mode) {
    let (kv, refusals) = (FakeKv::default(), Refusals::default());
    for _ in 0..2 {
        let excluded = refusals.exclude(&kv, ID).await;
        assert!(matches!(excluded, Exclusion::Excluded(_)));
    }
    kv.0.mode.set(mode);
    assert_eq!(accept(&kv).await, IntakeOutcome::Stored);
    assert!(kv.has(JOB) && !kv.has(REFUSED));
}

#[test_case(Mode::Delays; "no answer")]
#[test_case(Mode::NoLease; "no lease")]
#[tokio::test]
async fn a_refusal_that_the_store_does_not_confirm_is_none(mode: Mode) {
    let (kv, refusals) = (FakeKv::default(), Refusals::default());
    kv.0.mode.set(mode);
    assert_eq!(refusals.exclude(&kv, ID).await, Exclusion::Unconfirmed);
    kv.0.mode.set(Mode::Answers);
    assert_eq!(accept(&kv).await, IntakeOutcome::Stored);
    kv.carry_out_late();
    assert!(kv.has(JOB) && !kv.has(REFUSED));
}
