//! The coordination service: locks, numbers and watched keys for applications, over a replicated log.

mod application;

pub use application::{ApplicationReply, ApplicationRequest};

use crate::{ControlBackend, ControlNode};
use node_runtime::Runtime;

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Carries out a request of an application.
    pub async fn coordinate(&self, _request: ApplicationRequest) -> ApplicationReply {
        ApplicationReply::Unavailable
    }
}
