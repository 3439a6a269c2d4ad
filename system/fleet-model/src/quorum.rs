//! Sizes of the quorums of storage nodes, and which nodes replicate an account.

use crate::StorageNode;

/// Rank of a node for a key by rendezvous hashing: the nodes with the highest ranks replicate the key.
pub fn rendezvous_rank(key: &[u8], disk: u64) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ disk.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for byte in key {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 29;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^ (hash >> 32)
}

/// Quorum sizes of a set of storage nodes that tolerates a number of losses, as far as the set is large enough for it.
///
/// With `n` nodes and `t` tolerated losses, an acknowledged record is stored by at least `write = min(t + 1, n)` nodes of
/// the set: an account by that many of its `replicas = min(n, 2t + 1)`, a turn by that many of all nodes. It follows:
///
/// - `write + read = replicas + 1`: among an account's replicas each read quorum intersects each write quorum.
/// - `write - 1 = min(t, n - 1)` disks may be lost, and at least one copy of each record remains.
/// - `covering = n - write + 1` nodes of the set leave out `write - 1`, fewer than store any record: together they store
///   all records. A backfill reads from this many.
/// - `absent = max(covering, write)` nodes that report a record as absent under one epoch prove that it does not exist:
///   they leave out too few nodes for an acknowledged record, and since `absent + covering > n`, no later set has been
///   backfilled from nodes of a later epoch, so that nothing can have been acknowledged there. From `2t + 1` nodes on,
///   both sizes are `n - t`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuorumSizes {
    /// Number of nodes that replicate an account.
    pub replicas: usize,
    /// Write quorum: replicas that must have synced an account's record; also the number of copies of a turn.
    pub write: usize,
    /// Read quorum: replicas to read so that every write quorum is met.
    pub read: usize,
    /// Number of nodes of the whole set that together store every record.
    pub covering: usize,
    /// Number of nodes of the whole set that must report a turn as absent to prove it.
    pub absent: usize,
}

impl QuorumSizes {
    /// Sizes for a set of `machines` nodes that is to tolerate `losses`; `None` for an empty set, which stores nothing.
    pub fn for_machines(machines: usize, losses: usize) -> Option<Self> {
        if machines == 0 {
            return None;
        }
        let replicas = machines.min(2 * losses + 1);
        let write = replicas.min(losses + 1);
        let covering = machines + 1 - write;
        Some(Self { replicas, write, read: replicas + 1 - write, covering, absent: covering.max(write) })
    }

    /// Number of disks that may be lost at once without losing an acknowledged record.
    pub fn losses_survived(&self) -> usize {
        self.write - 1
    }

    /// Number of nodes that may be unresponsive at once while records can still be written and read.
    pub fn losses_served(&self) -> usize {
        self.replicas - self.write
    }
}

/// The nodes among `stores` that replicate the account of a program: `2 * losses + 1` of them, or all if there are fewer,
/// by descending rank.
pub fn account_replicas<'a>(stores: &'a [StorageNode], program: &str, losses: usize) -> Vec<&'a StorageNode> {
    let mut ranked: Vec<_> =
        stores.iter().map(|store| (rendezvous_rank(program.as_bytes(), store.disk), store)).collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.disk.cmp(&b.1.disk)));
    ranked.into_iter().take(2 * losses + 1).map(|(_, store)| store).collect()
}
