//! The control node: hosts the `control-node` crate with sockets, a disk, the platform's endpoint list and the log, and
//! serves the calls of operators and applications (`control_api`) and the admin endpoint.

mod application_requests;
mod backend;
mod coordination_metrics;
mod journal;
mod operator_requests;
mod record;

use crate::admin::{AdminEndpoint, Topic};
use crate::control_api::{self, ApiLimits, ApiLoad};
use crate::feed::{ProcessRuntime, SubscriberLink, new_feed};
use crate::late_handler::{LateHandler, serve_peers};
use crate::listeners::listen_for_clients;
use crate::members::Members;
use crate::process::{Process, shutdown_requested};
use crate::random::{incarnation_nonce, random_u64};
use crate::settings_file::MissingSetting;
use crate::start::StartError;
use backend::Backend;
use client_admission::ClientLimits;
use config_register::BallotSource;
use control_node::ControlNode;
use fleet_membership::{MemberEvent, Role};
use fleet_model::{Answer, Call};
use node_settings::Settings;
use peer_wire::{Handler, PeerServer, Pusher};
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time for a leader of the coordination log to complete its round before the process ends.
const RESIGNATION_TIMEOUT: Duration = Duration::from_millis(200);

type Node = ControlNode<ProcessRuntime, Backend>;

/// A control node with its admin endpoint.
pub struct ControlServer {
    me: Ipv4Addr,
    node: Rc<Node>,
    admin: AdminEndpoint,
    api_load: Rc<ApiLoad>,
    /// Number of damaged records found at the start.
    damages: u64,
}

/// Joins the membership, which notifies the node of core machines.
fn take_part(process: &Rc<Process>, node: &Rc<Node>) -> Result<Rc<Members>, StartError> {
    let weak = Rc::downgrade(node);
    let on_change = move |change: &MemberEvent| {
        if let (MemberEvent::Joined(member), Some(node)) = (change, weak.upgrade())
            && member.role == Role::Core
        {
            node.add_known_core_node(member.ip);
        }
    };
    Members::start(process.clone(), node.feed.clone(), Role::Core, on_change)
}

impl ControlServer {
    /// Answers an operator's query, also without a majority.
    fn inspect(&self, topic: &str) -> Answer {
        let node = &self.node;
        if Topic::read(topic).name == "coordination" {
            return self.admin.view(json!(node.coordination_status()));
        }
        self.admin.answer(topic, |metrics| {
            metrics.gauge("control_node_fit_to_vote", f64::from(u8::from(node.can_vote())));
            metrics.gauge("control_node_damages_found", self.damages as f64);
            metrics.gauge("control_node_fresh", f64::from(u8::from(node.is_fresh())));
            metrics.gauge("control_node_core_machines_heard", node.known_core_node_count() as f64);
            let state = node.feed.state();
            let held_leases = state.lease_holders().filter(|holder| *holder == self.me).count();
            metrics.gauge("control_node_duties", held_leases as f64);
            let storage_losses = node.storage_losses();
            metrics.gauge("control_node_storage_losses_to_bear", storage_losses.configured as f64);
            metrics.gauge("control_node_storage_losses_borne", storage_losses.tolerated.losses_served as f64);
            metrics.gauge(
                "control_node_storage_losses_survived",
                storage_losses.tolerated.losses_survived as f64,
            );
            let (rounds, disk) = (node.ballot_counts(), node.disk());
            metrics.counter("control_node_runs_total", rounds.started);
            metrics.counter("control_node_runs_lost_total", rounds.lost);
            metrics.gauge("control_node_disk_refusing", f64::from(u8::from(disk.is_failing)));
            metrics.counter("control_node_disk_refusals_total", disk.failed_writes);
            metrics.gauge("control_node_vote_seconds", node.vote_delay().as_secs_f64());
            let api = self.api_load.counts();
            metrics.gauge("control_node_api_connections", api.connections as f64);
            metrics.gauge("control_node_waiting_watches", api.waiting_watches as f64);
            metrics.counter("control_node_api_rejected", api.rejected);
            metrics.gauge("control_node_api_body_bytes", api.body_bytes as f64);
            metrics.counter("control_node_api_connections_evicted", api.connections_evicted);
            metrics.counter("control_node_api_bodies_evicted", api.bodies_evicted);
            coordination_metrics::add(metrics, self.me, &node.coordination_status());
        })
    }
}

impl Handler for ControlServer {
    async fn call(&self, from: SocketAddr, call: Call, pusher: Pusher) -> Answer {
        let SocketAddr::V4(from) = from else { return Answer::NotReady };
        match call {
            Call::Inspect { topic } => self.inspect(&topic),
            call => self.node.answer(*from.ip(), call, Some(SubscriberLink(pusher))).await,
        }
    }
}

/// A control node needs an address for callers and a data directory.
///
/// # Errors
///
/// [`MissingSetting`] if one of them is not there.
pub fn check(settings: &Settings) -> Result<(), MissingSetting> {
    needed_settings(settings).map(drop)
}

/// The address for callers and the data directory.
fn needed_settings(settings: &Settings) -> Result<(SocketAddrV4, PathBuf), MissingSetting> {
    let control_plane = settings.listen_addresses.control_plane;
    let control_plane = control_plane.ok_or(MissingSetting("listen_addresses.control_plane"))?;
    let folder = settings.data_directory.clone().ok_or(MissingSetting("data_directory"))?;
    Ok((control_plane, folder))
}

/// Answers operators and applications, once their address can be had.
async fn answer_callers(
    process: Rc<Process>,
    address: SocketAddrV4,
    server: Rc<ControlServer>,
    load: Rc<ApiLoad>,
) {
    let listener = listen_for_clients(&process, address).await;
    control_api::serve(listener, server, load).await;
}

/// Runs until the process is to end.
///
/// # Errors
///
/// [`StartError`] if a setting is missing, or random bits or a thread cannot be had.
pub async fn run(process: Rc<Process>) -> Result<(), StartError> {
    let settings = process.settings();
    let (control_plane, folder) = needed_settings(&settings)?;
    let me = settings.ip_address;
    let seeds = process.seeds();
    let feed = new_feed(&process);
    let admin = AdminEndpoint::new(process.clone(), feed.clone(), None, "control-node");
    let handler = LateHandler::new(admin);
    let listening = serve_peers(&process, PeerServer::new(process.fleet(), handler.clone()));
    let opened = record::open_with_retry(process.waits(), &folder, settings.first_start, me, &seeds).await;
    let record::Opened { durable, initial_state, damages, lock } =
        record::write_initial_record(process.waits(), opened).await;
    if initial_state == control_node::InitialState::Recovering {
        log::warn!("no acceptor record on disk, no vote before recovery from a majority");
    }
    let journal = journal::open_with_retry(process.waits(), &folder).await;
    let damages = damages + journal.damages;
    let backend = Backend::new(process.clone(), durable, journal.writer, lock);
    let ballots = BallotSource::new(me, incarnation_nonce()?);
    let node = ControlNode::new(
        feed.runtime().clone(),
        backend,
        feed.clone(),
        ballots,
        initial_state,
        journal.found,
    );
    let members = take_part(&process, &node)?;
    let admin = AdminEndpoint::new(process.clone(), feed, Some(members), "control-node");
    let limits = ClientLimits::for_process(settings.limits.memory_mb, settings.limits.max_file_descriptors);
    let api_load = Rc::new(ApiLoad::new(ApiLimits::within(limits)));
    let control_server =
        Rc::new(ControlServer { me, node: node.clone(), admin, api_load: api_load.clone(), damages });
    handler.set(control_server.clone());
    // A node that peers cannot reach must not take over tasks of the fleet. The part ends only with this body.
    let _ = listening.await;
    node.run();
    let callers = answer_callers(process.clone(), control_plane, control_server, api_load);
    process.spawn_part("caller server", callers);
    process.set_started();
    shutdown_requested(&process).await;
    node.resign(RESIGNATION_TIMEOUT).await;
    // What is half way ends; nothing else depends on this process.
    sleep(Duration::from_millis(300 + random_u64() % 50)).await;
    Ok(())
}
