//! The load generator counts calls and classifies their answers.

use std::sync::Arc;

use rocket::http::{Header, Status};
use rocket::response::Responder;
use rocket::{Build, Request, Response, Rocket, State};
use test_case::test_case;
use verbenahitch_standin::history::{Rules, Session, check};
use verbenahitch_standin::load::{KindPlan, Plan, run};
use verbenahitch_standin::platform::{Parts, Platform};
use verbenahitch_standin::server::Server;
use verbenahitch_standin::worker::Settings;

fn plan(callers: Vec<std::net::SocketAddr>) -> Plan {
    let kind = |name: &str, weight, keyed| KindPlan {
        name: name.to_owned(),
        path: format!("/{name}"),
        weight,
        keyed,
    };
    Plan {
        label: "load".to_owned(),
        callers,
        kinds: vec![kind("quote", 3.0, false), kind("charge", 1.0, true)],
        rate: 2_000.0,
        swing: 0.5,
        concurrency: 64,
        count: 200,
        duration_ms: 60_000,
        timeout_ms: 20_000,
        seed: 7,
    }
}

#[tokio::test]
async fn upstream_answers_are_complete_and_match_their_calls() {
    let settings = |name: &str| Settings {
        name: name.to_owned(),
        queue: 1_000,
        ..Settings::default()
    };
    let parts = Parts::new(vec![settings("a-w00"), settings("a-w01")]);
    let platform = Platform::start(parts).await.unwrap();
    let upstreams = platform
        .workers()
        .iter()
        .map(|worker| worker.record().upstream);
    let upstreams: Vec<_> = upstreams.map(|address| address.parse().unwrap()).collect();
    let report = run(&plan(upstreams)).await;
    let answered: Vec<u64> = report.kinds.values().map(|kind| kind.answered).collect();
    // The seed determines the kind of each call.
    assert_eq!(answered, [52, 148], "{report}");
    assert!(
        report
            .kinds
            .values()
            .all(|kind| kind.p50_us > 0 && kind.p999_us <= kind.max_us)
    );
    let session = Session {
        workers: platform.histories(),
        calls: report.calls,
        ..Session::default()
    };
    assert_eq!(session.workers[0].requests.len(), 100);
    let rules = Rules {
        once_kinds: ["charge".to_owned()].into(),
        ..Rules::default()
    };
    assert_eq!(check(&session, &rules), []);
}

/// Answer of the test server to every call.
#[derive(Clone, Copy)]
enum Reply {
    NotRun,
    Unknown,
    Empty,
    OtherCall,
    Truncated,
    Failed,
}

struct TestAnswer {
    reply: Reply,
    call_id: String,
}

impl<'r> Responder<'r, 'static> for TestAnswer {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        let mut response = Response::build();
        let mut body = |call_id: &str| {
            let text = format!(
                r#"{{"request-id":"","call-id":"{call_id}","worker":"w","kind":"k","echo":""}}"#
            );
            response.sized_body(text.len(), std::io::Cursor::new(text));
        };
        match self.reply {
            Reply::OtherCall => body("other"),
            Reply::Truncated => body(&self.call_id),
            Reply::Empty => {}
            Reply::Failed => _ = response.status(Status::InternalServerError),
            Reply::NotRun => _ = response.header(Header::new("verbenahitch-not-run", "true")),
            Reply::Unknown => _ = response.header(Header::new("verbenahitch-outcome", "unknown")),
        }
        response.ok()
    }
}

#[rocket::post("/<_>/<call_id>")]
fn answer(call_id: String, reply: &State<Reply>) -> TestAnswer {
    TestAnswer {
        reply: **reply,
        call_id,
    }
}

#[test_case(Reply::NotRun, [1, 0, 0, 0]; "not run")]
#[test_case(Reply::Unknown, [0, 1, 0, 0]; "unknown")]
#[test_case(Reply::Failed, [0, 0, 1, 0]; "failed")]
#[test_case(Reply::Empty, [0, 0, 0, 1]; "empty")]
#[test_case(Reply::OtherCall, [0, 0, 0, 1]; "answer to another call")]
#[test_case(Reply::Truncated, [0, 0, 0, 1]; "truncated answer")]
#[tokio::test]
async fn an_answer_is_counted_under_its_outcome(reply: Reply, expected: [u64; 4]) {
    let mount =
        move |rocket: Rocket<Build>| rocket.manage(reply).mount("/", rocket::routes![answer]);
    let any_port = "127.0.0.1:0".parse().unwrap();
    let server = Server::start(any_port, Arc::new(mount)).await.unwrap();
    let full_plan = plan(vec![server.address()]);
    let plan = Plan {
        kinds: full_plan.kinds[..1].to_vec(),
        count: 1,
        ..full_plan
    };
    let report = run(&plan).await;
    let kind = report.kinds["quote"];
    let counts = [kind.not_run, kind.unknown, kind.broken, kind.wrong];
    assert_eq!(counts, expected, "{:?}", report.calls);
    assert_eq!((kind.sent, kind.answered), (1, 0));
}

#[tokio::test]
async fn a_keyed_call_with_unknown_outcome_is_repeated_once_with_its_key() {
    let mount = move |rocket: Rocket<Build>| {
        rocket
            .manage(Reply::Unknown)
            .mount("/", rocket::routes![answer])
    };
    let any_port = "127.0.0.1:0".parse().unwrap();
    let server = Server::start(any_port, Arc::new(mount)).await.unwrap();
    let full_plan = plan(vec![server.address()]);
    let plan = Plan {
        kinds: full_plan.kinds[1..].to_vec(),
        count: 1,
        ..full_plan
    };
    let report = run(&plan).await;
    let keys: Vec<_> = report
        .calls
        .iter()
        .map(|call| call.key.as_deref())
        .collect();
    assert_eq!(keys, [Some("key-load-0"); 2]);
    assert_ne!(report.calls[0].call_id, report.calls[1].call_id);
}
