//! The request proxy: forwards requests with the configuration and endpoint list received from its agent.

use crate::admin::{AdminEndpoint, Topic, views};
use crate::feed::{Feed, follow_one, new_feed, run_heartbeats};
use crate::listeners::{listen, listen_for_clients};
use crate::process::{Process, shutdown_requested};
use crate::readiness::{Readiness, Received};
use crate::settings_file::MissingSetting;
use crate::start::StartError;
use crate::turns::{TurnClient, Turns};
use client_admission::ClientLimits;
use fleet_model::{Answer, Call, ListVersion};
use node_settings::Settings;
use operator_config::OperatorConfig;
use peer_wire::{Handler, PeerServer, Pusher};
use request_forwarding::{Forwarder, ShutdownPhase, SystemState, serve_readiness};
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

/// Number of proxies assumed until the feed announces it: connections to endpoints are divided by it.
const DEFAULT_PROXY_COUNT: u32 = 16;

/// Longest time between two updates of a ready proxy.
const UPDATE_INTERVAL: Duration = Duration::from_secs(5);
/// Longest time between two updates of a proxy that is not ready.
const STARTING_UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Passes each update of the feed to the forwarder.
async fn follow_configuration(feed: Rc<Feed>, forwarder: Rc<Forwarder<Turns>>, readiness: Rc<Readiness>) {
    let mut changes = feed.changes();
    let last: RefCell<(u64, Option<Rc<OperatorConfig>>)> = RefCell::new((0, None));
    loop {
        let state = feed.state();
        let version = state.version();
        if version > last.borrow().0 {
            match OperatorConfig::read(&state.config) {
                Ok(config) => *last.borrow_mut() = (version, Some(Rc::new(config))),
                Err(e) => log::error!("configuration unreadable: version={version} error={e}"),
            }
        }
        let list = feed.list();
        let list = (list.version != ListVersion::default()).then_some(list);
        let announced_proxies = feed.proxies();
        let proxies = if announced_proxies == 0 { DEFAULT_PROXY_COUNT } else { announced_proxies };
        let config = last.borrow().1.clone();
        let received = Received {
            configuration: config.is_some(),
            endpoints: list.as_ref().map(|list| list.endpoints.len()),
            confirmed: feed.confirmed_at().is_some(),
        };
        forwarder.update(SystemState { config, list, proxies });
        if readiness.update(received) {
            log::info!("ready: version={version}");
        }
        // Heartbeats change neither value nor list: the first one is looked for now and then.
        let interval = if readiness.is_ready() { UPDATE_INTERVAL } else { STARTING_UPDATE_INTERVAL };
        let _ = timeout(interval, changes.changed()).await;
    }
}

/// The proxy's admin endpoint.
struct ProxyAdmin {
    admin: AdminEndpoint,
    forwarder: Rc<Forwarder<Turns>>,
}

impl Handler for ProxyAdmin {
    async fn call(&self, _from: SocketAddr, call: Call, _pusher: Pusher) -> Answer {
        let Call::Inspect { topic } = call else { return Answer::NotReady };
        match Topic::read(&topic).name {
            "endpoints" => self.admin.view(views::endpoints(&self.forwarder.endpoints())),
            _ => self.admin.answer(&topic, |figures| {
                for (name, value) in self.forwarder.placement_metrics().entries() {
                    figures.counter(&format!("request_proxy_{name}"), value);
                }
                // One figure a line; what is open or waits now is no counter.
                for (name, value) in parse_forwarder_metrics(&self.forwarder.metrics().to_string()) {
                    match name.as_str() {
                        "clients" | "waiting" | "body_bytes" => {
                            figures.gauge(&format!("request_proxy_{name}"), value as f64)
                        }
                        name => figures.counter(&format!("request_proxy_{name}"), value),
                    }
                }
            }),
        }
    }
}

/// Reads the forwarder's figures.
fn parse_forwarder_metrics(text: &str) -> Vec<(String, u64)> {
    let line = |line: &str| {
        let (name, value) = line.split_once(' ')?;
        Some((name.to_owned(), value.parse().ok()?))
    };
    text.lines().filter_map(line).collect()
}

/// The counters of placement, on one line.
fn placement_line(forwarder: &Forwarder<Turns>) -> String {
    let entries = forwarder.placement_metrics().entries();
    entries.map(|(name, value)| format!("{name}={value}")).join(" ")
}

/// Answers the platform's readiness checks, once their address can be had.
async fn answer_readiness(process: Rc<Process>, address: SocketAddrV4, readiness: Rc<Readiness>) {
    let listener = listen_for_clients(&process, address).await;
    let ending = process.ending();
    serve_readiness(listener, move || readiness.is_ready() && !*ending.borrow()).await;
}

/// Serves the admin endpoint, once its port can be had.
async fn serve_admin(process: Rc<Process>, admin: ProxyAdmin) {
    let settings = process.settings();
    let address = SocketAddrV4::new(settings.ip_address, settings.admin_port());
    let listener = listen(&process, address).await;
    PeerServer::new(process.fleet(), Rc::new(admin)).serve(listener).await;
}

/// A proxy needs its addresses for clients and for readiness checks.
///
/// # Errors
///
/// [`MissingSetting`] if one of them is not there.
pub fn check(settings: &Settings) -> Result<(), MissingSetting> {
    addresses(settings).map(drop)
}

/// The addresses for clients and for readiness checks.
fn addresses(settings: &Settings) -> Result<(SocketAddrV4, SocketAddrV4), MissingSetting> {
    let addresses = settings.listen_addresses;
    let front = addresses.front.ok_or(MissingSetting("listen_addresses.front"))?;
    let readiness = addresses.readiness.ok_or(MissingSetting("listen_addresses.readiness"))?;
    Ok((front, readiness))
}

/// Runs until the process has ended its clients' requests.
///
/// # Errors
///
/// [`StartError`] if a setting is missing.
pub async fn run(process: Rc<Process>) -> Result<(), StartError> {
    let settings = process.settings();
    let (front, readiness_address) = addresses(&settings)?;
    let switched_off = process.routing_policy.switched_off();
    if !switched_off.is_empty() {
        log::warn!("a trial: switched off are {}", switched_off.join(", "));
    }
    let feed = new_feed(&process);
    let turns = TurnClient::new(process.clone(), feed.clone());
    let forwarder = Forwarder::new(
        settings.zone.clone(),
        crate::random::random_u64(),
        process.routing_policy.clone(),
        Rc::new(Turns(turns)),
        ClientLimits::for_process(settings.limits.memory_mb, settings.limits.max_file_descriptors),
    );
    let readiness = Readiness::new(process.waits().clone());
    let (stage_sender, stages) = watch::channel(ShutdownPhase::Serving);
    let admin = AdminEndpoint::new(process.clone(), feed.clone(), None, "request-proxy");
    let admin = ProxyAdmin { admin, forwarder: forwarder.clone() };
    process.spawn_part("admin endpoint", serve_admin(process.clone(), admin));
    process.spawn_part("readiness", answer_readiness(process.clone(), readiness_address, readiness.clone()));
    let clients = listen_for_clients(&process, front).await;
    process.spawn_part("heartbeats", run_heartbeats(feed.clone()));
    // The machine's address, as several machines of one host share the loopback address.
    let agent = process.peer(settings.ip_address);
    process.spawn_part("state feed", follow_one(feed.clone(), agent));
    process.spawn_part("configuration", follow_configuration(feed, forwarder.clone(), readiness));
    let (served_sender, served) = oneshot::channel();
    let serving = forwarder.clone();
    process.spawn_part("client server", async move {
        serving.serve(clients, stages).await;
        let _ = served_sender.send(());
    });
    process.set_started();
    shutdown_requested(&process).await;
    log::info!("graceful shutdown started");
    stage_sender.send_replace(ShutdownPhase::Draining);
    // The platform goes on sending new connections until it has missed two answers of readiness.
    let grace = Duration::from_secs_f64(settings.bounds.grace_period_s.max(1.0));
    sleep(Duration::from_millis(2_600).min(grace / 2)).await;
    stage_sender.send_replace(ShutdownPhase::Closing);
    let _ = timeout(grace.mul_f64(0.95).saturating_sub(Duration::from_millis(2_900).min(grace / 2)), served)
        .await;
    log::info!("{}", forwarder.metrics());
    log::info!("placement: {}", placement_line(&forwarder));
    Ok(())
}
