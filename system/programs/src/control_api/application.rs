//! The calls of applications: locks, numbers, and keys with their watches. HTTP is translated to [`ApplicationRequest`] and
//! [`ApplicationReply`] to HTTP here; the coordination service does the rest.

mod outcome;
mod request;

pub use request::MAX_WATCH_WAIT;

use super::close_check::drop_if_caller_is_gone;
use super::reply::Reply;
use super::server::{Admission, IndeterminateError};
use control_node::{ApplicationReply, ApplicationRequest};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};

/// Maximum size of the body of an application's request, in bytes.
pub const MAX_APPLICATION_BODY_BYTES: usize = 64 * 1024;

/// What a control node offers to applications. All runs on one thread: no future need be sent to another.
#[allow(async_fn_in_trait, reason = "all futures run on one thread")]
pub trait Applications {
    /// Carries out a request. The future is dropped if the caller closes its connection.
    async fn coordinate(&self, request: ApplicationRequest) -> ApplicationReply;
}

/// A call of an application.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ApplicationCall {
    /// Acquire a lock.
    AcquireLock,
    /// Extend a held lock.
    RenewLock,
    /// Release a lock.
    ReleaseLock,
    /// Take the next value of a counter.
    NextNumber,
    /// Store the value of a key.
    PutKey,
    /// Read a key.
    ReadKey,
    /// Wait for events of a group.
    Watch,
}

/// Carries out a call; `name` is the end of its path, as it was sent.
///
/// # Errors
///
/// [`IndeterminateError`] if nothing may be said of the outcome.
pub(super) async fn handle<A: Applications>(
    applications: &A,
    admission: &Admission,
    call: ApplicationCall,
    name: &str,
    request: Request<Incoming>,
) -> Result<Reply, IndeterminateError> {
    if !admission.load.admits_application() {
        let too_many = Reply::error(StatusCode::TOO_MANY_REQUESTS, "too many connections");
        return Ok(Reply { closes_connection: true, ..too_many });
    }
    let query = request.uri().query().unwrap_or_default().to_owned();
    let body = match admission.read_body(request, MAX_APPLICATION_BODY_BYTES).await {
        Ok(body) => body,
        Err(reply) => return Ok(reply),
    };
    let request = match request::parse(call, name, &query, &body) {
        Ok(request) => request,
        Err(e) => return Ok(Reply::error(StatusCode::BAD_REQUEST, &e.to_string())),
    };
    drop_if_caller_is_gone().await;
    let _waiting_watch = match call {
        ApplicationCall::Watch => match admission.load.occupy_watch() {
            Some(occupied) => Some(occupied),
            None => return Ok(Reply::error(StatusCode::TOO_MANY_REQUESTS, "too many watches")),
        },
        _ => None,
    };
    outcome::reply(call, applications.coordinate(request).await)
}
