//! Server side of the peer interface.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::Error;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use rand::seq::IndexedRandom;
use subtle::ConstantTimeEq;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use super::IncomingRequest;
use super::link::network;
use super::local::{ASK_TIMEOUT_MS, Local, unavailable};
use super::wire;
use crate::config;
use crate::domain::Millis;
use crate::event::{Entry, Kind};
use crate::membership::{Member, MergeOutcome};
use crate::peer_capnp::{login, node};
use crate::scheduler::Answer;

/// Maximum time from the connection to the login, in milliseconds.
const LOGIN_TIMEOUT_MS: Millis = 2_000;

/// Maximum time that a connection stays open without a call, in milliseconds.
const IDLE_TIMEOUT_MS: Millis = 60_000;

/// Maximum number of other processes whose whole records one answer to a greeting relays.
const MAX_RELAYED_RECORDS: usize = 2;

/// One accepted connection, before its login.
struct LoginServer {
    local: Rc<Local>,
    from: SocketAddr,
    calls: Rc<Cell<u64>>,
}

/// One accepted connection, after its login.
struct NodeServer {
    local: Rc<Local>,
    from: SocketAddr,
    calls: Rc<Cell<u64>>,
}

/// Serves one connection until it ends, has been idle for too long, or fails to log in in time.
pub(super) async fn serve(local: Rc<Local>, stream: TcpStream, from: SocketAddr) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let calls = Rc::new(Cell::new(0));
    let login: login::Client = capnp_rpc::new_client(LoginServer {
        local,
        from,
        calls: Rc::clone(&calls),
    });
    let rpc = RpcSystem::new(Box::new(network(stream, Side::Server)), Some(login.client));
    tokio::select! {
        _ = rpc => {}
        () = idle_timeout(calls) => log::debug!("connection from {from} closed: no call in time"),
    }
}

/// Completes when no call has arrived within the time limit.
async fn idle_timeout(calls: Rc<Cell<u64>>) {
    let mut limit_ms = LOGIN_TIMEOUT_MS;
    loop {
        let seen = calls.get();
        tokio::time::sleep(Duration::from_millis(limit_ms)).await;
        if calls.get() == seen {
            return;
        }
        limit_ms = IDLE_TIMEOUT_MS;
    }
}

impl login::Server for LoginServer {
    async fn login(
        self: Rc<Self>,
        params: login::LoginParams,
        mut results: login::LoginResults,
    ) -> capnp::Result<()> {
        let given = params.get()?.get_token()?.as_bytes();
        let expected = self.local.shared.token.as_bytes();
        if !bool::from(given.ct_eq(expected)) {
            Entry::new(Kind::PeerRejected)
                .with("from", self.from)
                .emit();
            return Err(Error::failed("the token is not valid".to_owned()));
        }
        self.calls.set(self.calls.get() + 1);
        let server = NodeServer {
            local: Rc::clone(&self.local),
            from: self.from,
            calls: Rc::clone(&self.calls),
        };
        results.get().set_node(capnp_rpc::new_client(server));
        Ok(())
    }
}

impl NodeServer {
    fn count_call(&self) {
        self.calls.set(self.calls.get() + 1);
    }

    /// Merges a greeting, and greets a process that is new or live again.
    fn handle_greeting(&self, member: &Member) {
        let now = self.local.shared.now();
        let outcome = self
            .local
            .table
            .borrow_mut()
            .merge_greeting(member.clone(), now);
        self.local.handle_merge(outcome, member);
        if outcome == MergeOutcome::Arrived {
            self.local.publish();
            let local = Rc::clone(&self.local);
            tokio::task::spawn_local(local.greet(member.address));
        }
    }

    /// Records to relay whole: a later one under the name of the greeting process,
    /// which must raise its incarnation above it, and a random few of the others.
    fn records_to_relay(&self, records: &[Member], from: &Member) -> Vec<Member> {
        let mut chosen: Vec<Member> = Vec::new();
        chosen.extend(self.local.table.borrow().later_incarnation(from).cloned());
        let others: Vec<&Member> = records.iter().filter(|r| r.name != from.name).collect();
        let rng = &mut *self.local.rng.borrow_mut();
        let sample = others.choose_multiple(rng, MAX_RELAYED_RECORDS);
        chosen.extend(sample.map(|record| (*record).clone()));
        chosen
    }
}

impl node::Server for NodeServer {
    async fn hello(
        self: Rc<Self>,
        params: node::HelloParams,
        mut results: node::HelloResults,
    ) -> capnp::Result<()> {
        self.count_call();
        let from = wire::read_member(params.get()?.get_from()?)?;
        self.handle_greeting(&from);
        let shared = &self.local.shared;
        let now = shared.now();
        let mut results = results.get();
        let records = self.local.table.borrow().relay_records(now);
        let beats: Vec<_> = records.iter().map(Member::to_beat).collect();
        let chosen = self.records_to_relay(&records, &from);
        wire::write_member(&shared.record(), results.reborrow().init_self());
        let mut known = results.reborrow().init_known(list_length(chosen.len()));
        for (index, member) in (0..).zip(&chosen) {
            wire::write_member(member, known.reborrow().get(index));
        }
        let mut to = results.init_beats(list_length(beats.len()));
        for (index, beat) in (0..).zip(&beats) {
            wire::write_beat(beat, to.reborrow().get(index));
        }
        if from.revision > shared.current.load().revision {
            let local = Rc::clone(&self.local);
            tokio::task::spawn_local(async move { local.fetch_declarations(from.address).await });
        }
        Ok(())
    }

    async fn declarations(
        self: Rc<Self>,
        params: node::DeclarationsParams,
        mut results: node::DeclarationsResults,
    ) -> capnp::Result<()> {
        self.count_call();
        let above = params.get()?.get_above();
        let declarations = self.local.shared.current.load();
        if declarations.revision > above {
            let document = serde_json::to_string(&*declarations);
            let document = document.map_err(|error| Error::failed(error.to_string()))?;
            results.get().set_revision(declarations.revision);
            results.get().set_document(&document);
        }
        Ok(())
    }

    async fn announce(
        self: Rc<Self>,
        params: node::AnnounceParams,
        mut results: node::AnnounceResults,
    ) -> capnp::Result<()> {
        self.count_call();
        let params = params.get()?;
        let current = &self.local.shared.current;
        if params.get_revision() > current.load().revision {
            let document = params.get_document()?.to_str()?;
            // A malformed document is logged and changes nothing.
            let _ = config::adopt_text(current, document, &self.from.to_string());
        }
        results.get().set_in_force(current.load().revision);
        Ok(())
    }

    async fn ask(
        self: Rc<Self>,
        params: node::AskParams,
        mut results: node::AskResults,
    ) -> capnp::Result<()> {
        self.count_call();
        let params = params.get()?;
        let shard = params.get_shard()?.to_string()?;
        let request = wire::read_request(params.get_request()?)?;
        let (reply, answer) = oneshot::channel();
        let incoming = IncomingRequest {
            shard,
            request,
            reply,
        };
        let answer = if self.local.incoming.try_send(incoming).is_err() {
            unavailable("the process takes no requests now".to_owned())
        } else {
            let timeout = Duration::from_millis(ASK_TIMEOUT_MS);
            let answer = tokio::time::timeout(timeout, answer).await;
            let answer = answer.map_err(|_| Error::failed("no answer in time".to_owned()))?;
            answer.map_err(|_| Error::failed("the request was dropped".to_owned()))?
        };
        let answer: Answer = answer;
        let text = serde_json::to_string(&answer);
        let text = text.map_err(|error| Error::failed(error.to_string()))?;
        results.get().set_answer(&text);
        Ok(())
    }

    async fn renew(
        self: Rc<Self>,
        params: node::RenewParams,
        mut results: node::RenewResults,
    ) -> capnp::Result<()> {
        self.count_call();
        let session = params.get()?.get_session()?.to_string()?;
        let store = self.local.shared.store.load_full();
        let store = store.ok_or_else(|| Error::failed("no store".to_owned()))?;
        let renewed = store.renew_session(&session).await;
        let renewed = renewed.map_err(|error| Error::failed(error.to_string()))?;
        results.get().set_renewed(renewed);
        Ok(())
    }
}

fn list_length(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
