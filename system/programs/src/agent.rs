//! The proxy agent, one beside each proxy: it follows the state feed and forwards it to the proxy of its machine and to the
//! agents below it in the distribution tree.

use crate::admin::AdminEndpoint;
use crate::feed::{Feed, SubscriberLink, follow, new_feed, run_heartbeats};
use crate::listeners::listen;
use crate::members::Members;
use crate::process::{Process, shutdown_requested};
use crate::settings_file::MissingSetting;
use crate::start::StartError;
use fleet_membership::Role;
use fleet_model::{Answer, Call};
use node_settings::Settings;
use peer_wire::{Handler, PeerServer, Pusher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
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

/// All settings are optional for an agent.
///
/// # Errors
///
/// None.
pub fn check(_: &Settings) -> Result<(), MissingSetting> {
    Ok(())
}

/// Runs until the process is to end, and for a while more: the proxy's last answers need it.
///
/// # Errors
///
/// [`StartError`] if the membership cannot be joined.
pub async fn run(process: Rc<Process>) -> Result<(), StartError> {
    let settings = process.settings();
    let feed = new_feed(&process);
    let peers = listen(&process, process.peer(settings.ip_address)).await;
    let members = Members::start(process.clone(), feed.clone(), Role::Edge, |_| ())?;
    let admin = AdminEndpoint::new(process.clone(), feed.clone(), Some(members), "proxy-agent");
    let server = PeerServer::new(process.fleet(), Rc::new(Agent { feed: feed.clone(), admin }));
    process.spawn_part("peer server", async move { server.serve(peers).await });
    process.spawn_part("heartbeats", run_heartbeats(feed.clone()));
    process.spawn_part("state feed", follow(feed, false));
    process.set_started();
    shutdown_requested(&process).await;
    sleep(Duration::from_secs_f64((settings.bounds.grace_period_s - 0.6).clamp(0.0, 30.0))).await;
    Ok(())
}
