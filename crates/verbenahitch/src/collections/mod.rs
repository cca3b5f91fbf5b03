//! Collections with a fast, non-cryptographic hasher.
//!
//! Keys that a caller chooses freely are bounded in number by the settings, so
//! that flooding one bucket cannot cost more than the bound.

/// Hash map with the fast hasher.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the fast hasher.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
