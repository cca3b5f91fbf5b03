//! What this process answers to the others.

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

use super::Incoming;
use super::link::network;
use super::local::{ASK_LIMIT_MS, Local, unavailable};
use super::wire;
use crate::config;
use crate::domain::Millis;
use crate::event::{Entry, Kind};
use crate::membership::{Learnt, Member};
use crate::peer_capnp::{login, node};
use crate::scheduler::Answer;

/// Longest time from the connection to the login, in milliseconds.
const LOGIN_LIMIT_MS: Millis = 2_000;

/// Longest time that a connection stays open without a call, in milliseconds.
const IDLE_LIMIT_MS: Millis = 60_000;

/// Most records that one answer to a greeting passes on whole.
const RELAYED_RECORDS: usize = 2;

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

/// Serves one connection until it ends, stays silent, or does not log in.
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
        () = silence(calls) => log::debug!("connection from {from} closed for its silence"),
    }
}

/// Ends when no call has arrived for too long.
async fn silence(calls: Rc<Cell<u64>>) {
    let mut limit_ms = LOGIN_LIMIT_MS;
    loop {
        let seen = calls.get();
        tokio::time::sleep(Duration::from_millis(limit_ms)).await;
        if calls.get() == seen {
            return;
        }
        limit_ms = IDLE_LIMIT_MS;
    }
}

impl login::Server for LoginServer {
    async fn login(
        self: Rc<Self>,
        params: login::LoginParams,
        mut results: login::LoginResults,
    ) -> capnp::Result<()> {
        let shown = params.get()?.get_token()?.as_bytes();
        let expected = self.local.shared.token.as_bytes();
        if !bool::from(shown.ct_eq(expected)) {
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
    fn count(&self) {
        self.calls.set(self.calls.get() + 1);
    }

    /// Notes a greeting, and greets back whoever is new.
    fn meet(&self, member: &Member) {
        let now = self.local.shared.now();
        let learnt = self.local.table.borrow_mut().greeted(member.clone(), now);
        self.local.note(learnt, member);
        if learnt == Learnt::Arrived {
            self.local.publish();
            let local = Rc::clone(&self.local);
            tokio::task::spawn_local(local.greet(member.address));
        }
    }

    /// Records to pass on whole: a later one of the greeting process itself,
    /// which has to outlive it, and a random few of the others.
    fn relayed(&self, records: &[Member], from: &Member) -> Vec<Member> {
        let mut chosen: Vec<Member> = Vec::new();
        chosen.extend(self.local.table.borrow().later(from).cloned());
        let others: Vec<&Member> = records.iter().filter(|r| r.name != from.name).collect();
        let rng = &mut *self.local.rng.borrow_mut();
        let few = others.choose_multiple(rng, RELAYED_RECORDS);
        chosen.extend(few.map(|record| (*record).clone()));
        chosen
    }
}

impl node::Server for NodeServer {
    async fn hello(
        self: Rc<Self>,
        params: node::HelloParams,
        mut results: node::HelloResults,
    ) -> capnp::Result<()> {
        self.count();
        let from = wire::read_member(params.get()?.get_from()?)?;
        self.meet(&from);
        let shared = &self.local.shared;
        let now = shared.now();
        let mut results = results.get();
        let records = self.local.table.borrow().relayed(now);
        let beats: Vec<_> = records.iter().map(Member::pulse).collect();
        let chosen = self.relayed(&records, &from);
        wire::write_member(&shared.record(), results.reborrow().init_self());
        let mut known = results.reborrow().init_known(count(chosen.len()));
        for (index, member) in (0..).zip(&chosen) {
            wire::write_member(member, known.reborrow().get(index));
        }
        let mut to = results.init_beats(count(beats.len()));
        for (index, beat) in (0..).zip(&beats) {
            wire::write_beat(beat, to.reborrow().get(index));
        }
        if from.revision > shared.current.load().revision {
            let local = Rc::clone(&self.local);
            tokio::task::spawn_local(async move { local.fetch(from.address).await });
        }
        Ok(())
    }

    async fn declarations(
        self: Rc<Self>,
        params: node::DeclarationsParams,
        mut results: node::DeclarationsResults,
    ) -> capnp::Result<()> {
        self.count();
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
        self.count();
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
        self.count();
        let params = params.get()?;
        let shard = params.get_shard()?.to_string()?;
        let request = wire::read_request(params.get_request()?)?;
        let (reply, answer) = oneshot::channel();
        let incoming = Incoming {
            shard,
            request,
            reply,
        };
        let answer = if self.local.incoming.try_send(incoming).is_err() {
            unavailable("the process takes no requests now".to_owned())
        } else {
            let limit = Duration::from_millis(ASK_LIMIT_MS);
            let answer = tokio::time::timeout(limit, answer).await;
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
        self.count();
        let session = params.get()?.get_session()?.to_string()?;
        let store = self.local.shared.store.load_full();
        let store = store.ok_or_else(|| Error::failed("no store".to_owned()))?;
        let renewed = store.renew_session(&session).await;
        let renewed = renewed.map_err(|error| Error::failed(error.to_string()))?;
        results.get().set_renewed(renewed);
        Ok(())
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
