//! Calls to the replicas of other nodes, and to the own one.

use crate::{ControlBackend, ControlNode};
use fleet_model::{Answer, Call, CoordinationAnswer, CoordinationCall, LogReply, LogRequest, ReplicaId};
use node_runtime::Runtime;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// The reply of a replica.
#[derive(Clone, Debug)]
pub(super) struct PeerReply {
    /// The replica.
    pub(super) replica: ReplicaId,
    /// Whether applications at its node wait for events.
    pub(super) has_watchers: bool,
    /// The reply.
    pub(super) reply: LogReply,
}

/// The replies to a request to several replicas, with the address of each; `None` without a reply in time.
pub(super) type PeerReplies = mpsc::UnboundedReceiver<(Ipv4Addr, Option<PeerReply>)>;

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Calls the coordination service of another node.
    pub(super) async fn call_coordination(
        &self,
        ip: Ipv4Addr,
        call: CoordinationCall,
        timeout: Duration,
    ) -> Option<CoordinationAnswer> {
        match self.runtime.call(ip, Call::Coordination(call), timeout).await {
            Some(Answer::Coordination(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Sends a request to a replica, which may be the own one.
    pub(super) async fn call_replica(
        self: &Rc<Self>,
        ip: Ipv4Addr,
        request: LogRequest,
        timeout: Duration,
    ) -> Option<PeerReply> {
        let answer = match ip == self.me {
            true => self.answer_log(request).await,
            false => self.call_coordination(ip, CoordinationCall::Log(request), timeout).await,
        };
        match answer? {
            CoordinationAnswer::Log { replica, has_watchers, reply } => {
                Some(PeerReply { replica, has_watchers, reply })
            }
            _ => None,
        }
    }

    /// Sends a request to several replicas side by side. Each call runs to its end, also if the caller stops waiting.
    pub(super) fn call_replicas(
        self: &Rc<Self>,
        targets: impl IntoIterator<Item = Ipv4Addr>,
        request: &LogRequest,
        timeout: Duration,
    ) -> PeerReplies {
        let (replies, received) = mpsc::unbounded_channel();
        for ip in targets {
            let (node, replies, request) = (self.clone(), replies.clone(), request.clone());
            self.runtime.spawn(async move {
                let reply = node.call_replica(ip, request, timeout).await;
                let _ = replies.send((ip, reply));
            });
        }
        received
    }
}
