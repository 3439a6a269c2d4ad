//! The exchange of one prepared request with the endpoints, and the return of the response: streamed, or collected first.

use crate::active_turn::ActiveTurn;
use crate::body_collection::{Collected, collect};
use crate::delivery::{Delivery, EndpointResponse};
use crate::endpoint_attempt::GRACE;
use crate::forwarder::Forwarder;
use crate::headers;
use crate::local_response::{LocalResponse, response_after_give_up};
use crate::outbound_request::OutboundRequest;
use crate::pool::CallInFlight;
use crate::response_account::ResponseAccount;
use crate::response_body::ResponseBody;
use crate::response_channel::response_channel;
use crate::response_forwarding::{ResponseForwarding, StreamResumption, UpstreamResponse};
use crate::turn_storage::TurnStorage;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode};
use message_sender::Outcome;
use message_sender::net::received_body::ReceivedBody;
use request_routing::{GiveUp, RouteKind, RoutingRequest, SendOutcome, status_promises_not_executed};
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

impl<T: TurnStorage> Forwarder<T> {
    /// Sends a request until it has a response or is given up, and forwards that response, which occupies the account.
    pub(crate) async fn forward(
        &self,
        outgoing: OutboundRequest,
        routing_request: Rc<RoutingRequest>,
        turn: ActiveTurn<T>,
        account: Rc<ResponseAccount>,
    ) -> Result<Response<ResponseBody>, LocalResponse> {
        let mut delivery = Delivery::new(self.shared.clone(), outgoing, routing_request.clone());
        loop {
            account.clear();
            let endpoint_response = delivery.next_response().await;
            let EndpointResponse { response, connection, call } =
                endpoint_response.map_err(|give_up| response_after_failure(give_up, &delivery))?;
            let (head, body) = response.into_parts();
            let call = Some(call);
            let mut upstream = UpstreamResponse { body, connection, call };
            if self.is_streamed(&head, &routing_request) {
                let is_resumable = routing_request.resumable
                    && headers::is_event_stream(&head.headers)
                    && upstream.body.size_hint().exact().is_none();
                let latest = delivery.outgoing.deadline + GRACE;
                match read_first_chunk(is_resumable, &mut upstream.body, latest).await {
                    Ok(first_chunk) => {
                        let (method, deadline) =
                            (delivery.outgoing.method.clone(), delivery.outgoing.deadline);
                        let resumption = is_resumable.then(|| StreamResumption::new(delivery));
                        let options = StreamOptions {
                            method,
                            deadline,
                            first_chunk,
                            length: None,
                            is_event_stream: true,
                            resumption,
                            turn,
                        };
                        return Ok(self.stream(head, upstream, options, account));
                    }
                    Err(outcome) => {
                        record_failure(&mut delivery, upstream.call.take(), outcome)?;
                        continue;
                    }
                }
            }
            match self.collect(&mut delivery, &head, upstream, &account).await? {
                Attempted::Retry => {}
                Attempted::Response(response) => return Ok(response),
                Attempted::TooLong(upstream, prefix) => {
                    let OutboundRequest { method, deadline, .. } = delivery.outgoing;
                    let length = stated_length(&head);
                    let first_chunk = Some(prefix).filter(|prefix| !prefix.is_empty());
                    let (resumption, turn) = (None, turn.without_storage());
                    let options = StreamOptions {
                        method,
                        deadline,
                        first_chunk,
                        length,
                        is_event_stream: false,
                        resumption,
                        turn,
                    };
                    return Ok(self.stream(head, upstream, options, account));
                }
            }
        }
    }

    fn is_streamed(&self, head: &Parts, routing_request: &RoutingRequest) -> bool {
        let is_stream =
            routing_request.kind == RouteKind::Streaming || headers::is_event_stream(&head.headers);
        head.status.is_success() && is_stream
    }

    /// Collects a response, or the part of it that is to be forwarded before the rest. A failure that may be retried is
    /// retried in place of streaming it.
    async fn collect(
        &self,
        delivery: &mut Delivery,
        head: &Parts,
        mut upstream: UpstreamResponse,
        account: &Rc<ResponseAccount>,
    ) -> Result<Attempted, LocalResponse> {
        let promises_not_executed =
            status_promises_not_executed(head.status.as_u16(), delivery.routing_request.kind);
        if promises_not_executed {
            // Its body is never forwarded.
            let UpstreamResponse { body, connection, call } = upstream;
            self.shared.check_in_unread(connection, head.headers.clone(), body);
            let is_retried = record_failure(delivery, call, Outcome::Failure).is_ok() && delivery.has_time();
            let failure = LocalResponse::new(StatusCode::BAD_GATEWAY);
            return if is_retried { Ok(Attempted::Retry) } else { Err(failure) };
        }
        let latest = delivery.outgoing.deadline + GRACE;
        let is_failure = head.status.is_server_error();
        match collect(&mut upstream.body, account, latest).await {
            Collected::Late => {
                record_failure(delivery, upstream.call, SendOutcome::TimedOut.outcome())?;
                Ok(Attempted::Retry)
            }
            Collected::Broken => {
                self.shared.count(|metrics| metrics.unusable += 1);
                record_failure(delivery, upstream.call, SendOutcome::InvalidResponse.outcome())?;
                Ok(Attempted::Retry)
            }
            Collected::Complete(body) => {
                let UpstreamResponse { body: received, connection, mut call } = upstream;
                drop(received);
                self.shared.check_in(connection, &head.headers);
                if is_failure && self.may_retry(delivery, &mut call) {
                    return Ok(Attempted::Retry);
                }
                if let Some(call) = call {
                    call.complete(Outcome::Success);
                }
                self.shared.count(|metrics| metrics.passed += 1);
                let body = ResponseBody::collected(body, account.clone());
                Ok(Attempted::Response(response_to_client(head, body, &delivery.outgoing.method)))
            }
            Collected::Prefix(prefix) => {
                if is_failure && self.may_retry(delivery, &mut upstream.call) {
                    return Ok(Attempted::Retry);
                }
                Ok(Attempted::TooLong(upstream, prefix))
            }
        }
    }

    /// Records a failure of the endpoint; whether the request is sent again.
    fn may_retry(&self, delivery: &mut Delivery, call: &mut Option<CallInFlight>) -> bool {
        record_failure(delivery, call.take(), Outcome::Failure).is_ok() && delivery.has_time()
    }

    /// Forwards a response body as it arrives.
    fn stream(
        &self,
        head: Parts,
        upstream: UpstreamResponse,
        options: StreamOptions<T>,
        account: Rc<ResponseAccount>,
    ) -> Response<ResponseBody> {
        self.shared.count(|metrics| metrics.passed += 1);
        let (chunks, receiver) = response_channel(account.clone());
        let response =
            response_to_client(&head, ResponseBody::streamed(receiver, options.length), &options.method);
        let forwarding = ResponseForwarding {
            shared: self.shared.clone(),
            turns: self.turns.clone(),
            headers: head.headers,
            deadline: options.deadline + GRACE,
            is_event_stream: options.is_event_stream,
            resumption: options.resumption,
            account,
            held_output_bytes: 0,
        };
        spawn_local(forwarding.run(upstream, options.first_chunk, chunks, options.turn));
        response
    }
}

/// What became of a response that is collected.
enum Attempted {
    /// The request is sent again.
    Retry,
    /// It is complete.
    Response(Response<ResponseBody>),
    /// It is streamed after this prefix.
    TooLong(UpstreamResponse, Bytes),
}

/// Records a call without a response to forward; an error if the request is not sent again.
fn record_failure(
    delivery: &mut Delivery,
    call: Option<CallInFlight>,
    outcome: Outcome,
) -> Result<(), LocalResponse> {
    let Some(call) = call else { return Ok(()) };
    delivery.record_failure(call, outcome).map_err(|give_up| response_after_failure(give_up, delivery))
}

fn response_after_failure(give_up: GiveUp, delivery: &Delivery) -> LocalResponse {
    response_after_give_up(give_up, &delivery.history, delivery.outgoing.deadline)
}

/// The length that the head of a response states.
fn stated_length(head: &Parts) -> Option<u64> {
    headers::text(&head.headers, CONTENT_LENGTH.as_str())?.parse().ok()
}

/// How a response is streamed.
struct StreamOptions<T: TurnStorage> {
    method: Method,
    deadline: Instant,
    /// The part of the body that was read already.
    first_chunk: Option<Bytes>,
    length: Option<u64>,
    /// Whether its events are counted.
    is_event_stream: bool,
    resumption: Option<StreamResumption>,
    turn: ActiveTurn<T>,
}

/// Reads the first chunk of a resumable stream: until a part was forwarded, another endpoint may restart the stream.
async fn read_first_chunk(
    is_resumable: bool,
    body: &mut ReceivedBody,
    deadline: Instant,
) -> Result<Option<Bytes>, Outcome> {
    if !is_resumable {
        return Ok(None);
    }
    match timeout_at(deadline, body.frame()).await {
        Err(_) => Err(Outcome::TimedOut),
        Ok(Some(Err(_))) => Err(Outcome::Reset),
        Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
        Ok(None) => Ok(None),
    }
}

/// The response to the client, with the endpoint's status and end-to-end headers.
fn response_to_client(head: &Parts, body: ResponseBody, method: &Method) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers::forwarded(&head.headers);
    if *method == Method::HEAD
        && let Some(length) = head.headers.get(CONTENT_LENGTH)
    {
        response.headers_mut().insert(CONTENT_LENGTH, length.clone());
    }
    response
}
