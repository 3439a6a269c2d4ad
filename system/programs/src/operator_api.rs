//! The HTTP API for operators: a route table and its server.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, IF_MATCH, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// The reply to a request.
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The body, JSON.
    pub body: Bytes,
}

impl Reply {
    /// A status and a JSON text.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self { status, body: body.into() }
    }

    /// Not now: another sender may know more.
    pub fn unavailable() -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, r#"{"error":"no majority of the core answers"}"#)
    }
}

/// The operations that a control node offers to operators. All runs on one thread: no future need be sent to another.
#[allow(async_fn_in_trait, reason = "all futures run on one thread")]
pub trait Operations {
    /// Takes a configuration on top of the version `expected`.
    async fn put_config(&self, expected: Option<u64>, body: Bytes) -> Reply;
    /// The newest configuration.
    async fn config(&self) -> Reply;
    /// Begins to empty a storage machine.
    async fn retire(&self, name: &str) -> Reply;
    /// How far that is.
    async fn retiring(&self, name: &str) -> Reply;
}

#[derive(Clone, Copy)]
enum Operation {
    PutConfig,
    ReadConfig,
    Retire,
    ReadRetire,
}

/// Method, path (or its beginning, where it ends with a slash: the rest is a name) and what it does.
const ROUTES: [(Method, &str, Operation); 4] = [
    (Method::PUT, "/sedgewood/config", Operation::PutConfig),
    (Method::GET, "/sedgewood/config", Operation::ReadConfig),
    (Method::POST, "/sedgewood/retire/", Operation::Retire),
    (Method::GET, "/sedgewood/retire/", Operation::ReadRetire),
];

fn route(method: &Method, path: &str) -> Result<(Operation, String), StatusCode> {
    let matches_path = |pattern: &str| match pattern.ends_with('/') {
        true => path.strip_prefix(pattern).filter(|name| !name.is_empty() && !name.contains('/')),
        false => (path == pattern).then_some(""),
    };
    let mut path_exists = false;
    for (route_method, pattern, operation) in &ROUTES {
        if let Some(name) = matches_path(pattern) {
            if route_method == method {
                return Ok((*operation, name.to_owned()));
            }
            path_exists = true;
        }
    }
    Err(if path_exists { StatusCode::METHOD_NOT_ALLOWED } else { StatusCode::NOT_FOUND })
}

async fn dispatch<O: Operations>(operations: &O, request: Request<Incoming>) -> Reply {
    let (operation, name) = match route(request.method(), request.uri().path()) {
        Ok(found) => found,
        Err(status) => return Reply::new(status, r#"{"error":"no such call"}"#),
    };
    let expected = request.headers().get(IF_MATCH).and_then(|value| value.to_str().ok());
    let expected = expected.and_then(|text| text.trim().trim_matches('"').parse().ok());
    let body = match Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => {
            return Reply::new(StatusCode::PAYLOAD_TOO_LARGE, r#"{"error":"body cut off or too large"}"#);
        }
    };
    match operation {
        Operation::PutConfig => operations.put_config(expected, body).await,
        Operation::ReadConfig => operations.config().await,
        Operation::Retire => operations.retire(&name).await,
        Operation::ReadRetire => operations.retiring(&name).await,
    }
}

/// Accepts connections until it is dropped.
pub async fn serve<O: Operations + 'static>(listener: TcpListener, operations: Rc<O>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("accept failed: error={e}");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let operations = operations.clone();
        tokio::task::spawn_local(async move {
            let service = hyper::service::service_fn(move |request| {
                let operations = operations.clone();
                async move {
                    let reply = dispatch(&*operations, request).await;
                    let mut response =
                        Response::builder().status(reply.status).header(CONTENT_TYPE, "application/json");
                    if reply.status == StatusCode::SERVICE_UNAVAILABLE {
                        response = response.header(RETRY_AFTER, "0.2");
                    }
                    // Fixed names and values make a head that can be built.
                    Ok::<_, Infallible>(response.body(Full::new(reply.body)).unwrap_or_default())
                }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(10))
                .max_buf_size(64 * 1024)
                .serve_connection(TokioIo::new(stream), service);
            // How a caller's connection ends is the caller's affair.
            let _ = connection.await;
        });
    }
}
