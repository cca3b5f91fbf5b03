//! Tests of verbenahitch by feature.

mod placement;
