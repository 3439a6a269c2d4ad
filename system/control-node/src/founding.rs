//! Founds seeds that ended before their initial record was on disk, and accepts being founded; see [`config_register::Founder`].

use crate::{ControlBackend, ControlEvent, ControlNode};
use config_register::{Founder, OutgoingRequest, founded_record};
use fleet_model::{Ballot, RegisterReply, RegisterRequest, RegisterValue};
use futures_util::future::join_all;
use node_runtime::Runtime;
use std::net::Ipv4Addr;

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// On a node that has run since the first start: sends the initial value to seeds without a record, if nothing was ever chosen
    /// and they cannot recover.
    pub(crate) async fn found_empty_seeds(&self) {
        if !self.can_vote() {
            return;
        }
        // Without it, nothing is founded by this node any more.
        let Some(mut founder) = self.founder.take().filter(|founder| self.is_unused(founder)) else { return };
        let replies = join_all(founder.outbox().into_iter().map(|poll| self.send(poll))).await;
        // A value may have been chosen while the polls were under way.
        let is_unused = self.is_unused(&founder);
        let requests =
            if is_unused { founder.on_polled(self.runtime.now_ms(), &replies) } else { Vec::new() };
        self.founder.replace(Some(founder));
        for request in &requests {
            self.backend.on_event(&ControlEvent::SeedFounded(request.to));
        }
        join_all(requests.into_iter().map(|request| self.send(request))).await;
    }

    /// Whether this node has accepted and learned nothing but the register's initial value.
    fn is_unused(&self, founder: &Founder) -> bool {
        self.feed.value().ballot == Ballot::default() && founder.is_unused(self.replica.accepted().as_ref())
    }

    async fn send(&self, request: OutgoingRequest) -> (Ipv4Addr, Option<RegisterReply>) {
        let reply = self.call_register(request.to, request.request, self.register_call_timeout()).await;
        (request.to, reply)
    }

    /// On a node without a record: keeps the initial value that a founder sends, to be written by the recovery.
    pub(crate) fn accept_founding(&self, request: &RegisterRequest) {
        if self.can_vote() {
            return;
        }
        if let Some(record) = founded_record(self.me, request) {
            self.initial_record.replace(Some(record));
        }
    }

    /// Starts from the initial value, unless a chosen one is known.
    pub(crate) fn set_initial_value(&self, initial: Option<RegisterValue>) {
        let mut known_value = self.known_value.borrow_mut();
        if known_value.is_none() {
            *known_value = initial;
        }
    }
}
