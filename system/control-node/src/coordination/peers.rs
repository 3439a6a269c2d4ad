//! Calls to the log's replicas at other nodes and at this one.

use crate::{ControlBackend, ControlNode};
use fleet_model::{Answer, Call, CoordinationAnswer, CoordinationCall, LogReply, LogRequest, ReplicaId};
use node_runtime::Runtime;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// A replica's reply to a log request.
#[derive(Clone, Debug)]
pub(super) struct PeerReply {
    /// The replica that replied, which may differ from the previous one at that address.
    pub(super) replica: ReplicaId,
    /// Whether applications are waiting for events at the replica's node.
    pub(super) has_watchers: bool,
    pub(super) reply: LogReply,
}

/// The replies of several replicas to a request, with their addresses; `None` for a replica that did not reply in time.
pub(super) type PeerReplies = mpsc::UnboundedReceiver<(Ipv4Addr, Option<PeerReply>)>;

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Calls the coordination service of another node; `None` if it did not answer in time.
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

    /// Sends a request to a replica, which may be this node's.
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

    /// Sends a request to several replicas concurrently. Each call runs to its end even if the caller stops waiting.
    pub(super) fn call_replicas(
        self: &Rc<Self>,
        targets: impl IntoIterator<Item = Ipv4Addr>,
        request: &LogRequest,
        timeout: Duration,
    ) -> PeerReplies {
        let (reply_sender, replies) = mpsc::unbounded_channel();
        for ip in targets {
            let (node, reply_sender, request) = (self.clone(), reply_sender.clone(), request.clone());
            self.runtime.spawn(async move {
                let reply = node.call_replica(ip, request, timeout).await;
                let _ = reply_sender.send((ip, reply));
            });
        }
        replies
    }
}
