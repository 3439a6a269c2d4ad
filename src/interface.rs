//! The interface of the sending policy: settings, events, actions, and the types of ids and time.
//!
//! Nothing here decides anything. The serialized names are those of the operators' settings and earlier records. All times are whole microseconds on the host's clock.

use serde::{Deserialize, Serialize};

/// A point on the host's clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// The time `micros` microseconds later; a negative span counts as zero.
    pub fn after(self, micros: f64) -> Time {
        Time(self.0.saturating_add(micros.max(0.0) as u64))
    }

    /// Microseconds since an earlier time; 0 if `then` lies in the future.
    pub fn since(self, then: Time) -> u64 {
        self.0.saturating_sub(then.0)
    }
}

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Span(pub u64);

/// A message, as the host numbers it; never used again within the life of a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u32);

/// A destination: the firm's system that a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct DestinationId(pub u64);

/// An endpoint, interned by the host in the order in which it first saw them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u32);

/// The ordering key of an ordered message: messages with the same key are sent one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderKey(pub u64);

/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantId(pub usize);

/// Index into [`Settings::kinds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KindId(pub usize);

/// A zone, numbered by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneId(pub usize);

/// Which endpoints of a destination deduplicate a keyed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Group {
    /// All of them.
    All,
    /// Those in the zone of the endpoint that received it first.
    Zone,
}

/// Idempotency of a message: the effect that sending it again would have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Idempotent: it may be retried freely.
    Safe,
    /// Deduplicated by the endpoints of `group`, for `window` from the first attempt that may have executed.
    Keyed {
        /// The endpoints that deduplicate it.
        group: Group,
        /// The deduplication window.
        window: Span,
    },
    /// Not idempotent: never retried once it may have executed.
    Unsafe,
}

/// A class of messages. Journals hold its fields in this order.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Latency target: a message delivered within this time earns its full value.
    #[serde(rename = "aim")]
    pub latency_target: Span,
    /// Time from first submission until the message expires.
    pub deadline: Span,
    /// Value of one message delivered within the latency target.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Share of the value that remains at the deadline.
    #[serde(rename = "late_worth")]
    pub late_value: f64,
    /// Whether it may be retried.
    pub repeat: Repeat,
    /// Messages with the same key are sent one at a time, in the order of submission.
    pub ordered: bool,
}

impl Class {
    /// Share of the value that a message earns when it is delivered `age` microseconds after its first submission.
    pub fn share_left(&self, age: f64, decay: Decay) -> f64 {
        let (target, deadline) = (self.latency_target.0 as f64, self.deadline.0 as f64);
        let late = (age - target).max(0.0);
        match decay {
            Decay::Linear => 1.0 - (1.0 - self.late_value) * late / (deadline - target).max(1.0),
            Decay::Exponential => 0.5f64.powf(late / target.max(1.0)).max(self.late_value),
        }
    }
}

/// How the value of a message falls after its latency target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decay {
    /// Linearly, down to the late value at the deadline.
    #[serde(rename = "Even")]
    Linear,
    /// By half with each further latency target, not below the late value.
    #[serde(rename = "Halves")]
    Exponential,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kind {
    /// Its endpoints are independent routes, each with its own rate limit and outages.
    #[serde(rename = "routes_apart")]
    pub independent_routes: bool,
    /// Maximum number of messages in one call (batch size).
    pub batch: usize,
}

/// A tenant.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Quota in messages per second, over all senders together.
    pub allowance_per_s: f64,
}

/// How the sender receives the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Discovery {
    /// The list is pushed to it.
    Pushed,
    /// Only on request.
    OnRequest,
}

/// The meaning of the capacity hint in a list entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hints {
    /// Nothing.
    None,
    /// Calls per second that the destination (or route) accepts from all senders together.
    CallsPerSecond,
}

/// Parameters of the six sending rules.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Sending to a draining or removed endpoint stops within this time.
    pub drain_grace: Span,
    /// Slow start: share of its capacity that a destination has when it returns from an outage.
    #[serde(rename = "cold_share")]
    pub slow_start_share: f64,
    /// Slow start: time until it has its full capacity.
    #[serde(rename = "ramp")]
    pub slow_start: Span,
    /// A destination that is sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long fails from overload.
    #[serde(rename = "fall")]
    pub overload_tolerance: Span,
    /// Time without sends of an ordering key after an attempt that may still execute.
    pub order_settle: Span,
    /// A sender that has neither subscribed nor polled for this long is taken to know the list.
    pub must_ask_in: Span,
}

/// The settings that a sender starts with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Classes of messages.
    pub classes: Vec<Class>,
    /// Kinds of destination.
    pub kinds: Vec<Kind>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a message above its tenant's quota, as a fraction of the value within it.
    #[serde(rename = "over_share_worth")]
    pub over_share_value: f64,
    /// Zone of this sender.
    pub zone: ZoneId,
    /// Senders that share the traffic.
    pub senders: usize,
    /// Maximum number of calls in flight.
    pub slots: usize,
    /// Maximum number of pending messages.
    #[serde(rename = "most_held")]
    pub max_pending: usize,
    /// Maximum number of attempts for one message.
    pub max_attempts: u32,
    /// Minimum interval between two steps.
    pub period: Span,
    /// Connect time-out; an endpoint not connected within it is unreachable.
    pub connect_timeout: Span,
    /// How the value falls after the latency target.
    pub decay: Decay,
    /// How the endpoint list is received.
    pub discovery: Discovery,
    /// The meaning of capacity hints in the list.
    pub hints: Hints,
    /// Health checks are allowed.
    pub probes: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// An undelivered message is released only by [`Event::OutcomeAcknowledged`], not at once.
    #[serde(rename = "ends_noticed")]
    pub outcomes_acknowledged: bool,
    /// The host can time out a call only with all of its messages, not one by one.
    #[serde(rename = "calls_expire_whole")]
    pub batches_expire_together: bool,
    /// Parameters of the sending rules.
    pub rules: Rules,
}

/// Invalid settings; the text names the setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "unusable setting: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// The first invalid setting, by name.
    pub fn check(&self) -> Result<(), SettingsError> {
        let check = |ok: bool, what| if ok { Ok(()) } else { Err(SettingsError(what)) };
        check(!self.classes.is_empty() && !self.kinds.is_empty(), "classes or kinds: none given")?;
        check(
            self.classes.iter().all(|c| c.deadline.0 > 0 && c.latency_target.0 > 0),
            "a deadline or aim: 0",
        )?;
        check(self.slots > 0, "slots: 0 calls may be out")?;
        check(self.max_pending > 0, "most_held: 0 messages may be held")?;
        check(self.senders > 0 && self.max_attempts > 0, "senders or max_attempts: 0")
    }
}

/// A new message.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Its id.
    pub id: MessageId,
    /// Its class as of acceptance: later changes of the settings don't apply to it.
    pub class: Class,
    /// Its tenant, if there are tenants.
    pub tenant: Option<TenantId>,
    /// Its ordering key, if it is ordered.
    pub key: Option<OrderKey>,
    /// Where it goes.
    pub destination: DestinationId,
    /// Time left until it expires.
    pub budget: Span,
}

/// A message that an earlier process of this sender accepted.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resumed {
    /// The message, with its remaining time budget.
    pub message: Message,
    /// Attempts that earlier processes made.
    pub attempts: u32,
    /// The first attempt that may have executed, such as one in flight when its process stopped: when it was sent
    /// on the host's clock, and to which zone.
    pub ran: Option<(Time, ZoneId)>,
    /// It is complete, and only [`Event::OutcomeAcknowledged`] is to come.
    pub ended: bool,
}

/// The state of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listing {
    /// In service, as far as the list knows.
    Active,
    /// Draining.
    Draining,
    /// Removed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its destination's kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its state.
    pub listing: Listing,
    /// Capacity hint, see [`Hints`].
    pub hint: f64,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Success,
    /// The destination answered with an error; may have executed.
    Failure,
    /// Rejected by a rate limit; not executed. The reported `Retry-After`, if any.
    Full(Option<Span>),
    /// No answer in time; may have executed.
    TimedOut,
    /// No connection; not executed.
    ConnectFailed,
    /// The connection broke; may have executed.
    Reset,
    /// Cancelled; may have executed.
    Cancelled,
    /// Never sent.
    Void,
    /// The endpoint responds but has no free connection; not executed. Hosts that cannot distinguish this
    /// from an endpoint that is down report `ConnectFailed`.
    NoRoom,
}

impl Outcome {
    /// Whether the attempt may have executed, or still may.
    pub fn may_have_executed(self) -> bool {
        matches!(self, Outcome::Failure | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
    }
}

/// The rate limit that an answer reports.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Share of the limit that remains.
    pub left: f64,
    /// The limit, in calls per second; 0 for none.
    pub limit: f64,
}

/// An input of the policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A message was submitted.
    Message(Message),
    /// A message is resumed after a restart; these arrive in the order of their first acceptance.
    Resumed(Resumed),
    /// An answer reported a `Retry-After` without rejecting a message.
    #[serde(rename = "Told")]
    RetryAfterReported {
        /// The endpoint that reported it.
        endpoint: EndpointId,
        /// The time to wait.
        wait: Span,
    },
    /// The client has acknowledged the outcome of a message; see [`Settings::outcomes_acknowledged`].
    #[serde(rename = "Noticed")]
    OutcomeAcknowledged(MessageId),
    /// The process shuts down at this time: what cannot complete before is left to its successor.
    #[serde(rename = "WindDown")]
    ShutdownScheduled(Time),
    /// An attempt has completed.
    #[serde(rename = "Ended")]
    AttemptCompleted {
        /// The message.
        message: MessageId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// Its outcome.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Span,
        /// Whether the message is complete, by this attempt or earlier.
        last: bool,
        /// The endpoint's report, if any.
        report: Option<Report>,
    },
    /// The client no longer wants this message.
    #[serde(rename = "Withdrawn")]
    ClientCancelled(MessageId),
    /// The complete endpoint list, replacing the previous one.
    FullList(Vec<Entry>),
    /// Changed entries of the endpoint list.
    ListChanges(Vec<Entry>),
    /// Operators take this endpoint out of service for this sender, whatever its state in the list.
    Excluded(EndpointId),
    /// Operators return it to service: it may have been restarted meanwhile.
    Included(EndpointId),
    /// New settings: they apply to all decisions from now on, except for the classes of pending messages. Kinds,
    /// zones and tenants keep their indices.
    #[serde(rename = "Retuned")]
    SettingsChanged(Box<Settings>),
    /// Fetching the list failed, or the subscription broke.
    ListFailed,
    /// A health check has completed.
    #[serde(rename = "Checked")]
    HealthCheckCompleted {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its outcome.
        outcome: Outcome,
    },
    /// The timer set by [`Action::WakeIn`] has fired.
    #[serde(rename = "Woken")]
    TimerFired,
}

/// An output of the policy, to be carried out by the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an endpoint; sends of one step to the same endpoint may share a call.
    Send {
        /// The message.
        message: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// When the attempt times out.
        expires: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The message.
        message: MessageId,
        /// The attempt.
        attempt: u32,
    },
    /// Complete a message undelivered; the client may safely submit it again.
    Refuse {
        /// The message.
        message: MessageId,
        /// The time after which submitting again may succeed; `None` if unknown.
        after: Option<Span>,
    },
    /// Complete a message undelivered; whether it executed is unknown.
    Fail(MessageId),
    /// Step again after this, even if nothing happens.
    WakeIn(Span),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Fetch the complete endpoint list once.
    FetchList,
    /// Check an endpoint's health.
    Probe(EndpointId),
    /// Close this sender's idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// All state of this endpoint is dropped. Listed again, it is a new one with a new id.
    Forget(EndpointId),
    /// A log line for the operators.
    Log(String),
}
