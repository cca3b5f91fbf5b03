//! Stand-ins as separate processes.

use std::io::{BufRead as _, BufReader, Write as _};
use std::path::Path;
use std::process::{Child, Command, Stdio};

use verbenahitch::adapter::{HostList, Store};
use verbenahitch_standin::load::Report;
use verbenahitch_standin::platform::Addresses;

struct Process {
    child: Child,
    addresses: Addresses,
}

impl Process {
    fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_testsuite-standin"))
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let output = child.stdout.as_mut().unwrap();
        BufReader::new(output).read_line(&mut line).unwrap();
        let addresses = serde_json::from_str(&line).unwrap();
        Self { child, addresses }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process exits when its standard input closes.
        drop(self.child.stdin.take());
        self.child.wait().unwrap();
    }
}

#[tokio::test]
async fn the_platform_command_prints_its_addresses_and_serves() {
    let pool = std::env::temp_dir().join(format!("pool-{}.jsonc", std::process::id()));
    let mut file = std::fs::File::create(&pool).unwrap();
    write!(
        file,
        r#"{{ // Two racks.
            "zones": ["a", "b"], "workers": 5, "rack-size": 2,
            "capacity": {{ "millicores": 16000, "memory-mib": 61440 }} }}"#
    )
    .unwrap();
    let process = Process::start(&["platform", "--pool", pool.to_str().unwrap()]);
    std::fs::remove_file(&pool).unwrap();
    let addresses = &process.addresses;
    assert_eq!(addresses.workers.len(), 5);
    let hosts = HostList::new(&addresses.hosts.unwrap().to_string(), "worker", 5_000);
    let mut listed = hosts.read().await.unwrap();
    listed.sort_by(|a, b| a.name.cmp(&b.name));
    let racks: Vec<&str> = listed.iter().map(|host| host.rack.as_str()).collect();
    assert_eq!(racks, ["a-r0", "a-r0", "a-r1", "b-r0", "b-r0"]);
    let store = Store::new(&addresses.store.unwrap().to_string(), 5_000);
    assert!(store.cas("key", b"value".to_vec(), 0).await.unwrap());
    let calls = format!("http://{}/store/calls", addresses.control);
    let calls = reqwest::get(calls).await.unwrap().text().await.unwrap();
    assert!(calls.contains(r#""writes":1"#), "{calls}");
}

#[test]
fn the_load_command_prints_the_answered_calls() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let pool = root.join("crates/standin/fixtures/kilele/pool.jsonc");
    let process = Process::start(&["platform", "--pool", pool.to_str().unwrap()]);
    let declarations = root.join("examples/kilele/declarations.jsonc");
    let output = Command::new(env!("CARGO_BIN_EXE_testsuite-standin"))
        .args(["load", "--json", "--count", "60", "--rate", "500"])
        .args(["--callers", &process.addresses.workers[0].upstream])
        .args(["--callers", &process.addresses.workers[1].upstream])
        .args(["--concurrency", "8"])
        .arg("--declarations")
        .arg(declarations)
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    let report: Report = serde_json::from_slice(&output.stdout).unwrap();
    let answered: Vec<u64> = report.kinds.values().map(|kind| kind.answered).collect();
    assert_eq!(answered.len(), 3);
    assert_eq!(answered.iter().sum::<u64>(), 60);
}
