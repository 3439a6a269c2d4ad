//! The server: accepts connections and hands each request to the part that its route names.

use super::load::ApiLoad;
use super::reply::Reply;
use super::routes::{ApiCall, route};
use super::{Applications, Operations, application, operator};
use bytes::Bytes;
use client_admission::{BodyError, ConnectionSlot};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Longest time from the opening of a connection, or from the reply before, to the end of a request's head.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time from the end of a request's head to the end of its body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a connection's read buffer, and so of a request's head, in bytes.
const MAX_BUFFER_BYTES: usize = 16 * 1024;
/// Pause after a connection could not be accepted, such as for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A request may have been carried out or not, and no status says so: the connection closes without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the outcome is unknown, the connection closes without a reply")]
pub(super) struct IndeterminateError;

/// The admission of one request: what all callers occupy, and the connection that the request came on.
#[derive(Clone)]
pub(super) struct Admission {
    pub(super) load: Rc<ApiLoad>,
    slot: Rc<ConnectionSlot>,
}

impl Admission {
    /// Reads the body of a request, up to `max_bytes`. From then on the request is served.
    ///
    /// # Errors
    ///
    /// The reply to a body that is too long, malformed or late, or for which there is no memory. Nothing of the request was
    /// carried out.
    pub(super) async fn read_body(
        &self,
        request: Request<Incoming>,
        max_bytes: usize,
    ) -> Result<Bytes, Reply> {
        let deadline = Instant::now() + BODY_READ_TIMEOUT;
        let body = client_admission::read_body(request.into_body(), max_bytes, deadline, self.load.bodies());
        let body = body.await.map_err(reply_to_incomplete_body)?;
        self.slot.start_serving();
        Ok(body)
    }
}

/// The reply to a request whose body was not read to its end; the connection closes with it.
fn reply_to_incomplete_body(error: BodyError) -> Reply {
    let status = match error {
        BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Malformed => StatusCode::BAD_REQUEST,
        BodyError::Late => StatusCode::REQUEST_TIMEOUT,
        BodyError::NoMemory(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    Reply { closes_connection: true, ..Reply::error(status, &error.to_string()) }
}

/// Sets a connection to wait for its client again once its request was served.
struct Served(Rc<ConnectionSlot>);

impl Drop for Served {
    fn drop(&mut self) {
        self.0.start_waiting();
    }
}

async fn handle<S: Operations + Applications>(
    service: &S,
    admission: &Admission,
    request: Request<Incoming>,
) -> Result<Reply, IndeterminateError> {
    let _served = Served(admission.slot.clone());
    let path = request.uri().path().to_owned();
    match route(request.method(), &path) {
        Ok((ApiCall::Operator(call), name)) => {
            Ok(operator::handle(service, admission, call, name, request).await)
        }
        Ok((ApiCall::Application(call), name)) => {
            application::handle(service, admission, call, name, request).await
        }
        Err(status) => Ok(Reply::error(status, "no such call")),
    }
}

async fn serve_connection<S: Operations + Applications + 'static>(
    stream: TcpStream,
    service: Rc<S>,
    admission: Admission,
) {
    let slot = admission.slot.clone();
    let service = hyper::service::service_fn(|request| {
        let (service, admission) = (service.clone(), admission.clone());
        async move { handle(&*service, &admission, request).await.map(Reply::into_response) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // How a caller's connection ends is the caller's affair.
    tokio::select! {
        _ = connection => {}
        () = slot.evicted() => {}
    }
}

/// Accepts connections until it is dropped.
pub async fn serve<S: Operations + Applications + 'static>(
    listener: TcpListener,
    service: Rc<S>,
    load: Rc<ApiLoad>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("accept failed: error={e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        // Without a slot the connection closes: the caller goes to another node.
        let Some(slot) = load.admit_connection() else { continue };
        let admission = Admission { load: load.clone(), slot: Rc::new(slot) };
        tokio::task::spawn_local(serve_connection(stream, service.clone(), admission));
    }
}
