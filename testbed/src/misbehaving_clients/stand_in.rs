//! Stand-in endpoints that read each body, keep none, and answer after a while.
use super::report::Report;
use crate::fleet::{FleetError, io};
use crate::misbehaving_endpoints::stand_in::{LONG_ANSWER_CHUNK, LONG_ANSWER_CHUNKS};
use crate::serving_tier::endpoints::{Answer, Endpoint, Platform};
use crate::serving_tier::history::Kind;
use crate::serving_tier::load::Load;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Requests that an endpoint takes at once, as the platform's list states.
const SLOTS: usize = 8;
/// How long an endpoint works on a request.
const WORK_TIME: Duration = Duration::from_millis(100);
/// The answer to a turn: two events.
const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
/// The path of lookups with a long answer, which states no length.
pub(crate) const LONG_ANSWER_PATH: &str = "/lookups/long";

/// Starts an endpoint for each service of the tier's configuration, and the platform that lists them; returns the
/// platform's address.
pub async fn start(parties: &mut JoinSet<()>, report: &Arc<Report>) -> Result<SocketAddrV4, FleetError> {
    let endpoints = start_endpoints(parties, report).await?;
    start_platform(parties, Platform::new(endpoints, &Load::LIGHT)).await
}

/// Starts an endpoint for each service of the tier's configuration.
pub(crate) async fn start_endpoints(
    parties: &mut JoinSet<()>,
    report: &Arc<Report>,
) -> Result<Vec<Arc<Endpoint>>, FleetError> {
    let services = [("engine", Kind::Turn), ("orders", Kind::NonIdempotent), ("lookups", Kind::Idempotent)];
    let mut endpoints = Vec::new();
    for (number, (service, kind)) in (1..).zip(services) {
        let (endpoint, listener) =
            Endpoint::bind(number, service, kind, SLOTS).await.map_err(io("listening"))?;
        parties.spawn(serve(listener, Some(endpoint.clone()), report.clone()));
        endpoints.push(endpoint);
    }
    Ok(endpoints)
}

/// Has the platform listen; returns its address.
pub(crate) async fn start_platform(
    parties: &mut JoinSet<()>,
    platform: Platform,
) -> Result<SocketAddrV4, FleetError> {
    let ip = Ipv4Addr::new(127, 0, 40, 1);
    let listener = TcpListener::bind((ip, 0)).await.map_err(io("listening"))?;
    let address = SocketAddrV4::new(ip, listener.local_addr().map_err(io("listening"))?.port());
    parties.spawn(Arc::new(platform).serve(listener));
    Ok(address)
}

/// Serves an endpoint of the tier, or one of the sender's partners.
pub(super) async fn serve(listener: TcpListener, endpoint: Option<Arc<Endpoint>>, report: Arc<Report>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let (endpoint, report) = (endpoint.clone(), report.clone());
                connections.spawn(async move {
                    let service = service_fn(|request| answer(endpoint.as_deref(), &report, request));
                    let http = hyper::server::conn::http1::Builder::new();
                    // A caller that gives up closes its connection.
                    let _ = http.serve_connection(TokioIo::new(stream), service).await;
                });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn answer(
    endpoint: Option<&Endpoint>,
    report: &Report,
    request: Request<Incoming>,
) -> Result<Response<Answer>, hyper::Error> {
    let (head, mut body) = request.into_parts();
    while let Some(frame) = body.frame().await {
        frame?;
    }
    let builder = Response::builder();
    let Some(endpoint) = endpoint else { return Ok(Response::new(Answer::Complete(None))) };
    if head.uri.path() == "/health" {
        let response = builder.header("Instance-Id", endpoint.instance()).body(Answer::Complete(None));
        return Ok(response.unwrap_or_else(|_| Response::new(Answer::Complete(None))));
    }
    let attempt = head.headers.get("attempt-id").and_then(|id| id.to_str().ok()).unwrap_or_default();
    report.ran(attempt);
    sleep(WORK_TIME).await;
    let builder = builder.header("Attempt-Id", attempt).header("Server-Seal", format!("seal-{attempt}"));
    let response = match endpoint.kind {
        Kind::Turn => builder.header(CONTENT_TYPE, "text/event-stream").body(complete(EVENTS)),
        Kind::Idempotent if head.uri.path() == LONG_ANSWER_PATH => builder.body(long_answer()),
        Kind::NonIdempotent | Kind::Idempotent => builder.body(complete("done")),
    };
    Ok(response.unwrap_or_else(|_| Response::new(Answer::Complete(None))))
}

fn complete(text: &'static str) -> Answer {
    Answer::Complete(Some(Bytes::from_static(text.as_bytes())))
}

/// An answer in chunks, which states no length.
fn long_answer() -> Answer {
    let (chunks, answer) = mpsc::channel(1);
    tokio::spawn(async move {
        let chunk = Bytes::from(vec![b'l'; LONG_ANSWER_CHUNK]);
        for _ in 0..LONG_ANSWER_CHUNKS {
            // The caller may have gone.
            let _ = chunks.send(Ok(chunk.clone())).await;
        }
    });
    Answer::Events(answer)
}
