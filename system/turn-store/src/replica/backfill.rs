//! Backfill of a replica: which one it needs, the pages it gives to others, and the pages it applies.

use super::{MAX_NAME_BYTES, Outcome, ReplicaState, contains, disks};
use crate::backfill::Backfill;
use crate::disk::Write;
use crate::payload::{Payload, Payloads};
use crate::records::{StoredTurn, account_write, decode, encode, replicas_write, turn_write};
use bytes::Bytes;
use fleet_model::{Answer, QuorumSizes, Reservation, StorageNode, Turn, account_replicas, rendezvous_rank};
use serde::{Deserialize, Serialize};
use std::ops::Bound::{Excluded, Included, Unbounded};

const TARGET_PAGE_BYTES: usize = 256 << 10;

/// What a record takes in a page beyond its text.
const PAGE_ENTRY_OVERHEAD_BYTES: usize = 64;

const PAGE_RESERVATION_BYTES: usize = 16;

/// Where a page of filling begins. Accounts come first.
#[derive(Serialize, Deserialize)]
enum Cursor<'a> {
    Accounts { program: &'a str, after: Option<u64> },
    Turns { after: Option<&'a str> },
}

impl ReplicaState {
    /// The filling that this store has to do under its roster, if any. It needs as many full current stores, itself
    /// counted if it is one, as together know every record ([`QuorumSizes::covering`]). That holds also where some were
    /// not waited for when the set became current: with `w` of those, a record is on `write - w` full ones or more, and
    /// of the `n - w` full ones `covering` leave out only `write - 1 - w`. A founding has no sources and needs none.
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

    /// A [`Backfill`] is done and all that it brought is synced. Once the writes are synced too, `Filled` is told, if the
    /// store is in `next`. `None` if the roster has moved on, or the store counted on itself and has found damage since:
    /// then it begins anew.
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

    /// Whether `Filled` is to be told for the roster's epoch.
    pub fn is_in_sync_for_next(&self) -> bool {
        self.in_next() && self.roster.next.as_ref().is_some_and(|next| self.is_in_sync_for(next))
    }

    /// The set of stores for which a disk fills.
    fn backfill_target(&self, disk: u64) -> Option<&[StorageNode]> {
        match &self.roster.next {
            Some(next) if contains(next, disk) => Some(next),
            _ if contains(&self.roster.current, disk) => Some(&self.roster.current),
            _ => None,
        }
    }

    /// A store may be drawn on if it is full. An empty one that is not may lack all that it should have: it joined, was not
    /// waited for, and came back.
    pub(super) fn is_source(&self) -> bool {
        self.is_in_sync()
    }

    pub(super) fn backfill_page(&mut self, asker: u64, cursor: &[u8], payloads: &dyn Payloads) -> Outcome {
        let unready = Outcome::free(Answer::NotReady);
        let cursor = match cursor {
            [] => Ok(Cursor::Accounts { program: "", after: None }),
            bytes => decode(bytes),
        };
        let (Ok(cursor), true) = (cursor, self.is_source()) else { return unready };
        let Some(set) = self.backfill_target(asker) else { return unready };
        let mut size = 0;
        let mut accounts = Vec::new();
        let mut after = None;
        match cursor {
            Cursor::Turns { after: last } => after = last,
            Cursor::Accounts { program, after } => {
                let begun = (program, after);
                for (program, account) in self.accounts.range::<str, _>((Included(program), Unbounded)) {
                    if !account_replicas(set, program, self.losses).iter().any(|store| store.disk == asker) {
                        continue;
                    }
                    size += PAGE_ENTRY_OVERHEAD_BYTES + program.len();
                    let mut page = Vec::new();
                    let done = if **program == *begun.0 { begun.1 } else { None };
                    for (&attempt, &tokens) in &account.tokens {
                        if done.is_some_and(|done| attempt <= done) {
                            continue;
                        }
                        page.push(Reservation { attempt, tokens });
                        size += PAGE_RESERVATION_BYTES;
                        if size >= TARGET_PAGE_BYTES {
                            let cursor = encode(&Cursor::Accounts { program, after: Some(attempt) });
                            accounts.push((program.to_string(), page));
                            return records(Vec::new(), accounts, Some(cursor));
                        }
                    }
                    if !page.is_empty() {
                        accounts.push((program.to_string(), page));
                    }
                }
            }
        }
        let mut turns = Vec::new();
        let range = (after.map_or(Unbounded, Excluded), Unbounded);
        for (attempt, entry) in self.turns.range::<str, _>(range) {
            let wanted = wanted_replicas(attempt, &entry.replicas, set, self.losses);
            if !wanted.contains(&asker) {
                after = Some(attempt);
                continue;
            }
            size += PAGE_ENTRY_OVERHEAD_BYTES + attempt.len() + entry.length as usize;
            let full_page = size > TARGET_PAGE_BYTES && !(turns.is_empty() && accounts.is_empty());
            match if full_page { Payload::Pending } else { payloads.get(attempt) } {
                Payload::Present(turn) => turns.push(Turn { replicas: wanted, ..turn }),
                Payload::Pending if turns.is_empty() && accounts.is_empty() => return unready,
                Payload::Pending => {
                    let cursor = encode(&Cursor::Turns { after });
                    return records(turns, accounts, Some(cursor));
                }
                Payload::Lost => {
                    let attempt = attempt.to_string();
                    return Outcome::lazy(Answer::NotReady, self.mark_lost(&attempt));
                }
            }
            after = Some(attempt);
        }
        records(turns, accounts, None)
    }

    pub(super) fn backfill_done(&mut self, asker: u64) -> Outcome {
        let Some(set) = self.backfill_target(asker).map(<[StorageNode]>::to_vec) else {
            return Outcome::free(Answer::NotReady);
        };
        let mut writes = Vec::new();
        for (attempt, entry) in &mut self.turns {
            let wanted = wanted_replicas(attempt, &entry.replicas, &set, self.losses);
            if wanted.contains(&asker) && wanted != entry.replicas {
                writes.push(replicas_write(attempt, &wanted));
                entry.replicas = wanted;
            }
        }
        Outcome::lazy(Answer::Done, writes)
    }

    /// Take in a page that another store gave. The page counts when the writes, and all earlier ones, are synced.
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
            let account = self.account(now_ms, &program);
            for reservation in reservations {
                let (tokens, news) = account.merge(reservation);
                writes.extend(news.then(|| account_write(&program, reservation.attempt, tokens)));
            }
        }
        writes
    }
}

fn records(turns: Vec<Turn>, accounts: Vec<(String, Vec<Reservation>)>, cursor: Option<Bytes>) -> Outcome {
    Outcome::free(Answer::Records { turns, accounts, cursor })
}

fn add_replicas(attempt: &str, held: &mut Vec<u64>, more: &[u64]) -> Option<Write> {
    let before = held.len();
    for disk in more {
        if !held.contains(disk) {
            held.push(*disk);
        }
    }
    (held.len() > before).then(|| replicas_write(attempt, held))
}

/// Who is to hold a turn once `set` is what counts: its holders there, and where these are too few for the losses, the
/// best-ranked of the others.
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
