//! The coordination service: locks, numbers and watched keys for applications, over a replicated log.

mod application;
mod status;

pub use application::{ApplicationReply, ApplicationRequest};
pub use status::{CoordinationStatus, CounterStatus, GroupStatus, LockStatus};

use crate::{ControlBackend, ControlNode};
use node_runtime::Runtime;

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Carries out a request of an application.
    pub async fn coordinate(&self, _request: ApplicationRequest) -> ApplicationReply {
        ApplicationReply::Unavailable
    }

    /// The coordination service as this node sees it.
    pub fn coordination_status(&self) -> CoordinationStatus {
        CoordinationStatus::default()
    }
}
