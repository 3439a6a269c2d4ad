//! The replica's journal: a vote is sent once its records are synced. Records that are added during a write are written together
//! by the next write.

use crate::{ControlBackend, ControlNode};
use node_runtime::Runtime;
use replicated_log::JournalWrite;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Number of records after which the journal is replaced by a checkpoint.
const MAX_JOURNAL_RECORDS: usize = 2_048;

/// The progress of the journal's writes.
#[derive(Default)]
pub(super) struct JournalProgress {
    /// Sequence number of the last requested sync.
    requested: Cell<u64>,
    /// All records up to this sync are on disk.
    synced: Cell<u64>,
    /// All syncs up to this one have succeeded or failed.
    ended: Cell<u64>,
    is_writing: Cell<bool>,
    /// Whether this incarnation has written the journal, and with it the replica's identity.
    is_created: Cell<bool>,
    /// Number of records since the last checkpoint.
    records: Cell<usize>,
    /// Notified when a write ends.
    written: Notify,
    /// The last applied slot for which waiting tasks were notified.
    pub(super) observed_applied: Cell<u64>,
    /// When `observed_applied` changed last; `None` before the first change in this incarnation.
    pub(super) applied_at: Cell<Option<Duration>>,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Makes sure that the replica's identity is on disk; returns false if it could not be written.
    pub(super) async fn create_journal(self: &Rc<Self>) -> bool {
        self.coordination.journal.is_created.get() || self.sync_journal().await
    }

    /// Waits until all records so far are on disk; returns false if they could not be written.
    pub(super) async fn sync_journal(self: &Rc<Self>) -> bool {
        let progress = &self.coordination.journal;
        let number = progress.requested.get() + 1;
        progress.requested.set(number);
        if !progress.is_writing.replace(true) {
            self.runtime.spawn(self.clone().write_journal());
        }
        loop {
            let written = progress.written.notified();
            if progress.synced.get() >= number {
                return true;
            }
            if progress.ended.get() >= number {
                return false;
            }
            written.await;
        }
    }

    /// Writes until no requested sync is left. Runs in a separate task, because a caller may stop waiting.
    async fn write_journal(self: Rc<Self>) {
        let progress = &self.coordination.journal;
        while progress.ended.get() < progress.requested.get() {
            let number = progress.requested.get();
            let succeeded = match self.next_journal_write() {
                Some(write) => self.backend.write_journal(write).await.is_ok(),
                None => true,
            };
            match succeeded {
                true => {
                    progress.is_created.set(true);
                    progress.synced.set(number);
                }
                false => self.coordination.replica.borrow_mut().require_checkpoint(),
            }
            progress.ended.set(number);
            progress.written.notify_waiters();
        }
        progress.is_writing.set(false);
    }

    /// The next write: the new records, or a checkpoint if the journal has grown too long or requires one; `None` if there is
    /// nothing to write.
    fn next_journal_write(&self) -> Option<JournalWrite> {
        let progress = &self.coordination.journal;
        let mut replica = self.coordination.replica.borrow_mut();
        if progress.records.get() < MAX_JOURNAL_RECORDS
            && let Some(records) = replica.take_records()
        {
            progress.records.set(progress.records.get() + records.len());
            return (!records.is_empty()).then_some(JournalWrite::Append(records));
        }
        progress.records.set(0);
        Some(JournalWrite::Checkpoint(replica.checkpoint()))
    }
}
