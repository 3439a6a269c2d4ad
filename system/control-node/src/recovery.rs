//! How a node comes to vote: a new machine's first state is written, a lost one is recovered from the others, a stranger asks
//! to be taken in, and a disk that refuses is tried again.

use crate::proposer::PATIENCE;
use crate::{ControlBackend, ControlEvent, ControlNode};
use config_register::{AcceptorRecord, OutgoingRequest, Recovery, RecoveryStep};
use fleet_model::{Answer, Ballot, Call, RegisterReply, RegisterRequest, RegisterValue};
use futures_util::future::join_all;
use futures_util::stream::{FuturesUnordered, StreamExt};
use node_runtime::Runtime;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Longest time that a recovery waits for others' rounds to end.
const MOST_WAIT: Duration = Duration::from_millis(600);
/// Longest time for an answer to a machine that asks to be a voter.
const JOIN_PATIENCE: Duration = Duration::from_millis(800);

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Has this machine vote.
    pub(crate) async fn keep_voting(self: Rc<Self>) {
        loop {
            if !self.can_vote() {
                self.recover().await;
            } else if !self.feed.value().voters.contains(&self.me) {
                self.ask_to_vote().await;
            }
            self.replica.probe_disk();
            self.runtime.sleep(Duration::from_millis(250 + self.runtime.random_u64() % 100)).await;
        }
    }

    async fn recover(&self) {
        let founding = self.founding.borrow().clone();
        match founding {
            Some(record) => {
                if self.replica.recover(record).await {
                    self.founding.take();
                    self.poll_now.notify_one();
                }
            }
            None => self.recover_from_others().await,
        }
    }

    /// Core machines that were heard of, without this one.
    fn others(&self) -> Vec<Ipv4Addr> {
        self.heard.borrow().iter().copied().filter(|ip| *ip != self.me).collect()
    }

    async fn ask_to_vote(&self) {
        for ip in self.others() {
            let call = Call::JoinCore { ip: self.me };
            if let Some(Answer::Done) = self.runtime.call(ip, call, JOIN_PATIENCE).await {
                self.poll_now.notify_one();
                return;
            }
        }
    }

    /// The newest value that one of these knows to be chosen.
    async fn known_chosen_value(&self, others: &[Ipv4Addr]) -> Option<RegisterValue> {
        let asked = others.iter().map(|ip| async move {
            let poll = RegisterRequest::Poll { chosen: Ballot::default() };
            let polled = self.ask(*ip, poll, PATIENCE).await?;
            if let RegisterReply::Polled { accepted, chosen } = &polled {
                self.observe_ballot(accepted.unwrap_or_default().max(*chosen));
            }
            let fetched = self.ask(*ip, RegisterRequest::Fetch, PATIENCE).await?;
            config_register::known_chosen_value(&polled, &fetched)
        });
        join_all(asked).await.into_iter().flatten().max_by_key(|known| known.epoch)
    }

    /// Brings an acceptor without a record to where it may vote.
    async fn recover_from_others(&self) {
        // It begins in any case: rounds of others that go on for good must not keep this machine from its vote.
        self.way_is_free(self.runtime.now() + MOST_WAIT).await;
        let others = self.others();
        // With a chosen value to start from, a voter that is gone for good need not answer.
        let mut restore = match self.known_chosen_value(&others).await {
            Some(known) => Recovery::start_from(self.me, self.recovery_ballot(), &known, &others),
            None => Recovery::start(self.me, self.recovery_ballot(), &others),
        };
        let mut calls = FuturesUnordered::new();
        let call = |OutgoingRequest { to, request }: OutgoingRequest| async move {
            (to, self.ask(to, request, PATIENCE).await)
        };
        calls.extend(restore.outbox().into_iter().map(call));
        while let Some((ip, reply)) = calls.next().await {
            let step = match reply {
                Some(reply) => restore.on_reply(ip, &reply),
                None => restore.on_failure(ip),
            };
            match step {
                RecoveryStep::Wait => {}
                RecoveryStep::Send(requests) => calls.extend(requests.into_iter().map(call)),
                RecoveryStep::Lost { seen } => {
                    self.lost_round();
                    return self.observe_ballot(seen);
                }
                RecoveryStep::Failed => return self.lost_round(),
                RecoveryStep::Done(record) => return self.recovered(record).await,
            }
        }
    }

    async fn recovered(&self, record: AcceptorRecord) {
        if !self.replica.recover(record.clone()).await {
            return;
        }
        self.observe_ballot(record.promised);
        self.backend.on_event(&ControlEvent::Recovered(&record));
        // What a recovery has had accepted anew is chosen.
        if let Some(accepted) = record.accepted {
            self.adopt(accepted);
        }
    }
}
