//! Counters of the forwarder.

use std::fmt;

macro_rules! metrics {
    ($($(#[doc = $doc:literal])* $name:ident,)*) => {
        /// Counters since the forwarder's start, and gauges of its current state. `Display` writes one `name value`
        /// line for each.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct ForwardingMetrics {
            $($(#[doc = $doc])* pub $name: u64,)*
        }

        impl fmt::Display for ForwardingMetrics {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(writeln!(f, "{} {}", stringify!($name), self.$name)?;)*
                Ok(())
            }
        }
    };
}

metrics! {
    /// Requests whose head and body were read completely.
    requests,
    /// Endpoint responses forwarded to clients.
    passed,
    /// Locally generated responses that guarantee that the request was not executed (503, 402, 408).
    refused,
    /// Locally generated responses without that guarantee (502, 504).
    failed,
    /// Locally generated responses to requests that are invalid, exceed a limit, or name an unknown route or turn.
    denied,
    /// Sends of requests to endpoints, retries included.
    sends,
    /// Retries: sends after the first one of a request.
    repeats,
    /// Calls declined because the endpoint was full.
    full,
    /// Calls that reached another incarnation of the endpoint than expected.
    misdirected,
    /// Endpoint responses that belonged to another request, were incomplete or lacked the server seal.
    unusable,
    /// Failed attempts to connect to an endpoint.
    connect_failed,
    /// Connections lost after a request was sent.
    reset,
    /// Calls without a response in time.
    timed_out,
    /// Connections opened to endpoints; reuse of an idle one is not counted.
    connections_opened,
    /// Streams forwarded to their end.
    streams_ended,
    /// Streams aborted, for whatever reason.
    streams_broken,
    /// Resumptions of a stream at another endpoint.
    streams_resumed,
    /// Turns that could not be stored.
    turns_unkept,
    /// Client connections that are open now.
    clients,
    /// Client connections rejected beyond the connection limit.
    clients_refused,
    /// Client connections closed at the connection limit, as they had waited longest for their clients.
    clients_evicted,
    /// Bytes that request bodies occupy now.
    body_bytes,
    /// Incomplete request bodies that gave way to others as the memory for bodies was used up.
    bodies_evicted,
    /// Bytes that responses over 16 KiB occupy now.
    response_bytes,
    /// Responses that gave way to others as the memory for bodies was used up: the slowest readers first.
    responses_evicted,
    /// Requests that are waiting for a slot now.
    waiting,
}
