//! Cost of a routing decision: choosing an upstream and releasing its slot.
//!
//! Before it measures time, the benchmark counts allocations and fails if a
//! decision makes any.

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use verbenahitch::config::{Declarations, Zone, ZoneState};
use verbenahitch::domain::{Monotonic, Resources};
use verbenahitch::gateway::admission::SlotSignal;
use verbenahitch::gateway::route::{RoutingConfig, Table};
use verbenahitch::port::{HostRecord, HostState};

const NOW: Monotonic = Monotonic(1_000);

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

struct CountingAllocator;

// SAFETY: every call is passed unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: `ptr` came from `alloc` above with this layout.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn table(workers: u16) -> Table {
    let zone = |name: &str| {
        let zone = Zone {
            state: ZoneState::In,
            shards: 1,
            ramp_ms: 1,
        };
        (name.to_owned(), zone)
    };
    let declarations = Declarations {
        zones: [zone("a"), zone("b")].into(),
        ..Declarations::default()
    };
    let hosts: Vec<HostRecord> = (0..workers)
        .map(|number| HostRecord {
            name: format!("w-{number}"),
            zone: if number % 4 == 0 { "a" } else { "b" }.to_owned(),
            rack: "r".to_owned(),
            control: "127.0.0.1:9".to_owned(),
            upstream: format!("127.0.0.1:{}", 10_000 + number),
            slots: 8,
            capacity: Resources::default(),
            state: HostState::Live,
        })
        .collect();
    let config = RoutingConfig {
        name: "gw".to_owned(),
        zone: "a".to_owned(),
        subset: 60,
        silence_ms: 2_000,
        slot_signal: Arc::new(SlotSignal::default()),
    };
    Table::default().next(&config, &hosts, Arc::new(declarations))
}

fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
    *state ^ (*state >> 29)
}

fn check_allocations(table: &Table) {
    let mut state = 1;
    let before = ALLOCATIONS.load(Ordering::Relaxed);
    for _ in 0..10_000 {
        drop(black_box(table.choose(NOW, next_random(&mut state), &[])));
    }
    let allocations = ALLOCATIONS.load(Ordering::Relaxed) - before;
    assert_eq!(allocations, 0, "a routing decision allocates");
}

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("routing");
    for workers in [50, 240, 1_200] {
        let table = table(workers);
        check_allocations(&table);
        for (load, in_flight) in [("idle", 0), ("half", 4), ("full", 8)] {
            let held: Vec<_> = table
                .upstreams()
                .flat_map(|upstream| (0..in_flight).filter_map(|_| upstream.try_take(NOW)))
                .collect();
            let mut state = 1;
            group.bench_function(BenchmarkId::new(load, workers), |bencher| {
                bencher.iter(|| table.choose(NOW, next_random(&mut state), &[]));
            });
            drop(held);
        }
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
