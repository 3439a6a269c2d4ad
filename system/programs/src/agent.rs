//! The proxy agent, one beside each proxy: it follows the state feed and forwards it to the proxy over loopback and to the
//! agents below it in the distribution tree.

use crate::admin::AdminEndpoint;
use crate::feed::{Feed, SubscriberLink, follow, new_feed, run_heartbeats};
use crate::members::Members;
use crate::process::{Process, shutdown_requested};
use crate::start::{StartError, listen};
use fleet_membership::Role;
use fleet_model::{Answer, Call};
use peer_wire::{Handler, PeerServer, Pusher};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

struct Agent {
    feed: Rc<Feed>,
    admin: AdminEndpoint,
}

impl Handler for Agent {
    async fn call(&self, _from: SocketAddr, call: Call, pusher: Pusher) -> Answer {
        match &call {
            Call::Subscribe { .. } => self.feed.subscribe(&call, true, SubscriberLink(pusher)),
            Call::Inspect { topic } => self.admin.answer(topic, |_| ()),
            _ => Answer::NotReady,
        }
    }
}

/// Runs until the process is to end, and for a while more: the proxy's last answers need it.
///
/// # Errors
///
/// [`StartError`] if a socket cannot be bound or the membership cannot be joined.
pub async fn run(process: Rc<Process>) -> Result<(), StartError> {
    let settings = process.settings();
    let feed = new_feed(&process);
    let members = Members::start(process.clone(), feed.clone(), Role::Edge, |_| ())?;
    let admin = AdminEndpoint::new(process.clone(), feed.clone(), Some(members), "proxy-agent");
    let agent = Rc::new(Agent { feed: feed.clone(), admin });
    let peers = listen(SocketAddrV4::new(settings.ip_address, settings.peer_port())).await?;
    let loopback = listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, settings.feed_port())).await?;
    for listener in [peers, loopback] {
        let server = PeerServer::new(process.fleet(), agent.clone());
        spawn_local(async move { server.serve(listener).await });
    }
    spawn_local(run_heartbeats(feed.clone()));
    spawn_local(follow(feed, false));
    shutdown_requested(&process).await;
    sleep(Duration::from_secs_f64((settings.bounds.grace_period_s - 0.6).clamp(0.0, 30.0))).await;
    Ok(())
}
