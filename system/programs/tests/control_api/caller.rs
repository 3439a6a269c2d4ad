//! A caller with one connection.

use crate::stand_in::PATIENCE;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A response, read to its end.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl Received {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(|value| value.to_str().unwrap())
    }
}

/// A connection that is kept between calls.
pub(crate) struct Caller(SendRequest<Full<Bytes>>);

impl Caller {
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        let (sender, connection) = handshake(TokioIo::new(stream)).await.unwrap();
        spawn_local(connection);
        Self(sender)
    }

    /// Makes a call; an error if the connection ends without a response.
    pub(crate) async fn try_call(
        &mut self,
        method: &str,
        path: &str,
        body: impl Into<Bytes>,
    ) -> hyper::Result<Received> {
        let request = Request::builder().method(method).uri(path).header("Host", "x");
        let request = request.header("Content-Type", "application/json").body(Full::new(body.into()));
        let responds = async {
            self.0.ready().await?;
            let (head, body) = self.0.send_request(request.unwrap()).await?.into_parts();
            let body = body.collect().await?.to_bytes();
            let body = String::from_utf8(body.to_vec()).unwrap();
            Ok(Received { status: head.status, headers: head.headers, body })
        };
        timeout(PATIENCE, responds).await.expect("a response in time")
    }

    pub(crate) async fn call(&mut self, method: &str, path: &str, body: impl Into<Bytes>) -> Received {
        self.try_call(method, path, body).await.unwrap()
    }
}
