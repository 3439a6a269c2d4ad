//! The turns of a replica: storing them, reading a chain of them, and how long they are retained.

use super::{DiskCapacity, MAX_NAME_BYTES, Outcome, ReplicaState};
use crate::disk::Write;
use crate::payload::{Payload, Payloads};
use crate::records::{BackfillRecord, StoredTurn, replicas_write, turn_write};
use bytes::{Bytes, BytesMut};
use fleet_model::{Answer, Turn};
use std::collections::{BTreeMap, HashSet};

const MIN_RETENTION_MS: u64 = 60_000;

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) previous: Option<Box<str>>,
    pub(super) retention_ms: u64,
    pub(super) expiry_ms: u64,
    pub(super) length: u32,
    pub(super) replicas: Vec<u64>,
}

impl Entry {
    pub(super) fn touch(&mut self, now_ms: u64) {
        let held_ms = self.retention_ms.max(MIN_RETENTION_MS).saturating_mul(2);
        self.expiry_ms = self.expiry_ms.max(now_ms.saturating_add(held_ms));
    }
}

impl ReplicaState {
    pub(super) fn store_turn(&mut self, now_ms: u64, turn: &Turn) -> Outcome {
        let named = (1..=MAX_NAME_BYTES).contains(&turn.attempt.len());
        if !self.accepts_writes() || !named {
            return Outcome::free(Answer::NotReady);
        }
        // Kept already: the record stays as it is, and the answer waits for the first one's sync.
        let writes = match self.turns.get_mut(turn.attempt.as_str()) {
            None if self.capacity == DiskCapacity::Full => return Outcome::free(Answer::NotReady),
            None => {
                self.insert(now_ms, StoredTurn::from(turn));
                vec![turn_write(turn)]
            }
            Some(entry) => {
                entry.touch(now_ms);
                // Sent again, it names who does hold it: one named before may not have answered.
                let news = entry.replicas != turn.replicas;
                entry.replicas.clone_from(&turn.replicas);
                news.then(|| replicas_write(&turn.attempt, &turn.replicas)).into_iter().collect()
            }
        };
        Outcome::synced(Answer::Done, writes)
    }

    pub(super) fn insert(&mut self, now_ms: u64, turn: StoredTurn) {
        let mut entry = Entry {
            previous: turn.previous.map(Into::into),
            retention_ms: turn.retention_ms,
            expiry_ms: 0,
            length: turn.length,
            replicas: turn.replicas,
        };
        entry.touch(now_ms);
        self.turns.insert(turn.attempt.into(), entry);
    }

    pub(super) fn read_chain(&mut self, now_ms: u64, attempt: &str, payloads: &dyn Payloads) -> Outcome {
        let mut parts = Vec::new();
        let mut seen = HashSet::new();
        let mut writes = Vec::new();
        let mut missing = Some(attempt.to_owned());
        while let Some(asked) = missing.take() {
            if !seen.insert(asked.clone()) {
                break;
            }
            let Some(entry) = self.turns.get_mut(asked.as_str()) else {
                missing = Some(asked);
                break;
            };
            entry.touch(now_ms);
            match payloads.get(&asked) {
                Payload::Present(turn) => {
                    missing = turn.previous;
                    parts.push(turn.output);
                    parts.push(turn.input);
                }
                Payload::Pending => return Outcome::lazy(Answer::NotReady, writes),
                Payload::Lost => {
                    writes.extend(self.mark_lost(&asked));
                    missing = Some(asked);
                    break;
                }
            }
        }
        let answer = if parts.is_empty() {
            Answer::Absent { complete: self.is_founded() && self.is_in_sync() }
        } else {
            let mut text = BytesMut::with_capacity(parts.iter().map(Bytes::len).sum());
            parts.iter().rev().for_each(|part| text.extend_from_slice(part));
            Answer::Chain { text: text.freeze(), missing }
        };
        Outcome::lazy(answer, writes)
    }

    /// A record turned out to be unreadable: the store has to fill again. The record stays until it is replaced, or set
    /// aside at the next start.
    pub(super) fn mark_lost(&mut self, attempt: &str) -> Vec<Write> {
        self.turns.remove(attempt);
        self.backfill = BackfillRecord { in_sync: Vec::new(), damaged: true };
        vec![self.backfill.write()]
    }

    pub(super) fn extend_ancestors(&mut self) {
        let mut longer: BTreeMap<Box<str>, u64> = BTreeMap::new();
        for entry in self.turns.values() {
            let mut previous = entry.previous.as_deref();
            while let Some(name) = previous {
                let Some((name, ancestor)) = self.turns.get_key_value(name) else { break };
                let held_ms = longer.get(name).copied().unwrap_or(ancestor.expiry_ms);
                if held_ms >= entry.expiry_ms {
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
