//! Cost of finding out who a caller is: digest of the key, look-up and age.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use verbenahitch::dispatch::{Account, Amount, Queue};
use verbenahitch::domain::Monotonic;
use verbenahitch::entry::accounts::{InForce, Revocation};
use verbenahitch::port::{KeyDigest, KeyedAccount, QueueRoute, Queues};

const KEYS_AN_ACCOUNT: usize = 20;

fn key(number: usize) -> String {
    format!("key-{number:016}")
}

fn account(number: usize) -> KeyedAccount {
    let keys = (0..KEYS_AN_ACCOUNT).map(|key| number * KEYS_AN_ACCOUNT + key);
    KeyedAccount {
        account: Account {
            name: format!("account-{number}"),
            weight: 1.0,
            cap: Amount::default(),
        },
        keys: keys.map(|number| KeyDigest::new(&key(number))).collect(),
    }
}

fn route(number: usize) -> QueueRoute {
    QueueRoute {
        host: format!("h{}.example", number % 4),
        prefix: format!("/queue-{number}/"),
        queue: Queue {
            name: format!("queue-{number}"),
            pool: "pool".to_owned(),
            priority: 0,
            attempts: 1,
            stretch: 1.0,
            target_ms: 0,
        },
        public: false,
    }
}

fn in_force(keys: usize, routes: usize) -> InForce {
    let mut in_force = InForce::new(Revocation::strict(5_000));
    let accounts = (0..keys / KEYS_AN_ACCOUNT).map(account).collect();
    in_force.offer(
        1,
        Queues {
            version: 1,
            routes: (0..routes).map(route).collect(),
            accounts: Some(accounts),
        },
    );
    in_force.list(Monotonic(1_000));
    in_force
}

fn bench(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("authenticate");
    for keys in [20, 10_000] {
        let in_force = in_force(keys, 3);
        let (good, now) = (key(keys / 2), Monotonic(2_000));
        let caller = |text: &str| {
            let digest = KeyDigest::new(text);
            in_force.admit(now, true, false, Some(&digest))
        };
        assert!(caller(&good).is_ok() && caller("unknown").is_err());
        group.bench_function(BenchmarkId::new("good", keys), |bencher| {
            bencher.iter(|| caller(black_box(&good)));
        });
        group.bench_function(BenchmarkId::new("unknown", keys), |bencher| {
            bencher.iter(|| caller(black_box("key-unknown-000000")));
        });
    }
    group.finish();
    let mut group = criterion.benchmark_group("find-route");
    for routes in [3, 1_400] {
        let in_force = in_force(20, routes);
        let declared = in_force.declared().expect("it was offered");
        let path = format!("/queue-{}/5c0e7a21d94b36f8", routes - 1);
        let host = format!("h{}.example", (routes - 1) % 4);
        assert!(declared.find(&host, &path).is_some());
        group.bench_function(BenchmarkId::from_parameter(routes), |bencher| {
            bencher.iter(|| declared.find(black_box(&host), black_box(&path)).is_some());
        });
    }
    group.finish();
    let mut group = criterion.benchmark_group("adopt");
    for keys in [20, 10_000] {
        group.bench_function(BenchmarkId::from_parameter(keys), |bencher| {
            bencher.iter(|| in_force(black_box(keys), 3));
        });
    }
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
