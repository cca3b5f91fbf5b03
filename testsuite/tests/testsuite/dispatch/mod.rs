//! Dispatching: order, placing, relief, recovery, on the decision logic alone.

mod load;
mod order;
mod recovery;
mod truth;
mod world;
