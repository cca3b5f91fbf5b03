//! The example files and fixtures of each deployment are consistent with each other.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use test_case::test_case;
use verbenahitch::settings::{Settings, load, load_declarations};
use verbenahitch_standin::platform::Pool;

struct Example {
    name: &'static str,
    zones: usize,
    workers: usize,
    racks: usize,
}

fn root() -> PathBuf {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
    manifest.parent().unwrap().to_owned()
}

fn entry_hosts(name: &str) -> Vec<Settings> {
    let folder = root().join("examples").join(name);
    let files = std::fs::read_dir(folder).unwrap();
    let files = files.map(|file| file.unwrap().path());
    let is_entry = |file: &PathBuf| {
        file.file_name()
            .unwrap()
            .to_string_lossy()
            .starts_with("entry-")
    };
    let mut files: Vec<PathBuf> = files.filter(is_entry).collect();
    files.sort();
    files.iter().map(|file| load(file).unwrap()).collect()
}

#[test_case(Example { name: "chikugo", zones: 4, workers: 50, racks: 10 }; "chikugo")]
#[test_case(Example { name: "kilele", zones: 3, workers: 65, racks: 6 }; "kilele")]
fn example_files_are_consistent(example: Example) {
    let file = root()
        .join("examples")
        .join(example.name)
        .join("declarations.jsonc");
    let declarations = load_declarations(&file).unwrap();
    let zones: BTreeSet<String> = declarations.zones.keys().cloned().collect();
    assert_eq!(zones.len(), example.zones);

    let hosts = entry_hosts(example.name);
    assert_eq!(hosts.len(), 7);
    let host_zones: BTreeSet<String> = hosts.iter().map(|host| host.zone.clone()).collect();
    assert_eq!(host_zones, zones);
    let addresses: BTreeSet<_> = hosts.iter().flat_map(addresses).collect();
    assert_eq!(addresses.len(), 7 * 6);
    let names: BTreeSet<_> = hosts.iter().map(|host| &host.name).collect();
    assert_eq!(names.len(), 7);
    for seed in hosts.iter().flat_map(|host| &host.peers.seeds) {
        assert!(addresses.contains(&seed.address), "{}", seed.address);
    }

    let fixture = root().join("crates/standin/fixtures").join(example.name);
    let pool = Pool::load(&fixture.join("pool.jsonc")).unwrap();
    let workers = pool.settings(1);
    assert_eq!(workers.len(), example.workers);
    let racks: BTreeSet<_> = workers.iter().map(|worker| &worker.rack).collect();
    assert_eq!(racks.len(), example.racks);
    let worker_zones: BTreeSet<String> = workers.iter().map(|worker| worker.zone.clone()).collect();
    assert_eq!(worker_zones, zones);
    let paths = declarations
        .kinds
        .values()
        .map(|kind| kind.path.trim_matches('/'));
    let paths: BTreeSet<&str> = paths.collect();
    let service_paths: BTreeSet<&str> = pool.service.keys().map(String::as_str).collect();
    assert_eq!(paths, service_paths);
    let once = declarations.kinds.values().filter(|kind| {
        let profile = &declarations.profiles[&kind.profile];
        !profile.idempotent
    });
    assert_eq!(once.count(), 1);
}

fn addresses(host: &Settings) -> Vec<std::net::SocketAddr> {
    vec![
        host.gateway.callers,
        host.gateway.operators,
        host.gateway.metrics,
        host.gateway.peers,
        host.scheduler.metrics,
        host.scheduler.peers,
    ]
}
