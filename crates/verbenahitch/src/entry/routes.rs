//! Look-up of the queue that a request is for.
//!
//! Load pattern: every request asks, on hosts with a small part of a core; operators
//! declare a dozen routes or, at once, more than a thousand. The cost of a look-up depends
//! on the number of different prefix lengths of a host name, not on that of routes.

use std::borrow::Cow;

use crate::collections::HashMap;
use crate::port::QueueRoute;

/// Routes of one host name.
#[derive(Clone, Debug, Default)]
struct Prefixes {
    /// Position of the route by its prefix.
    routes: HashMap<String, usize>,
    /// Lengths of the prefixes, longest first.
    lengths: Vec<usize>,
}

/// Index of routes by host name and path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Prefixes>,
}

impl RouteTable {
    /// Indexes routes. Of two with the same host and prefix the later one applies.
    pub fn new(routes: &[QueueRoute]) -> Self {
        let mut table = Self::default();
        for (position, route) in routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            let prefixes = table.hosts.entry(host).or_default();
            prefixes.routes.insert(route.prefix.clone(), position);
            prefixes.lengths.push(route.prefix.len());
        }
        for prefixes in table.hosts.values_mut() {
            prefixes.lengths.sort_unstable_by(|a, b| b.cmp(a));
            prefixes.lengths.dedup();
        }
        table
    }

    /// Position of the route with the longest prefix of `path`, and the rest of the path.
    /// `host` may name a port.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(usize, &'a str)> {
        let host = host.split(':').next().unwrap_or_default();
        let host = if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            Cow::Owned(host.to_ascii_lowercase())
        } else {
            Cow::Borrowed(host)
        };
        let prefixes = self.hosts.get(host.as_ref())?;
        prefixes.lengths.iter().find_map(|length| {
            let (prefix, rest) = path.split_at_checked(*length)?;
            Some((*prefixes.routes.get(prefix)?, rest))
        })
    }
}
