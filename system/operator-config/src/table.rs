//! Routing table: the route of a request by host and longest path prefix.

use crate::Route;
use std::borrow::Cow;
use std::collections::HashMap;

/// Indexes of routes by host and path prefix. Prefixes end with a slash, so that only the prefixes of a path that end at
/// a slash are looked up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RouteTable {
    hosts: HashMap<String, HostTable>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct HostTable {
    max_prefix_len: usize,
    prefixes: HashMap<String, usize>,
}

impl RouteTable {
    pub(crate) fn new(routes: &[Route]) -> Self {
        let mut table = Self::default();
        for (index, route) in routes.iter().enumerate() {
            let host = table.hosts.entry(normal_host(&route.hostname).into_owned()).or_default();
            host.max_prefix_len = host.max_prefix_len.max(route.path_prefix.len());
            host.prefixes.insert(route.path_prefix.clone(), index);
        }
        table
    }

    pub(crate) fn find(&self, host: &str, path: &str) -> Option<usize> {
        let host = self.hosts.get(normal_host(host).as_ref())?;
        let path = path.as_bytes();
        let path = &path[..path.iter().position(|byte| *byte == b'?').unwrap_or(path.len())];
        let candidate = &path[..path.len().min(host.max_prefix_len)];
        let slashes = (0..candidate.len()).rev().filter(|index| candidate[*index] == b'/');
        slashes
            .map(|index| &candidate[..=index])
            .find_map(|prefix| host.prefixes.get(std::str::from_utf8(prefix).ok()?))
            .copied()
    }
}

/// Normalizes a host for comparison: without port and trailing dot, in lower case.
pub(crate) fn normal_host(host: &str) -> Cow<'_, str> {
    let name_end = if host.starts_with('[') {
        host.find(']').map_or(host.len(), |end| end + 1)
    } else {
        host.find(':').unwrap_or(host.len())
    };
    let name = host[..name_end].trim();
    let name = name.strip_suffix('.').unwrap_or(name);
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}
