//! The server side: JSON views of a process's state.

use super::metrics::Metrics;
use super::{Origin, Topic};
use crate::feed::Feed;
use crate::members::Members;
use crate::process::Process;
use fleet_membership::{MemberState, Role};
use fleet_model::{Answer, Reservation, Turn};
use process_lifecycle::log_output::LogOutput;
use process_lifecycle::panics;
use request_routing::{EndpointView, UnavailableReason};
use serde_json::{Value, json};
use std::rc::Rc;

/// The admin endpoint of a program.
pub struct AdminEndpoint {
    process: Rc<Process>,
    feed: Rc<Feed>,
    members: Option<Rc<Members>>,
    program: &'static str,
}

impl AdminEndpoint {
    /// One for this program; a program that takes no part in the membership has no members to tell of.
    pub fn new(
        process: Rc<Process>,
        feed: Rc<Feed>,
        members: Option<Rc<Members>>,
        program: &'static str,
    ) -> Self {
        Self { process, feed, members, program }
    }

    /// What every program can say. `figures`: the program's own, beside those that all have.
    pub fn answer(&self, topic: &str, metrics: impl FnOnce(&mut Metrics)) -> Answer {
        let state = self.feed.state();
        let body = match Topic::read(topic).name {
            "members" => return self.members_view(),
            "config" => json!({
                "version": state.version(),
                "taken": state.committed.iter().map(|taken| taken.version).collect::<Vec<_>>(),
                "digests": state.committed.iter().map(|taken| hex(&taken.digest)).collect::<Vec<_>>(),
                "config": String::from_utf8_lossy(&state.config),
            }),
            "endpoints" => json!({ "stamp": self.feed.list().version, "list": self.feed.list().endpoints }),
            "roster" => json!({
                "roster": state.roster,
                "fences": state.leases,
                "losses": self.process.settings().fault_tolerance.machines,
            }),
            "figures" => {
                let mut all = Metrics::default();
                self.common_metrics(&mut all);
                metrics(&mut all);
                json!(all)
            }
            _ => json!({
                "version": state.version(),
                "ballot": self.feed.value().ballot,
                "voters": self.feed.value().voters,
                "endpoints": self.feed.list().endpoints.len(),
                "proxies": self.feed.proxies(),
                "fed": self.feed.subscriber_addresses(),
            }),
        };
        self.view(body)
    }

    /// A view that says this.
    pub fn view(&self, body: Value) -> Answer {
        let age_ms = self.feed.age().map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        self.aged_view(age_ms, body)
    }

    fn aged_view(&self, age_ms: Option<u64>, body: Value) -> Answer {
        let settings = self.process.settings();
        let origin = Origin {
            node: settings.node_name.clone(),
            ip: settings.ip_address,
            zone: settings.zone.clone(),
            program: self.program.to_owned(),
            age_ms,
        };
        let mut view = json!(origin);
        if let (Value::Object(view), Value::Object(body)) = (&mut view, body) {
            view.extend(body);
        }
        Answer::View(view.to_string())
    }

    fn members_view(&self) -> Answer {
        let Some(members) = &self.members else { return self.aged_view(None, json!({ "members": [] })) };
        let told: Vec<Value> = members
            .all()
            .into_iter()
            .map(|(member, state)| {
                let role = match member.role {
                    Role::Edge => "edge",
                    Role::Core => "core",
                    Role::Storage => "storage",
                };
                json!({
                    "name": member.name, "ip": member.ip, "zone": member.zone, "role": role,
                    "suspected": state == MemberState::Suspect,
                })
            })
            .collect();
        self.aged_view(members.age_ms(), json!({ "members": told }))
    }

    /// What the process waits for, and what has failed in it.
    fn lifecycle_metrics(&self, metrics: &mut Metrics) {
        let waits = self.process.waits();
        metrics.gauge("process_waits", waits.current() as f64);
        metrics.gauge("process_longest_wait_seconds", waits.longest().as_secs_f64());
        metrics.counter("process_waits_begun", waits.begun());
        metrics.counter("process_restarts", self.process.restarts());
        metrics.counter("process_panics", panics::count());
        metrics.counter("process_log_lines_dropped", LogOutput::stderr().dropped());
        metrics.counter("process_settings_reload_failures", self.process.reload_failures());
    }

    fn common_metrics(&self, metrics: &mut Metrics) {
        if let Some(age) = self.feed.age() {
            metrics.gauge("knowledge_age_seconds", age.as_secs_f64());
        }
        metrics.gauge("uptime_seconds", self.process.now_ms() as f64 / 1_000.0);
        self.lifecycle_metrics(metrics);
        metrics.gauge("configuration_version", self.feed.state().version() as f64);
        metrics.gauge("register_round", self.feed.value().ballot.round as f64);
        metrics.gauge("register_voters", self.feed.value().voters.len() as f64);
        metrics.gauge("roster_epoch", self.feed.state().roster.epoch as f64);
        metrics.gauge("endpoints_listed", self.feed.list().endpoints.len() as f64);
        metrics.gauge("feed_subscribers", self.feed.subscriber_addresses().len() as f64);
        metrics.gauge("proxies_told", f64::from(self.feed.proxies()));
        if let Some(members) = &self.members {
            let (all, counters) = (members.all(), members.counters());
            let suspected = all.iter().filter(|(_, state)| *state == MemberState::Suspect).count();
            metrics.gauge("members", all.len() as f64);
            metrics.gauge("members_suspected", suspected as f64);
            metrics.counter("membership_datagrams_sent", counters.datagrams_sent);
            metrics.counter("membership_bytes_sent", counters.bytes_sent);
            metrics.counter("membership_strangers", counters.foreign_datagrams);
            metrics.counter("membership_malformed", counters.malformed_datagrams);
            metrics.counter("membership_gaps", counters.stalls);
            metrics.counter("membership_refutations", counters.refutations);
        }
    }
}

/// What a proxy says of the endpoints.
pub fn endpoints(views: &[EndpointView]) -> Value {
    let told = views.iter().map(|view| {
        json!({
            "instance_id": &*view.instance_id, "service": view.service, "address": view.address, "zone": view.zone,
            "out": view.in_flight, "connections": view.connections, "slots": view.slots, "told": view.reported_load,
            "unused": view.unavailable.as_ref().map(unavailable_reason),
        })
    });
    json!({ "endpoints": told.collect::<Vec<_>>() })
}

fn unavailable_reason(unused: &UnavailableReason) -> &'static str {
    match unused {
        UnavailableReason::Draining => "draining",
        UnavailableReason::Unlisted => "unlisted",
        UnavailableReason::Misdirected => "misdirected",
        UnavailableReason::Ejected { .. } => "ejected",
        UnavailableReason::Probing => "on trial",
        UnavailableReason::BackingOff { .. } => "closed: refused as full",
        UnavailableReason::AtCapacity => "full",
    }
}

/// What a storage machine says of a turn. The text itself is not told.
pub fn turn(disk: u64, losses: usize, state: &str, turn: Option<&Turn>) -> Value {
    json!({
        "disk": disk, "losses": losses, "state": state,
        "bytes": turn.map(|turn| turn.input.len() + turn.output.len()),
        "previous": turn.and_then(|turn| turn.previous.clone()),
        "holders": turn.map(|turn| turn.replicas.clone()).unwrap_or_default(),
    })
}

/// What a storage machine says of an account; none if it may not answer for it now.
pub fn account(disk: u64, reservations: Option<&[Reservation]>) -> Value {
    json!({ "disk": disk, "known": reservations.is_some(), "reservations": reservations.unwrap_or_default() })
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
