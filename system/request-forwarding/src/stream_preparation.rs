//! Preparation of a stream before it is sent: reservation of tokens, and lookup of the text that precedes its input.

use crate::active_turn::{ActiveTurn, Reservation, TurnRecord};
use crate::forwarder::Forwarder;
use crate::headers::{self, LAST_EVENT_ID};
use crate::local_response::{DEFAULT_RETRY_AFTER, LocalResponse};
use crate::turn_storage::{Chain, ChainLookup, CompletedTurn, ReserveOutcome, TurnStorage};
use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use operator_config::Route;
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// Result of the preparation of a stream.
pub(crate) struct PreparedStream {
    /// The text of the chain that it continues, and its own input.
    pub(crate) complete_input: Bytes,
    /// Instance id of the endpoint that served the turn that it continues, if it is known.
    pub(crate) previous_endpoint: Option<Arc<str>>,
}

impl<T: TurnStorage> Forwarder<T> {
    /// Prepares a stream: reserves tokens of the program's budget, and completes the input with the text of the chain
    /// that it continues.
    pub(crate) async fn prepare_stream(
        &self,
        request_headers: &HeaderMap,
        route: &Route,
        attempt: &str,
        input: Bytes,
        deadline: Instant,
        turn: &mut ActiveTurn<T>,
    ) -> Result<PreparedStream, LocalResponse> {
        let program = headers::text(request_headers, "program");
        let budget = headers::number(request_headers, "budget")
            .map(|budget| u32::try_from(budget).unwrap_or(u32::MAX));
        let previous = headers::text(request_headers, "previous").filter(|_| route.retained);
        let reserve = async {
            let (Some(program), Some(budget)) = (program, budget) else { return ReserveOutcome::Granted };
            // A request that states no maximum may generate the remaining budget.
            let max_tokens =
                headers::token_usage(request_headers).map_or(budget, |(_, max_tokens)| max_tokens);
            turn.reservation = Some(Reservation {
                turns: self.turns.clone(),
                program: program.to_owned(),
                attempt_id: attempt.to_owned(),
                delivered_tokens: 0,
                settled: false,
            });
            self.turns.reserve(program, attempt, max_tokens, budget).await
        };
        let chain = async {
            match previous {
                Some(previous) => self.turns.chain(previous).await,
                None => ChainLookup::Found(Chain::default()),
            }
        };
        let reservation_and_chain = async { tokio::join!(reserve, chain) };
        let Ok((reserved, chain)) = timeout_at(deadline, reservation_and_chain).await else {
            return Err(LocalResponse::refused(DEFAULT_RETRY_AFTER));
        };
        match reserved {
            ReserveOutcome::Granted => {}
            ReserveOutcome::BudgetExhausted => {
                turn.mark_settled();
                return Err(LocalResponse::new(StatusCode::PAYMENT_REQUIRED));
            }
            ReserveOutcome::Unavailable => return Err(LocalResponse::refused(DEFAULT_RETRY_AFTER)),
        }
        let Chain { text, served_by } = match chain {
            ChainLookup::Found(chain) => chain,
            ChainLookup::NotFound => return Err(LocalResponse::new(StatusCode::NOT_FOUND)),
            ChainLookup::Unavailable => return Err(LocalResponse::refused(DEFAULT_RETRY_AFTER)),
        };
        turn.record = turn_record(request_headers, route, attempt, &input);
        if text.is_empty() {
            return Ok(PreparedStream { complete_input: input, previous_endpoint: served_by });
        }
        let joined = self.bodies.join(&[&text, &input]);
        let complete_input = joined.map_err(|_| LocalResponse::refused(DEFAULT_RETRY_AFTER))?;
        Ok(PreparedStream { complete_input, previous_endpoint: served_by })
    }
}

/// What to store when a stream ends. The events before `Last-Event-Id` were part of the response to another attempt, and
/// nothing in the request names that attempt. Whether an endpoint honors the header cannot be detected, so the route's
/// `resumable` makes no difference.
fn turn_record(request_headers: &HeaderMap, route: &Route, attempt: &str, input: &Bytes) -> TurnRecord {
    if !route.retained {
        return TurnRecord::NotRetained;
    }
    if request_headers.contains_key(LAST_EVENT_ID) {
        return TurnRecord::TailOnly;
    }
    TurnRecord::Complete(CompletedTurn {
        attempt: attempt.to_owned(),
        previous: headers::text(request_headers, "previous").map(str::to_owned),
        program: headers::text(request_headers, "program").unwrap_or_default().to_owned(),
        input: input.clone(),
        output: Bytes::new(),
        retention_ms: route.retention_ms,
        tokens: 0,
        served_by: None,
    })
}
