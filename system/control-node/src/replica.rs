//! The node's replica of the register: an acceptor whose record is persisted through the backend.

use crate::durable_acceptor::{
    DiskState, DurableAcceptor, PendingReply, PendingWrite, WriteNumber, WriteOutcome,
};
use crate::vote_delay::VoteDelay;
use crate::{ControlBackend, ControlEvent};
use config_register::AcceptorRecord;
use fleet_model::{AcceptedValue, RegisterReply, RegisterRequest};
use node_runtime::Runtime;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// An acceptor and the writes of its record.
pub(crate) struct Replica<R, B> {
    runtime: R,
    backend: Rc<B>,
    acceptor: RefCell<DurableAcceptor>,
    /// The write to start when the current one has completed.
    queued: RefCell<Option<PendingWrite>>,
    is_writing: Cell<bool>,
    /// Notified when a write completes. It wakes waiters in the order in which they wait; a `watch` channel wakes them in any
    /// order, which would make simulation runs irreproducible.
    write_completed: Notify,
    vote_delay: VoteDelay,
}

impl<R: Runtime, B: ControlBackend> Replica<R, B> {
    pub(crate) fn new(runtime: R, backend: Rc<B>, record: Option<AcceptorRecord>) -> Rc<Self> {
        let acceptor = RefCell::new(DurableAcceptor::new(record));
        Rc::new(Self {
            runtime,
            backend,
            acceptor,
            queued: RefCell::default(),
            is_writing: Cell::new(false),
            write_completed: Notify::new(),
            vote_delay: VoteDelay::default(),
        })
    }

    /// Whether the acceptor has a record on disk and may vote.
    pub(crate) fn has_record(&self) -> bool {
        self.acceptor.borrow().has_record()
    }

    /// The value accepted last.
    pub(crate) fn accepted(&self) -> Option<AcceptedValue> {
        self.acceptor.borrow().accepted().cloned()
    }

    /// Records that a value is chosen.
    pub(crate) fn learn_value(&self, chosen: &AcceptedValue) {
        self.acceptor.borrow_mut().learn_value(chosen);
    }

    /// How long a vote takes at present.
    pub(crate) fn vote_delay(&self) -> &VoteDelay {
        &self.vote_delay
    }

    /// Whether the disk accepts writes.
    pub(crate) fn disk(&self) -> DiskState {
        self.acceptor.borrow().disk()
    }

    /// Handles a request without waiting for the disk; the reply may be sent after [`Replica::release`].
    pub(crate) fn handle(self: &Rc<Self>, request: &RegisterRequest) -> PendingReply {
        let mut pending_reply = self.acceptor.borrow_mut().handle(request);
        if let Some(write) = pending_reply.write.take() {
            self.write(write);
        }
        pending_reply
    }

    /// Waits until the reply may be sent; `None` if the record on which it depends could not be written.
    pub(crate) async fn release(&self, pending_reply: PendingReply) -> Option<RegisterReply> {
        match pending_reply.after {
            Some(number) => self.wait_until_synced(number).await.then_some(pending_reply.reply),
            None => Some(pending_reply.reply),
        }
    }

    /// Writes a record that allows the acceptor to vote; returns whether it was synced.
    pub(crate) async fn recover(self: &Rc<Self>, record: AcceptorRecord) -> bool {
        let write = self.acceptor.borrow_mut().recover(record);
        let number = write.number;
        self.write(write);
        self.wait_until_synced(number).await
    }

    /// If the last write has failed and none is in flight, writes the record again to find out whether the disk has recovered.
    pub(crate) fn probe_disk(self: &Rc<Self>) {
        let probe = {
            let mut acceptor = self.acceptor.borrow_mut();
            match acceptor.disk().is_failing && !acceptor.is_writing() {
                true => acceptor.write_newest(),
                false => None,
            }
        };
        if let Some(probe) = probe {
            self.write(probe);
        }
    }

    /// Writes in a separate task, so that the write completes even if the caller stops waiting. A later write replaces a queued
    /// one, since each contains the complete record.
    fn write(self: &Rc<Self>, write: PendingWrite) {
        self.queued.replace(Some(write));
        if !self.is_writing.replace(true) {
            self.runtime.spawn(self.clone().write_queued());
        }
    }

    async fn write_queued(self: Rc<Self>) {
        loop {
            let Some(write) = self.queued.take() else { break };
            let started_at = self.runtime.now();
            let result = self.backend.persist(&write.record).await;
            self.vote_delay.record(self.runtime.now().saturating_sub(started_at));
            let disk_state_changed =
                self.acceptor.borrow_mut().on_write_completed(write.number, result.is_ok());
            if disk_state_changed {
                self.report_disk(result.err().map(|error| error.to_string()));
            }
            self.write_completed.notify_waiters();
        }
        self.is_writing.set(false);
    }

    fn report_disk(&self, error: Option<String>) {
        match error {
            Some(error) => self.backend.on_event(&ControlEvent::DiskFailing(&error)),
            None => self.backend.on_event(&ControlEvent::DiskRecovered),
        }
    }

    async fn wait_until_synced(&self, number: WriteNumber) -> bool {
        loop {
            let write_completed = self.write_completed.notified();
            let outcome = self.acceptor.borrow().outcome(number);
            match outcome {
                WriteOutcome::Synced => return true,
                WriteOutcome::Failed => return false,
                WriteOutcome::Pending => write_completed.await,
            }
        }
    }
}
