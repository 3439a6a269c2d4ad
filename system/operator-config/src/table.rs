//! Which route a request takes.

use crate::Route;
use std::borrow::Cow;
use std::collections::HashMap;

/// Routes by host and prefix. Prefixes end with a slash, so only the slashes of a path have to be tried.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RouteTable {
    hosts: HashMap<String, HostTable>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct HostTable {
    longest: usize,
    prefixes: HashMap<String, usize>,
}

impl RouteTable {
    pub(crate) fn new(routes: &[Route]) -> Self {
        let mut table = Self::default();
        for (index, route) in routes.iter().enumerate() {
            let host = table.hosts.entry(normal_host(&route.hostname).into_owned()).or_default();
            host.longest = host.longest.max(route.path_prefix.len());
            host.prefixes.insert(route.path_prefix.clone(), index);
        }
        table
    }

    pub(crate) fn find(&self, host: &str, path: &str) -> Option<usize> {
        let host = self.hosts.get(normal_host(host).as_ref())?;
        let path = path.as_bytes();
        let path = &path[..path.iter().position(|byte| *byte == b'?').unwrap_or(path.len())];
        let tried = &path[..path.len().min(host.longest)];
        let ends = (0..tried.len()).rev().filter(|index| tried[*index] == b'/');
        ends.map(|index| &tried[..=index])
            .find_map(|prefix| host.prefixes.get(std::str::from_utf8(prefix).ok()?))
            .copied()
    }
}

/// The host without its port and in lower case, as hosts are compared.
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
