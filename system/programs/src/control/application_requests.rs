//! Requests of applications, which the control node's coordination service carries out.

use super::ControlServer;
use crate::control_api::Applications;
use control_node::{ApplicationReply, ApplicationRequest};

impl Applications for ControlServer {
    async fn coordinate(&self, request: ApplicationRequest) -> ApplicationReply {
        self.node.execute_application_request(request).await
    }
}
