//! Sizes of the quorums of storage nodes, and which nodes replicate an account.

use crate::StorageNode;

/// Rank of a machine for a key by rendezvous hashing: the highest ranks hold it.
pub fn rendezvous_rank(key: &[u8], disk: u64) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ disk.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for byte in key {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 29;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^ (hash >> 32)
}

/// How many storage machines of a set hold a record, write it and are read, so that `losses` are borne as far as there are
/// machines for it.
///
/// With `n` machines and `t` losses, a record that was acknowledged is on at least `write = min(t + 1, n)` machines of the
/// set: an account on so many of its `holders = min(n, 2t + 1)`, a turn on so many of all. It follows:
///
/// - `write + read = holders + 1`: among an account's holders each read meets each write.
/// - `write - 1 = min(t, n - 1)` disks may be lost, and one of each record's is left.
/// - `covering = n - write + 1` machines of the set leave out `write - 1`, fewer than hold any record: together they
///   know all of them. Who fills reads so many.
/// - `absent = max(covering, write)` machines that answer "not there" under one epoch prove that nothing is: `absent`
///   leave out too few to hold it all, and since `absent + covering > n`, no later set has been filled from machines
///   that go by a later epoch, so that nothing can have been acknowledged there. From 2t + 1 machines on, both are n - t.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuorumSizes {
    /// Machines that hold an account.
    pub replicas: usize,
    /// Holders that must have synced an account's record; also the copies of a turn.
    pub write: usize,
    /// Holders that are read to meet each write.
    pub read: usize,
    /// Machines of the whole set that together know every record.
    pub covering: usize,
    /// Machines of the whole set that must say that a turn is not there.
    pub absent: usize,
}

impl QuorumSizes {
    /// For a set of so many machines; none for an empty one, which keeps nothing.
    pub fn for_machines(machines: usize, losses: usize) -> Option<Self> {
        if machines == 0 {
            return None;
        }
        let replicas = machines.min(2 * losses + 1);
        let write = replicas.min(losses + 1);
        let covering = machines + 1 - write;
        Some(Self { replicas, write, read: replicas + 1 - write, covering, absent: covering.max(write) })
    }

    /// So many disks may be lost at once, and every record is left.
    pub fn losses_survived(&self) -> usize {
        self.write - 1
    }

    /// So many machines may be silent at once, and records are still taken and read.
    pub fn losses_served(&self) -> usize {
        self.replicas - self.write
    }
}

/// The machines among `stores` that hold the account of a program: `2 * losses + 1` of them, or all if there are fewer.
pub fn account_replicas<'a>(stores: &'a [StorageNode], program: &str, losses: usize) -> Vec<&'a StorageNode> {
    let mut ranked: Vec<_> =
        stores.iter().map(|store| (rendezvous_rank(program.as_bytes(), store.disk), store)).collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.disk.cmp(&b.1.disk)));
    ranked.into_iter().take(2 * losses + 1).map(|(_, store)| store).collect()
}
