//! Collecting the lines about one job or task from the logs of several processes.

use test_case::test_case;
use verbenahitch::event::trace;

/// Logs of two hosts: `b` accepts the job, `a` owns the dispatching and loses its lease.
const LOGS: &str = r#"
{"time":1000,"level":"INFO","process":"a","entry":{"event":304,"name":"owner-elected","fence":7}}
{"time":2000,"level":"INFO","process":"b","entry":{"event":101,"name":"answered","method":"POST","path":"/q/0a1b","status":200}}
{"time":2010,"level":"INFO","process":"a","entry":{"event":210,"name":"placed","task":"0a1b.0.0.1","run":1,"worker":"w1"}}
{"time":2011,"level":"INFO","process":"a","entry":{"event":210,"name":"placed","task":"0a1bc.0.0.1","run":1,"worker":"w1"}}
  12.5 a {"time":2500,"level":"WARN","process":"a","entry":{"event":305,"name":"owner-lost","cause":"LeaseEnded","fence":7}}
{"time":2400,"level":"INFO","process":"b","text":"job 0a1b was not announced: the owner cannot be asked"}
{"time":3010,"level":"INFO","process":"b","entry":{"event":212,"name":"task-ended","task":"0a1b.0.0.1","run":1,"cause":"done"}}
{"time":9000,"level":"INFO","process":"b","entry":{"event":306,"name":"owner-changed","owner":null}}
fleetbench: 7 days
"#;

#[test]
fn lines_of_a_job_are_merged_in_order_of_time() {
    let found = trace("0a1b", LOGS.lines());
    let expected = [
        "       0 ms  b  A request got its final answer.  method=POST path=/q/0a1b status=200",
        "      10 ms  a  A task was assigned to a worker.  run=1 task=0a1b.0.0.1 worker=w1",
        "     400 ms  b  job 0a1b was not announced: the owner cannot be asked",
        "     500 ms  a  This process is no longer the owner.  cause=LeaseEnded fence=7",
        "    1010 ms  b  A task has ended.  cause=done run=1 task=0a1b.0.0.1",
    ];
    assert_eq!(found.lines, expected);
    assert_eq!(found.unparsed, 1);
}

#[test_case("0a1b.0.0.1", 3; "a task, with an ownership event between its lines")]
#[test_case("0a1bc", 1; "a job whose identifier extends that of another")]
#[test_case("0a", 0; "the beginning of an identifier")]
#[test_case("ffff", 0; "an unknown job")]
fn only_lines_about_the_id_are_found(id: &str, lines: usize) {
    assert_eq!(trace(id, LOGS.lines()).lines.len(), lines);
}
