//! The singleton task of endpoint discovery: the lease holder reads the platform's endpoint list, and all other nodes follow the
//! holder's list. [`controllers::LeaseCandidate`] decides which node may acquire the lease.

use crate::membership::CHANGE_TIMEOUT;
use crate::{ControlBackend, ControlEvent, ControlNode, ENDPOINT_DISCOVERY_TASK};
use controllers::{DiscoveryPollFilter, times};
use fleet_model::{ControlState, Lease};
use node_runtime::{Runtime, follow_lists, timeout};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Delay after the start of a node before it may acquire a lease: until then it does not know which voters are alive.
const LIVENESS_DISCOVERY_DELAY: Duration = Duration::from_millis(300);
/// Maximum interval between checks whether the state is fresh; a completed poll triggers a check earlier.
const FRESHNESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before the lease holder is looked up again, to follow its endpoint list.
const FOLLOW_RETRY_INTERVAL: Duration = Duration::from_millis(150);

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// The holder of the lease of [`ENDPOINT_DISCOVERY_TASK`].
    fn lease_holder(&self) -> Option<Ipv4Addr> {
        self.feed.state().leases.get(ENDPOINT_DISCOVERY_TASK).and_then(|lease| lease.holder)
    }

    /// Acquires the lease if this node is the next candidate.
    async fn acquire_lease(&self) {
        let value = self.feed.value();
        let previous: Option<Lease> = {
            let voter_controller = self.voter_controller.borrow();
            let now = self.runtime.now_ms();
            self.candidate.borrow_mut().lease_to_acquire(
                now,
                &self.feed.state(),
                &value.voters,
                &voter_controller,
            )
        };
        let Some(previous) = previous else { return };
        let make_change =
            |state: &ControlState| self.backend.acquire(&self.candidate.borrow(), state, &previous).into();
        if self.change(CHANGE_TIMEOUT, make_change).await {
            let token = self.candidate.borrow_mut().on_committed(&self.feed.state(), &previous);
            if let Some(token) = token {
                self.backend.on_event(&ControlEvent::LeaseAcquired { task: ENDPOINT_DISCOVERY_TASK, token });
            }
        }
    }

    /// Reads the endpoint list while this node holds the lease and a majority confirms its state; otherwise tries to acquire the
    /// lease.
    pub(crate) async fn run_endpoint_discovery(self: Rc<Self>) {
        if !self.backend.discovers_endpoints() {
            return;
        }
        let mut polls = DiscoveryPollFilter::default();
        let started_at = self.runtime.now();
        loop {
            // After a start the node does not know yet which voters are alive. It need not know that if its previous incarnation
            // held the lease.
            let is_liveness_known = self.lease_holder() == Some(self.me)
                || self.runtime.now() - started_at >= LIVENESS_DISCOVERY_DELAY;
            if !self.is_fresh() || !is_liveness_known {
                let _ =
                    timeout(&self.runtime, FRESHNESS_CHECK_INTERVAL, self.poll_completed.notified()).await;
                continue;
            }
            let Some(token) = self.discovery_token() else {
                self.acquire_lease().await;
                if self.discovery_token().is_none() {
                    self.runtime.sleep(Duration::from_millis(200 + self.runtime.random_u64() % 50)).await;
                }
                continue;
            };
            let requested_at = self.runtime.now_ms();
            self.poll_endpoints(&mut polls, requested_at, token).await;
            let elapsed_ms = self.runtime.now_ms().saturating_sub(requested_at);
            self.runtime
                .sleep(Duration::from_millis(times::DISCOVERY_POLL_INTERVAL_MS.saturating_sub(elapsed_ms)))
                .await;
        }
    }

    async fn poll_endpoints(&self, polls: &mut DiscoveryPollFilter, requested_at: u64, token: u64) {
        match self.backend.discover_endpoints().await {
            // Another node may have acquired the lease meanwhile. The list then has an outdated token, and the list of the new
            // holder supersedes it.
            Ok(endpoints) => {
                let now = self.runtime.now_ms();
                if let Some(list) = polls.accept_poll(now, requested_at, token, &self.feed.list(), endpoints)
                {
                    self.feed.update_list(list);
                }
            }
            Err(error) => self.backend.on_event(&ControlEvent::DiscoveryFailed(&error.to_string())),
        }
    }

    /// Follows the endpoint list of the node that holds the lease.
    pub(crate) async fn follow_endpoint_list(self: Rc<Self>) {
        loop {
            match self.lease_holder() {
                Some(holder) if holder != self.me => {
                    follow_lists(&self.feed, holder, || self.lease_holder() == Some(holder)).await;
                }
                _ => {}
            }
            self.runtime.sleep(FOLLOW_RETRY_INTERVAL).await;
        }
    }
}
