//! Replies to applications as HTTP.

use super::super::reply::Reply;
use super::super::server::IndeterminateError;
use super::ApplicationCall;
use control_node::ApplicationReply;
use coordination::KeyEvent;
use fleet_model::CoordinationOutcome;
use hyper::StatusCode;
use serde::Serialize;
use serde_json::json;

/// The body of the reply to a watch.
#[derive(Serialize)]
struct EventsBody {
    events: Vec<KeyEvent>,
    revision: u64,
}

/// The reply to a call.
///
/// # Errors
///
/// [`IndeterminateError`] if the request may have been carried out or not.
pub(super) fn reply(call: ApplicationCall, reply: ApplicationReply) -> Result<Reply, IndeterminateError> {
    Ok(match reply {
        ApplicationReply::Outcome(outcome) => outcome_reply(call, &outcome),
        ApplicationReply::Key(Some(key)) => Reply::ok(&key),
        ApplicationReply::Key(None) => Reply::error(StatusCode::NOT_FOUND, "no such key"),
        ApplicationReply::Events { events, revision } => Reply::ok(&EventsBody { events, revision }),
        ApplicationReply::EventsPruned => Reply::error(StatusCode::GONE, "older events are not retained"),
        ApplicationReply::Overloaded => {
            Reply::error(StatusCode::TOO_MANY_REQUESTS, "too many requests are waiting")
        }
        ApplicationReply::Unavailable => Reply::unavailable(),
        ApplicationReply::Indeterminate => return Err(IndeterminateError),
    })
}

fn outcome_reply(call: ApplicationCall, outcome: &CoordinationOutcome) -> Reply {
    match outcome {
        CoordinationOutcome::LockGranted { .. } if call == ApplicationCall::RenewLock => {
            Reply::ok(&json!({}))
        }
        CoordinationOutcome::LockGranted { fence } => Reply::ok(&json!({ "fence": fence })),
        CoordinationOutcome::LockNotHeld => Reply::error(StatusCode::CONFLICT, "another holder has the lock"),
        CoordinationOutcome::LockReleased => Reply::ok(&json!({})),
        CoordinationOutcome::Number { value } => Reply::ok(&json!({ "value": value })),
        CoordinationOutcome::KeyStored { revision } => Reply::ok(&json!({ "revision": revision })),
        CoordinationOutcome::RevisionMismatch { revision } => {
            Reply::new(StatusCode::PRECONDITION_FAILED, json!({ "revision": revision }).to_string())
        }
        CoordinationOutcome::LimitReached => {
            Reply::error(StatusCode::TOO_MANY_REQUESTS, "a limit on names is reached")
        }
    }
}
