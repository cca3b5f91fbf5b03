//! Which route a request is for.

use test_case::test_case;
use verbenahitch::dispatch::Queue;
use verbenahitch::entry::routes::RouteTable;
use verbenahitch::port::QueueRoute;

pub(super) fn route(host: &str, prefix: &str, public: bool) -> QueueRoute {
    QueueRoute {
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        queue: Queue {
            name: prefix.to_owned(),
            pool: "pool".to_owned(),
            priority: 0,
            attempts: 1,
            stretch: 1.0,
            target_ms: 0,
        },
        public,
    }
}

struct Request {
    host: &'static str,
    path: &'static str,
    found: Option<(usize, &'static str)>,
}

#[test_case(Request { host: "a.example", path: "/p/1", found: Some((0, "1")) }; "a prefix")]
#[test_case(Request { host: "A.Example:8080", path: "/p/1", found: Some((0, "1")) }; "the host's case and port do not count")]
#[test_case(Request { host: "a.example", path: "/p/q/1", found: Some((1, "1")) }; "the longest prefix")]
#[test_case(Request { host: "a.example", path: "/p/q", found: Some((0, "q")) }; "a path that ends within the longest prefix")]
#[test_case(Request { host: "a.example", path: "/x", found: Some((3, "x")) }; "the shortest prefix")]
#[test_case(Request { host: "b.example", path: "/p/1", found: Some((4, "1")) }; "the later of two equal routes")]
#[test_case(Request { host: "b.example", path: "/x", found: None }; "no prefix")]
#[test_case(Request { host: "c.example", path: "/p/1", found: None }; "no host")]
#[test_case(Request { host: "a.example", path: "/pé/1", found: Some((3, "pé/1")) }; "a prefix length within a character")]
#[test_case(Request { host: "", path: "", found: None }; "nothing")]
fn finds(case: Request) {
    let table = RouteTable::new(&[
        route("a.example", "/p/", false),
        route("A.example", "/p/q/", false),
        route("b.example", "/p/", false),
        route("a.example", "/", false),
        route("b.example", "/p/", false),
    ]);
    assert_eq!(table.find(case.host, case.path), case.found);
}
