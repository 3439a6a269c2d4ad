//! Keeps the node able to vote: a new node writes its initial record, a node that lost its record recovers it from its peers, a
//! node that is not a voter requests to become one, and a failing disk is probed.

use crate::{ControlBackend, ControlEvent, ControlNode};
use config_register::{AcceptorRecord, OutgoingRequest, Recovery, RecoveryStep};
use fleet_model::{Answer, Ballot, Call, RegisterReply, RegisterRequest, RegisterValue};
use futures_util::future::join_all;
use futures_util::stream::{FuturesUnordered, StreamExt};
use node_runtime::Runtime;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time that a recovery waits for competing ballots to end.
const MAX_RECOVERY_DELAY: Duration = Duration::from_millis(600);
/// Timeout of a request to become a voter.
const JOIN_CALL_TIMEOUT: Duration = Duration::from_millis(800);

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Runs the steps of this module periodically, as needed.
    pub(crate) async fn run_voting(self: Rc<Self>) {
        loop {
            if !self.can_vote() {
                self.recover().await;
            } else if !self.feed.value().voters.contains(&self.me) {
                self.request_voter_membership().await;
            }
            self.found_empty_seeds().await;
            self.replica.probe_disk();
            self.runtime.sleep(Duration::from_millis(250 + self.runtime.random_u64() % 100)).await;
        }
    }

    async fn recover(&self) {
        let initial_record = self.initial_record.borrow().clone();
        match initial_record {
            Some(record) => {
                let initial_value = record.chosen_voters.clone();
                if self.replica.recover(record).await {
                    self.initial_record.take();
                    self.set_initial_value(initial_value);
                    self.poll_requested.notify_one();
                }
            }
            None => self.recover_from_peers().await,
        }
    }

    /// The known control nodes, without this one.
    fn known_peers(&self) -> Vec<Ipv4Addr> {
        self.known_core_nodes.borrow().iter().copied().filter(|ip| *ip != self.me).collect()
    }

    async fn request_voter_membership(&self) {
        for ip in self.known_peers() {
            let call = Call::JoinCore { ip: self.me };
            if let Some(Answer::Done) = self.runtime.call(ip, call, JOIN_CALL_TIMEOUT).await {
                self.poll_requested.notify_one();
                return;
            }
        }
    }

    /// The newest value that any of `peers` knows to be chosen.
    async fn newest_chosen_value(&self, peers: &[Ipv4Addr]) -> Option<RegisterValue> {
        let calls = peers.iter().map(|ip| async move {
            let poll = RegisterRequest::Poll { chosen: Ballot::default() };
            let polled = self.call_register(*ip, poll, self.register_call_timeout()).await?;
            if let RegisterReply::Polled { accepted, chosen } = &polled {
                self.observe_ballot(accepted.unwrap_or_default().max(*chosen));
            }
            let fetched =
                self.call_register(*ip, RegisterRequest::Fetch, self.register_call_timeout()).await?;
            config_register::known_chosen_value(&polled, &fetched)
        });
        join_all(calls).await.into_iter().flatten().max_by_key(|known| known.epoch)
    }

    /// Recovers this node's acceptor record from its peers.
    async fn recover_from_peers(&self) {
        // The recovery starts even if the wait times out: competing ballots that never end must not keep this node from voting.
        self.wait_for_backoff(self.runtime.now() + MAX_RECOVERY_DELAY).await;
        let peers = self.known_peers();
        // A recovery that starts from a chosen value does not need replies from voters that are permanently lost.
        let mut recovery = match self.newest_chosen_value(&peers).await {
            Some(known) => Recovery::start_from(self.me, self.recovery_ballot(), &known, &peers),
            None => Recovery::start(self.me, self.recovery_ballot(), &peers),
        };
        let mut calls = FuturesUnordered::new();
        let call = |OutgoingRequest { to, request }: OutgoingRequest| async move {
            (to, self.call_register(to, request, self.register_call_timeout()).await)
        };
        calls.extend(recovery.outbox().into_iter().map(call));
        while let Some((ip, reply)) = calls.next().await {
            let step = match reply {
                Some(reply) => recovery.on_reply(ip, &reply),
                None => recovery.on_failure(ip),
            };
            match step {
                RecoveryStep::Wait => {}
                RecoveryStep::Send(requests) => calls.extend(requests.into_iter().map(call)),
                RecoveryStep::Lost { seen } => {
                    self.on_attempt_lost();
                    return self.observe_ballot(seen);
                }
                RecoveryStep::Failed => return self.on_attempt_lost(),
                RecoveryStep::Done(record) => return self.on_recovered(record).await,
            }
        }
    }

    async fn on_recovered(&self, record: AcceptorRecord) {
        if !self.replica.recover(record.clone()).await {
            return;
        }
        self.observe_ballot(record.promised);
        self.backend.on_event(&ControlEvent::Recovered(&record));
        // The recovery had a quorum accept this value again under its own ballot, so it is chosen.
        if let Some(accepted) = record.accepted {
            self.adopt(accepted);
        }
    }
}
