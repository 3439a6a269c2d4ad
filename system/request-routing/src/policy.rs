//! Switches for the routing mechanisms. All are on in production; an experiment switches one off to measure its effect.

macro_rules! mechanisms {
    ($($(#[doc = $doc:literal])* $name:ident,)*) => {
        /// A switch for each routing mechanism. The default has all of them on, as in production.
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
            /// Names of all mechanisms, as [`RoutingPolicy::switch`] accepts them.
            pub const MECHANISMS: &'static [&'static str] = &[$(stringify!($name)),*];

            /// Switches a mechanism on or off.
            ///
            /// # Errors
            ///
            /// Returns [`UnknownMechanism`] if no mechanism has this name.
            pub fn switch(&mut self, mechanism: &str, on: bool) -> Result<(), UnknownMechanism> {
                match mechanism {
                    $(stringify!($name) => self.$name = on,)*
                    _ => return Err(UnknownMechanism(mechanism.to_owned())),
                }
                Ok(())
            }

            /// Names of the mechanisms that are switched off.
            pub fn switched_off(&self) -> Vec<&'static str> {
                let mut off = Vec::new();
                $(if !self.$name { off.push(stringify!($name)); })*
                off
            }
        }
    };
}

/// A mechanism name that is not in [`RoutingPolicy::MECHANISMS`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no mechanism has the name {0}")]
pub struct UnknownMechanism(pub String);

mechanisms! {
    /// Prefix affinity: a shared prefix is cached on as many endpoints as its demand needs. When off, on all of them.
    prefix_affinity,
    /// Session affinity: a session continues at the endpoint that last served it.
    session_affinity,
    /// Bounded load: affinity is ignored where an endpoint's load is far above its peers' mean.
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
    /// An attempt of an idempotent request has its own timeout, within the request's deadline.
    try_timeout,
    /// Free slots go to waiting requests of higher priority first.
    priority_yield,
    /// Each priority with waiting requests is guaranteed a minimum share of the calls in flight.
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
