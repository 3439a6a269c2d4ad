//! Switches of the routing mechanisms. In service all of them are on; a trial switches one off to measure its effect.

macro_rules! mechanisms {
    ($($(#[doc = $doc:literal])* $name:ident,)*) => {
        /// A switch for each routing mechanism; the default has all of them on, as in service.
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub struct RoutingPolicy {
            $($(#[doc = $doc])* pub $name: bool,)*
        }

        impl Default for RoutingPolicy {
            fn default() -> Self {
                Self { $($name: true,)* }
            }
        }

        impl RoutingPolicy {
            /// The names of all mechanisms.
            pub const MECHANISMS: &'static [&'static str] = &[$(stringify!($name)),*];

            /// Switches a mechanism on or off.
            ///
            /// # Errors
            ///
            /// If no mechanism has this name.
            pub fn switch(&mut self, mechanism: &str, on: bool) -> Result<(), UnknownMechanism> {
                match mechanism {
                    $(stringify!($name) => self.$name = on,)*
                    _ => return Err(UnknownMechanism(mechanism.to_owned())),
                }
                Ok(())
            }

            /// The mechanisms that are switched off.
            pub fn switched_off(&self) -> Vec<&'static str> {
                let mut off = Vec::new();
                $(if !self.$name { off.push(stringify!($name)); })*
                off
            }
        }
    };
}

/// No mechanism has this name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no mechanism has the name {0}")]
pub struct UnknownMechanism(pub String);

mechanisms! {
    /// Prefix affinity: a shared prefix is cached on as many endpoints as its demand needs; off: on all.
    prefix_affinity,
    /// Session affinity: a session continues at the endpoint that last served it.
    session_affinity,
    /// Bounded load: affinity yields where an endpoint's load is far above its peers' mean.
    load_bounds,
    /// Endpoints of the proxy's own zone are preferred.
    zone_tiers,
    /// Load reports of endpoints count towards their load.
    reported_load,
    /// A refusal for lack of capacity starts an exponential backoff for its endpoint.
    refusal_backoff,
    /// Consecutive failures eject an endpoint; a probe call readmits it.
    outlier_ejection,
    /// Recent failures add a penalty to an endpoint's load.
    failure_penalty,
    /// Endpoints with a much longer time to first byte than their peers receive fewer calls.
    latency_weight,
    /// An idempotent attempt has a timeout of its own.
    try_timeout,
    /// Requests leave free slots to waiting ones of higher priority.
    priority_yield,
    /// Each priority that waits is guaranteed a minimum share.
    minimum_share,
    /// A request that cannot have executed is refused at the queue timeout rather than held until its deadline.
    queue_patience,
    /// A resumable stream that fails is resumed at another endpoint.
    stream_resumption,
    /// Exponential backoff with jitter between attempts.
    retry_backoff,
    /// Idle connections are reused only within the lifetime observed for their service.
    idle_connection_limit,
}
