//! One client connection: its requests, its timeouts and its graceful end.

use crate::client_stream::{
    ClientStream, ConnectionState, InFlight, client_disconnected, has_no_unread_bytes,
};
use crate::forwarder::Forwarder;
use crate::response_body::ResponseBody;
use crate::server::{MIN_BUFFER_BYTES, ShutdownPhase, current_phase};
use crate::turn_storage::TurnStorage;
use client_admission::ConnectionSlot;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use operator_config::Limits;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// During shutdown, a connection without a request so far stays open for this long after it was accepted.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);
/// Delay before the next check of a connection that has unread bytes at a check.
const UNREAD_RECHECK_DELAY: Duration = Duration::from_millis(20);

impl<T: TurnStorage> Forwarder<T> {
    /// Serves one client connection until it closes.
    pub(crate) async fn serve_connection(
        self: Rc<Self>,
        stream: TcpStream,
        slot: Rc<ConnectionSlot>,
        mut shutdown: watch::Receiver<ShutdownPhase>,
    ) {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("client connection: {e}");
            return;
        }
        let stream = Rc::new(stream);
        let accepted = Instant::now();
        let client = Rc::new(ConnectionState::new(accepted));
        let io = TokioIo::new(ClientStream { stream: stream.clone(), client: client.clone() });
        let service = self.request_service(&client, &slot, &shutdown);
        let limits = self.limits();
        let buffer = usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX).max(MIN_BUFFER_BYTES);
        let connection = http1::Builder::new()
            .half_close(false)
            .header_read_timeout(None)
            .max_buf_size(buffer)
            .timer(TokioTimer::new())
            .serve_connection(io, service);
        let mut connection = pin!(connection);
        let mut client_disconnected = pin!(client_disconnected(&client, &stream));
        let mut shutting_down = false;
        loop {
            // The newest configuration applies to existing connections too.
            let limits = self.limits();
            let header_timeout = Duration::from_millis(limits.header_timeout_ms.max(1));
            let idle_timeout = Duration::from_millis(limits.idle_timeout_ms.max(1));
            let now = Instant::now();
            let phase = current_phase(&mut shutdown);
            let check = Check {
                client: &client,
                stream: &stream,
                accepted,
                phase,
                shutting_down,
                header_timeout,
                idle_timeout,
            };
            let next_check = match check.action(now) {
                Action::Close => return,
                Action::GracefulShutdown => {
                    connection.as_mut().graceful_shutdown();
                    shutting_down = true;
                    now + header_timeout.min(idle_timeout)
                }
                Action::CheckAt(next_check) => next_check,
            };
            tokio::select! {
                biased;
                result = &mut connection => {
                    if let Err(e) = result {
                        log::debug!("client connection: {e}");
                    }
                    return;
                }
                () = &mut client_disconnected => return,
                () = slot.evicted() => return,
                _ = shutdown.changed(), if !shutting_down => {}
                () = sleep_until(next_check) => {}
            }
        }
    }

    /// The service that responds to the requests of one connection.
    fn request_service(
        self: &Rc<Self>,
        client: &Rc<ConnectionState>,
        slot: &Rc<ConnectionSlot>,
        shutdown: &watch::Receiver<ShutdownPhase>,
    ) -> impl HttpService<Incoming, ResBody = ResponseBody, Error = Infallible, Future: Sized> + use<T> {
        let (forwarder, client, phase) = (self.clone(), client.clone(), shutdown.clone());
        let slot = slot.clone();
        service_fn(move |request: Request<Incoming>| {
            client.in_flight.set(true);
            client.awaits_first_request.set(false);
            let arrived = client.head_started_at.take().unwrap_or_else(Instant::now);
            let in_flight = InFlight { client: client.clone(), slot: slot.clone() };
            let (forwarder, slot, mut phase) = (forwarder.clone(), slot.clone(), phase.clone());
            async move {
                let mut response = forwarder.respond(request, arrived, &slot).await;
                if current_phase(&mut phase) != ShutdownPhase::Serving {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(response.map(|body| body.guarded(in_flight)))
            }
        })
    }

    fn limits(&self) -> Limits {
        self.config().map_or(
            Limits {
                max_header_bytes: 16_384,
                max_body_bytes: 4_194_304,
                header_timeout_ms: 3_000,
                idle_timeout_ms: 15_000,
            },
            |config| config.limits,
        )
    }
}

/// What to do with a connection after a check.
enum Action {
    /// Close it at once: its request head has timed out.
    Close,
    /// Finish the request in flight, if any, and close.
    GracefulShutdown,
    /// Leave it open and check again at this instant.
    CheckAt(Instant),
}

/// The state that a check of a connection depends on.
struct Check<'a> {
    client: &'a ConnectionState,
    stream: &'a TcpStream,
    accepted: Instant,
    phase: ShutdownPhase,
    shutting_down: bool,
    header_timeout: Duration,
    idle_timeout: Duration,
}

impl Check<'_> {
    fn action(&self, now: Instant) -> Action {
        let next_check = now + self.header_timeout.min(self.idle_timeout);
        let must_shut_down = self.phase != ShutdownPhase::Serving && !self.shutting_down;
        let idle_until = || self.client.idle_since.get() + self.idle_timeout;
        if self.client.in_flight.get() {
            // The request in flight is completed and is the last on this connection.
            if must_shut_down { Action::GracefulShutdown } else { Action::CheckAt(next_check) }
        } else if let Some(started_at) = self.client.head_started_at.get() {
            let head_deadline = started_at + self.header_timeout;
            if now >= head_deadline { Action::Close } else { Action::CheckAt(next_check.min(head_deadline)) }
        } else if !has_no_unread_bytes(self.stream) {
            Action::CheckAt(now + UNREAD_RECHECK_DELAY)
        } else if now >= idle_until() {
            Action::GracefulShutdown
        } else if must_shut_down {
            let first_request_deadline = self.accepted + FIRST_REQUEST_GRACE;
            if self.client.awaits_first_request.get() && now < first_request_deadline {
                Action::CheckAt(first_request_deadline)
            } else {
                Action::GracefulShutdown
            }
        } else {
            Action::CheckAt(next_check.min(idle_until()))
        }
    }
}
