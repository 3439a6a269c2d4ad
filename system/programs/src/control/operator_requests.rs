//! The operator API of a control node: outcomes of operators' requests as HTTP replies.

use super::ControlServer;
use crate::control_api::{Operations, Reply};
use bytes::Bytes;
use control_node::{CurrentConfig, PutConfigOutcome, RetireOutcome};
use controllers::RetireVerdict;
use hyper::StatusCode;

impl Operations for ControlServer {
    async fn put_config(&self, expected: Option<u64>, body: Bytes) -> Reply {
        put_config_reply(self.node.put_config(expected, body).await)
    }

    async fn config(&self) -> Reply {
        match self.node.config().await {
            CurrentConfig::Unset => Reply::new(StatusCode::NOT_FOUND, r#"{"error":"no configuration yet"}"#),
            CurrentConfig::Current(state) => Reply::new(StatusCode::OK, state.config.clone()),
            CurrentConfig::Unavailable => Reply::unavailable(),
        }
    }

    async fn retire(&self, name: &str) -> Reply {
        retire_reply(self.node.retire(name).await)
    }

    async fn retiring(&self, name: &str) -> Reply {
        retire_reply(self.node.retire_progress(name).await)
    }
}

fn put_config_reply(outcome: PutConfigOutcome) -> Reply {
    match outcome {
        PutConfigOutcome::Committed(version) => {
            Reply::new(StatusCode::OK, format!(r#"{{"version":{version}}}"#))
        }
        PutConfigOutcome::VersionMismatch(current) => Reply::new(
            StatusCode::PRECONDITION_FAILED,
            format!(r#"{{"error":"current version","version":{current}}}"#),
        ),
        PutConfigOutcome::VersionNotNewer => {
            let place = r#"[{"place":"version","what":"is not above the current one"}]"#;
            Reply::new(StatusCode::BAD_REQUEST, place)
        }
        PutConfigOutcome::Invalid(findings) => Reply::new(StatusCode::BAD_REQUEST, findings.to_json()),
        PutConfigOutcome::MissingExpectedVersion => {
            Reply::new(StatusCode::BAD_REQUEST, r#"{"error":"If-Match: names no version"}"#)
        }
        PutConfigOutcome::Unavailable => Reply::unavailable(),
    }
}

fn retire_reply(outcome: RetireOutcome) -> Reply {
    let RetireOutcome::Progress { verdict, min_storage_nodes } = outcome else { return Reply::unavailable() };
    let state = |state: &str| Reply::new(StatusCode::OK, format!(r#"{{"state":"{state}"}}"#));
    match verdict {
        RetireVerdict::Active => state("active"),
        RetireVerdict::Completed => state("completed"),
        RetireVerdict::Serving => state("serving"),
        RetireVerdict::Unknown => Reply::new(StatusCode::NOT_FOUND, r#"{"error":"no such storage machine"}"#),
        RetireVerdict::TooFew { remaining: left } => {
            let body =
                format!(r#"{{"error":"too few would be left","left":{left},"least":{min_storage_nodes}}}"#);
            Reply::new(StatusCode::CONFLICT, body)
        }
    }
}
