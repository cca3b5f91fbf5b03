//! State local to the node's thread, and the calls that it makes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;

use super::IncomingRequest;
use super::error::CallError;
use super::link::{Connection, Link};
use super::shared::Shared;
use super::wire;
use crate::collections::HashMap;
use crate::config;
use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};
use crate::membership::{Member, MergeOutcome, Table};
use crate::peer_capnp::node;
use crate::scheduler::{Answer, Request, SubmitError};

/// Timeout of a request to the owner of a shard, in milliseconds.
pub(super) const ASK_TIMEOUT_MS: Millis = 5_000;

/// Time after which a refused caller may retry, in milliseconds.
const RETRY_AFTER_MS: Millis = 1_000;

/// Maximum number of processes that are asked for one renewal.
const MAX_RENEWAL_ATTEMPTS: usize = 3;

/// Age of the store's last answer above which a process is not asked to renew, in milliseconds.
const MAX_STORE_AGE_MS: Millis = 5_000;

/// Accepts an open connection regardless of when it last answered.
const ANY_TIME: Monotonic = Monotonic(0);

/// State local to the node's thread.
pub(super) struct Local {
    pub(super) shared: Arc<Shared>,
    pub(super) table: RefCell<Table>,
    pub(super) rng: RefCell<ChaCha8Rng>,
    pub(super) incoming: mpsc::Sender<IncomingRequest>,
    pub(super) heartbeat_ms: Millis,
    pub(super) timeout_ms: Millis,
    links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
}

impl Local {
    pub(super) fn new(
        shared: Arc<Shared>,
        table: Table,
        rng: ChaCha8Rng,
        incoming: mpsc::Sender<IncomingRequest>,
        heartbeat_ms: Millis,
        timeout_ms: Millis,
    ) -> Self {
        Self {
            shared,
            table: RefCell::new(table),
            rng: RefCell::new(rng),
            incoming,
            heartbeat_ms,
            timeout_ms,
            links: RefCell::default(),
        }
    }

    /// Link to `address`, created on first use.
    pub(super) fn link(&self, address: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        let source = self.shared.identity.listen.ip();
        let link = links.entry(address);
        Rc::clone(link.or_insert_with(|| Rc::new(Link::new(address, source))))
    }

    /// Drops the links to addresses for which `keep` is false.
    pub(super) fn prune(&self, keep: impl Fn(SocketAddr) -> bool) {
        self.links.borrow_mut().retain(|address, _| keep(*address));
    }

    /// Time since which an open connection must have answered to be used again;
    /// after a longer silence it may no longer work.
    fn answered_since(&self) -> Monotonic {
        self.shared.now() - 2 * self.heartbeat_ms
    }

    /// Timeout of a call that does not involve the store.
    fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms / 3)
    }

    /// Makes one call over the open connection, or over a new one if the open
    /// one has not answered since `since`.
    pub(super) async fn call<T, F>(
        &self,
        address: SocketAddr,
        since: Monotonic,
        timeout: Duration,
        send: impl FnOnce(&node::Client) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = capnp::Result<T>>,
    {
        let link = self.link(address);
        let now = self.shared.now();
        let opened = link
            .open(&self.shared.token, since, now, self.call_timeout())
            .await;
        let connection = opened.inspect_err(|_| self.back_off(&link))?;
        let outcome = tokio::time::timeout(timeout, send(connection.node())).await;
        let reason = match outcome {
            Ok(Ok(answer)) => {
                link.answered(&connection, self.shared.now());
                return Ok(answer);
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("nothing for {} ms", timeout.as_millis()),
        };
        self.close_and_back_off(&link, &connection);
        Err(CallError::Unanswered {
            reason: format!("{address}: {reason}"),
        })
    }

    fn close_and_back_off(&self, link: &Link, connection: &Rc<Connection>) {
        link.close(connection);
        self.back_off(link);
    }

    fn back_off(&self, link: &Link) {
        let now = self.shared.now();
        link.back_off(now, self.heartbeat_ms, &mut *self.rng.borrow_mut());
    }

    /// Greets the process at `address` and merges the records in its answer.
    pub(super) async fn greet(self: Rc<Self>, address: SocketAddr) {
        let sent = self.shared.now();
        let record = self.shared.record();
        let timeout = self.call_timeout();
        let call = self.call(address, ANY_TIME, timeout, |node| {
            let mut request = node.hello_request();
            wire::write_member(&record, request.get().init_from());
            async move {
                let response = request.send().promise.await?;
                let response = response.get()?;
                let mut members = vec![wire::read_member(response.get_self()?)?];
                for member in response.get_known()? {
                    members.push(wire::read_member(member)?);
                }
                let beats: Vec<_> = response.get_beats()?.iter().map(wire::read_beat).collect();
                Ok((members, beats))
            }
        });
        let Ok((members, beats)) = call.await else {
            return;
        };
        let revision = members[0].revision;
        for member in members {
            self.merge(member, sent);
        }
        for beat in beats {
            let outcome = self.table.borrow_mut().merge_beat(beat, sent);
            if outcome == MergeOutcome::Arrived {
                log::debug!("a lost process is live again, by a beat relayed from {address}");
            }
        }
        self.publish();
        if revision > self.shared.current.load().revision {
            self.fetch_declarations(address).await;
        }
    }

    fn merge(&self, member: Member, sent: Monotonic) {
        let outcome = self.table.borrow_mut().merge_record(member.clone(), sent);
        self.handle_merge(outcome, &member);
    }

    /// Logs an arrival; raises the own incarnation above that of an earlier process
    /// of the same name.
    pub(super) fn handle_merge(&self, outcome: MergeOutcome, member: &Member) {
        match outcome {
            MergeOutcome::Nothing | MergeOutcome::Newer => {}
            MergeOutcome::Arrived => Entry::new(Kind::PeerHeard)
                .with("peer", &member.name)
                .with("role", member.role)
                .with("zone", &member.zone)
                .with("address", member.address)
                .emit(),
            MergeOutcome::OwnName => {
                if member.incarnation > self.shared.incarnation() {
                    self.shared.raise_incarnation(member.incarnation);
                }
            }
        }
    }

    /// Publishes the contents of the table to the rest of the process.
    pub(super) fn publish(&self) {
        let table = self.table.borrow();
        let mut members = table.members(self.shared.now());
        members.push(self.shared.record());
        self.shared.members.store(Arc::new(members));
        self.shared
            .store_reports
            .store(Arc::new(table.store_reports()));
    }

    /// Fetches newer declarations from the process at `address`.
    pub(super) async fn fetch_declarations(&self, address: SocketAddr) {
        let revision = self.shared.current.load().revision;
        let call = self.call(address, ANY_TIME, self.call_timeout(), |node| {
            let mut request = node.declarations_request();
            request.get().set_above(revision);
            async move {
                let response = request.send().promise.await?;
                Ok(response.get()?.get_document()?.to_string()?)
            }
        });
        match call.await {
            Ok(document) if document.is_empty() => {}
            Ok(document) => {
                let source = address.to_string();
                // A malformed document is logged and changes nothing.
                let _ = config::adopt_text(&self.shared.current, &document, &source);
            }
            Err(error) => log::debug!("declarations could not be fetched: {error}"),
        }
    }

    /// Sends the declarations in force to every live process.
    pub(super) async fn announce(self: Rc<Self>) {
        let declarations = self.shared.current.load();
        let Ok(document) = serde_json::to_string(&*declarations) else {
            return;
        };
        let members = self.shared.members.load_full();
        let live = members.iter().filter(|member| self.is_peer(member));
        let calls = live.map(|member| {
            let local = Rc::clone(&self);
            local.send_declarations(member.address, declarations.revision, &document)
        });
        futures::future::join_all(calls).await;
    }

    async fn send_declarations(self: Rc<Self>, address: SocketAddr, revision: u64, document: &str) {
        let call = self.call(address, ANY_TIME, self.call_timeout(), |node| {
            let mut request = node.announce_request();
            request.get().set_revision(revision);
            request.get().set_document(document);
            async move {
                let response = request.send().promise.await?;
                Ok(response.get()?.get_in_force())
            }
        });
        if call.await.is_ok() {
            // Only the answer to a greeting is taken as evidence of the revision there.
            self.greet(address).await;
        }
    }

    /// Whether `member` is another process that is live.
    pub(super) fn is_peer(&self, member: &Member) -> bool {
        member.address != self.shared.address && member.is_live(self.timeout_ms)
    }

    /// Sends a request to the owner of `shard`.
    pub(super) async fn ask(&self, shard: &str, body: &Request) -> Answer {
        let Some(owner) = self.owner(shard) else {
            return unavailable(format!("no owner of shard {shard} is known"));
        };
        let timeout = Duration::from_millis(ASK_TIMEOUT_MS);
        let call = self.call(owner, self.answered_since(), timeout, |node| {
            let mut request = node.ask_request();
            request.get().set_shard(shard);
            let written = wire::write_request(body, request.get().init_request());
            async move {
                written?;
                let response = request.send().promise.await?;
                Ok(response.get()?.get_answer()?.to_string()?)
            }
        });
        match call.await {
            Ok(answer) => serde_json::from_str(&answer)
                .unwrap_or_else(|error| unclear(format!("malformed answer: {error}"))),
            Err(CallError::NotSent { reason }) => unavailable(reason),
            Err(CallError::Unanswered { reason }) => unclear(reason),
        }
    }

    fn owner(&self, shard: &str) -> Option<SocketAddr> {
        let members = self.shared.members.load();
        let owners = members.iter().flat_map(|member| {
            let owned = member.shards.iter().filter(|owned| owned.shard == shard);
            owned.map(move |owned| (owned.epoch, member))
        });
        let live = owners.filter(|(_, member)| member.is_live(self.timeout_ms));
        live.max_by_key(|(epoch, _)| *epoch)
            .map(|(_, member)| member.address)
    }

    /// Renews a store session through a process that reaches the store; `None` if none answers.
    pub(super) async fn renew(&self, session: &str) -> Option<bool> {
        let members = self.shared.members.load_full();
        let mut candidates: Vec<&Member> = members
            .iter()
            .filter(|member| self.is_peer(member) && !member.leaving)
            .filter(|member| {
                member
                    .store_age_ms
                    .is_some_and(|age| age <= MAX_STORE_AGE_MS)
            })
            .collect();
        candidates.sort_by_key(|member| member.store_age_ms);
        for member in candidates.iter().take(MAX_RENEWAL_ATTEMPTS) {
            let call = self.call(
                member.address,
                self.answered_since(),
                2 * self.call_timeout(),
                |node| {
                    let mut request = node.renew_request();
                    request.get().set_session(session);
                    async move {
                        let response = request.send().promise.await?;
                        Ok(response.get()?.get_renewed())
                    }
                },
            );
            if let Ok(renewed) = call.await {
                return Some(renewed);
            }
        }
        None
    }
}

/// Refusal of a request that had no effect.
pub(super) fn unavailable(reason: String) -> Answer {
    let retry_ms = RETRY_AFTER_MS;
    Answer::Refused(SubmitError::Unavailable { reason, retry_ms })
}

fn unclear(reason: String) -> Answer {
    Answer::Refused(SubmitError::Unclear { reason })
}
