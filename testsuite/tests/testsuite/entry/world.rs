//! An entry host over a store in memory and workers without I/O.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::task::LocalSet;
use verbenahitch::dispatch::{
    Amount, CallFailure, EndCause, EndedEntry, JobId, JobRecord, JobSpec, JobState, Poll, Queue,
    Report, RunningEntry, Start, StepSpec, Target, TaskId, WorkerInfo,
};
use verbenahitch::domain::Millis;
use verbenahitch::entry::accounts::Revocation;
use verbenahitch::entry::{EntryHost, EntrySettings, Intake, IntakeOutcome, Status};
use verbenahitch::port::{
    Change, Directive, Item, KeyValue, KvError, Platform, QueueRoute, Queues, Transaction,
    Unreadable,
};

/// Largest value of the store in bytes, unless a test sets another.
pub const VALUE_MAX: usize = 1 << 20;

/// Largest number of entries of a transaction, and longest key in bytes.
const ENTRIES_MAX: usize = 32;
const KEY_MAX: usize = 200;

/// Start of all workers in milliseconds since the Unix epoch.
const INCARNATION: u64 = 1_700_000_000_000;

/// Tail of a standing task in milliseconds, alone and beside fillers.
const TAIL_MS: Millis = 20;
const SLOWED_TAIL_MS: Millis = 24;

/// What the store does with a transaction that it does not take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Rejected,
    Refused,
}

/// Keys that the store does not take, by their prefix.
#[derive(Clone, Debug)]
pub struct Untaken {
    pub prefix: String,
    pub answer: Answer,
}

/// What becomes of a transaction that writes a certain key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It gets no answer within `wait`, and is never carried out.
    Lost { wait: Duration },
    /// It gets no answer within `wait`, and is carried out `late` after it was sent.
    Late { wait: Duration, late: Duration },
    /// It is carried out and answered after `wait`.
    Held { wait: Duration },
}

#[derive(Default)]
struct StoreState {
    items: RefCell<BTreeMap<String, Item>>,
    history: RefCell<Vec<(u64, Change)>>,
    revision: Cell<u64>,
    untaken: RefCell<Option<Untaken>>,
    /// Largest value in bytes, zero for [`VALUE_MAX`].
    value_max: Cell<usize>,
    /// Bytes of the values of the largest transaction.
    largest: Cell<usize>,
    /// Number of transactions that were not taken.
    rejected: Cell<u32>,
    /// Fates of the next transactions that write a key.
    fates: RefCell<Option<(String, VecDeque<Fate>)>>,
    /// Number of transactions that came.
    commits: Cell<u32>,
}

/// Store in memory; clones share it. Its leases end only when they are revoked.
#[derive(Clone, Default)]
pub struct MemoryKv(Rc<StoreState>);

impl MemoryKv {
    pub fn set_value_max(&self, bytes: usize) {
        self.0.value_max.set(bytes);
    }

    pub fn set_untaken(&self, untaken: Option<Untaken>) {
        self.0.untaken.replace(untaken);
    }

    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let items = self.0.items.borrow();
        items.get(key).and_then(|item| item.value.clone().ok())
    }

    pub fn largest(&self) -> usize {
        self.0.largest.get()
    }

    pub fn rejected(&self) -> u32 {
        self.0.rejected.get()
    }

    /// Sets what becomes of the next transactions that write `key`.
    pub fn set_fates(&self, key: &str, fates: &[Fate]) {
        let fates = fates.iter().copied().collect();
        self.0.fates.replace(Some((key.to_owned(), fates)));
    }

    pub fn commits(&self) -> u32 {
        self.0.commits.get()
    }

    fn next_fate(&self, transaction: &Transaction) -> Option<Fate> {
        let mut fates = self.0.fates.borrow_mut();
        let (key, fates) = fates.as_mut()?;
        let writes = transaction.puts.iter().any(|put| put.key == *key);
        if writes { fates.pop_front() } else { None }
    }

    pub fn put(&self, key: &str, value: &[u8]) {
        let revision = self.next_revision();
        self.write(key, value, revision);
    }

    /// Removes a key, as the end of its lease does.
    pub fn remove(&self, key: &str) {
        let revision = self.next_revision();
        self.remove_at(key, revision);
    }

    fn remove_at(&self, key: &str, revision: u64) {
        if self.0.items.borrow_mut().remove(key).is_some() {
            let change = Change::Removed(key.to_owned());
            self.0.history.borrow_mut().push((revision, change));
        }
    }

    fn next_revision(&self) -> u64 {
        self.0.revision.set(self.0.revision.get() + 1);
        self.0.revision.get()
    }

    fn write(&self, key: &str, value: &[u8], revision: u64) {
        let mut items = self.0.items.borrow_mut();
        let created = items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            key: key.to_owned(),
            value: Ok(value.to_vec()),
            revision,
            created,
        };
        items.insert(key.to_owned(), item.clone());
        let change = Change::Put(item);
        self.0.history.borrow_mut().push((revision, change));
    }

    fn changes_after(&self, prefix: &str, after: u64) -> Vec<Change> {
        let is_below = |change: &Change| match change {
            Change::Put(item) => item.key.starts_with(prefix),
            Change::Removed(key) => key.starts_with(prefix),
        };
        let history = self.0.history.borrow();
        let first = history.partition_point(|(revision, _)| *revision <= after);
        let new = history[first..].iter().map(|(_, change)| change);
        new.filter(|change| is_below(change)).cloned().collect()
    }

    fn check(&self, transaction: &Transaction) -> Result<(), KvError> {
        let puts = &transaction.puts;
        let entries = transaction.expected.len() + puts.len() + transaction.removes.len();
        assert!(entries <= ENTRIES_MAX, "{entries} entries");
        let longest = puts.iter().map(|put| put.key.len()).max();
        assert!(longest.unwrap_or(0) <= KEY_MAX, "a key is too long");
        let untaken = self.0.untaken.borrow();
        let answer = match untaken.as_ref() {
            Some(untaken) if puts.iter().any(|put| put.key.starts_with(&untaken.prefix)) => {
                Some(untaken.answer)
            }
            _ if puts.iter().any(|put| put.value.len() > self.value_max()) => {
                Some(Answer::Rejected)
            }
            _ => None,
        };
        let Some(answer) = answer else {
            return Ok(());
        };
        self.0.rejected.set(self.0.rejected.get() + 1);
        let cause = "a value is not taken".to_owned();
        Err(match answer {
            Answer::Rejected => KvError::Rejected { cause },
            Answer::Refused => KvError::Refused { cause },
        })
    }
}

impl KeyValue for MemoryKv {
    fn value_max(&self) -> usize {
        match self.0.value_max.get() {
            0 => VALUE_MAX,
            bytes => bytes,
        }
    }

    async fn get(&self, key: &str) -> Result<Option<Item>, KvError> {
        Ok(self.0.items.borrow().get(key).cloned())
    }

    async fn range(&self, prefix: &str) -> Result<(Vec<Item>, u64), KvError> {
        let items = self.0.items.borrow();
        let found = items.values().filter(|item| item.key.starts_with(prefix));
        Ok((found.cloned().collect(), self.0.revision.get()))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: Millis,
    ) -> Result<(Vec<Change>, u64), KvError> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let found = self.changes_after(prefix, after);
            if !found.is_empty() || Instant::now() >= until {
                return Ok((found, self.0.revision.get()));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn commit(&self, transaction: &Transaction) -> Result<u64, KvError> {
        self.0.commits.set(self.0.commits.get() + 1);
        let unanswered = || KvError::Unanswered {
            cause: "lost".to_owned(),
        };
        match self.next_fate(transaction) {
            None => tokio::time::sleep(Duration::from_millis(2)).await,
            Some(Fate::Held { wait }) => tokio::time::sleep(wait).await,
            Some(Fate::Lost { wait }) => {
                tokio::time::sleep(wait).await;
                return Err(unanswered());
            }
            Some(Fate::Late { wait, late }) => {
                let (kv, transaction) = (self.clone(), transaction.clone());
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(late).await;
                    // A late write is not answered.
                    let _ = kv.apply(&transaction);
                });
                tokio::time::sleep(wait).await;
                return Err(unanswered());
            }
        }
        self.apply(transaction)
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

impl MemoryKv {
    fn apply(&self, transaction: &Transaction) -> Result<u64, KvError> {
        let revision_of = |key: &String| {
            let items = self.0.items.borrow();
            items.get(key).map_or(0, |item| item.revision)
        };
        let expected = transaction.expected.iter();
        if expected.clone().any(|(key, at)| revision_of(key) != *at) {
            let items = self.0.items.borrow();
            let found = expected.filter_map(|(key, _)| items.get(key));
            return Err(KvError::Conflict {
                items: found.cloned().collect(),
            });
        }
        self.check(transaction)?;
        let largest = self.0.largest.get().max(transaction.value_bytes());
        self.0.largest.set(largest);
        let revision = self.next_revision();
        for put in &transaction.puts {
            self.write(&put.key, &put.value, revision);
        }
        for key in &transaction.removes {
            self.remove_at(key, revision);
        }
        Ok(revision)
    }
}

/// A run on a worker.
struct Work {
    task: TaskId,
    run: u32,
    began: Instant,
}

#[derive(Default)]
struct WorkerState {
    running: Vec<Work>,
    ended: Vec<EndedEntry>,
    last_end: u64,
}

/// Workers by their names, and the store.
#[derive(Clone)]
pub struct Fleet {
    kv: MemoryKv,
    workers: Rc<RefCell<BTreeMap<String, WorkerState>>>,
    specs: Rc<RefCell<BTreeMap<JobId, Vec<StepSpec>>>>,
    /// Jobs of which a task has started.
    started: Rc<RefCell<BTreeSet<JobId>>>,
    began: Instant,
}

impl Fleet {
    fn spec(&self, task: TaskId) -> StepSpec {
        self.specs.borrow()[&task.job][task.step as usize].clone()
    }

    fn report(&self, worker: &mut WorkerState) -> Report {
        let done = |work: &Work| {
            let spec = self.spec(work.task);
            !spec.standing && work.began.elapsed() >= Duration::from_millis(spec.estimate_ms)
        };
        let (ended, running) = std::mem::take(&mut worker.running)
            .into_iter()
            .partition::<Vec<_>, _>(done);
        worker.running = running;
        for work in ended {
            worker.last_end += 1;
            worker.ended.push(EndedEntry {
                sequence: worker.last_end,
                task: work.task,
                run: work.run,
                cause: EndCause::Done,
                checkpoint: String::new(),
            });
        }
        let is_filled = worker
            .running
            .iter()
            .any(|work| self.spec(work.task).filler);
        let tail_ms = if is_filled { SLOWED_TAIL_MS } else { TAIL_MS };
        let row = |work: &Work| RunningEntry {
            task: work.task,
            run: work.run,
            checkpoint: String::new(),
            progress_percent: 100,
            measurement: tail_ms,
        };
        Report {
            incarnation: INCARNATION,
            clock_ms: u64::try_from(self.began.elapsed().as_millis()).unwrap() + 1,
            running: worker.running.iter().map(row).collect(),
            ended: worker.ended.clone(),
            unread: None,
        }
    }
}

impl Platform for Fleet {
    type Kv = MemoryKv;

    fn kv(&self) -> &MemoryKv {
        &self.kv
    }

    fn registry_prefix(&self) -> &'static str {
        "servers/"
    }

    fn operator_prefix(&self) -> &'static str {
        "op/"
    }

    fn parse_worker(&self, item: &Item) -> Result<WorkerInfo, String> {
        let name = item.key.trim_start_matches("servers/").to_owned();
        Ok(WorkerInfo {
            address: name.clone(),
            name,
            pool: "pool".to_owned(),
            zone: "a".to_owned(),
            capacity: Amount {
                cpu_milli: 64_000,
                memory_mb: 1_000_000,
                gpus: 0,
            },
            incarnation: INCARNATION,
            ..WorkerInfo::default()
        })
    }

    fn parse_directive(&self, _: &Item) -> Result<Directive, Unreadable> {
        Ok(Directive::Queues(Queues {
            version: 1,
            routes: vec![QueueRoute {
                host: "example".to_owned(),
                prefix: "/".to_owned(),
                queue: queue(),
                public: true,
            }],
            accounts: None,
        }))
    }

    async fn poll(&self, poll: &Poll, _: u64) -> Result<Report, CallFailure> {
        let until = Instant::now() + Duration::from_millis(poll.wait_ms);
        loop {
            {
                let mut workers = self.workers.borrow_mut();
                let worker = workers.entry(poll.name.clone()).or_default();
                worker.ended.retain(|end| end.sequence > poll.acked);
                let report = self.report(worker);
                if !report.ended.is_empty() || Instant::now() >= until {
                    return Ok(report);
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn start(&self, start: &Start, _: u64) -> Result<(), CallFailure> {
        let target = &start.target;
        self.started.borrow_mut().insert(target.task.job);
        let mut workers = self.workers.borrow_mut();
        let worker = workers.entry(target.name.clone()).or_default();
        worker.running.push(Work {
            task: target.task,
            run: target.run,
            began: Instant::now(),
        });
        Ok(())
    }

    async fn stop(&self, target: &Target, _: u64) -> Result<(), CallFailure> {
        let mut workers = self.workers.borrow_mut();
        let worker = workers.entry(target.name.clone()).or_default();
        let count = worker.running.len();
        worker.running.retain(|work| work.task != target.task);
        if worker.running.len() < count {
            worker.last_end += 1;
            worker.ended.push(EndedEntry {
                sequence: worker.last_end,
                task: target.task,
                run: target.run,
                cause: EndCause::Stopped,
                checkpoint: String::new(),
            });
        }
        Ok(())
    }

    async fn pace(&self, _: &Target, _: u8, _: u64) -> Result<(), CallFailure> {
        Ok(())
    }
}

fn queue() -> Queue {
    Queue {
        name: "queue".to_owned(),
        pool: "pool".to_owned(),
        priority: 0,
        attempts: 3,
        stretch: 1.5,
        target_ms: 250,
    }
}

fn record(steps: Vec<StepSpec>, account: Option<&str>) -> JobRecord {
    JobRecord {
        queue: queue(),
        spec: JobSpec {
            payload: Arc::from(""),
            steps,
            repeat: None,
        },
        account: account.map(str::to_owned),
        accepted_ms: 0,
    }
}

fn encode_open(record: &JobRecord) -> Vec<u8> {
    serde_json::to_vec(&serde_json::json!({ "open": record })).unwrap()
}

/// Value of the key of a job of `account`.
pub fn open_job(account: Option<&str>) -> Vec<u8> {
    encode_open(&record(vec![step(1)], account))
}

/// Step of `count` tasks without an end.
pub fn standing_step(count: u32) -> StepSpec {
    StepSpec {
        standing: true,
        ..step(count)
    }
}

/// Step of `count` tasks that each take 100 ms.
pub fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        amount: Amount {
            cpu_milli: 10,
            memory_mb: 1,
            gpus: 0,
        },
        estimate_ms: 100,
        ..StepSpec::default()
    }
}

/// Runs a test on a task set of its own.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// One host, which is the owner, with its workers.
pub struct World {
    pub kv: MemoryKv,
    fleet: Fleet,
    intake: Intake,
    _stop: watch::Sender<bool>,
}

impl World {
    /// Starts a host on the present task set with workers of 64 cores.
    pub async fn start(workers: u32) -> Self {
        Self::start_with(workers, MemoryKv::default()).await
    }

    /// As [`Self::start`], over a store that earlier owners have used.
    pub async fn start_with(workers: u32, kv: MemoryKv) -> Self {
        let name = |worker| format!("label-dispatch-worker-{worker:04}");
        Self::start_named((0..workers).map(name), kv).await
    }

    /// As [`Self::start_with`], with workers of these names.
    pub async fn start_named(names: impl Iterator<Item = String>, kv: MemoryKv) -> Self {
        let fleet = Fleet {
            kv: kv.clone(),
            workers: Rc::default(),
            specs: Rc::default(),
            started: Rc::default(),
            began: Instant::now(),
        };
        kv.put("op/config", b"");
        for name in names {
            kv.put(&format!("servers/{name}"), b"");
        }
        let (stop, stopping) = watch::channel(false);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let settings = EntrySettings {
            name: "host".to_owned(),
            address,
            share: 1.0,
            lease_max: 6_000,
            revocation: Revocation::unbounded(),
            cap_overshoot: 0.0,
        };
        let host = EntryHost::new(fleet.clone(), settings, stopping);
        let intake = host.intake();
        tokio::task::spawn_local(host.run());
        let until = Instant::now() + Duration::from_secs(5);
        while !intake.is_ready() {
            assert!(Instant::now() < until, "the host does not become ready");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Self {
            kv,
            fleet,
            intake,
            _stop: stop,
        }
    }

    /// Submits a job of these steps.
    pub async fn submit(&self, id: u64, steps: Vec<StepSpec>) -> IntakeOutcome {
        let id = JobId(id);
        self.fleet.specs.borrow_mut().insert(id, steps.clone());
        self.intake.submit(id, record(steps, None)).await
    }

    /// Stores a job as a late write does that names no other key.
    pub fn store_unconditionally(&self, id: u64, steps: Vec<StepSpec>) {
        let id = JobId(id);
        self.fleet.specs.borrow_mut().insert(id, steps.clone());
        self.kv.put(
            &format!("intake/job/{id}"),
            &encode_open(&record(steps, None)),
        );
    }

    /// Cancels a job.
    pub async fn cancel(&self, id: u64) -> IntakeOutcome {
        self.intake.cancel(JobId(id), None).await
    }

    /// Whether a task of a job has started.
    pub fn has_started(&self, id: u64) -> bool {
        self.fleet.started.borrow().contains(&JobId(id))
    }

    /// Whether a worker runs a task of a job.
    pub fn runs(&self, id: u64) -> bool {
        let workers = self.fleet.workers.borrow();
        let mut runs = workers.values().flat_map(|worker| &worker.running);
        runs.any(|work| work.task.job == JobId(id))
    }

    /// State of a job.
    pub async fn state(&self, id: u64) -> Option<JobState> {
        match self.intake.state(JobId(id)).await {
            Status::Known(state) => Some(state),
            Status::Missing | Status::Unavailable => None,
        }
    }

    /// Whether a job ends as completed within that time.
    pub async fn completes(&self, id: u64, within: Duration) -> bool {
        let until = Instant::now() + within;
        while self.state(id).await != Some(JobState::Completed) {
            if Instant::now() >= until {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        true
    }
}
