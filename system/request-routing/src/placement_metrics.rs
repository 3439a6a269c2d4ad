//! Placement counters: why the endpoint of each call was chosen, and why a call that continues a conversation was not
//! sent to the endpoint that served the previous turn.

/// The selection rule that chose an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementReason {
    /// Session affinity: the endpoint last served the session.
    Session,
    /// Prefix affinity: the endpoint caches the shared prefix.
    Prefix,
    /// The least loaded endpoint, in the proxy's zone.
    LocalLoad,
    /// The least loaded endpoint, in another zone.
    RemoteLoad,
    /// All endpoints are ejected, and this one's ejection ends first.
    FirstToRecover,
}

/// Why session affinity did not apply to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AffinityMiss {
    /// This proxy does not know which endpoint last served the session.
    Unknown,
    /// The endpoint is draining, unlisted, ejected, backing off, without a free slot, or failed recently.
    Unusable,
    /// The endpoint's load is above the bound.
    Overloaded,
}

/// The endpoint chosen for a call, and the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Placement {
    /// Index into the router's endpoints.
    pub(crate) index: usize,
    pub(crate) reason: PlacementReason,
    /// None if session affinity chose the endpoint or does not apply to the service.
    pub(crate) affinity_miss: Option<AffinityMiss>,
}

/// Placement counters since the start of the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementMetrics {
    /// Calls sent to the endpoint that last served their session.
    pub by_session: u64,
    /// Calls sent to an endpoint that caches their prefix.
    pub by_prefix: u64,
    /// Calls sent to the least loaded endpoint of the proxy's zone.
    pub by_local_load: u64,
    /// Calls sent to the least loaded endpoint of another zone.
    pub by_remote_load: u64,
    /// Calls sent to an ejected endpoint because all endpoints were ejected.
    pub by_recovery: u64,
    /// Calls that continue a conversation.
    pub continued: u64,
    /// Calls that continue a conversation whose last endpoint this proxy did not know.
    pub continued_unknown: u64,
    /// Calls that continue a conversation whose last endpoint was not usable.
    pub continued_unusable: u64,
    /// Calls that continue a conversation whose last endpoint had a load above the bound.
    pub continued_overloaded: u64,
    /// Tokens outside the shared prefix of the calls that continue a conversation but were not sent to its last
    /// endpoint.
    pub continued_tokens_elsewhere: u64,
}

impl PlacementMetrics {
    /// Records a call that is sent; `unshared_tokens` are its tokens outside the shared prefix.
    pub(crate) fn record(&mut self, placement: &Placement, continues: bool, unshared_tokens: u32) {
        *match placement.reason {
            PlacementReason::Session => &mut self.by_session,
            PlacementReason::Prefix => &mut self.by_prefix,
            PlacementReason::LocalLoad => &mut self.by_local_load,
            PlacementReason::RemoteLoad => &mut self.by_remote_load,
            PlacementReason::FirstToRecover => &mut self.by_recovery,
        } += 1;
        if !continues {
            return;
        }
        self.continued += 1;
        if placement.reason != PlacementReason::Session {
            self.continued_tokens_elsewhere += u64::from(unshared_tokens);
        }
        match placement.affinity_miss {
            Some(AffinityMiss::Unknown) => self.continued_unknown += 1,
            Some(AffinityMiss::Unusable) => self.continued_unusable += 1,
            Some(AffinityMiss::Overloaded) => self.continued_overloaded += 1,
            None => {}
        }
    }

    /// The counters with their metric names.
    pub fn entries(&self) -> [(&'static str, u64); 10] {
        [
            ("placed_by_session", self.by_session),
            ("placed_by_prefix", self.by_prefix),
            ("placed_by_local_load", self.by_local_load),
            ("placed_by_remote_load", self.by_remote_load),
            ("placed_by_recovery", self.by_recovery),
            ("continued", self.continued),
            ("continued_unknown", self.continued_unknown),
            ("continued_unusable", self.continued_unusable),
            ("continued_overloaded", self.continued_overloaded),
            ("continued_tokens_elsewhere", self.continued_tokens_elsewhere),
        ]
    }
}
