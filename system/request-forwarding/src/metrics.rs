//! Counters of the forwarder.

use std::fmt;

macro_rules! metrics {
    ($($(#[doc = $doc:literal])* $name:ident,)*) => {
        /// What a forwarder has done since its start. Its text form is one line for each counter.
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
    /// Requests read whole.
    requests,
    /// Answers of endpoints passed on.
    passed,
    /// Own answers with a promise that nothing ran (503, 402, 408).
    refused,
    /// Own answers without such a promise (502, 504).
    failed,
    /// Own answers to requests that no route, turn or limit allows.
    denied,
    /// Sends to endpoints.
    sends,
    /// Sends after the first one of a request.
    repeats,
    /// Endpoints that were full.
    full,
    /// Endpoints that were another incarnation.
    misdirected,
    /// Answers of endpoints that belonged to another request or were not whole.
    unusable,
    /// Connections not made.
    connect_failed,
    /// Connections broken after a request was sent.
    reset,
    /// Calls that got no answer in time.
    timed_out,
    /// New connections to endpoints.
    connections_opened,
    /// Streams that ended whole.
    streams_ended,
    /// Streams broken off, for whatever reason.
    streams_broken,
    /// Streams that went on at another endpoint.
    streams_resumed,
    /// Turns that could not be kept.
    turns_unkept,
    /// Connections of clients that are open now.
    clients,
    /// Connections of clients turned away.
    clients_refused,
    /// Requests that wait for a place now.
    waiting,
}
