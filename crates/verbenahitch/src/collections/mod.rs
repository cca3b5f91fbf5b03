//! Collections with a fast, non-cryptographic hasher.
//!
//! The settings bound the number of keys that callers choose freely, which also
//! bounds the cost of deliberate hash collisions.

/// Hash map with the fast hasher.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the fast hasher.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
