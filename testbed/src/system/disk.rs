//! A simulated disk: writes are visible at once, and unsynced writes may be lost on a power failure.

use super::cluster::Host;
use bytes::Bytes;
use controllers::times;
use fleet_model::{Reservation, Turn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use turn_store::{
    ACCOUNTS, BackfillRecord, Payload, Payloads, REPLICAS, STATE, Stored, StoredTurn, TURNS, Write,
};

type Records = BTreeMap<(&'static str, Vec<u8>), Bytes>;

/// The contents of a disk, and which of them survive a power failure.
#[derive(Default)]
pub struct Disk {
    number: Cell<u64>,
    /// Contents as read now.
    seen: RefCell<Records>,
    /// Contents that survive any power failure.
    synced: RefCell<Records>,
    /// Unsynced batches, in order.
    written: RefCell<Vec<Vec<Write>>>,
    /// Batches not written yet; lost when the process ends.
    queued: RefCell<Vec<Vec<Write>>>,
    /// Number of batches written so far, and of those synced.
    counts: Cell<(u64, u64)>,
    /// A record was damaged; reported once at the next open.
    damaged: Cell<bool>,
    /// Writes and syncs block until this time, in microseconds.
    stalled_until: Cell<u64>,
    /// How much longer each sync takes, in milliseconds, and until when, in microseconds.
    slow_sync: Cell<(u64, u64)>,
    /// Writes fail until this time, in microseconds.
    full_until: Cell<u64>,
    /// The next sync fails.
    refuses_sync: Cell<bool>,
    /// Earlier versions of the acceptor record, oldest first; only stored for a mutation.
    former_records: RefCell<VecDeque<Bytes>>,
}

/// Why a write was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused(pub &'static str);

/// Interval between retries of failed writes and syncs.
const RETRY_INTERVAL_MS: u64 = 20;
/// Age, in writes, of the record restored by `Mutation::RecordOutdated`.
const OUTDATED_BY: usize = 8;
/// Keyspace of the acceptor record.
pub const ACCEPTOR_SPACE: &str = "records";
/// Key of the acceptor record.
pub const ACCEPTOR_RECORD: &[u8] = b"acceptor";

fn apply(records: &mut Records, batch: &[Write]) {
    for write in batch {
        let record_key = (write.keyspace, write.key.clone());
        match &write.value {
            Some(value) => drop(records.insert(record_key, value.clone())),
            None => drop(records.remove(&record_key)),
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

    /// The disk's identity; a wiped disk has a new one.
    pub fn number(&self) -> u64 {
        self.number.get()
    }

    /// Erases the disk and gives it a new number.
    pub fn wipe(&self, number: u64) {
        self.number.set(number);
        self.seen.borrow_mut().clear();
        self.synced.borrow_mut().clear();
        self.written.borrow_mut().clear();
        self.counts.set((0, 0));
        self.former_records.borrow_mut().clear();
        self.end_process();
        self.damaged.set(false);
    }

    /// Drops queued batches when the process ends; written ones stay.
    pub fn end_process(&self) {
        self.queued.borrow_mut().clear();
    }

    /// Writes and syncs block until this time, in microseconds.
    pub fn stall(&self, until: u64) {
        self.stalled_until.set(until.max(self.stalled_until.get()));
    }

    /// Each sync takes `sync_ms` longer until this time, in microseconds.
    pub fn slow_down(&self, sync_ms: u64, until: u64) {
        self.slow_sync.set((sync_ms, until));
    }

    /// Writes fail until this time, in microseconds.
    pub fn fill_up(&self, until: u64) {
        self.full_until.set(until.max(self.full_until.get()));
    }

    /// The next sync fails.
    pub fn refuse_sync(&self) {
        self.refuses_sync.set(true);
    }

    /// Length of a record in bytes.
    pub fn length(&self, space: &'static str, key: &[u8]) -> usize {
        self.get(space, key).map_or(0, |record| record.len())
    }

    fn is_stalled(&self, host: &Host) -> bool {
        host.now().as_micros() < u128::from(self.stalled_until.get())
    }

    fn is_full(&self, host: &Host) -> bool {
        host.now().as_micros() < u128::from(self.full_until.get())
    }

    async fn wait_for_slow_sync(&self, host: &Host) {
        let (sync_ms, until) = self.slow_sync.get();
        if host.now().as_micros() < u128::from(until) {
            host.sleep(sync_ms).await;
        }
    }

    async fn wait_while_stalled(&self, host: &Host) {
        while self.is_stalled(host) {
            host.sleep(RETRY_INTERVAL_MS).await;
        }
    }

    async fn wait_while_unwritable(&self, host: &Host) {
        while self.is_stalled(host) || self.is_full(host) {
            host.sleep(RETRY_INTERVAL_MS).await;
        }
    }

    /// Loses power. Of the unsynced batches only the first `surviving_batches` survive. A torn batch fails its checksum and counts
    /// as lost with all later ones, because the journal is read up to it.
    pub fn lose_power(&self, surviving_batches: usize) {
        self.end_process();
        let written = std::mem::take(&mut *self.written.borrow_mut());
        let mut synced = self.synced.borrow_mut();
        written.iter().take(surviving_batches).for_each(|batch| apply(&mut synced, batch));
        *self.seen.borrow_mut() = synced.clone();
        let (count, _) = self.counts.get();
        self.counts.set((count, count));
    }

    /// Damages a random turn; this is reported at the next open.
    pub fn damage(&self, random: u64) {
        let turns: Vec<Vec<u8>> = self
            .seen
            .borrow()
            .keys()
            .filter(|(space, _)| *space == TURNS)
            .map(|(_, key)| key.clone())
            .collect();
        let Some(key) = turns.get(random as usize % turns.len().max(1)) else { return };
        self.seen.borrow_mut().remove(&(TURNS, key.clone()));
        self.synced.borrow_mut().remove(&(TURNS, key.clone()));
        self.damaged.set(true);
    }

    /// Number of batches that a power failure may lose.
    pub fn unsynced(&self) -> usize {
        self.written.borrow().len()
    }

    /// A record.
    pub fn get(&self, space: &'static str, key: &[u8]) -> Option<Bytes> {
        self.seen.borrow().get(&(space, key.to_vec())).cloned()
    }

    /// Queues writes for the next batch, without waiting.
    pub fn write_lazily(&self, host: &Host, writes: Vec<Write>) {
        if writes.is_empty() {
            return;
        }
        self.queued.borrow_mut().push(writes);
        let host = host.clone();
        host.clone().spawn(async move {
            host.sleep_us(host.random_between(2_000, times::PROBE_RETRY_INTERVAL_MS * 1_000)).await;
            host.disk().wait_while_unwritable(&host).await;
            host.disk().flush();
        });
    }

    fn remember_former(&self, seen: &Records, batch: &[Write]) {
        let is_record = |write: &Write| write.keyspace == ACCEPTOR_SPACE && write.key == ACCEPTOR_RECORD;
        if !batch.iter().any(is_record) {
            return;
        }
        let Some(record) = seen.get(&(ACCEPTOR_SPACE, ACCEPTOR_RECORD.to_vec())) else { return };
        let mut former_records = self.former_records.borrow_mut();
        former_records.push_back(record.clone());
        if former_records.len() > OUTDATED_BY {
            former_records.pop_front();
        }
    }

    /// Mutation: restores the acceptor record as it was [`OUTDATED_BY`] writes ago.
    pub fn restore_outdated_record(&self) {
        let former_records = std::mem::take(&mut *self.former_records.borrow_mut());
        if former_records.len() < OUTDATED_BY {
            return;
        }
        let Some(record) = former_records.front() else { return };
        let record_key = (ACCEPTOR_SPACE, ACCEPTOR_RECORD.to_vec());
        self.seen.borrow_mut().insert(record_key.clone(), record.clone());
        self.synced.borrow_mut().insert(record_key, record.clone());
    }

    fn flush(&self) {
        let queued = std::mem::take(&mut *self.queued.borrow_mut());
        let (written, synced) = self.counts.get();
        self.counts.set((written + queued.len() as u64, synced));
        let mut seen = self.seen.borrow_mut();
        for batch in &queued {
            self.remember_former(&seen, batch);
            apply(&mut seen, batch);
        }
        self.written.borrow_mut().extend(queued);
    }

    /// Writes and syncs a batch together with all earlier writes; retries while the disk refuses.
    pub async fn write(&self, host: &Host, writes: Vec<Write>, syncs: bool) {
        self.queued.borrow_mut().push(writes);
        host.sleep_us(host.random_between(200, 1_500)).await;
        self.wait_while_unwritable(host).await;
        self.flush();
        let (written, _) = self.counts.get();
        host.sleep_us(host.random_between(500, 6_000)).await;
        self.wait_for_slow_sync(host).await;
        self.wait_while_unwritable(host).await;
        while self.refuses_sync.take() {
            host.sleep(RETRY_INTERVAL_MS).await;
        }
        if syncs {
            self.sync(written);
        }
    }

    /// Like [`Disk::write`], but fails at once if the disk refuses.
    pub async fn try_write(&self, host: &Host, writes: Vec<Write>, syncs: bool) -> Result<(), Refused> {
        if self.is_full(host) {
            return Err(Refused("no space is left"));
        }
        self.queued.borrow_mut().push(writes);
        host.sleep_us(host.random_between(200, 1_500)).await;
        self.wait_while_stalled(host).await;
        self.flush();
        let (written, _) = self.counts.get();
        host.sleep_us(host.random_between(500, 6_000)).await;
        self.wait_for_slow_sync(host).await;
        self.wait_while_stalled(host).await;
        if self.refuses_sync.take() {
            return Err(Refused("a sync failed"));
        }
        if syncs {
            self.sync(written);
        }
        Ok(())
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

    /// The records that a storage node recovers at start; a damaged record causes a backfill.
    pub fn stored(&self) -> Stored {
        let seen = self.seen.borrow();
        let mut stored = Stored::default();
        let read = |bytes: &[u8]| postcard::from_bytes::<Turn>(bytes).ok();
        for ((space, key), value) in seen.iter() {
            match *space {
                TURNS => stored.turns.extend(read(value).map(|turn| StoredTurn {
                    length: (turn.input.len() + turn.output.len()) as u32,
                    attempt: turn.attempt,
                    previous: turn.previous,
                    retention_ms: turn.retention_ms,
                    replicas: turn.replicas,
                })),
                ACCOUNTS => stored.accounts.extend(account(key, value)),
                // A record that cannot be read is as good as none.
                STATE => drop(stored.read_state(key, value)),
                _ => {}
            }
        }
        for turn in &mut stored.turns {
            let moved = seen.get(&(REPLICAS, turn.attempt.as_bytes().to_vec()));
            if let Some(replicas) = moved.and_then(|value| postcard::from_bytes(value).ok()) {
                turn.replicas = replicas;
            }
        }
        if self.damaged.take() {
            stored.backfill = BackfillRecord { in_sync: Vec::new(), damaged: true };
        }
        stored
    }
}

fn account(key: &[u8], value: &[u8]) -> Option<(String, Reservation)> {
    let (program, attempt) = key.split_last_chunk::<8>()?;
    let tokens = u32::from_be_bytes(value.try_into().ok()?);
    let program = std::str::from_utf8(program).ok()?.to_owned();
    Some((program, Reservation { attempt: u64::from_be_bytes(*attempt), tokens }))
}

impl Payloads for Disk {
    fn get(&self, attempt: &str) -> Payload {
        match Disk::get(self, TURNS, attempt.as_bytes()) {
            None => Payload::Pending,
            Some(value) => postcard::from_bytes(&value).map_or(Payload::Lost, Payload::Present),
        }
    }
}
