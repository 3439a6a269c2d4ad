//! The readiness probe's server.

use crate::response_body::ResponseBody;
use crate::server::MIN_BUFFER_BYTES;
use client_admission::ConnectionLimit;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Upper bound on the connections to the readiness address.
const MAX_PROBE_CONNECTIONS: usize = 32;
/// A connection that has sent no request for this long gives way to a new one at the limit: a prober sends its request at once.
const PROBE_EVICTION_AGE: Duration = Duration::from_millis(50);
/// Idle timeout of a connection to the readiness address.
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Responds to `GET /sedgewood/readiness` with 200 while `is_ready` returns true, otherwise with 503. At the
/// limit the connection that has waited longest for its request is closed without a response.
pub async fn serve_readiness(listener: TcpListener, is_ready: impl Fn() -> bool + 'static) {
    let is_ready = Rc::new(is_ready);
    let connections = ConnectionLimit::with_eviction_age(MAX_PROBE_CONNECTIONS, PROBE_EVICTION_AGE);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("readiness listener: accept failed: {e}");
                sleep(Duration::from_millis(5)).await;
                continue;
            }
        };
        let Some(slot) = connections.admit() else { continue };
        let is_ready = is_ready.clone();
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let status = match request.uri().path() {
                    "/sedgewood/readiness" if is_ready() => StatusCode::OK,
                    "/sedgewood/readiness" => StatusCode::SERVICE_UNAVAILABLE,
                    _ => StatusCode::NOT_FOUND,
                };
                let mut response = Response::new(ResponseBody::complete(""));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .max_buf_size(MIN_BUFFER_BYTES)
                .keep_alive(false)
                .timer(TokioTimer::new())
                .header_read_timeout(PROBE_IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // A failed probe connection needs no handling here: the prober notices it.
            tokio::select! {
                _ = served => {}
                () = slot.evicted() => {}
            }
        });
    }
}
