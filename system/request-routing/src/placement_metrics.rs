//! Counters of placement: for each call sent, why its endpoint was chosen, and why a conversation that goes on was not
//! sent to the endpoint that last served it.

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementReason {
    /// It last served the session.
    Session,
    /// It caches the shared prefix.
    Prefix,
    /// It is the least loaded one of the proxy's zone.
    LocalLoad,
    /// It is the least loaded one of all zones, and in another zone.
    RemoteLoad,
    /// All are ejected, and it is the first to recover.
    FirstToRecover,
}

/// Why session affinity did not choose the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AffinityMiss {
    /// This proxy does not know which endpoint last served the session.
    Unknown,
    /// The endpoint is draining, gone, ejected, backing off, without a free slot, or failed lately.
    Unusable,
    /// Its load is above the bound.
    Overloaded,
}

/// Where one call was sent, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Placement {
    /// Index of the endpoint.
    pub(crate) index: usize,
    pub(crate) reason: PlacementReason,
    /// None if affinity chose, or does not apply.
    pub(crate) affinity_miss: Option<AffinityMiss>,
}

/// Counters of placement since the start of the proxy.
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
    /// Calls sent to an ejected endpoint, as all were.
    pub by_recovery: u64,
    /// Calls that continue a conversation.
    pub continued: u64,
    /// Those of them whose last endpoint this proxy did not know.
    pub continued_unknown: u64,
    /// Those of them whose last endpoint could not be used.
    pub continued_unusable: u64,
    /// Those of them whose last endpoint had a load above the bound.
    pub continued_overloaded: u64,
    /// Prompt tokens without the shared prefix of all that were not sent to their last endpoint.
    pub continued_tokens_elsewhere: u64,
}

impl PlacementMetrics {
    /// Records a call that was sent. `own_tokens`: its prompt without the shared prefix.
    pub(crate) fn record(&mut self, placement: &Placement, continues: bool, own_tokens: u32) {
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
            self.continued_tokens_elsewhere += u64::from(own_tokens);
        }
        match placement.affinity_miss {
            Some(AffinityMiss::Unknown) => self.continued_unknown += 1,
            Some(AffinityMiss::Unusable) => self.continued_unusable += 1,
            Some(AffinityMiss::Overloaded) => self.continued_overloaded += 1,
            None => {}
        }
    }

    /// The counters with their names.
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
