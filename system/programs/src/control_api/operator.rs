//! The calls of the operator: the configuration, and the retirement of storage machines.

use super::reply::Reply;
use super::server::Admission;
use bytes::Bytes;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::IF_MATCH;

/// Maximum size of a request body, in bytes.
const MAX_OPERATOR_BODY_BYTES: usize = 8 * 1024 * 1024;

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

/// A call of the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OperatorCall {
    /// Replace the configuration.
    PutConfig,
    /// Read the configuration.
    ReadConfig,
    /// Begin to empty a storage machine.
    Retire,
    /// Read how far that is.
    ReadRetire,
}

/// Carries out a call; `name` is the end of its path.
pub(super) async fn handle<O: Operations>(
    operations: &O,
    admission: &Admission,
    call: OperatorCall,
    name: &str,
    request: Request<Incoming>,
) -> Reply {
    let expected = request.headers().get(IF_MATCH).and_then(|value| value.to_str().ok());
    let expected = expected.and_then(|text| text.trim().trim_matches('"').parse().ok());
    let body = match admission.read_body(request, MAX_OPERATOR_BODY_BYTES).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    match call {
        OperatorCall::PutConfig => operations.put_config(expected, body).await,
        OperatorCall::ReadConfig => operations.config().await,
        OperatorCall::Retire => operations.retire(name).await,
        OperatorCall::ReadRetire => operations.retiring(name).await,
    }
}
