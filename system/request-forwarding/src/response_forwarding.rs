//! Forwarding of a response body as it arrives, with resumption of event streams at another endpoint.

use crate::active_turn::{ActiveTurn, TurnRecord};
use crate::complete_events::CompleteEvents;
use crate::delivery::{Delivery, EndpointResponse};
use crate::event_scan::EventScan;
use crate::headers::{LAST_EVENT_ID, is_event_stream};
use crate::pool::{CallInFlight, EndpointConnection, SharedState};
use crate::response_body::BodyChunk;
use crate::turn_storage::{CompletedTurn, TurnStorage};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use message_sender::Outcome;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// An answer as an endpoint sends it.
pub(crate) struct UpstreamResponse {
    pub(crate) body: Incoming,
    pub(crate) connection: EndpointConnection,
    pub(crate) call: CallInFlight,
}

/// What a stream needs to go on at another endpoint.
pub(crate) struct StreamResumption {
    delivery: Delivery,
    events: CompleteEvents,
}

impl StreamResumption {
    pub(crate) fn new(delivery: Delivery) -> Self {
        Self { delivery, events: CompleteEvents::default() }
    }
}

/// Carries an answer from the endpoint to the client.
pub(crate) struct ResponseForwarding<T: TurnStorage> {
    pub(crate) core: Rc<SharedState>,
    pub(crate) turns: Rc<T>,
    pub(crate) headers: HeaderMap,
    pub(crate) end: Instant,
    pub(crate) events: bool,
    /// None for an answer that only its first endpoint can give.
    pub(crate) resumption: Option<StreamResumption>,
}

impl<T: TurnStorage> ResponseForwarding<T> {
    pub(crate) async fn run(
        mut self,
        answer: UpstreamResponse,
        first: Option<Bytes>,
        chunks: mpsc::Sender<BodyChunk>,
        turn: ActiveTurn<T>,
    ) {
        let whole = self.carry(answer, first, &chunks, turn).await;
        self.core.count(|metrics| match whole {
            true => metrics.streams_ended += 1,
            false => metrics.streams_broken += 1,
        });
    }

    /// True if the client has been handed all, the end included.
    async fn carry(
        &mut self,
        mut answer: UpstreamResponse,
        mut first: Option<Bytes>,
        chunks: &mpsc::Sender<BodyChunk>,
        mut turn: ActiveTurn<T>,
    ) -> bool {
        let mut scan = EventScan::new(matches!(turn.record, TurnRecord::Whole(_)));
        loop {
            let read = match first.take() {
                Some(data) => Ok(Some(data)),
                None => self.read(&mut answer.body, chunks).await,
            };
            let data = match read {
                Ok(Some(data)) => self.complete_events_of(data),
                Ok(None) => break,
                Err(outcome) => match self.resume(answer.call, outcome, chunks).await {
                    Some(resumed) => {
                        answer = resumed;
                        continue;
                    }
                    None => return false,
                },
            };
            if let Err(outcome) = self.forward_chunk(data, &mut scan, &mut turn, chunks).await {
                answer.call.complete(outcome);
                return false;
            }
        }
        let rest = self.resumption.as_mut().map(|resumption| resumption.events.rest()).unwrap_or_default();
        if let Err(outcome) = self.forward_chunk(rest, &mut scan, &mut turn, chunks).await {
            answer.call.complete(outcome);
            return false;
        }
        let UpstreamResponse { body, connection, call } = answer;
        drop(body);
        self.core.check_in(connection, &self.headers);
        if let TurnRecord::Whole(completed) = &mut turn.record {
            completed.served_by = Some(call.instance_id().clone());
        }
        call.complete(Outcome::Success);
        self.end(scan, turn, chunks).await
    }

    /// The next bytes of the endpoint's answer; none at its end.
    async fn read(
        &self,
        body: &mut Incoming,
        chunks: &mpsc::Sender<BodyChunk>,
    ) -> Result<Option<Bytes>, Outcome> {
        let frame = tokio::select! {
            biased;
            () = chunks.closed() => return Err(Outcome::Cancelled),
            frame = timeout_at(self.end, body.frame()) => frame,
        };
        match frame {
            Err(_) => Err(Outcome::TimedOut),
            Ok(Some(Err(_))) => Err(Outcome::Reset),
            Ok(None) => Ok(None),
            Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
        }
    }

    /// Of a resumable stream, only complete events are forwarded.
    fn complete_events_of(&mut self, data: Bytes) -> Bytes {
        match &mut self.resumption {
            Some(resumption) => resumption.events.take(&data),
            None => data,
        }
    }

    /// Passes bytes on to the client.
    async fn forward_chunk(
        &self,
        data: Bytes,
        scan: &mut EventScan,
        turn: &mut ActiveTurn<T>,
        chunks: &mpsc::Sender<BodyChunk>,
    ) -> Result<(), Outcome> {
        if data.is_empty() {
            return Ok(());
        }
        if self.events {
            scan.take(&data);
            if let Some(reservation) = &mut turn.reservation {
                reservation.handed = scan.handed().saturating_mul(turn.tokens_per_event);
            }
        }
        match timeout_at(self.end, chunks.send(BodyChunk::Data(data))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Outcome::Cancelled),
            Err(_) => Err(Outcome::TimedOut),
        }
    }

    /// The answer of another endpoint, which goes on after the last event that was passed on.
    async fn resume(
        &mut self,
        call: CallInFlight,
        outcome: Outcome,
        chunks: &mpsc::Sender<BodyChunk>,
    ) -> Option<UpstreamResponse> {
        let resumption = self.resumption.as_mut().filter(|_| outcome == Outcome::Reset);
        let last_id = resumption.as_ref().and_then(|resumption| resumption.events.last_id());
        let last_id = last_id.and_then(|id| HeaderValue::from_maybe_shared(id.clone()).ok());
        let (Some(resumption), Some(last_id)) = (resumption, last_id) else {
            call.complete(outcome);
            return None;
        };
        // The other endpoint sends the event whole that broke off.
        resumption.events.rest();
        resumption.delivery.outgoing.headers.insert(LAST_EVENT_ID, last_id);
        resumption.delivery.failed(call, outcome).ok()?;
        let answered = tokio::select! {
            biased;
            () = chunks.closed() => return None,
            answered = resumption.delivery.answer() => answered.ok()?,
        };
        let EndpointResponse { response, connection, call } = answered;
        if !response.status().is_success() || !is_event_stream(response.headers()) {
            call.complete(Outcome::Failure);
            return None;
        }
        self.core.count(|metrics| metrics.streams_resumed += 1);
        let (head, body) = response.into_parts();
        self.headers = head.headers;
        Some(UpstreamResponse { body, connection, call })
    }

    /// Ends the answer, once its turn is stored if it is to be; breaks it off if that cannot be.
    async fn end(&self, scan: EventScan, mut turn: ActiveTurn<T>, chunks: &mpsc::Sender<BodyChunk>) -> bool {
        let may_end = match std::mem::replace(&mut turn.record, TurnRecord::NotRetained) {
            TurnRecord::NotRetained => true,
            TurnRecord::Whole(completed) => self.store(completed, scan, &mut turn, chunks).await,
            TurnRecord::TailOnly => {
                self.core.count(|metrics| metrics.turns_unkept += 1);
                false
            }
        };
        may_end && matches!(timeout_at(self.end, chunks.send(BodyChunk::End)).await, Ok(Ok(())))
    }

    /// Stores a turn whose answer has come to its end; false if that cannot be.
    async fn store(
        &self,
        mut completed: CompletedTurn,
        scan: EventScan,
        turn: &mut ActiveTurn<T>,
        chunks: &mpsc::Sender<BodyChunk>,
    ) -> bool {
        if !scan.between_events() {
            return false;
        }
        completed.tokens = scan.handed().saturating_mul(turn.tokens_per_event);
        completed.output = scan.into_output().into();
        let store = timeout_at(self.end, self.turns.store_turn(completed));
        let is_stored = tokio::select! {
            biased;
            stored = store => stored.unwrap_or(false),
            () = chunks.closed() => return false,
        };
        if !is_stored {
            self.core.count(|metrics| metrics.turns_unkept += 1);
            return false;
        }
        turn.forget_reservation();
        true
    }
}
