//! Watches of applications, served by any node from the slots that it has applied.

use super::{APPLICATION_TIMEOUT, ApplicationReply};
use crate::{ControlBackend, ControlNode};
use fleet_model::{CoordinationQuery, CoordinationReading};
use node_runtime::{Runtime, timeout_at};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// How long a watch may wait before its node has to confirm that it has missed no event.
const MAX_UNCONFIRMED_WAIT: Duration = Duration::from_secs(5);

/// Counts an application that waits, until it is dropped.
struct CountedWatcher<'a>(&'a Cell<usize>);

impl<'a> CountedWatcher<'a> {
    fn new(watchers: &'a Cell<usize>) -> Self {
        watchers.set(watchers.get() + 1);
        Self(watchers)
    }
}

impl Drop for CountedWatcher<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Waits for events of a group. The answer is complete up to its revision and includes all that was acknowledged before the
    /// request.
    pub(super) async fn watch(self: &Rc<Self>, group: &str, after: u64, wait: Duration) -> ApplicationReply {
        let _counted = CountedWatcher::new(&self.coordination.watchers);
        let until = self.runtime.now() + wait;
        if !self.apply_committed().await {
            return ApplicationReply::Unavailable;
        }
        if after == 0 {
            let revision = self.coordination.replica.borrow().machine().state.group_revision(group);
            return ApplicationReply::Events { events: Vec::new(), revision };
        }
        let mut is_last = false;
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
            if is_last {
                return ApplicationReply::Events { events: Vec::new(), revision: after };
            }
            if timeout_at(&self.runtime, until, applied).await.is_none() {
                is_last = true;
                // A revision that is given after long waiting must not be older than the history by then.
                if wait > MAX_UNCONFIRMED_WAIT && !self.apply_committed().await {
                    return ApplicationReply::Unavailable;
                }
            }
        }
    }

    /// Waits until this node has applied all that was chosen before this call.
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
