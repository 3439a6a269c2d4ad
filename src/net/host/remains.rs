//! What is left of a process that has handed over: it passes on what still reaches it.
use super::calls::Out;
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

/// From the handover on, clients' connections end with their next answer, and idle ones soon; after this all do.
const LEAVING: Duration = Duration::from_millis(1200);
/// No call takes longer, and no client is waited for after that.
const MOST_LEFT: Duration = Duration::from_secs(20);
/// The same from SIGTERM on: the platform kills no sooner than 3.7 s after it.
const LAST_WORDS: Duration = Duration::from_millis(3300);
/// What is still to be told to the new process may take so long.
const LAST_TOLD: Duration = Duration::from_secs(1);

/// What is left of a process that has handed over.
pub struct Remains {
    pub stream: UnixStream,
    pub calls: HashMap<u64, Out>,
    pub time_of: Box<dyn Fn(Instant) -> Time + Send>,
    pub doors: watch::Sender<Doors>,
}

impl Remains {
    /// Passes on what still reaches the old process, until its calls have ended and its clients have gone.
    pub async fn pass_on(
        mut self,
        mut inputs: UnboundedReceiver<Input>,
        mut orders: Receiver<AdminRequest>,
        mut server: JoinHandle<()>,
    ) {
        let (to_queue, mut from_new) = unbounded_channel();
        let (to_new, writer) = link(self.stream, move |came: Option<ToOld>| to_queue.send(came).is_ok());
        let (mut shut, mut end) = (Instant::now() + LEAVING, Instant::now() + MOST_LEFT);
        let (mut served, mut next) = (false, 0);
        let mut handed_in: HashMap<u64, oneshot::Sender<Answer>> = HashMap::new();
        let mut ordered: HashMap<u64, oneshot::Sender<Result<(), String>>> = HashMap::new();
        while !(served && self.calls.is_empty()) {
            next += 1;
            tokio::select! {
                _ = &mut server, if !served => served = true,
                () = sleep_until(shut) => {
                    self.doors.send_replace(Doors::Shut);
                    shut = end;
                }
                () = sleep_until(end) => break,
                Some(asked) = orders.recv() => match asked {
                    AdminRequest::Command { command, answer } => {
                        ordered.insert(next, answer);
                        let _ = to_new.send(ToNew::Order { id: next, order: command });
                    }
                    // What was held is the new one's, and the sums would be wrong without it.
                    AdminRequest::Figures(answer) => {
                        let _ = answer.send(Err("another process has taken over: ask that one".to_owned()));
                    }
                },
                came = from_new.recv() => match came.flatten() {
                    Some(ToOld::Answer { id, answer }) => {
                        // A client that has gone comes again under a new id.
                        let _ = handed_in.remove(&id).map(|to| to.send(answer));
                    }
                    Some(ToOld::Ordered { id, done }) => {
                        let _ = ordered.remove(&id).map(|to| to.send(done));
                    }
                    Some(ToOld::Hello(_) | ToOld::Taken) => {}
                    // Nobody is left to pass anything on to.
                    None => {
                        tracing::warn!("handover: the new process has ended");
                        break;
                    }
                },
                Some(input) = inputs.recv() => match input {
                    Input::Called(called) => {
                        let at = (self.time_of)(called.at);
                        let sent = self.calls.remove(&called.number).map_or(at, |out| out.began);
                        let (endpoint, ends, wait, report) =
                            (called.endpoint, called.ends, called.wait, called.report);
                        let _ = to_new.send(ToNew::Called { sent, at, endpoint, ends, wait, report });
                    }
                    // The new process decides now, and does not know of it as begun.
                    Input::Connected { may_begin, .. } => drop(may_begin.send(false)),
                    Input::HandIn { message, deadline, answer } => {
                        handed_in.insert(next, answer);
                        let deadline = (self.time_of)(deadline);
                        let _ = to_new.send(ToNew::HandIn { id: next, message, deadline });
                    }
                    Input::WindDown => end = end.min(Instant::now() + LAST_WORDS),
                    Input::Retune(_, done) => drop(done.send(Err("another process has taken over".to_owned()))),
                    // The new process has a watch, notices and connections of its own.
                    _ => {}
                },
            }
        }
        drop(to_new);
        let _ = timeout(LAST_TOLD, writer).await;
    }
}
