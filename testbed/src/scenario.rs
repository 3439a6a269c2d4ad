//! What a run consists of, as a TOML file says it. What the file leaves out has the figures of today's service:
//! partners, classes and clients as the operators describe theirs.
use crate::peers::schedule::Peers;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// A figure that is drawn, evenly between two bounds, once for each partner.
pub type Drawn = [f64; 2];

/// A complete scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What reports call it.
    pub name: String,
    /// For how long clients submit messages, in seconds.
    pub seconds: f64,
    /// Seeds to run, each with every variant.
    #[serde(default = "one_seed")]
    pub seeds: Vec<u64>,
    /// How often each seed is run with each variant.
    #[serde(default = "one")]
    pub repeats: u32,
    /// The senders.
    #[serde(default)]
    pub fleet: Fleet,
    /// What clients submit.
    #[serde(default)]
    pub traffic: Traffic,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// Figures of the rules, given to the senders and used by the checker.
    #[serde(default)]
    pub rules: Rules,
    /// Kinds of partner.
    #[serde(default = "kinds", rename = "partner")]
    pub partners: Vec<Kind>,
    /// Classes of message.
    #[serde(default = "classes", rename = "class")]
    pub classes: Vec<Class>,
    /// What goes wrong, and when.
    #[serde(default, rename = "trouble")]
    pub scheduled_faults: Vec<ScheduledFault>,
    /// The senders know one another, and what goes wrong among them; without it they share nothing.
    #[serde(default)]
    pub peers: Option<Peers>,
    /// What is compared; with none, the project's own sender is run.
    #[serde(default, rename = "variant")]
    pub variants: Vec<Variant>,
}

/// The senders of a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// How many processes.
    pub senders: usize,
    /// Slots of a sender over what its part of the full load keeps busy.
    #[serde(rename = "slots_room")]
    pub slot_headroom: f64,
    /// Messages that a sender has pending, in seconds of its part of the full load.
    #[serde(rename = "hold_s")]
    pub pending_s: f64,
    /// Attempts for one message at most.
    pub max_attempts: u32,
    /// Memory of a sender, in MB, as its configuration gives it.
    pub memory_mb: u64,
    /// Descriptors of a sender.
    pub sockets: u64,
    /// Size of a sender's lasting folder, in MB.
    pub disk_mb: f64,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            senders: 2,
            slot_headroom: 2.2,
            pending_s: 8.0,
            max_attempts: 8,
            memory_mb: 64,
            sockets: 512,
            disk_mb: 3.0,
        }
    }
}

/// What clients submit.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Messages a second, over all senders.
    pub rate: f64,
    /// That rate as a share of the full load, by which partners' limits are set.
    pub load: f64,
    /// How unevenly partners get traffic: the exponent of Zipf's law.
    pub zipf: f64,
    /// Share of the messages that come in clumps for one partner.
    pub clumps: f64,
    /// Size of a clump, in seconds of its partner's limit.
    pub clump_s: f64,
    /// Bytes of a body.
    pub body: usize,
}

impl Default for Traffic {
    fn default() -> Self {
        Self { rate: 50.0, load: 0.75, zipf: 0.85, clumps: 0.1, clump_s: 2.0, body: 300 }
    }
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How often a refused message is submitted again.
    pub retries: u32,
    /// Wait before that, in ms; doubled each time.
    #[serde(rename = "again_ms")]
    pub resubmit_delay_ms: Drawn,
    /// Share of the clients that come when a refusal tells them to.
    pub honour: f64,
    /// How long a client waits for the answer, in ms.
    #[serde(rename = "patience_ms")]
    pub response_timeout_ms: f64,
    /// How long clients go on using a sender that has died, in seconds.
    pub notice_s: Drawn,
    /// Share of the clients that go before the answer can come, and do not come again.
    pub give_up: f64,
    /// Strangers a second: connections that send no proper request, or nothing.
    pub strangers: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            retries: 2,
            resubmit_delay_ms: [470.0, 1100.0],
            honour: 0.66,
            response_timeout_ms: 400.0,
            notice_s: [0.84, 2.7],
            give_up: 0.0,
            strangers: 0.0,
        }
    }
}

/// Figures of the rules.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// New calls to an endpoint that drains end within this, in ms.
    pub drain_ms: f64,
    /// Share of its capacity with which a partner returns from an outage.
    #[serde(rename = "cold_share")]
    pub initial_capacity_share: f64,
    /// Until it has all of it, in seconds.
    #[serde(rename = "warm_s")]
    pub warm_up_s: f64,
    /// Sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long, in seconds, a cold partner falls over.
    pub fall_s: f64,
    /// How long after its time a message's end still counts, in ms.
    pub late_end_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            drain_ms: 250.0,
            initial_capacity_share: 0.17,
            warm_up_s: 14.0,
            fall_multiple: 2.5,
            fall_s: 2.0,
            late_end_ms: 300.0,
        }
    }
}

/// Partners of one kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// How many there are; the first kinds get the most traffic.
    pub count: usize,
    /// Endpoints of one, drawn and rounded.
    #[serde(default = "endpoints")]
    pub endpoints: Drawn,
    /// The limit, over its calls at full load ...
    #[serde(default = "headroom")]
    pub headroom: Drawn,
    /// ... and at least this many a second.
    #[serde(default = "min_rate")]
    #[serde(rename = "least_rate")]
    pub min_rate: Drawn,
    /// Length of the span in which calls are counted, in ms; 0 for a plain rate.
    #[serde(default)]
    pub window_ms: Drawn,
    /// What it could do, over its limit.
    #[serde(default = "capacity_over_limit")]
    #[serde(rename = "spare")]
    pub capacity_over_limit: Drawn,
    /// Share of its refusals that advise how long to wait.
    #[serde(default = "retry_after_share")]
    #[serde(rename = "tells_wait")]
    pub retry_after_share: Drawn,
    /// The wait advised under a plain rate, in ms.
    #[serde(default = "wait_ms")]
    pub wait_ms: Drawn,
    /// Refused calls use the limit up too.
    #[serde(default)]
    pub refused_count: bool,
    /// Its queue, in seconds of its capacity.
    #[serde(default = "depth_s")]
    pub depth_s: Drawn,
    /// Connections that an endpoint takes, over the calls that it serves at once; 0 for any number.
    #[serde(default)]
    pub connections: f64,
    /// And at least this many.
    #[serde(default = "min_connections")]
    #[serde(rename = "least_connections")]
    pub min_connections: f64,
    /// Its pace: 1 is usual, 2 takes half the time.
    #[serde(default = "speed")]
    pub speed: Drawn,
    /// Share of calls that end in an error.
    #[serde(default)]
    pub errors: f64,
}

/// A class of message.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the messages.
    pub share: f64,
    /// What one takes at a partner of usual pace, in ms, in the mean.
    pub work_ms: f64,
    /// Coefficient of variation of that.
    pub cv: f64,
    /// Wanted within this, in ms.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: f64,
    /// Given up after this, in ms.
    pub deadline_ms: f64,
    /// Value of one, in time.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Share of it that is left at the end.
    #[serde(rename = "late_worth")]
    pub late_value: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// For how long a repeat is dropped, in ms, where it is keyed.
    #[serde(default)]
    pub window_ms: f64,
}

/// What a repeat does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Nothing.
    Safe,
    /// It is dropped within the window.
    Keyed,
    /// A second effect.
    Unsafe,
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledFault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it begins, in seconds.
    pub at_s: f64,
    /// For how long, in seconds.
    pub for_s: f64,
    /// Whom it meets: of the partners (the ones with most traffic first) or of the senders, this share, one at least.
    #[serde(default = "small")]
    pub part: f64,
    /// How bad it is: a factor or a share, as the kind says.
    #[serde(default = "one_f")]
    pub size: f64,
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Partners refuse connections.
    Down,
    /// Partners take calls and never answer.
    Hung,
    /// Partners answer `full`, and some tell when they open.
    Shut,
    /// Partners answer every call with an error.
    Errors,
    /// Calls take `size` times as long.
    Slow,
    /// This share of the answers gets lost.
    Lost,
    /// This share of the connections breaks under a call.
    Resets,
    /// Limits are multiplied by `size`.
    Limit,
    /// The last endpoint of each drains, and is in service again at the end.
    Drain,
    /// Senders are killed, and started again at the end.
    Kill,
    /// Senders end by SIGTERM, one after the other, and are started again.
    Restart,
    /// The directory answers nothing.
    Directory,
}

impl FaultKind {
    /// Whether it meets partners, and not senders or the directory.
    pub fn meets_partners(self) -> bool {
        !matches!(self, FaultKind::Kill | FaultKind::Restart | FaultKind::Directory)
    }
}

/// Something to compare.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// What reports call it.
    pub name: String,
    /// Another sender program, such as an earlier build of this project; none for the one built here.
    pub binary: Option<PathBuf>,
    /// A plain sender of the test bed instead.
    pub baseline: Option<Baseline>,
    /// Keys of a sender's configuration to set, as paths with dots: `"settings.limits.max_attempts" = 3`.
    #[serde(default)]
    pub set: BTreeMap<String, toml::Value>,
}

/// Plain senders to compare with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Baseline {
    /// One attempt for each message.
    OneTry,
    /// Retries after a fixed backoff, without jitter.
    FixedPause,
    /// Retries after a backoff that doubles, and does not heed advised waits.
    Doubling,
}

impl Baseline {
    /// Its name on the command line.
    pub fn word(self) -> &'static str {
        match self {
            Baseline::OneTry => "one-try",
            Baseline::FixedPause => "fixed-pause",
            Baseline::Doubling => "doubling",
        }
    }
}

fn one_seed() -> Vec<u64> {
    vec![1]
}

fn one() -> u32 {
    1
}

fn one_f() -> f64 {
    1.0
}

fn small() -> f64 {
    0.1
}

fn endpoints() -> Drawn {
    [1.0, 2.0]
}

fn headroom() -> Drawn {
    [1.1, 2.0]
}

fn min_rate() -> Drawn {
    [1.7, 4.9]
}

fn capacity_over_limit() -> Drawn {
    [1.2, 1.6]
}

fn retry_after_share() -> Drawn {
    [0.2, 0.7]
}

fn wait_ms() -> Drawn {
    [220.0, 980.0]
}

fn depth_s() -> Drawn {
    [0.4, 1.0]
}

fn min_connections() -> f64 {
    7.0
}

fn speed() -> Drawn {
    [0.85, 1.1]
}

fn kinds() -> Vec<Kind> {
    let kind = |name: &str, count| Kind {
        name: name.to_owned(),
        count,
        endpoints: endpoints(),
        headroom: headroom(),
        min_rate: min_rate(),
        window_ms: [1000.0, 2000.0],
        capacity_over_limit: capacity_over_limit(),
        retry_after_share: [0.02, 0.58],
        wait_ms: wait_ms(),
        refused_count: false,
        depth_s: depth_s(),
        connections: 3.0,
        min_connections: min_connections(),
        speed: speed(),
        errors: 0.001,
    };
    let hub = Kind {
        headroom: [1.2, 2.2],
        min_rate: [2.7, 4.8],
        window_ms: [0.0, 0.0],
        capacity_over_limit: [1.2, 1.5],
        retry_after_share: [0.55, 0.83],
        connections: 0.0,
        speed: [0.59, 0.8],
        errors: 0.005,
        ..kind("scheme-hub", 4)
    };
    vec![hub, kind("pharmacy", 12)]
}

fn classes() -> Vec<Class> {
    let class = |name: &str, share, work_ms, value, effect| Class {
        name: name.to_owned(),
        share,
        work_ms,
        cv: 1.0,
        latency_target_ms: 4000.0,
        deadline_ms: 20_000.0,
        value,
        late_value: 0.4,
        effect,
        window_ms: 8000.0,
    };
    let status = class("status-update", 0.35, 250.0, 3.0, Effect::Safe);
    let claim = class("scheme-claim", 0.23, 150.0, 4.0, Effect::Unsafe);
    vec![
        class("repeat-order", 0.42, 250.0, 1.0, Effect::Keyed),
        Class { deadline_ms: 28_000.0, late_value: 0.5, ..status },
        Class { latency_target_ms: 2500.0, deadline_ms: 24_000.0, late_value: 0.3, ..claim },
    ]
}

/// Why a scenario cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file holds no scenario.
    #[error("{path}: {source}")]
    NotScenario {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where.
        source: Box<toml::de::Error>,
    },
    /// Figures that no run can have: each with its place.
    #[error("this scenario cannot be played:\n{}", .0.join("\n"))]
    Impossible(Vec<String>),
}

/// More messages than these are no run on one machine.
const MAX_MESSAGES: f64 = 200_000.0;
/// More strangers a second are no run on one machine.
const MAX_STRANGERS: f64 = 1000.0;
/// The longest run, in seconds.
const MAX_SECONDS: f64 = 3600.0;
/// More senders than these are not simulated ...
const MAX_SENDERS: usize = 20_000;
/// ... and more than these not started as processes.
pub const MAX_PROCESSES: usize = 320;

impl Scenario {
    /// Reads a file, and validates all of it.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScenarioError::Unreadable { path: path.to_owned(), source })?;
        Self::parse(&text).map_err(|e| match e {
            ParseError::Toml(source) => ScenarioError::NotScenario { path: path.to_owned(), source },
            ParseError::Impossible(what) => ScenarioError::Impossible(what),
        })
    }

    /// Reads the text of a file, and validates all of it.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| ParseError::Toml(Box::new(e)))?;
        match scenario.impossible() {
            wrong if wrong.is_empty() => Ok(scenario),
            wrong => Err(ParseError::Impossible(wrong)),
        }
    }

    /// All that no run can have, each with its place in the file.
    fn impossible(&self) -> Vec<String> {
        let mut wrong = Vec::new();
        let mut check = |ok: bool, what: String| {
            if !ok {
                wrong.push(what);
            }
        };
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let share = |x: f64| (0.0..=1.0).contains(&x);
        check(positive(self.seconds) && self.seconds <= MAX_SECONDS, format!("seconds = {}", self.seconds));
        check(!self.seeds.is_empty() && self.repeats > 0, "seeds or repeats: nothing is played".to_owned());
        let senders = self.fleet.senders;
        check((1..=MAX_SENDERS).contains(&senders), format!("fleet.senders = {senders}"));
        check(
            positive(self.fleet.slot_headroom) && positive(self.fleet.pending_s),
            "fleet: no room".to_owned(),
        );
        check(self.fleet.max_attempts > 0, "fleet.max_attempts = 0".to_owned());
        check(positive(self.fleet.disk_mb), format!("fleet.disk_mb = {}", self.fleet.disk_mb));
        let t = &self.traffic;
        check(
            positive(t.rate) && t.rate * self.seconds <= MAX_MESSAGES,
            format!("traffic.rate = {}", t.rate),
        );
        check(positive(t.load), format!("traffic.load = {}", t.load));
        check(t.zipf.is_finite() && t.zipf >= 0.0, format!("traffic.zipf = {}", t.zipf));
        check(share(t.clumps) && positive(t.clump_s), "traffic.clumps or clump_s".to_owned());
        check((1..=64 * 1024).contains(&t.body), format!("traffic.body = {}", t.body));
        let drawn = |d: Drawn| d[0].is_finite() && d[1].is_finite() && 0.0 <= d[0] && d[0] <= d[1];
        check(
            drawn(self.clients.resubmit_delay_ms) && drawn(self.clients.notice_s),
            "clients: a range".to_owned(),
        );
        check(share(self.clients.honour), format!("clients.honour = {}", self.clients.honour));
        check(positive(self.clients.response_timeout_ms), "clients.patience_ms".to_owned());
        check(share(self.clients.give_up), format!("clients.give_up = {}", self.clients.give_up));
        let strangers = self.clients.strangers;
        check((0.0..=MAX_STRANGERS).contains(&strangers), format!("clients.strangers = {strangers}"));
        let r = &self.rules;
        let spans = [r.drain_ms, r.warm_up_s, r.fall_multiple, r.fall_s, r.late_end_ms];
        check(
            spans.into_iter().all(positive)
                && positive(r.initial_capacity_share)
                && share(r.initial_capacity_share),
            "rules".to_owned(),
        );
        check(self.partners.iter().any(|k| k.count > 0), "partner: none".to_owned());
        for (i, k) in self.partners.iter().enumerate() {
            let all = [
                ("endpoints", k.endpoints),
                ("headroom", k.headroom),
                ("least_rate", k.min_rate),
                ("window_ms", k.window_ms),
                ("spare", k.capacity_over_limit),
                ("tells_wait", k.retry_after_share),
                ("wait_ms", k.wait_ms),
                ("depth_s", k.depth_s),
                ("speed", k.speed),
            ];
            for (name, range) in all {
                let zero_ok =
                    matches!(name, "window_ms" | "tells_wait" | "wait_ms" | "least_rate" | "depth_s");
                let ok = drawn(range) && (zero_ok || range[0] > 0.0);
                check(ok, format!("partner[{i}].{name} = {range:?}"));
            }
            check(k.retry_after_share[1] <= 1.0 && share(k.errors), format!("partner[{i}]: a share over 1"));
            check(k.connections.is_finite() && k.connections >= 0.0, format!("partner[{i}].connections"));
        }
        check(!self.classes.is_empty(), "class: none".to_owned());
        for (i, c) in self.classes.iter().enumerate() {
            let times = [c.share, c.work_ms, c.latency_target_ms, c.deadline_ms, c.value];
            check(times.into_iter().all(positive), format!("class[{i}]: a figure that is not over 0"));
            check(c.cv.is_finite() && c.cv >= 0.0, format!("class[{i}].cv = {}", c.cv));
            check(share(c.late_value), format!("class[{i}].late_worth = {}", c.late_value));
            check(c.effect != Effect::Keyed || positive(c.window_ms), format!("class[{i}].window_ms"));
            let again = self.classes[..i].iter().any(|other| other.name == c.name);
            check(!again, format!("class[{i}].name {:?} comes again", c.name));
        }
        for (i, t) in self.scheduled_faults.iter().enumerate() {
            check(
                t.at_s.is_finite() && t.at_s >= 0.0 && positive(t.for_s),
                format!("trouble[{i}]: its time"),
            );
            check(share(t.part), format!("trouble[{i}].part = {}", t.part));
            let is_share = matches!(t.kind, FaultKind::Lost | FaultKind::Resets);
            check(
                positive(t.size) && (!is_share || share(t.size)),
                format!("trouble[{i}].size = {}", t.size),
            );
        }
        if let Some(peers) = &self.peers {
            peers.impossible(senders).into_iter().for_each(|what| check(false, what));
        }
        for (i, v) in self.variants.iter().enumerate() {
            let both = v.baseline.is_some() && (v.binary.is_some() || !v.set.is_empty());
            check(!both, format!("variant[{i}]: a baseline has neither binary nor set"));
            let again = self.variants[..i].iter().any(|other| other.name == v.name);
            check(!again, format!("variant[{i}].name {:?} comes again", v.name));
        }
        wrong
    }

    /// The same with this many senders, checked as a file is.
    pub fn with_senders(mut self, senders: usize) -> Result<Self, ParseError> {
        self.fleet.senders = senders;
        let wrong = self.impossible();
        if wrong.is_empty() { Ok(self) } else { Err(ParseError::Impossible(wrong)) }
    }

    /// All partners' kinds, by partner: the first ones get the most traffic.
    pub fn partner_kinds(&self) -> Vec<usize> {
        (0..self.partners.len()).flat_map(|k| std::iter::repeat_n(k, self.partners[k].count)).collect()
    }
}

/// Why a text is no scenario.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// It is no TOML, or has keys that are not known.
    #[error(transparent)]
    Toml(Box<toml::de::Error>),
    /// Figures that no run can have.
    #[error("{}", .0.join("; "))]
    Impossible(Vec<String>),
}
