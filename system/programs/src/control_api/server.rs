//! The server: accepts connections and hands each request to the part that its route names.

use super::load::ApiLoad;
use super::reply::Reply;
use super::routes::{ApiCall, route};
use super::{Applications, Operations, application, operator};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Longest time from the opening of a connection, or from the reply before, to the end of a request's head.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a connection's read buffer, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Pause after a connection could not be accepted, such as for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A request may have been carried out or not, and no status says so: the connection closes without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the outcome is unknown, the connection closes without a reply")]
pub(super) struct IndeterminateError;

/// Reads the body of a request, up to `max_bytes`.
///
/// # Errors
///
/// The reply to a body that is too long or cut off.
pub(super) async fn read_body(request: Request<Incoming>, max_bytes: usize) -> Result<Bytes, Reply> {
    match Limited::new(request.into_body(), max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(Reply::error(StatusCode::PAYLOAD_TOO_LARGE, "body cut off or too large")),
    }
}

async fn handle<S: Operations + Applications>(
    service: &S,
    load: &ApiLoad,
    request: Request<Incoming>,
) -> Result<Reply, IndeterminateError> {
    let path = request.uri().path().to_owned();
    match route(request.method(), &path) {
        Ok((ApiCall::Operator(call), name)) => Ok(operator::handle(service, call, name, request).await),
        Ok((ApiCall::Application(call), name)) => {
            application::handle(service, load, call, name, request).await
        }
        Err(status) => Ok(Reply::error(status, "no such call")),
    }
}

async fn serve_connection<S: Operations + Applications + 'static>(
    stream: TcpStream,
    service: Rc<S>,
    load: Rc<ApiLoad>,
) {
    let _occupied = load.occupy_connection();
    let service = hyper::service::service_fn(|request| {
        let (service, load) = (service.clone(), load.clone());
        async move { handle(&*service, &load, request).await.map(Reply::into_response) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // How a caller's connection ends is the caller's affair.
    let _ = connection.await;
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
        tokio::task::spawn_local(serve_connection(stream, service.clone(), load.clone()));
    }
}
