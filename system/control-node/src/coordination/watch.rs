//! Watches of applications. Any node serves them, from the slots that it has applied.

use super::{APPLICATION_TIMEOUT, ApplicationReply};
use crate::{ControlBackend, ControlNode};
use fleet_model::{CoordinationQuery, CoordinationReading};
use node_runtime::{Runtime, timeout_at};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A watch that has waited longer than this is answered only after its node has confirmed that it has missed no event.
const MAX_UNCONFIRMED_WAIT: Duration = Duration::from_secs(5);

/// Counts a waiting application until dropped.
struct WatcherGuard<'a>(&'a Cell<usize>);

impl<'a> WatcherGuard<'a> {
    fn new(watchers: &'a Cell<usize>) -> Self {
        watchers.set(watchers.get() + 1);
        Self(watchers)
    }
}

impl Drop for WatcherGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Waits for events of a group. The answer is complete up to its revision and includes all events that were acknowledged
    /// before the request.
    pub(super) async fn watch(self: &Rc<Self>, group: &str, after: u64, wait: Duration) -> ApplicationReply {
        let _watcher_guard = WatcherGuard::new(&self.coordination.watchers);
        let deadline = self.runtime.now() + wait;
        if !self.apply_committed().await {
            return ApplicationReply::Unavailable;
        }
        if after == 0 {
            let revision = self.coordination.replica.borrow().machine().state.group_revision(group);
            return ApplicationReply::Events { events: Vec::new(), revision };
        }
        let mut has_timed_out = false;
        loop {
            let applied = self.coordination.applied.notified();
            let events = self.coordination.replica.borrow().machine().state.events(group, after);
            match events {
                Err(_) => return ApplicationReply::EventsPruned,
                Ok(events) if !events.is_empty() => {
                    let revision = events.last().map_or(after, |event| event.revision);
                    return ApplicationReply::Events { events, revision };
                }
                Ok(_) => {}
            }
            if has_timed_out {
                return ApplicationReply::Events { events: Vec::new(), revision: after };
            }
            if timeout_at(&self.runtime, deadline, applied).await.is_none() {
                has_timed_out = true;
                // After a long wait, events after the returned revision might no longer be retained unless the revision is
                // confirmed to be current.
                if wait > MAX_UNCONFIRMED_WAIT && !self.apply_committed().await {
                    return ApplicationReply::Unavailable;
                }
            }
        }
    }

    /// Waits until this node has applied all slots that were committed before this call; returns false at the deadline.
    async fn apply_committed(self: &Rc<Self>) -> bool {
        let deadline = self.runtime.now() + APPLICATION_TIMEOUT;
        let reading = self.read(&CoordinationQuery::CommitIndex, deadline).await;
        let Some(CoordinationReading::CommitIndex(slot)) = reading else { return false };
        loop {
            let applied = self.coordination.applied.notified();
            if self.coordination.replica.borrow().applied() >= slot {
                return true;
            }
            if timeout_at(&self.runtime, deadline, applied).await.is_none() {
                return false;
            }
        }
    }
}
