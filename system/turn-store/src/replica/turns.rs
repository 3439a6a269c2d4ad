//! The turns of a replica: storing them, reading a chain of them, and how long they are retained.

use super::{DiskCapacity, MAX_NAME_BYTES, Outcome, ReplicaState};
use crate::disk::Write;
use crate::payload::{Payload, Payloads};
use crate::records::{BackfillRecord, StoredTurn, replicas_write, turn_write};
use bytes::{Bytes, BytesMut};
use fleet_model::{Answer, Turn};
use std::collections::{BTreeMap, HashSet};

/// Shortest retention of a turn that is assumed, in milliseconds.
const MIN_RETENTION_MS: u64 = 60_000;

/// The index entry of a turn: all but its text.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) previous: Option<Box<str>>,
    pub(super) retention_ms: u64,
    pub(super) expiry_ms: u64,
    pub(super) length: u32,
    pub(super) replicas: Vec<u64>,
    /// The endpoint that served the turn, as long as this process runs.
    pub(super) served_by: Option<Box<str>>,
}

impl Entry {
    /// Renews the retention: twice the turn's own, from now on.
    pub(super) fn touch(&mut self, now_ms: u64) {
        let retained_ms = self.retention_ms.max(MIN_RETENTION_MS).saturating_mul(2);
        self.expiry_ms = self.expiry_ms.max(now_ms.saturating_add(retained_ms));
    }
}

impl ReplicaState {
    /// Stores a turn, or updates the replicas of one that is stored. `served_by`: the endpoint that served it.
    pub(super) fn store_turn(&mut self, now_ms: u64, turn: &Turn, served_by: Option<&str>) -> Outcome {
        let is_valid_name = (1..=MAX_NAME_BYTES).contains(&turn.attempt.len());
        if !self.accepts_writes() || !is_valid_name {
            return Outcome::without_writes(Answer::NotReady);
        }
        let outcome = self.store_record(now_ms, turn);
        if let Some(entry) = self.turns.get_mut(turn.attempt.as_str()) {
            entry.served_by = served_by.map(Into::into);
        }
        outcome
    }

    fn store_record(&mut self, now_ms: u64, turn: &Turn) -> Outcome {
        // A stored record is not rewritten; the answer still waits until its first write is synced.
        let writes = match self.turns.get_mut(turn.attempt.as_str()) {
            None if self.capacity == DiskCapacity::Full => return Outcome::without_writes(Answer::NotReady),
            None => {
                self.insert(now_ms, StoredTurn::from(turn));
                vec![turn_write(turn)]
            }
            Some(entry) => {
                entry.touch(now_ms);
                // A turn that is sent again names its actual replicas: one named before may not have answered.
                let changed = entry.replicas != turn.replicas;
                entry.replicas.clone_from(&turn.replicas);
                changed.then(|| replicas_write(&turn.attempt, &turn.replicas)).into_iter().collect()
            }
        };
        Outcome::synced(Answer::Done, writes)
    }

    /// Adds a turn to the index.
    pub(super) fn insert(&mut self, now_ms: u64, turn: StoredTurn) {
        let mut entry = Entry {
            previous: turn.previous.map(Into::into),
            retention_ms: turn.retention_ms,
            expiry_ms: 0,
            length: turn.length,
            replicas: turn.replicas,
            served_by: None,
        };
        entry.touch(now_ms);
        self.turns.insert(turn.attempt.into(), entry);
    }

    /// Reads a turn and its predecessors back to the first one that is not stored here, and renews their retention.
    pub(super) fn read_chain(&mut self, now_ms: u64, attempt: &str, payloads: &dyn Payloads) -> Outcome {
        let mut parts = Vec::new();
        let mut seen = HashSet::new();
        let mut writes = Vec::new();
        let mut next = Some(attempt.to_owned());
        let served_by =
            self.turns.get(attempt).and_then(|entry| entry.served_by.as_deref().map(str::to_owned));
        while let Some(requested) = next.take() {
            if !seen.insert(requested.clone()) {
                break;
            }
            let Some(entry) = self.turns.get_mut(requested.as_str()) else {
                next = Some(requested);
                break;
            };
            entry.touch(now_ms);
            match payloads.get(&requested) {
                Payload::Present(turn) => {
                    next = turn.previous;
                    parts.push(turn.output);
                    parts.push(turn.input);
                }
                Payload::Pending => return Outcome::deferred(Answer::NotReady, writes),
                Payload::Lost => {
                    writes.extend(self.mark_lost(&requested));
                    next = Some(requested);
                    break;
                }
            }
        }
        let answer = if parts.is_empty() {
            Answer::Absent { complete: self.is_founded() && self.is_in_sync() }
        } else {
            let mut text = BytesMut::with_capacity(parts.iter().map(Bytes::len).sum());
            parts.iter().rev().for_each(|part| text.extend_from_slice(part));
            Answer::Chain { text: text.freeze(), missing: next, served_by }
        };
        Outcome::deferred(answer, writes)
    }

    /// Length in bytes of the text of the chain that ends with this turn, as far as it is stored here.
    pub fn chain_bytes(&self, attempt: &str) -> usize {
        let mut bytes = 0;
        let mut next = self.turns.get(attempt);
        // A chain is no longer than the index, unless it is circular.
        for _ in 0..self.turns.len() {
            let Some(entry) = next else { break };
            bytes += entry.length as usize;
            next = entry.previous.as_deref().and_then(|previous| self.turns.get(previous));
        }
        bytes
    }

    /// Removes an unreadable turn from the index; the replica then needs another backfill. The record itself stays on
    /// disk until it is replaced, or quarantined at the next start.
    pub(super) fn mark_lost(&mut self, attempt: &str) -> Vec<Write> {
        self.turns.remove(attempt);
        self.backfill = BackfillRecord { in_sync: Vec::new(), damaged: true };
        vec![self.backfill.write()]
    }

    /// Extends the expiry of each turn to the latest one of the turns that continue from it.
    pub(super) fn extend_ancestors(&mut self) {
        let mut longer: BTreeMap<Box<str>, u64> = BTreeMap::new();
        for entry in self.turns.values() {
            let mut previous = entry.previous.as_deref();
            while let Some(name) = previous {
                let Some((name, ancestor)) = self.turns.get_key_value(name) else { break };
                let retained_until_ms = longer.get(name).copied().unwrap_or(ancestor.expiry_ms);
                if retained_until_ms >= entry.expiry_ms {
                    break;
                }
                longer.insert(name.clone(), entry.expiry_ms);
                previous = ancestor.previous.as_deref();
            }
        }
        for (name, expiry_ms) in longer {
            if let Some(entry) = self.turns.get_mut(&name) {
                entry.expiry_ms = expiry_ms;
            }
        }
    }
}
