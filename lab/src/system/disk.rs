//! A simulated machine's disk: what is written is read back at once, what is not synced may be gone once power is lost.

use super::world::Host;
use bytes::Bytes;
use control_duties::times;
use fleet_model::{Reservation, Turn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use turn_store::{ACCOUNTS, Bodies, Body, FillRecord, HOLDERS, Kept, KeptTurn, STATE, TURNS, Write};

type Records = BTreeMap<(&'static str, Vec<u8>), Bytes>;

/// What is on a disk, and how far it would outlive a loss of power.
#[derive(Default)]
pub struct Disk {
    number: Cell<u64>,
    /// As read back now.
    seen: RefCell<Records>,
    /// As after a loss of power that takes all it can.
    synced: RefCell<Records>,
    /// Written and not synced, in order.
    written: RefCell<Vec<Vec<Write>>>,
    /// Not written yet: these go with the process.
    queued: RefCell<Vec<Vec<Write>>>,
    /// Batches written so far, and those of them that are synced.
    counts: Cell<(u64, u64)>,
    /// A record was damaged: whoever opens the disk is told once.
    damaged: Cell<bool>,
}

fn apply(records: &mut Records, batch: &[Write]) {
    for write in batch {
        let place = (write.space, write.key.clone());
        match &write.value {
            Some(value) => drop(records.insert(place, value.clone())),
            None => drop(records.remove(&place)),
        }
    }
}

impl Disk {
    /// An empty disk with a number.
    pub fn new(number: u64) -> Self {
        let disk = Self::default();
        disk.number.set(number);
        disk
    }

    /// Drawn when the disk was made.
    pub fn number(&self) -> u64 {
        self.number.get()
    }

    /// All of it goes; another number is drawn.
    pub fn wipe(&self, number: u64) {
        self.number.set(number);
        self.seen.borrow_mut().clear();
        self.synced.borrow_mut().clear();
        self.end_process();
        self.written.borrow_mut().clear();
        self.counts.set((0, 0));
        self.damaged.set(false);
    }

    /// The process ends; what it has written stays.
    pub fn end_process(&self) {
        self.queued.borrow_mut().clear();
    }

    /// Power is lost. Of what was not synced the first `kept` batches are there. One that is there in part is found out by
    /// its checksum and counts as gone, with all after it: the journal is read up to it.
    pub fn lose_power(&self, kept: usize) {
        self.end_process();
        let written = std::mem::take(&mut *self.written.borrow_mut());
        let mut synced = self.synced.borrow_mut();
        written.iter().take(kept).for_each(|batch| apply(&mut synced, batch));
        *self.seen.borrow_mut() = synced.clone();
        let (count, _) = self.counts.get();
        self.counts.set((count, count));
    }

    /// One turn, by chance, cannot be read any more: it is set aside, and whoever opens the disk is told.
    pub fn damage(&self, chance: u64) {
        let turns: Vec<Vec<u8>> = self
            .seen
            .borrow()
            .keys()
            .filter(|(space, _)| *space == TURNS)
            .map(|(_, key)| key.clone())
            .collect();
        let Some(key) = turns.get(chance as usize % turns.len().max(1)) else { return };
        self.seen.borrow_mut().remove(&(TURNS, key.clone()));
        self.synced.borrow_mut().remove(&(TURNS, key.clone()));
        self.damaged.set(true);
    }

    /// Batches that a loss of power may take.
    pub fn unsynced(&self) -> usize {
        self.written.borrow().len()
    }

    /// A record.
    pub fn get(&self, space: &'static str, key: &[u8]) -> Option<Bytes> {
        self.seen.borrow().get(&(space, key.to_vec())).cloned()
    }

    /// Written with the next batch, or soon.
    pub fn write_lazily(&self, host: &Host, writes: Vec<Write>) {
        if writes.is_empty() {
            return;
        }
        self.queued.borrow_mut().push(writes);
        let host = host.clone();
        host.clone().spawn(async move {
            host.sleep_us(host.between(2_000, times::LOOK_AGAIN * 1_000)).await;
            host.disk().flush();
        });
    }

    fn flush(&self) {
        let queued = std::mem::take(&mut *self.queued.borrow_mut());
        let (written, synced) = self.counts.get();
        self.counts.set((written + queued.len() as u64, synced));
        let mut seen = self.seen.borrow_mut();
        queued.iter().for_each(|batch| apply(&mut seen, batch));
        self.written.borrow_mut().extend(queued);
    }

    /// Writes these; they are synced, with all earlier writes, when this returns.
    pub async fn write(&self, host: &Host, writes: Vec<Write>, syncs: bool) {
        self.queued.borrow_mut().push(writes);
        host.sleep_us(host.between(200, 1_500)).await;
        self.flush();
        let (written, _) = self.counts.get();
        host.sleep_us(host.between(500, 6_000)).await;
        if syncs {
            self.sync(written);
        }
    }

    fn sync(&self, up_to: u64) {
        let (written, synced) = self.counts.get();
        let due = up_to.saturating_sub(synced) as usize;
        let mut waiting = self.written.borrow_mut();
        let due = due.min(waiting.len());
        let mut records = self.synced.borrow_mut();
        waiting.drain(..due).for_each(|batch| apply(&mut records, &batch));
        self.counts.set((written, synced + due as u64));
    }

    /// What a store finds when it starts; a damaged record makes it fill again.
    pub fn kept(&self) -> Kept {
        let seen = self.seen.borrow();
        let mut kept = Kept::default();
        let read = |bytes: &[u8]| postcard::from_bytes::<Turn>(bytes).ok();
        for ((space, key), value) in seen.iter() {
            match *space {
                TURNS => kept.turns.extend(read(value).map(|turn| KeptTurn {
                    length: (turn.input.len() + turn.output.len()) as u32,
                    attempt: turn.attempt,
                    previous: turn.previous,
                    retention_ms: turn.retention_ms,
                    holders: turn.holders,
                })),
                ACCOUNTS => kept.accounts.extend(account(key, value)),
                STATE => kept.fill = postcard::from_bytes(value).unwrap_or_default(),
                _ => {}
            }
        }
        for turn in &mut kept.turns {
            let moved = seen.get(&(HOLDERS, turn.attempt.as_bytes().to_vec()));
            if let Some(holders) = moved.and_then(|value| postcard::from_bytes(value).ok()) {
                turn.holders = holders;
            }
        }
        if self.damaged.take() {
            kept.fill = FillRecord { filled: Vec::new(), damaged: true };
        }
        kept
    }
}

fn account(key: &[u8], value: &[u8]) -> Option<(String, Reservation)> {
    let (program, attempt) = key.split_last_chunk::<8>()?;
    let tokens = u32::from_be_bytes(value.try_into().ok()?);
    let program = std::str::from_utf8(program).ok()?.to_owned();
    Some((program, Reservation { attempt: u64::from_be_bytes(*attempt), tokens }))
}

impl Bodies for Disk {
    fn get(&self, attempt: &str) -> Body {
        match Disk::get(self, TURNS, attempt.as_bytes()) {
            None => Body::Pending,
            Some(value) => postcard::from_bytes(&value).map_or(Body::Lost, Body::Held),
        }
    }
}
