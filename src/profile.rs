//! The settings of the sending policy, as in the simulator's first message and in the `settings` section of a sender's
//! configuration.
use crate::interface::*;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::HashMap;

/// Settings of the sending policy. Unknown keys are ignored. Times are in microseconds.
#[derive(Clone, Deserialize, JsonSchema)]
pub struct Profile {
    /// Names of all zones.
    #[serde(rename = "azs")]
    zones: Vec<String>,
    /// Zone of this sender: one of `azs`.
    zone: String,
    /// Whether discovery pushes the endpoint list or the sender requests it.
    discovery: DiscoveryMode,
    /// Number of senders that share the traffic, including this one.
    #[schemars(range(min = 1))]
    fleet_size: usize,
    /// Names of the kinds of destination; `flavor` in the endpoint list refers to them.
    kinds: Vec<String>,
    /// Message classes.
    #[schemars(length(min = 1))]
    #[serde(rename = "lanes")]
    message_classes: Vec<MessageClass>,
    /// Limits for connections, attempts and held messages.
    limits: Limits,
    /// Parameters of the sending rules.
    invariants: Invariants,
    /// Batching, independence of endpoints, value decay and concurrency.
    specifics: Specifics,
    /// Tenants and their quotas; may be empty.
    #[serde(default)]
    tenants: Vec<TenantQuota>,
    /// Value of a message above its tenant's quota, as a fraction (0 to 1) of the value within it; 1 by default.
    #[serde(rename = "over_share_worth")]
    over_quota_value: Option<f64>,
    /// Minimum interval between two steps of the sending policy.
    #[schemars(range(min = 1))]
    period: u64,
    /// Format of the load reports in responses.
    report: LoadReportFormat,
    /// Meaning of `size` in the endpoint list: `none`, or with any other value the calls per second of the destination.
    weights: String,
}

#[derive(Deserialize, Clone, Copy, JsonSchema)]
#[schemars(rename = "Mode")]
#[serde(rename_all = "snake_case")]
enum DiscoveryMode {
    /// Discovery pushes the list and its changes.
    Pushed,
    /// The sender requests the list.
    OnRequest,
}

#[derive(Clone, Deserialize, JsonSchema)]
#[schemars(rename = "Lane")]
struct MessageClass {
    /// Name, as in the header `X-Lane`.
    name: String,
    /// Latency target: a message delivered within this time earns its full value.
    #[schemars(range(min = 1))]
    #[serde(rename = "aim")]
    latency_target: u64,
    /// Time from first submission until the message expires.
    #[schemars(range(min = 1))]
    #[serde(rename = "hard_limit")]
    deadline: u64,
    /// Value of one message delivered within the latency target.
    #[serde(rename = "worth")]
    value: f64,
    /// Share of the value that remains at the deadline, from 0 to 1.
    late_value: f64,
    /// Effect of a repeat: `retryable` (none), `dedup` (dropped by its key) or `fragile` (a second effect).
    repeat: RepeatEffect,
    /// For `dedup`, the scope of deduplication: `all`, `zone` or `cell`.
    group: Option<String>,
    /// For `dedup`, how long endpoints remember a key.
    key_ttl: Option<u64>,
    /// Whether messages with the same ordering key are sent one at a time, in the order of submission.
    #[serde(rename = "fifo_by_key")]
    ordered: Option<bool>,
}

#[derive(Deserialize, Clone, Copy, JsonSchema)]
#[schemars(rename = "RepeatWord")]
#[serde(rename_all = "snake_case")]
enum RepeatEffect {
    /// Idempotent: may be retried freely.
    Retryable,
    /// Endpoints drop repeats with the same key.
    Dedup,
    /// Not idempotent: never retried once it may have executed.
    Fragile,
}

#[derive(Clone, Deserialize, JsonSchema)]
struct Limits {
    /// Whether attempts in flight may be cancelled.
    cancel: bool,
    /// An endpoint is unreachable if connecting takes longer.
    connect_timeout: u64,
    /// How long endpoints keep an idle connection open.
    conn_idle: Option<u64>,
    /// Maximum number of attempts for one message.
    #[schemars(range(min = 1))]
    max_attempts: u32,
    /// Maximum number of pending messages.
    #[schemars(range(min = 1))]
    #[serde(rename = "most_held")]
    max_pending: usize,
    /// Whether endpoints may be probed; this sender never probes.
    probes: bool,
}

#[derive(Clone, Deserialize, JsonSchema)]
struct Invariants {
    /// Sending to a draining endpoint must stop within this time.
    drain_grace: u64,
    /// Slow start: share of its capacity, from 0 to 1, that a destination has when it recovers from an outage.
    #[serde(rename = "cold_share")]
    slow_start_share: f64,
    /// Slow start: time from recovery to full capacity.
    #[serde(rename = "ramp_time")]
    slow_start: u64,
    /// During slow start, a destination fails if it is sent more than this multiple of its current capacity for `fall`.
    overload_factor: f64,
    /// How long a destination in slow start withstands a load above `overload_factor`.
    #[serde(rename = "fall")]
    overload_tolerance: u64,
    /// Minimum interval between an attempt that may still execute and the next message of its ordering key; default 0.
    order_settle: Option<u64>,
    /// Time after which a sender is assumed to know the list even if it did not request it.
    must_ask_in: Option<u64>,
}

#[derive(Clone, Deserialize, JsonSchema)]
struct Specifics {
    /// Maximum number of messages in one call (batch size), by kind; 1 by default.
    #[serde(rename = "bundle_max")]
    batch: Option<Vec<usize>>,
    /// Whether each endpoint of a destination has its own rate limit, by kind; false by default.
    #[serde(rename = "kind_apart")]
    independent_routes: Option<Vec<bool>>,
    /// How the value falls after the latency target: `by_half`, or linearly with `even` (the default).
    decay: Option<String>,
    /// Maximum number of calls in flight.
    #[schemars(range(min = 1))]
    max_calls: usize,
}

#[derive(Clone, Deserialize, JsonSchema)]
#[schemars(rename = "TenantRow")]
struct TenantQuota {
    /// Name, as in the header `X-Org`.
    name: String,
    /// Quota, in messages per second.
    allowance_per_s: f64,
}

#[derive(Clone, Deserialize, JsonSchema)]
#[schemars(rename = "ReportRow")]
struct LoadReportFormat {
    /// Names of the fields, in their order.
    #[serde(default)]
    names: Vec<String>,
}

/// Maps the names in the settings to the ids that the sending policy uses.
pub struct Names {
    /// Ids of the message classes.
    pub classes: HashMap<String, ClassId>,
    /// Ids of the tenants.
    pub tenants: HashMap<String, TenantId>,
    /// Ids of the kinds of destination.
    pub kinds: HashMap<String, KindId>,
    /// Ids of the zones.
    pub zones: HashMap<String, ZoneId>,
}

fn assign_ids<T>(names: impl Iterator<Item = String>, new_id: fn(usize) -> T) -> HashMap<String, T> {
    names.enumerate().map(|(i, name)| (name, new_id(i))).collect()
}

/// Looks up the id of a name. The error message calls the name an unknown `kind_of_name`.
pub fn look<T: Copy>(ids: &HashMap<String, T>, name: &str, kind_of_name: &str) -> Result<T, String> {
    ids.get(name).copied().ok_or_else(|| format!("unknown {kind_of_name} {name:?}"))
}

impl MessageClass {
    fn class(&self) -> Result<Class, String> {
        let repeat = match self.repeat {
            RepeatEffect::Retryable => Repeat::Safe,
            RepeatEffect::Fragile => Repeat::Unsafe,
            RepeatEffect::Dedup => Repeat::Keyed {
                group: match self.group.as_deref() {
                    Some("all") => Group::All,
                    // A cell is one destination here, so the part of it in one zone is the narrower scope.
                    Some("zone" | "cell") => Group::Zone,
                    other => return Err(format!("class {:?}: unknown group {other:?}", self.name)),
                },
                window: Span(self.key_ttl.ok_or("a class with repeat `dedup` needs key_ttl")?),
            },
        };
        Ok(Class {
            latency_target: Span(self.latency_target),
            deadline: Span(self.deadline),
            value: self.value,
            late_value: self.late_value,
            repeat,
            ordered: self.ordered.unwrap_or(false),
        })
    }
}

impl Profile {
    /// Name of this sender's zone.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Assigns ids to all names, by their position in the settings.
    pub fn names(&self) -> Names {
        Names {
            classes: assign_ids(self.message_classes.iter().map(|class| class.name.clone()), ClassId),
            tenants: assign_ids(self.tenants.iter().map(|tenant| tenant.name.clone()), TenantId),
            kinds: assign_ids(self.kinds.iter().cloned(), KindId),
            zones: assign_ids(self.zones.iter().cloned(), ZoneId),
        }
    }

    /// Names of the message classes, in the order of their ids.
    pub fn classes(&self) -> impl Iterator<Item = String> {
        self.message_classes.iter().map(|class| class.name.clone())
    }

    /// This sender's zone, then the names of zones, kinds and tenants in the order of their ids. Two processes with the
    /// same result can exchange ids.
    pub fn numbering(&self) -> Vec<Vec<String>> {
        let tenants = self.tenants.iter().map(|tenant| tenant.name.clone()).collect();
        vec![vec![self.zone.clone()], self.zones.clone(), self.kinds.clone(), tenants]
    }

    /// Index of the named field in a load report.
    pub fn report_field(&self, name: &str) -> Option<usize> {
        self.report.names.iter().position(|field| field == name)
    }

    /// How long endpoints keep an idle connection open.
    pub fn connection_idle(&self) -> Option<Span> {
        self.limits.conn_idle.map(Span)
    }

    /// The settings of the sending policy. Fails if they are inconsistent or out of range.
    pub fn settings(&self, names: &Names) -> Result<Settings, String> {
        let specifics = &self.specifics;
        let kinds = (0..self.kinds.len())
            .map(|i| Kind {
                independent_routes: specifics
                    .independent_routes
                    .as_ref()
                    .and_then(|v| v.get(i))
                    .copied()
                    .unwrap_or(false),
                batch: specifics.batch.as_ref().and_then(|v| v.get(i)).copied().unwrap_or(1),
            })
            .collect();
        let invariants = &self.invariants;
        for (i, class) in self.message_classes.iter().enumerate() {
            if self.message_classes[..i].iter().any(|other| other.name == class.name) {
                return Err(format!("duplicate class {:?}", class.name));
            }
        }
        let settings = Settings {
            classes: self.message_classes.iter().map(MessageClass::class).collect::<Result<_, _>>()?,
            kinds,
            tenants: self
                .tenants
                .iter()
                .map(|tenant| Tenant { allowance_per_s: tenant.allowance_per_s })
                .collect(),
            over_share_value: self.over_quota_value.unwrap_or(1.0),
            zone: look(&names.zones, &self.zone, "zone")?,
            senders: self.fleet_size,
            slots: specifics.max_calls,
            max_pending: self.limits.max_pending,
            max_attempts: self.limits.max_attempts,
            period: Span(self.period),
            connect_timeout: Span(self.limits.connect_timeout),
            decay: if specifics.decay.as_deref() == Some("by_half") {
                Decay::Exponential
            } else {
                Decay::Linear
            },
            discovery: match self.discovery {
                DiscoveryMode::Pushed => Discovery::Pushed,
                DiscoveryMode::OnRequest => Discovery::OnRequest,
            },
            hints: if self.weights == "none" { Hints::None } else { Hints::CallsPerSecond },
            probes: self.limits.probes,
            cancel: self.limits.cancel,
            outcomes_acknowledged: false,
            batches_expire_together: false,
            rules: Rules {
                drain_grace: Span(invariants.drain_grace),
                slow_start_share: invariants.slow_start_share,
                slow_start: Span(invariants.slow_start),
                overload_factor: invariants.overload_factor,
                overload_tolerance: Span(invariants.overload_tolerance),
                order_settle: Span(invariants.order_settle.unwrap_or(0)),
                must_ask_in: Span(invariants.must_ask_in.unwrap_or(0)),
            },
        };
        settings.check().map_err(|e| e.to_string())?;
        Ok(settings)
    }
}
