//! Requests of applications as HTTP carries them: a name in the path, a JSON body or a query.

use super::ApplicationCall;
use control_node::ApplicationRequest;
use fleet_model::CoordinationCommand;
use percent_encoding::percent_decode_str;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Longest time for which a watch waits; a longer `wait_ms` is cut to it.
pub const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Why a request cannot be understood.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    /// The name in the path, decoded, is no UTF-8.
    #[error("the name in the path is not UTF-8")]
    NameEncoding,
    /// The name in the path contains an encoded slash.
    #[error("the name in the path contains a slash")]
    NameWithSlash,
    /// The body is no JSON, or a field is missing or of another type.
    #[error("body: {0}")]
    Body(#[from] serde_json::Error),
    /// A parameter of the query is no unsigned integer of 64 bits.
    #[error("query: {0} is not an unsigned integer")]
    Parameter(&'static str),
}

#[derive(Deserialize)]
struct AcquireBody {
    holder: String,
    hold_ms: u64,
}

#[derive(Deserialize)]
struct RenewBody {
    holder: String,
    fence: u64,
    hold_ms: u64,
}

#[derive(Deserialize)]
struct ReleaseBody {
    holder: String,
    fence: u64,
}

/// A body without fields of its own.
#[derive(Deserialize)]
struct EmptyBody {}

#[derive(Deserialize)]
struct PutBody {
    value: String,
    /// The revision that the key must have; any will do without it.
    enabled: Option<u64>,
}

/// Reads a request; `name` is the end of its path, as it was sent.
///
/// # Errors
///
/// [`RequestError`] if the name, the query or the body cannot be understood.
pub(super) fn parse(
    call: ApplicationCall,
    name: &str,
    query: &str,
    body: &[u8],
) -> Result<ApplicationRequest, RequestError> {
    let name = decode_name(name)?;
    let command = match call {
        ApplicationCall::AcquireLock => {
            let AcquireBody { holder, hold_ms } = parse_body(body)?;
            CoordinationCommand::AcquireLock { lock: name, holder, hold_ms, expired_grant: None }
        }
        ApplicationCall::RenewLock => {
            let RenewBody { holder, fence, hold_ms } = parse_body(body)?;
            CoordinationCommand::RenewLock { lock: name, holder, fence, hold_ms }
        }
        ApplicationCall::ReleaseLock => {
            let ReleaseBody { holder, fence } = parse_body(body)?;
            CoordinationCommand::ReleaseLock { lock: name, holder, fence }
        }
        ApplicationCall::NextNumber => {
            let EmptyBody {} = parse_body(body)?;
            CoordinationCommand::NextNumber { name }
        }
        ApplicationCall::PutKey => {
            let PutBody { value, enabled } = parse_body(body)?;
            CoordinationCommand::PutKey { key: name, value, expected: enabled }
        }
        ApplicationCall::ReadKey => return Ok(ApplicationRequest::ReadKey { key: name }),
        ApplicationCall::Watch => return parse_watch(name, query),
    };
    Ok(ApplicationRequest::Command(command))
}

fn decode_name(name: &str) -> Result<String, RequestError> {
    let name = percent_decode_str(name).decode_utf8().map_err(|_| RequestError::NameEncoding)?;
    if name.contains('/') {
        return Err(RequestError::NameWithSlash);
    }
    Ok(name.into_owned())
}

fn parse_watch(group: String, query: &str) -> Result<ApplicationRequest, RequestError> {
    let (mut after, mut wait_ms) = (0, 0);
    for (parameter, value) in form_urlencoded::parse(query.as_bytes()) {
        match &*parameter {
            "after" => after = value.parse().map_err(|_| RequestError::Parameter("after"))?,
            "wait_ms" => wait_ms = value.parse().map_err(|_| RequestError::Parameter("wait_ms"))?,
            _ => {}
        }
    }
    let wait = Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT);
    Ok(ApplicationRequest::Watch { group, after, wait })
}

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, RequestError> {
    Ok(serde_json::from_slice(body)?)
}
