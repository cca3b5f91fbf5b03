//! No worker is committed beyond its size.

use test_case::test_case;
use verbenahitch::domain::Resources;

struct Fit {
    need: Resources,
    room: Resources,
    fits: bool,
}

#[test_case(Fit { need: Resources::new(2, 100), room: Resources::new(2, 100), fits: true }; "exact")]
#[test_case(Fit { need: Resources::new(2, 100), room: Resources::new(1, 200), fits: false }; "processors short")]
#[test_case(Fit { need: Resources::new(2, 100), room: Resources::new(4, 99), fits: false }; "memory short")]
fn fits_needs_every_resource(case: Fit) {
    assert_eq!(case.need.fits(case.room), case.fits);
    assert_eq!(case.room.checked_sub(case.need).is_some(), case.fits);
}
