//! Which decision mechanisms are in force. In service all of them are; a trial switches one off to measure its worth.

macro_rules! mechanisms {
    ($($(#[doc = $doc:literal])* $name:ident,)*) => {
        /// A switch for each decision mechanism; the default is what is in service.
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

/// A mechanism of this name does not exist.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no mechanism has the name {0}")]
pub struct UnknownMechanism(pub String);

mechanisms! {
    /// A shared prefix is kept on as many endpoints as memory allows and its demand needs; off: on all.
    prefix_affinity,
    /// A session goes on at the endpoint that ran it last.
    session_affinity,
    /// Affinity yields where an endpoint's load is far above its peers' mean.
    load_bounds,
    /// Endpoints of the proxy's own zone come first.
    zone_tiers,
    /// What endpoints tell of their load counts.
    reported_load,
    /// A refusal as full closes its endpoint for a short, growing time.
    refusal_backoff,
    /// An endpoint whose attempts fail in a row is ejected, and let back in by single calls.
    outlier_ejection,
    /// Recent failures add to an endpoint's load.
    failure_penalty,
    /// Endpoints that take much longer to their first byte than their peers get less.
    latency_weight,
    /// An attempt that may be repeated has a timeout of its own.
    try_timeout,
    /// Less urgent requests leave free places to more urgent ones that wait.
    priority_yield,
    /// Each priority that waits gets at least a small share.
    minimum_share,
    /// A request that nothing has run of is refused early rather than held.
    queue_patience,
    /// A resumable stream that fails goes on at another endpoint.
    stream_resumption,
    /// Waits between attempts grow and vary.
    retry_backoff,
    /// Idle connections are used only for as long as their service's are known to live.
    idle_connection_limit,
}
