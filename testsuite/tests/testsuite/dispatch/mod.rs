//! Tests of the dispatcher with simulated workers and a simulated store.

mod attempts;
mod backlogs;
mod capacity;
mod caps;
mod crash_bases;
mod crash_late;
mod crash_mixes;
mod crash_silence;
mod crash_storms;
mod crashes;
mod cut_off;
mod execution;
mod images;
mod incarnations;
mod kept_out;
mod kinds;
mod load;
mod odd_entries;
mod odd_values;
mod order;
mod overload;
mod recovery;
mod refusals;
mod room_schedules;
mod shares;
mod world;
