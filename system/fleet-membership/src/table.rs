//! All other members, living and lately dead, with the indexes that follow from them.

use crate::member::Member;
use crate::wire::{Status, Update, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::ops::Bound;

/// What is known at an address.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Always there for living ones.
    pub member: Option<Member>,
    pub version: Version,
    pub status: Status,
    /// When a suspected one is removed, or a dead one forgotten.
    pub deadline: u64,
}

impl Entry {
    /// The entry as others are told it.
    pub fn update(&self, ip: Ipv4Addr) -> Option<Update> {
        let version = self.version;
        Some(match self.status {
            Status::Alive => Update::Alive { member: self.member.clone()?, refutation: version.refutation },
            Status::Suspect => Update::Suspect { ip, version },
            Status::Dead => Update::Dead { ip, version },
            Status::Left => Update::Left { ip, version },
        })
    }
}

/// The members other than this one.
#[derive(Default)]
pub(crate) struct Table {
    entries: BTreeMap<Ipv4Addr, Entry>,
    /// Living ones, suspected or not, for a choice by index.
    live: Vec<Ipv4Addr>,
    /// Those not suspected, by hash.
    ring: BTreeSet<(u64, Ipv4Addr)>,
    suspects: BTreeSet<(u64, Ipv4Addr)>,
    digest: u64,
}

impl Table {
    pub fn get(&self, ip: Ipv4Addr) -> Option<&Entry> {
        self.entries.get(&ip)
    }

    /// The entry, if it is a living member.
    pub fn live_entry(&self, ip: Ipv4Addr) -> Option<&Entry> {
        self.get(ip).filter(|entry| entry.status.is_live())
    }

    pub fn status(&self, ip: Ipv4Addr) -> Option<Status> {
        self.get(ip).map(|entry| entry.status)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn live_addresses(&self) -> &[Ipv4Addr] {
        &self.live
    }

    /// The XOR of the hashes of all living members' versions.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Ipv4Addr, &Entry)> {
        self.entries.iter()
    }

    /// Entries after an address, or all.
    pub fn after(&self, ip: Option<Ipv4Addr>) -> impl Iterator<Item = (&Ipv4Addr, &Entry)> {
        self.entries.range((ip.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded))
    }

    /// The unsuspected member after this one on the ring of hashes.
    pub fn successor(&self, ip: Ipv4Addr) -> Option<Ipv4Addr> {
        let key = (hash(u64::from(u32::from(ip))), ip);
        let mut after = self.ring.range((Bound::Excluded(key), Bound::Unbounded));
        after.next().or_else(|| self.ring.first()).map(|(_, ip)| *ip)
    }

    /// When the next suspected member is to be removed, and which.
    pub fn next_suspect(&self) -> Option<(u64, Ipv4Addr)> {
        self.suspects.first().copied()
    }

    /// Gives all suspected members more time.
    pub fn extend_suspicions(&mut self, by_ms: u64) {
        for (deadline, ip) in std::mem::take(&mut self.suspects) {
            self.suspects.insert((deadline + by_ms, ip));
            if let Some(entry) = self.entries.get_mut(&ip) {
                entry.deadline = deadline + by_ms;
            }
        }
    }

    pub fn insert(&mut self, ip: Ipv4Addr, entry: Entry) {
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

    /// Forgets the dead whose time is over.
    pub fn forget_expired(&mut self, now_ms: u64) {
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

/// A member's part of the digest.
pub(crate) fn digest_of(ip: Ipv4Addr, version: Version) -> u64 {
    hash(hash(hash(u64::from(u32::from(ip))) ^ version.incarnation) ^ u64::from(version.refutation))
}

fn hash(value: u64) -> u64 {
    let mut hash = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
