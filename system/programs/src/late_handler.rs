//! A handler of peers' calls for a program that is not ready yet: operators are answered from the start, so that they see
//! what the program waits for; all other calls are answered once it is ready.

use crate::admin::AdminEndpoint;
use crate::listeners::listen;
use crate::process::Process;
use fleet_model::{Answer, Call};
use peer_wire::{Handler, PeerServer, Pusher};
use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Answers by the program's handler, once there is one.
pub struct LateHandler<H> {
    admin: AdminEndpoint,
    handler: OnceCell<Rc<H>>,
}

impl<H> LateHandler<H> {
    /// One without a handler; `admin` answers operators until then.
    pub fn new(admin: AdminEndpoint) -> Rc<Self> {
        Rc::new(Self { admin, handler: OnceCell::new() })
    }

    /// Answers by this handler from now on. Only the first one counts.
    pub fn set(&self, handler: Rc<H>) {
        // A program has one handler.
        let _ = self.handler.set(handler);
    }
}

impl<H: Handler> Handler for LateHandler<H> {
    async fn call(&self, from: SocketAddr, call: Call, pusher: Pusher) -> Answer {
        match (self.handler.get().cloned(), &call) {
            (Some(handler), _) => handler.call(from, call, pusher).await,
            (None, Call::Inspect { topic }) => self.admin.answer(topic, |_| ()),
            (None, _) => Answer::NotReady,
        }
    }

    fn expected_answer_len(&self, call: &Call) -> usize {
        self.handler.get().map_or(0, |handler| handler.expected_answer_len(call))
    }
}

/// Answers peers in a part of the process, once their address can be had. The receiver is notified then.
pub fn serve_peers<H: Handler>(
    process: &Rc<Process>,
    server: PeerServer<LateHandler<H>>,
) -> oneshot::Receiver<()> {
    let (listening_sender, listening) = oneshot::channel();
    let serving = process.clone();
    process.spawn_part("peer server", async move {
        let listener = listen(&serving, serving.peer(serving.settings().ip_address)).await;
        // The body may have ended meanwhile.
        let _ = listening_sender.send(());
        server.serve(listener).await;
    });
    listening
}
