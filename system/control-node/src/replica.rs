//! This node's replica of the register: its acceptor, written through the backend.

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

/// An acceptor with its disk.
pub(crate) struct Replica<R, B> {
    runtime: R,
    backend: Rc<B>,
    acceptor: RefCell<DurableAcceptor>,
    /// To be written once the write before it has come to its end.
    queued: RefCell<Option<PendingWrite>>,
    is_writing: Cell<bool>,
    /// A write has come to its end. All that wait are woken in their order: a `watch` would wake them in any, and no play of
    /// the simulation would be like the one before.
    ended: Notify,
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
            ended: Notify::new(),
        })
    }

    /// Whether it has a state on disk to vote by.
    pub(crate) fn has_record(&self) -> bool {
        self.acceptor.borrow().has_record()
    }

    /// What it has accepted last.
    pub(crate) fn accepted(&self) -> Option<AcceptedValue> {
        self.acceptor.borrow().accepted().cloned()
    }

    /// A value is known to be chosen.
    pub(crate) fn learn_value(&self, chosen: &AcceptedValue) {
        self.acceptor.borrow_mut().learn_value(chosen);
    }

    /// Whether the disk takes writes.
    pub(crate) fn disk(&self) -> DiskState {
        self.acceptor.borrow().disk()
    }

    /// Handles a request at once; the answer may leave after [`Replica::release`].
    pub(crate) fn handle(self: &Rc<Self>, request: &RegisterRequest) -> PendingReply {
        let mut handled = self.acceptor.borrow_mut().handle(request);
        if let Some(write) = handled.write.take() {
            self.write(write);
        }
        handled
    }

    /// The answer, once it may leave; none if the disk refuses what it tells.
    pub(crate) async fn release(&self, handled: PendingReply) -> Option<RegisterReply> {
        match handled.after {
            Some(number) => self.is_synced(number).await.then_some(handled.reply),
            None => Some(handled.reply),
        }
    }

    /// Writes the state by which it may vote from then on; whether the disk has taken it.
    pub(crate) async fn recover(self: &Rc<Self>, record: AcceptorRecord) -> bool {
        let write = self.acceptor.borrow_mut().recover(record);
        let number = write.number;
        self.write(write);
        self.is_synced(number).await
    }

    /// Where the disk has refused and nothing is being written, tries whether it goes on refusing.
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

    /// In a task of its own: whoever asked may give up waiting, and the write still comes to its end. One that waits for the
    /// write before it is left out when a later one comes: that holds all of it.
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
                self.tell_disk(written.err().map(|e| e.to_string()));
            }
            self.ended.notify_waiters();
        }
        self.is_writing.set(false);
    }

    fn tell_disk(&self, refused: Option<String>) {
        match refused {
            Some(why) => self.backend.on_event(&ControlEvent::DiskRefuses(&why)),
            None => self.backend.on_event(&ControlEvent::DiskAccepts),
        }
    }

    async fn is_synced(&self, number: WriteNumber) -> bool {
        loop {
            let ended = self.ended.notified();
            let outcome = self.acceptor.borrow().outcome(number);
            match outcome {
                WriteOutcome::Synced => return true,
                WriteOutcome::Failed => return false,
                WriteOutcome::Pending => ended.await,
            }
        }
    }
}
