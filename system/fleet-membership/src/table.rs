//! Table of all other members, live and recently dead, with derived indexes.

use crate::member::Member;
use crate::wire::{Status, Update, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::ops::Bound;

/// State of the member at one address.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Always present for live members.
    pub member: Option<Member>,
    pub version: Version,
    pub status: Status,
    /// When a suspected member is declared dead, or a dead one is forgotten, in ms.
    pub deadline: u64,
}

impl Entry {
    /// The entry as an update for other members.
    pub(crate) fn update(&self, ip: Ipv4Addr) -> Option<Update> {
        let version = self.version;
        Some(match self.status {
            Status::Alive => Update::Alive { member: self.member.clone()?, refutation: version.refutation },
            Status::Suspect => Update::Suspect { ip, version },
            Status::Dead => Update::Dead { ip, version },
            Status::Left => Update::Left { ip, version },
        })
    }
}

/// The members other than the local one.
#[derive(Default)]
pub(crate) struct Table {
    entries: BTreeMap<Ipv4Addr, Entry>,
    /// Live members, suspected ones included, in order, for a random choice by index.
    live: Vec<Ipv4Addr>,
    /// Members that are not suspected, by the hash of their address.
    ring: BTreeSet<(u64, Ipv4Addr)>,
    suspects: BTreeSet<(u64, Ipv4Addr)>,
    digest: u64,
}

impl Table {
    pub(crate) fn get(&self, ip: Ipv4Addr) -> Option<&Entry> {
        self.entries.get(&ip)
    }

    /// The entry, if the member is live.
    pub(crate) fn live_entry(&self, ip: Ipv4Addr) -> Option<&Entry> {
        self.get(ip).filter(|entry| entry.status.is_live())
    }

    pub(crate) fn status(&self, ip: Ipv4Addr) -> Option<Status> {
        self.get(ip).map(|entry| entry.status)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn live_addresses(&self) -> &[Ipv4Addr] {
        &self.live
    }

    /// XOR of the hashes of the versions of all live members.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Ipv4Addr, &Entry)> {
        self.entries.iter()
    }

    /// Entries with an address above `ip`, or all.
    pub(crate) fn after(&self, ip: Option<Ipv4Addr>) -> impl Iterator<Item = (&Ipv4Addr, &Entry)> {
        self.entries.range((ip.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded))
    }

    /// The next member on the ring of hashed addresses that is not suspected.
    pub(crate) fn successor(&self, ip: Ipv4Addr) -> Option<Ipv4Addr> {
        let key = (hash(u64::from(u32::from(ip))), ip);
        let mut after = self.ring.range((Bound::Excluded(key), Bound::Unbounded));
        after.next().or_else(|| self.ring.first()).map(|(_, ip)| *ip)
    }

    /// The earliest deadline of a suspicion, with its member.
    pub(crate) fn next_suspect(&self) -> Option<(u64, Ipv4Addr)> {
        self.suspects.first().copied()
    }

    /// Extends the deadlines of all suspicions.
    pub(crate) fn extend_suspicions(&mut self, by_ms: u64) {
        for (deadline, ip) in std::mem::take(&mut self.suspects) {
            self.suspects.insert((deadline + by_ms, ip));
            if let Some(entry) = self.entries.get_mut(&ip) {
                entry.deadline = deadline + by_ms;
            }
        }
    }

    pub(crate) fn insert(&mut self, ip: Ipv4Addr, entry: Entry) {
        self.remove(ip);
        if entry.status.is_live() {
            let index = self.live.partition_point(|other| *other < ip);
            self.live.insert(index, ip);
            self.digest ^= digest_of(ip, entry.version);
            if entry.status == Status::Alive {
                self.ring.insert((hash(u64::from(u32::from(ip))), ip));
            } else {
                self.suspects.insert((entry.deadline, ip));
            }
        }
        self.entries.insert(ip, entry);
    }

    /// Removes dead members that were retained long enough.
    pub(crate) fn forget_expired(&mut self, now_ms: u64) {
        self.entries.retain(|_, entry| entry.status.is_live() || entry.deadline > now_ms);
    }

    fn remove(&mut self, ip: Ipv4Addr) {
        let Some(entry) = self.entries.remove(&ip) else { return };
        if entry.status.is_live() {
            if let Ok(index) = self.live.binary_search(&ip) {
                self.live.remove(index);
            }
            self.digest ^= digest_of(ip, entry.version);
            self.ring.remove(&(hash(u64::from(u32::from(ip))), ip));
            self.suspects.remove(&(entry.deadline, ip));
        }
    }
}

/// Hash of one member's version, its part of the digest.
pub(crate) fn digest_of(ip: Ipv4Addr, version: Version) -> u64 {
    hash(hash(hash(u64::from(u32::from(ip))) ^ version.incarnation) ^ u64::from(version.refutation))
}

fn hash(value: u64) -> u64 {
    let mut hash = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
