//! Backfill of a replica: the one that it needs, the pages that it serves to others, and the pages that it applies.

use super::{MAX_NAME_BYTES, Outcome, ReplicaState, contains, disks};
use crate::backfill::Backfill;
use crate::disk::Write;
use crate::payload::{Payload, Payloads};
use crate::records::{StoredTurn, account_write, decode, encode, replicas_write, turn_write};
use bytes::Bytes;
use fleet_model::{Answer, QuorumSizes, Reservation, StorageNode, Turn, account_replicas, rendezvous_rank};
use serde::{Deserialize, Serialize};
use std::ops::Bound::{Excluded, Unbounded};

/// Size at which a page of backfill ends; a single larger record makes a larger page.
const TARGET_PAGE_BYTES: usize = 256 << 10;

/// Estimated size of a record in a page beyond its name and text.
const PAGE_ENTRY_OVERHEAD_BYTES: usize = 64;

/// Estimated size of a reservation in a page.
const PAGE_RESERVATION_BYTES: usize = 16;

/// Position at which a page of backfill begins. Accounts come first. Its encoding is opaque to the asker.
#[derive(Serialize, Deserialize)]
enum Cursor<'a> {
    Accounts { program: &'a str, after: Option<u64> },
    Turns { after: Option<&'a str> },
}

/// A page of backfill while it is built.
#[derive(Default)]
struct Page {
    /// Its size as estimated, compared with [`TARGET_PAGE_BYTES`].
    bytes: usize,
    accounts: Vec<(String, Vec<Reservation>)>,
    turns: Vec<Turn>,
}

impl Page {
    fn is_empty(&self) -> bool {
        self.turns.is_empty() && self.accounts.is_empty()
    }

    fn into_outcome(self, cursor: Option<Bytes>) -> Outcome {
        Outcome::without_writes(Answer::Records { turns: self.turns, accounts: self.accounts, cursor })
    }
}

/// How a page ends.
enum PageEnd {
    /// It is sent, with the cursor of the next page if there is one.
    Records(Option<Bytes>),
    /// Its first record is not written yet: the asker has to retry.
    NotReady,
    /// The record of this attempt is unreadable.
    Lost(String),
}

impl ReplicaState {
    /// The backfill that this replica needs under its roster, if any.
    ///
    /// It needs as many current storage nodes that are in sync, itself included if it is one, as together store every
    /// record ([`QuorumSizes::covering`]). That holds also where some were not waited for when the set became current:
    /// with `w` of those, a record is on at least `write - w` nodes that are in sync, and of the `n - w` nodes that are
    /// in sync, `covering` leave out only `write - 1 - w`. A new cluster has no sources and needs none.
    pub fn backfill(&self) -> Option<Backfill> {
        let due = match &self.roster.next {
            Some(next) if self.in_next() => !self.is_in_sync_for(next),
            _ => self.in_current() && !self.is_in_sync(),
        };
        due.then(|| {
            let sources = self.roster.current.iter().filter(|store| store.disk != self.disk).cloned();
            let covering = QuorumSizes::for_machines(self.roster.current.len(), self.losses)
                .map_or(0, |sizes| sizes.covering);
            Backfill::new(self.roster.epoch, self.disk, sources, covering, self.is_source())
        })
    }

    /// Marks this replica as in sync after a [`Backfill`] is done and all records that it brought are synced. Once the
    /// returned writes are synced too, the host reports the replica as in sync, if it is in the next set.
    ///
    /// Returns `None` if the roster has changed, or if the backfill relied on the replica's own records and damage was
    /// found since: then a new backfill is needed.
    pub fn mark_in_sync(&mut self, backfill: &Backfill) -> Option<Vec<Write>> {
        if backfill.epoch() != self.roster.epoch || !backfill.is_done() {
            return None;
        }
        if backfill.relies_on_local_records() && !self.is_source() {
            return None;
        }
        let set = match &self.roster.next {
            Some(next) if self.in_next() => disks(next),
            _ if self.in_current() => disks(&self.roster.current),
            _ => return None,
        };
        self.backfill.in_sync.retain(|(_, in_sync)| *in_sync != set);
        self.backfill.in_sync.push((self.roster.epoch, set));
        self.backfill.damaged = false;
        Some(vec![self.backfill.write()])
    }

    /// Whether the host is to report the replica as in sync for the roster's epoch.
    pub fn is_in_sync_for_next(&self) -> bool {
        self.in_next() && self.roster.next.as_ref().is_some_and(|next| self.is_in_sync_for(next))
    }

    /// The set of storage nodes for which a disk is backfilled.
    fn backfill_target(&self, disk: u64) -> Option<&[StorageNode]> {
        match &self.roster.next {
            Some(next) if contains(next, disk) => Some(next),
            _ if contains(&self.roster.current, disk) => Some(&self.roster.current),
            _ => None,
        }
    }

    /// Whether this replica may be a source of backfill. One that is not in sync may lack everything that it should store:
    /// it joined, was not waited for, and came back.
    pub(super) fn is_source(&self) -> bool {
        self.is_in_sync()
    }

    /// Answers [`Call::Backfill`](fleet_model::Call::Backfill): the next page of the records that `asker` has to store.
    pub(super) fn backfill_page(&mut self, asker: u64, cursor: &[u8], payloads: &dyn Payloads) -> Outcome {
        let not_ready = Outcome::without_writes(Answer::NotReady);
        let cursor = match cursor {
            [] => Ok(Cursor::Accounts { program: "", after: None }),
            bytes => decode(bytes),
        };
        let (Ok(cursor), true) = (cursor, self.is_source()) else { return not_ready };
        let Some(target) = self.backfill_target(asker) else { return not_ready };
        let mut page = Page::default();
        let after = match cursor {
            Cursor::Turns { after } => after,
            Cursor::Accounts { program, after } => {
                if let Some(cursor) = self.add_accounts(&mut page, target, asker, program, after) {
                    return page.into_outcome(Some(cursor));
                }
                None
            }
        };
        match self.add_turns(&mut page, target, asker, after, payloads) {
            PageEnd::Records(cursor) => page.into_outcome(cursor),
            PageEnd::NotReady => not_ready,
            PageEnd::Lost(attempt) => Outcome::deferred(Answer::NotReady, self.mark_lost(&attempt)),
        }
    }

    /// Adds the accounts from `first_program` on, of that one the reservations behind `after`; the cursor of the next
    /// page if this one is full.
    fn add_accounts(
        &self,
        page: &mut Page,
        target: &[StorageNode],
        asker: u64,
        first_program: &str,
        after: Option<u64>,
    ) -> Option<Bytes> {
        for (program, account) in self.accounts.starting_at(first_program) {
            if !account_replicas(target, program, self.losses).iter().any(|node| node.disk == asker) {
                continue;
            }
            page.bytes += PAGE_ENTRY_OVERHEAD_BYTES + program.len();
            let mut reservations = Vec::new();
            let sent = if program == first_program { after } else { None };
            for (&attempt, &tokens) in &account.tokens {
                if sent.is_some_and(|sent| attempt <= sent) {
                    continue;
                }
                reservations.push(Reservation { attempt, tokens });
                page.bytes += PAGE_RESERVATION_BYTES;
                if page.bytes >= TARGET_PAGE_BYTES {
                    let cursor = encode(&Cursor::Accounts { program, after: Some(attempt) });
                    page.accounts.push((program.to_string(), reservations));
                    return Some(cursor);
                }
            }
            if !reservations.is_empty() {
                page.accounts.push((program.to_string(), reservations));
            }
        }
        None
    }

    /// Adds the turns behind `after`.
    fn add_turns<'a>(
        &'a self,
        page: &mut Page,
        target: &[StorageNode],
        asker: u64,
        mut after: Option<&'a str>,
        payloads: &dyn Payloads,
    ) -> PageEnd {
        let range = (after.map_or(Unbounded, Excluded), Unbounded);
        for (attempt, entry) in self.turns.range::<str, _>(range) {
            let wanted = wanted_replicas(attempt, &entry.replicas, target, self.losses);
            if !wanted.contains(&asker) {
                after = Some(attempt);
                continue;
            }
            page.bytes += PAGE_ENTRY_OVERHEAD_BYTES + attempt.len() + entry.length as usize;
            let is_full = page.bytes > TARGET_PAGE_BYTES && !page.is_empty();
            match if is_full { Payload::Pending } else { payloads.get(attempt) } {
                Payload::Present(turn) => page.turns.push(Turn { replicas: wanted, ..turn }),
                Payload::Pending if page.is_empty() => return PageEnd::NotReady,
                Payload::Pending => return PageEnd::Records(Some(encode(&Cursor::Turns { after }))),
                Payload::Lost => return PageEnd::Lost(attempt.to_string()),
            }
            after = Some(attempt);
        }
        PageEnd::Records(None)
    }

    /// Answers [`Call::BackfillDone`](fleet_model::Call::BackfillDone): `asker` stores the turns that it was given, so
    /// they are recorded as replicated there.
    pub(super) fn backfill_done(&mut self, asker: u64) -> Outcome {
        let Some(set) = self.backfill_target(asker).map(<[StorageNode]>::to_vec) else {
            return Outcome::without_writes(Answer::NotReady);
        };
        let mut writes = Vec::new();
        for (attempt, entry) in &mut self.turns {
            let wanted = wanted_replicas(attempt, &entry.replicas, &set, self.losses);
            if wanted.contains(&asker) && wanted != entry.replicas {
                writes.push(replicas_write(attempt, &wanted));
                entry.replicas = wanted;
            }
        }
        Outcome::deferred(Answer::Done, writes)
    }

    /// Applies a page of backfill from another replica. The page counts when the returned writes, and all earlier ones,
    /// are synced.
    pub fn apply_page(
        &mut self,
        now_ms: u64,
        turns: Vec<Turn>,
        accounts: Vec<(String, Vec<Reservation>)>,
    ) -> Vec<Write> {
        let mut writes = Vec::new();
        for turn in turns {
            if !(1..=MAX_NAME_BYTES).contains(&turn.attempt.len()) {
                continue;
            }
            match self.turns.get_mut(turn.attempt.as_str()) {
                Some(entry) => {
                    entry.touch(now_ms);
                    writes.extend(add_replicas(&turn.attempt, &mut entry.replicas, &turn.replicas));
                }
                None => {
                    self.insert(now_ms, StoredTurn::from(&turn));
                    writes.push(turn_write(&turn));
                }
            }
        }
        for (program, reservations) in accounts {
            if program.len() > MAX_NAME_BYTES {
                continue;
            }
            for reservation in reservations {
                let (tokens, changed) = self.accounts.merge(now_ms, &program, reservation);
                writes.extend(changed.then(|| account_write(&program, reservation.attempt, tokens)));
            }
        }
        writes
    }
}

/// Adds the disks that are missing to a turn's replicas, with the write for it if there were any.
fn add_replicas(attempt: &str, replicas: &mut Vec<u64>, added: &[u64]) -> Option<Write> {
    let count_before = replicas.len();
    for disk in added {
        if !replicas.contains(disk) {
            replicas.push(*disk);
        }
    }
    (replicas.len() > count_before).then(|| replicas_write(attempt, replicas))
}

/// The disks that have to store a turn once `set` is the current one: its replicas in that set, and where these are too
/// few for the tolerated losses, the others of the highest rank.
fn wanted_replicas(attempt: &str, replicas: &[u64], set: &[StorageNode], losses: usize) -> Vec<u64> {
    let mut wanted: Vec<u64> = replicas.iter().copied().filter(|disk| contains(set, *disk)).collect();
    if wanted.len() <= losses {
        let mut others: Vec<u64> =
            set.iter().map(|store| store.disk).filter(|disk| !wanted.contains(disk)).collect();
        others.sort_by_key(|disk| (std::cmp::Reverse(rendezvous_rank(attempt.as_bytes(), *disk)), *disk));
        wanted.extend(others.into_iter().take(losses + 1 - wanted.len()));
    }
    wanted
}
