//! What the owner keeps of images whose names its callers choose.

use test_case::test_case;
use verbenahitch::dispatch::{Pressure, PressureRecord};

use super::world::{World, filler, job, standing};

/// Pairs of images that an earlier owner learned.
struct Case {
    fillers: usize,
    standing: usize,
    /// Text that is repeated in front of each name, and how often.
    part: &'static str,
    times: usize,
}

fn learned(case: &Case) -> PressureRecord {
    let name = |kind: &str, at: usize| format!("{}{kind}-{at}", case.part.repeat(case.times));
    let pairs = (0..case.fillers).flat_map(|filler| {
        (0..case.standing).map(move |standing| {
            Pressure(name("filler", filler), name("standing", standing), 12.34)
        })
    });
    PressureRecord::from(pairs.collect::<Vec<_>>())
}

// Guards against a record of learned pressures without a bound in bytes.
#[test_case(Case { fillers: 9, standing: 5, part: "", times: 0 }, Some(45); "few images")]
#[test_case(Case { fillers: 80, standing: 72, part: "r", times: 100 }, None; "many images")]
#[test_case(Case { fillers: 40, standing: 16, part: "r", times: 3_900 }, Some(640); "long names")]
#[test_case(Case { fillers: 40, standing: 40, part: "\u{1}\"", times: 60 }, None; "escaped names")]
#[test_case(Case { fillers: 40, standing: 40, part: "\u{1F600}", times: 1_000 }, None; "wide names")]
#[test_case(Case { fillers: 9_000, standing: 2, part: "r", times: 30 }, None; "more images than fit")]
#[test_case(Case { fillers: 300, standing: 300, part: "", times: 0 }, None; "more pairs than are kept")]
fn the_record_of_learned_pressures_fits_its_bound(case: Case, rows: Option<usize>) {
    let mut world = World::new(1);
    world.dispatcher.restore_pressures(&learned(&case));
    for max_bytes in [65_536, 4_096, 500, 0] {
        let record = world.dispatcher.pressure_record(max_bytes);
        let bytes = serde_json::to_vec(&record).unwrap().len();
        let empty = serde_json::to_vec(&PressureRecord::default())
            .unwrap()
            .len();
        assert!(bytes <= max_bytes.max(empty), "{bytes} of {max_bytes}");
        let count = record.pressures().count();
        if max_bytes == 65_536 {
            assert!(count >= rows.unwrap_or(100), "{count} rows");
        }
        let decoded: PressureRecord =
            serde_json::from_slice(&serde_json::to_vec(&record).unwrap()).unwrap();
        assert_eq!(decoded, record);
    }
}

// Guards against images that push out those whose tasks run.
#[test]
fn pressures_of_running_images_outlive_those_of_ended_builds() {
    let mut world = World::new(2);
    let old = Case {
        fillers: 200,
        standing: 160,
        part: "r",
        times: 60,
    };
    world.dispatcher.restore_pressures(&learned(&old));
    let pair = ("heavy".to_owned(), "weak".to_owned());
    world.pressures.insert(pair, 12.0);
    world.submit(1, "push", job(vec![standing(6, 4, "weak")]));
    world.run(1_000);
    for wave in 0..6 {
        world.submit(100 + wave, "batch", job(vec![filler(2, 2, 1_500, "heavy")]));
        world.run(1_500);
    }
    let record = world.dispatcher.pressure_record(500);
    let mut rows = record.pressures();
    let heavy = rows.find(|row| (row.0, row.1) == ("heavy", "weak"));
    assert!(heavy.is_some_and(|row| row.2 > 2.0), "{record:?}");
}

// Guards against long names that are cut to the same one.
#[test]
fn long_names_with_one_beginning_stay_apart() {
    let mut world = World::new(1);
    let case = Case {
        fillers: 3,
        standing: 1,
        part: "r",
        times: 500,
    };
    world.dispatcher.restore_pressures(&learned(&case));
    assert_eq!(
        world.dispatcher.pressure_record(65_536).pressures().count(),
        3
    );
}
