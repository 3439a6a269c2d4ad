//! The node's replica of the register: its acceptor, made durable through the backend.

use crate::durable_acceptor::{
    DiskState, DurableAcceptor, PendingReply, PendingWrite, WriteNumber, WriteOutcome,
};
use crate::{ControlBackend, ControlEvent};
use config_register::AcceptorRecord;
use fleet_model::{AcceptedValue, RegisterReply, RegisterRequest};
use node_runtime::Runtime;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// An acceptor and its disk.
pub(crate) struct Replica<R, B> {
    runtime: R,
    backend: Rc<B>,
    acceptor: RefCell<DurableAcceptor>,
    /// The write to begin when the current one has completed.
    queued: RefCell<Option<PendingWrite>>,
    is_writing: Cell<bool>,
    /// Notified when a write completes. Waiters are woken in their order; a `watch` would wake them in any order, which would
    /// make runs of the simulation irreproducible.
    write_completed: Notify,
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
        })
    }

    /// Whether it has a record on disk, so that it may vote.
    pub(crate) fn has_record(&self) -> bool {
        self.acceptor.borrow().has_record()
    }

    /// The value accepted last.
    pub(crate) fn accepted(&self) -> Option<AcceptedValue> {
        self.acceptor.borrow().accepted().cloned()
    }

    /// Notes that a value is chosen.
    pub(crate) fn learn_value(&self, chosen: &AcceptedValue) {
        self.acceptor.borrow_mut().learn_value(chosen);
    }

    /// Whether the disk accepts writes.
    pub(crate) fn disk(&self) -> DiskState {
        self.acceptor.borrow().disk()
    }

    /// Handles a request at once; the reply may be sent after [`Replica::release`].
    pub(crate) fn handle(self: &Rc<Self>, request: &RegisterRequest) -> PendingReply {
        let mut handled = self.acceptor.borrow_mut().handle(request);
        if let Some(write) = handled.write.take() {
            self.write(write);
        }
        handled
    }

    /// Waits until the reply may be sent; `None` if the disk refused the record on which it depends.
    pub(crate) async fn release(&self, handled: PendingReply) -> Option<RegisterReply> {
        match handled.after {
            Some(number) => self.is_synced(number).await.then_some(handled.reply),
            None => Some(handled.reply),
        }
    }

    /// Writes a record that allows the acceptor to vote; returns whether the disk accepted it.
    pub(crate) async fn recover(self: &Rc<Self>, record: AcceptorRecord) -> bool {
        let write = self.acceptor.borrow_mut().recover(record);
        let number = write.number;
        self.write(write);
        self.is_synced(number).await
    }

    /// If the disk has refused writes and none is in flight, writes again to find out whether it still does.
    pub(crate) fn probe_disk(self: &Rc<Self>) {
        let probe = {
            let mut acceptor = self.acceptor.borrow_mut();
            match acceptor.disk().is_refusing && !acceptor.is_writing() {
                true => acceptor.write_newest(),
                false => None,
            }
        };
        if let Some(probe) = probe {
            self.write(probe);
        }
    }

    /// Writes in a separate task, so that the write completes even if the caller stops waiting. A queued write is replaced by a
    /// later one, which contains the complete record.
    fn write(self: &Rc<Self>, write: PendingWrite) {
        self.queued.replace(Some(write));
        if !self.is_writing.replace(true) {
            self.runtime.spawn(self.clone().write_queued());
        }
    }

    async fn write_queued(self: Rc<Self>) {
        loop {
            let Some(write) = self.queued.take() else { break };
            let written = self.backend.persist(&write.record).await;
            let changed = self.acceptor.borrow_mut().on_write_completed(write.number, written.is_ok());
            if changed {
                self.report_disk(written.err().map(|error| error.to_string()));
            }
            self.write_completed.notify_waiters();
        }
        self.is_writing.set(false);
    }

    fn report_disk(&self, error: Option<String>) {
        match error {
            Some(error) => self.backend.on_event(&ControlEvent::DiskRefuses(&error)),
            None => self.backend.on_event(&ControlEvent::DiskAccepts),
        }
    }

    async fn is_synced(&self, number: WriteNumber) -> bool {
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
