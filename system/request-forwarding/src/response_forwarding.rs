//! Forwarding of a response body as it arrives, with resumption of event streams at another endpoint.

use crate::active_turn::{ActiveTurn, TurnRecord};
use crate::complete_events::CompleteEvents;
use crate::delivery::{Delivery, EndpointResponse};
use crate::event_scan::EventScan;
use crate::headers::{LAST_EVENT_ID, is_event_stream};
use crate::pool::{CallInFlight, EndpointConnection, SharedState};
use crate::response_account::{FREE_BYTES, ResponseAccount};
use crate::response_channel::{ClientGone, ResponseSender};
use crate::turn_storage::{CompletedTurn, TurnStorage};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use message_sender::Outcome;
use message_sender::net::received_body::ReceivedBody;
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

/// Longest output of a turn that is stored, in bytes.
const MAX_TURN_OUTPUT_BYTES: usize = 4 * 1024 * 1024;

/// A response that an endpoint is sending.
pub(crate) struct UpstreamResponse {
    pub(crate) body: ReceivedBody,
    pub(crate) connection: EndpointConnection,
    /// `None` if its outcome is recorded already.
    pub(crate) call: Option<CallInFlight>,
}

impl UpstreamResponse {
    fn complete_call(self, outcome: Outcome) {
        if let Some(call) = self.call {
            call.complete(outcome);
        }
    }
}

/// State needed to resume a stream at another endpoint.
pub(crate) struct StreamResumption {
    delivery: Delivery,
    events: CompleteEvents,
    /// Bytes of the account that the buffer of events occupies.
    held_bytes: usize,
}

impl StreamResumption {
    /// Holds memory for the buffer of events with this many more bytes, or has it buffer nothing more.
    fn hold_events(&mut self, added_bytes: usize, account: &ResponseAccount) {
        let needed_bytes = self.events.buffered_bytes() + added_bytes;
        if needed_bytes <= FREE_BYTES.max(self.held_bytes) {
            return;
        }
        let capacity = needed_bytes.next_power_of_two();
        match account.hold(capacity - self.held_bytes) {
            Ok(()) => self.held_bytes = capacity,
            Err(_) => self.events.stop_buffering(),
        }
    }

    pub(crate) fn new(delivery: Delivery) -> Self {
        Self { delivery, events: CompleteEvents::default(), held_bytes: 0 }
    }
}

/// Forwards a response body from the endpoint to the client.
pub(crate) struct ResponseForwarding<T: TurnStorage> {
    pub(crate) shared: Rc<SharedState>,
    pub(crate) turns: Rc<T>,
    /// Headers of the current endpoint's response; they decide whether its connection is reused.
    pub(crate) headers: HeaderMap,
    pub(crate) deadline: Instant,
    pub(crate) is_event_stream: bool,
    /// What the response occupies.
    pub(crate) account: Rc<ResponseAccount>,
    /// Bytes of the account that the output of the turn occupies.
    pub(crate) held_output_bytes: usize,
    /// `None` for a response that cannot be resumed at another endpoint.
    pub(crate) resumption: Option<StreamResumption>,
}

impl<T: TurnStorage> ResponseForwarding<T> {
    pub(crate) async fn run(
        mut self,
        upstream: UpstreamResponse,
        first_chunk: Option<Bytes>,
        chunks: ResponseSender,
        turn: ActiveTurn<T>,
    ) {
        let is_complete = self.forward_body(upstream, first_chunk, &chunks, turn).await;
        self.shared.count(|metrics| match is_complete {
            true => metrics.streams_ended += 1,
            false => metrics.streams_broken += 1,
        });
    }

    /// Returns true if the complete response, including its end, was passed to the client's connection.
    async fn forward_body(
        &mut self,
        mut upstream: UpstreamResponse,
        mut first_chunk: Option<Bytes>,
        chunks: &ResponseSender,
        mut turn: ActiveTurn<T>,
    ) -> bool {
        let mut scan = EventScan::new(matches!(turn.record, TurnRecord::Complete(_)));
        let mut holds_prefix = first_chunk.is_some() && self.resumption.is_none();
        loop {
            let read = match first_chunk.take() {
                Some(data) => Ok(Some(data)),
                None => {
                    if std::mem::take(&mut holds_prefix) {
                        self.account.release_held();
                    }
                    self.read(&mut upstream.body, chunks).await
                }
            };
            let data = match read {
                Ok(Some(data)) => self.take_complete_events(data),
                Ok(None) => break,
                Err(outcome) => match self.resume(upstream, outcome, chunks).await {
                    Some(resumed) => {
                        upstream = resumed;
                        continue;
                    }
                    None => return false,
                },
            };
            if let Err(outcome) = self.forward_chunk(data, &mut scan, &mut turn, chunks).await {
                upstream.complete_call(outcome);
                return false;
            }
        }
        let incomplete = self
            .resumption
            .as_mut()
            .map(|resumption| resumption.events.take_incomplete())
            .unwrap_or_default();
        if let Err(outcome) = self.forward_chunk(incomplete, &mut scan, &mut turn, chunks).await {
            upstream.complete_call(outcome);
            return false;
        }
        let UpstreamResponse { body, connection, call } = upstream;
        drop(body);
        self.shared.check_in(connection, &self.headers);
        if let Some(call) = call {
            if let TurnRecord::Complete(completed) = &mut turn.record {
                completed.served_by = Some(call.instance_id().clone());
            }
            call.complete(Outcome::Success);
        }
        self.finish(scan, turn, chunks).await
    }

    /// Reads the next bytes of the endpoint's response; `None` at its end.
    async fn read(&self, body: &mut ReceivedBody, chunks: &ResponseSender) -> Result<Option<Bytes>, Outcome> {
        let frame = tokio::select! {
            biased;
            () = chunks.closed() => return Err(Outcome::Cancelled),
            frame = timeout_at(self.deadline, body.frame()) => frame,
        };
        match frame {
            Err(_) => Err(Outcome::TimedOut),
            Ok(Some(Err(_))) => Err(Outcome::Reset),
            Ok(None) => Ok(None),
            Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
        }
    }

    /// The bytes to forward: of a resumable stream, only its complete events.
    fn take_complete_events(&mut self, data: Bytes) -> Bytes {
        let Some(resumption) = &mut self.resumption else { return data };
        resumption.hold_events(data.len(), &self.account);
        resumption.events.push(&data)
    }

    /// Forwards bytes to the client and counts their events.
    async fn forward_chunk(
        &mut self,
        data: Bytes,
        scan: &mut EventScan,
        turn: &mut ActiveTurn<T>,
        chunks: &ResponseSender,
    ) -> Result<(), Outcome> {
        if data.is_empty() {
            return Ok(());
        }
        if self.is_event_stream {
            self.hold_output(scan, data.len()).await?;
            scan.push(&data);
            if let Some(reservation) = &mut turn.reservation {
                reservation.delivered_tokens = scan.delivered_events().saturating_mul(turn.tokens_per_event);
            }
        }
        match timeout_at(self.deadline, chunks.send(data)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(ClientGone)) => Err(Outcome::Cancelled),
            Err(_) => Err(Outcome::TimedOut),
        }
    }

    /// Holds memory for the output of a turn, of which this many more bytes have arrived.
    async fn hold_output(&mut self, scan: &mut EventScan, added_bytes: usize) -> Result<(), Outcome> {
        let needed_bytes = scan.max_output_bytes(added_bytes);
        if needed_bytes <= FREE_BYTES.max(self.held_output_bytes) {
            return Ok(());
        }
        if needed_bytes > MAX_TURN_OUTPUT_BYTES {
            self.shared.count(|metrics| metrics.turns_unkept += 1);
            return Err(Outcome::Failure);
        }
        let capacity = needed_bytes.next_power_of_two();
        let held = self.account.held(capacity - self.held_output_bytes);
        timeout_at(self.deadline, held).await.map_err(|_| Outcome::TimedOut)?;
        self.held_output_bytes = capacity;
        scan.reserve_output(capacity);
        Ok(())
    }

    /// Obtains a response from another endpoint that continues after the last forwarded event.
    async fn resume(
        &mut self,
        upstream: UpstreamResponse,
        outcome: Outcome,
        chunks: &ResponseSender,
    ) -> Option<UpstreamResponse> {
        let resumption = self.resumption.as_mut().filter(|_| outcome == Outcome::Reset);
        let last_id = resumption.as_ref().and_then(|resumption| resumption.events.last_id());
        let last_id = last_id.and_then(|id| HeaderValue::from_maybe_shared(id.clone()).ok());
        let (Some(resumption), Some(last_id)) = (resumption, last_id) else {
            upstream.complete_call(outcome);
            return None;
        };
        let call = upstream.call?;
        // The other endpoint sends the interrupted event again, completely.
        resumption.events.take_incomplete();
        resumption.delivery.outgoing.headers.insert(LAST_EVENT_ID, last_id);
        resumption.delivery.record_failure(call, outcome).ok()?;
        let endpoint_response = tokio::select! {
            biased;
            () = chunks.closed() => return None,
            result = resumption.delivery.next_response() => result.ok()?,
        };
        let EndpointResponse { response, connection, call } = endpoint_response;
        if !response.status().is_success() || !is_event_stream(response.headers()) {
            call.complete(Outcome::Failure);
            return None;
        }
        self.shared.count(|metrics| metrics.streams_resumed += 1);
        let (head, body) = response.into_parts();
        self.headers = head.headers;
        Some(UpstreamResponse { body, connection, call: Some(call) })
    }

    /// Stores the turn, if there is one to store, and then ends the response. If the turn cannot be stored, the
    /// response is aborted.
    async fn finish(&self, scan: EventScan, mut turn: ActiveTurn<T>, chunks: &ResponseSender) -> bool {
        let may_end = match std::mem::replace(&mut turn.record, TurnRecord::NotRetained) {
            TurnRecord::NotRetained => true,
            TurnRecord::Complete(completed) => self.store(completed, scan, &mut turn, chunks).await,
            TurnRecord::TailOnly => {
                self.shared.count(|metrics| metrics.turns_unkept += 1);
                false
            }
        };
        may_end && matches!(timeout_at(self.deadline, chunks.end()).await, Ok(Ok(())))
    }

    /// Stores a turn whose response has ended; returns false if it could not be stored.
    async fn store(
        &self,
        mut completed: CompletedTurn,
        scan: EventScan,
        turn: &mut ActiveTurn<T>,
        chunks: &ResponseSender,
    ) -> bool {
        if !scan.between_events() {
            return false;
        }
        completed.tokens = scan.delivered_events().saturating_mul(turn.tokens_per_event);
        completed.output = scan.into_output().into();
        let store = timeout_at(self.deadline, self.turns.store_turn(completed));
        let is_stored = tokio::select! {
            biased;
            stored = store => stored.unwrap_or(false),
            () = chunks.closed() => return false,
        };
        if !is_stored {
            self.shared.count(|metrics| metrics.turns_unkept += 1);
            return false;
        }
        turn.mark_settled();
        true
    }
}
