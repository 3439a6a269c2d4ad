//! The coordination service's requests and answers in HTTP and JSON.

use super::history::{Answer, Event, Request};
use hyper::Method;
use serde::Deserialize;
use serde_json::json;

/// A request as it is sent.
pub struct WireRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The body; empty where there is none.
    pub body: String,
}

/// A request in HTTP.
pub fn encode(request: &Request) -> WireRequest {
    let (method, path, body) = match request {
        Request::Acquire { lock, holder, hold_ms } => {
            let body = json!({"holder": holder, "hold_ms": hold_ms});
            (Method::POST, format!("/sedgewood/locks/{lock}"), body.to_string())
        }
        Request::Renew { lock, holder, fence, hold_ms } => {
            let body = json!({"holder": holder, "fence": fence, "hold_ms": hold_ms});
            (Method::PUT, format!("/sedgewood/locks/{lock}"), body.to_string())
        }
        Request::Release { lock, holder, fence } => {
            let body = json!({"holder": holder, "fence": fence});
            (Method::DELETE, format!("/sedgewood/locks/{lock}"), body.to_string())
        }
        Request::Number { name } => {
            (Method::POST, format!("/sedgewood/numbers/{name}"), json!({}).to_string())
        }
        Request::Put { key, value, expected } => {
            let mut body = json!({"value": value});
            if let Some(expected) = expected {
                body["enabled"] = json!(expected);
            }
            (Method::PUT, format!("/sedgewood/cells/{key}"), body.to_string())
        }
        Request::Get { key } => (Method::GET, format!("/sedgewood/cells/{key}"), String::new()),
        Request::Watch { group, after, wait_ms } => {
            let path = format!("/sedgewood/watch/{group}?after={after}&wait_ms={wait_ms}");
            (Method::GET, path, String::new())
        }
    };
    WireRequest { method, path, body }
}

#[derive(Deserialize)]
struct FenceBody {
    fence: u64,
}

#[derive(Deserialize)]
struct NumberBody {
    value: u64,
}

#[derive(Deserialize)]
struct RevisionBody {
    revision: u64,
}

#[derive(Deserialize)]
struct ValueBody {
    value: String,
    revision: u64,
}

#[derive(Deserialize)]
struct EventsBody {
    events: Vec<Event>,
    revision: u64,
}

/// The meaning of a status and a body as the answer to `request`.
pub fn decode(request: &Request, status: u16, body: &[u8]) -> Answer {
    if matches!(status, 429 | 503) {
        return Answer::Refused { status };
    }
    decode_outcome(request, status, body).unwrap_or(Answer::Unexpected { status })
}

fn decode_outcome(request: &Request, status: u16, body: &[u8]) -> Option<Answer> {
    match (request, status) {
        (Request::Acquire { .. }, 200) => parse(body).map(|FenceBody { fence }| Answer::Granted { fence }),
        (Request::Renew { .. }, 200) => Some(Answer::Renewed),
        (Request::Release { .. }, 200) => Some(Answer::Released),
        (Request::Acquire { .. } | Request::Renew { .. }, 409) => Some(Answer::NotHeld),
        (Request::Number { .. }, 200) => parse(body).map(|NumberBody { value }| Answer::Number { value }),
        (Request::Put { .. }, 200) => {
            parse(body).map(|RevisionBody { revision }| Answer::Stored { revision })
        }
        (Request::Put { .. }, 412) => {
            parse(body).map(|RevisionBody { revision }| Answer::Mismatch { revision })
        }
        (Request::Get { .. }, 200) => {
            parse(body).map(|ValueBody { value, revision }| Answer::Found { value, revision })
        }
        (Request::Get { .. }, 404) => Some(Answer::Absent),
        (Request::Watch { .. }, 200) => {
            parse(body).map(|EventsBody { events, revision }| Answer::Events { events, revision })
        }
        (Request::Watch { .. }, 410) => Some(Answer::Gone),
        _ => None,
    }
}

fn parse<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}
