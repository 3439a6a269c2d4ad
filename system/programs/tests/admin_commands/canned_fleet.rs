//! A fleet of processes with canned answers, and its parts.

use fleet_model::{Answer, Call, Endpoint, EndpointState, Roster, StorageNode};
use peer_wire::{Handler, PeerServer, Pusher};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use system_programs::admin::commands::{Command, execute};
use system_programs::admin::{Fleet, Origin, Report};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

const FLEET: u16 = 77;

pub(crate) fn origin(node: &str, zone: &str, program: &str) -> Origin {
    Origin {
        node: node.to_owned(),
        ip: Ipv4Addr::LOCALHOST,
        zone: zone.to_owned(),
        program: program.to_owned(),
        age_ms: Some(5),
    }
}

pub(crate) fn seen(name: &str, role: &str, zone: &str, ip: Ipv4Addr, suspected: bool) -> Value {
    json!({ "name": name, "role": role, "zone": zone, "ip": ip, "suspected": suspected })
}

/// A process that answers topics as told, and other calls not at all.
pub(crate) struct Canned(BTreeMap<String, Value>);

impl Handler for Canned {
    async fn call(&self, _from: SocketAddr, call: Call, _pusher: Pusher) -> Answer {
        match call {
            Call::Inspect { topic } => match self.0.get(&topic) {
                Some(view) => Answer::View(view.to_string()),
                None => Answer::NotReady,
            },
            _ => Answer::NotReady,
        }
    }
}

/// A process of a made-up fleet.
pub(crate) struct Made {
    pub(crate) ip: Ipv4Addr,
    pub(crate) is_proxy: bool,
    pub(crate) topics: BTreeMap<String, Value>,
}

pub(crate) fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, last)
}

pub(crate) const ADMIN_PORT_OFFSET: u16 = 3;

/// Serves all of them at one free port, proxies at the one for staff.
pub(crate) async fn serve(made: Vec<Made>) -> Fleet {
    let (port, listeners) = 'free: loop {
        let probe = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let port = probe.local_addr().unwrap().port();
        drop(probe);
        let Some(staff) = port.checked_add(ADMIN_PORT_OFFSET) else { continue };
        let mut listeners = Vec::new();
        for process in &made {
            match TcpListener::bind((process.ip, if process.is_proxy { staff } else { port })).await {
                Ok(listener) => listeners.push(listener),
                Err(_) => continue 'free,
            }
        }
        break (port, listeners);
    };
    for (process, listener) in made.into_iter().zip(listeners) {
        let server = PeerServer::new(FLEET, Rc::new(Canned(process.topics)));
        spawn_local(async move { server.serve(listener).await });
    }
    Fleet {
        number: FLEET,
        entries: vec![SocketAddrV4::new(ip(1), port)],
        admin_port_offset: ADMIN_PORT_OFFSET,
    }
}

pub(crate) fn view(origin: &Origin, body: Value) -> Value {
    let mut view = json!(origin);
    view.as_object_mut().unwrap().extend(body.as_object().unwrap().clone());
    view
}

pub(crate) fn process(ip: Ipv4Addr, origin: &Origin, topics: &[(&str, Value)]) -> Made {
    let topics = topics.iter().map(|(topic, body)| ((*topic).to_owned(), view(origin, body.clone())));
    Made { ip, is_proxy: origin.program == "request-proxy", topics: topics.collect() }
}

pub(crate) fn store(last: u8) -> StorageNode {
    StorageNode {
        name: format!("store-{last}"),
        ip: ip(last),
        zone: "b".to_owned(),
        disk: u64::from(last) * 100,
    }
}

pub(crate) fn roster() -> Roster {
    Roster { epoch: 4, current: vec![store(4), store(5), store(6)], ..Roster::default() }
}

pub(crate) const CONFIG: &str = r#"{"version":3,"routes":[],"services":[]}"#;

pub(crate) fn member_list() -> Value {
    json!({ "members": [
        seen("core-1", "core", "a", ip(1), false),
        seen("edge-2", "edge", "a", ip(2), false),
        seen("store-4", "storage", "b", ip(4), false),
        seen("store-5", "storage", "b", ip(5), false),
        seen("store-6", "storage", "b", ip(6), false),
    ]})
}

pub(crate) fn version(number: u64) -> Value {
    json!({ "version": number, "voters": [ip(1)], "endpoints": 2, "fed": [] })
}

/// A core machine's process, with the age of what it says.
pub(crate) fn keeper(age_ms: Option<u64>) -> Made {
    let origin = Origin { age_ms, ..origin("core-1", "a", "control-node") };
    let config = json!({ "version": 3, "taken": [1, 3], "digests": ["aa", "bb"], "config": CONFIG });
    let listed = Endpoint {
        instance_id: "i-1".to_owned(),
        service: "llm".to_owned(),
        address: "10.0.0.9:80".parse().unwrap(),
        zone: "a".to_owned(),
        capacity_slots: 6,
        state: EndpointState::Ready,
    };
    let figures = json!({ "figures": [{ "name": "members", "kind": "gauge", "value": 5.0 }] });
    process(
        ip(1),
        &origin,
        &[
            ("members", member_list()),
            ("config", config),
            ("versions", version(3)),
            ("endpoints", json!({ "stamp": [1, 8], "list": [listed] })),
            ("figures", figures),
            (
                "roster",
                json!({
                    "roster": roster(),
                    "fences": { "list": { "number": 2, "holder": ip(1) } },
                    "losses": 1,
                }),
            ),
        ],
    )
}

pub(crate) fn agent(number: u64) -> Made {
    process(
        ip(2),
        &origin("edge-2", "a", "proxy-agent"),
        &[("members", member_list()), ("versions", version(number))],
    )
}

pub(crate) fn endpoint(instance: &str, unused: Option<&str>) -> Value {
    json!({
        "instance_id": instance, "service": "llm", "address": "10.0.0.9:80", "zone": "a", "out": 1, "connections": 2,
        "slots": 6, "told": 0.5, "unused": unused,
    })
}

pub(crate) fn proxy(endpoints: &[Value]) -> Made {
    let topics = [("versions", version(3)), ("endpoints", json!({ "endpoints": endpoints }))];
    process(ip(2), &origin("edge-2", "a", "request-proxy"), &topics)
}

/// A storage machine's process: whether it holds the turn `t-1`, and its reservations of the program `p`.
pub(crate) fn storage_node(last: u8, holds: bool, reservations: Option<&[(u64, u32)]>) -> Made {
    let disk = u64::from(last) * 100;
    let turn = json!({
        "disk": disk, "losses": 1, "state": if holds { "held" } else { "absent" },
        "bytes": holds.then_some(12), "previous": null, "holders": if holds { vec![400, 500] } else { vec![] },
    });
    let told: Vec<Value> = reservations
        .unwrap_or_default()
        .iter()
        .map(|(attempt, tokens)| json!({ "attempt": attempt, "tokens": tokens }))
        .collect();
    let account = json!({ "disk": disk, "known": reservations.is_some(), "reservations": told });
    let topics =
        [("versions", version(3)), ("members", member_list()), ("turn t-1", turn), ("account p", account)];
    process(ip(last), &origin(&format!("store-{last}"), "b", "storage-node"), &topics)
}

/// The whole fleet, everything well.
pub(crate) fn well() -> Vec<Made> {
    vec![
        keeper(Some(40)),
        agent(3),
        proxy(&[endpoint("i-1", None), endpoint("i-2", Some("draining"))]),
        storage_node(4, true, Some(&[(1, 50), (2, 30)])),
        storage_node(5, true, Some(&[(1, 20)])),
        storage_node(6, false, Some(&[(2, 30)])),
    ]
}

/// Runs a command against a fleet that is made of these.
pub(crate) fn run(made: Vec<Made>, command: Command) -> Report {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let fleet = serve(made).await;
        execute(&fleet, &command).await
    })
}
