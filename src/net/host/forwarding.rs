//! Forwarding after a handover: the old process passes what still reaches it on to the new one.
use super::calls::InFlightCall;
use crate::net::admin_endpoint::AdminRequest;
use crate::net::handover::link;
use crate::net::input::Input;
use crate::net::relay::{Answer, ToNew, ToOld};
use crate::net::server::Doors;
use message_sender::Time;
use std::collections::HashMap;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver, unbounded_channel};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout};

/// From the handover until this time, client connections end with their next answer, and idle ones after a short
/// stay; then all idle ones are closed.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1200);
/// Longer than any call takes; clients are not waited for beyond it either.
const FORWARDING_TIMEOUT: Duration = Duration::from_secs(20);
/// Limit from SIGTERM on: the platform kills the process 3.7 s after it at the earliest.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3300);
/// For writing what is still queued for the new process.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// An old process after its handover.
pub struct Forwarder {
    pub stream: UnixStream,
    pub calls: HashMap<u64, InFlightCall>,
    pub time_of: Box<dyn Fn(Instant) -> Time + Send>,
    pub doors: watch::Sender<Doors>,
}

impl Forwarder {
    /// Forwards submissions, admin commands and call results, until the calls have completed and all client
    /// connections are closed.
    pub async fn pass_on(
        mut self,
        mut inputs: UnboundedReceiver<Input>,
        mut admin_requests: Receiver<AdminRequest>,
        mut server: JoinHandle<()>,
    ) {
        let (to_queue, mut from_new) = unbounded_channel();
        let (to_new, writer) = link(self.stream, move |frame: Option<ToOld>| to_queue.send(frame).is_ok());
        let (mut close_at, mut end) = (Instant::now() + DRAIN_TIMEOUT, Instant::now() + FORWARDING_TIMEOUT);
        let (mut server_ended, mut next_id) = (false, 0);
        let mut submissions: HashMap<u64, oneshot::Sender<Answer>> = HashMap::new();
        let mut commands: HashMap<u64, oneshot::Sender<Result<(), String>>> = HashMap::new();
        while !(server_ended && self.calls.is_empty()) {
            next_id += 1;
            tokio::select! {
                _ = &mut server, if !server_ended => server_ended = true,
                () = sleep_until(close_at) => {
                    self.doors.send_replace(Doors::Shut);
                    close_at = end;
                }
                () = sleep_until(end) => break,
                Some(request) = admin_requests.recv() => match request {
                    AdminRequest::Command { command, answer } => {
                        commands.insert(next_id, answer);
                        let _ = to_new.send(ToNew::Order { id: next_id, order: command });
                    }
                    // The pending messages belong to the new process, and the totals would be wrong without them.
                    AdminRequest::Figures(answer) => {
                        let _ = answer.send(Err("another process has taken over; ask that one".to_owned()));
                    }
                },
                frame = from_new.recv() => match frame.flatten() {
                    Some(ToOld::Answer { id, answer }) => {
                        // A client that disconnected resubmits under a new id.
                        let _ = submissions.remove(&id).map(|client| client.send(answer));
                    }
                    Some(ToOld::Ordered { id, done }) => {
                        let _ = commands.remove(&id).map(|caller| caller.send(done));
                    }
                    Some(ToOld::Hello(_) | ToOld::Taken) => {}
                    // Nothing can be forwarded any more.
                    None => {
                        tracing::warn!("handover: the new process has ended");
                        break;
                    }
                },
                Some(input) = inputs.recv() => match input {
                    Input::Called(called) => {
                        let at = (self.time_of)(called.at);
                        let sent = self.calls.remove(&called.number).map_or(at, |call| call.started);
                        let (endpoint, ends, wait, report) =
                            (called.endpoint, called.ends, called.wait, called.report);
                        let _ = to_new.send(ToNew::Called { sent, at, endpoint, ends, wait, report });
                    }
                    // The new process decides now, and doesn't count the call as started on this connection.
                    Input::Connected { may_begin, .. } => drop(may_begin.send(false)),
                    Input::HandIn { message, deadline, answer } => {
                        submissions.insert(next_id, answer);
                        let deadline = (self.time_of)(deadline);
                        let _ = to_new.send(ToNew::HandIn { id: next_id, message, deadline });
                    }
                    Input::WindDown => end = end.min(Instant::now() + SHUTDOWN_TIMEOUT),
                    Input::Retune(_, done) => drop(done.send(Err("another process has taken over".to_owned()))),
                    // The new process has its own watch on discovery, notices and connections.
                    _ => {}
                },
            }
        }
        drop(to_new);
        let _ = timeout(FLUSH_TIMEOUT, writer).await;
    }
}
