//! The interface of the sending policy: settings, events, actions, and the types of ids and time.
//!
//! This module contains no policy. The serialized names are those of the operators' settings and of earlier
//! records. All times are whole microseconds on the host's clock.

use serde::{Deserialize, Serialize};

/// A point on the host's clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// The time `micros` microseconds later; a negative value counts as zero.
    pub fn after(self, micros: f64) -> Time {
        Time(self.0.saturating_add(micros.max(0.0) as u64))
    }

    /// Microseconds elapsed since `earlier`; 0 if that is later than `self`.
    pub fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Span(pub u64);

/// Id of a message, assigned by the host and never reused by a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u32);

/// Id of a destination: the partner system that a message is addressed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct DestinationId(pub u64);

/// Id of an endpoint, assigned by the host in the order in which endpoints were first listed.
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

/// Id of an availability zone, assigned by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneId(pub usize);

/// The scope of deduplication: which endpoints of a destination recognize a message sent before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Group {
    /// All endpoints of the destination.
    All,
    /// Endpoints in the zone of the endpoint that received the message first.
    Zone,
}

/// Idempotency of a message: the effect that sending it again would have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Idempotent: it may be retried freely.
    Safe,
    /// Deduplicated by the endpoints of `group`, for `window` after the first attempt that may have executed.
    Keyed {
        /// The scope of deduplication.
        group: Group,
        /// How long endpoints remember the message.
        window: Span,
    },
    /// Not idempotent: never retried once it may have executed.
    Unsafe,
}

/// A class of messages. Journals store its fields in this order.
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
    /// Idempotency of its messages: decides whether they may be retried.
    pub repeat: Repeat,
    /// Messages with the same key are sent one at a time, in the order of submission.
    pub ordered: bool,
}

impl Class {
    /// Share of the value that a message earns when it is delivered `age` microseconds after its first
    /// submission.
    pub fn share_left(&self, age: f64, decay: Decay) -> f64 {
        let (target, deadline) = (self.latency_target.0 as f64, self.deadline.0 as f64);
        let lateness = (age - target).max(0.0);
        match decay {
            Decay::Linear => 1.0 - (1.0 - self.late_value) * lateness / (deadline - target).max(1.0),
            Decay::Exponential => 0.5f64.powf(lateness / target.max(1.0)).max(self.late_value),
        }
    }
}

/// How the value of a message falls after its latency target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decay {
    /// Linearly, down to the late value at the deadline.
    #[serde(rename = "Even")]
    Linear,
    /// Halved with each further latency target, but not below the late value.
    #[serde(rename = "Halves")]
    Exponential,
}

/// Properties that destinations of one kind have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kind {
    /// Its endpoints are independent routes, each with its own rate limit and outages.
    #[serde(rename = "routes_apart")]
    pub independent_routes: bool,
    /// Maximum number of messages in one call (batch size).
    pub batch: usize,
}

/// A tenant whose messages count towards its quota.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Quota in messages per second, over all senders together.
    pub allowance_per_s: f64,
}

/// How the sender receives the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Discovery {
    /// The list and its changes are pushed to the sender.
    Pushed,
    /// The sender must subscribe to it or fetch it.
    OnRequest,
}

/// The meaning of [`Entry::hint`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hints {
    /// Hints are ignored.
    None,
    /// Calls per second that the destination (or route) accepts from all senders together.
    CallsPerSecond,
}

/// Parameters of the six sending rules.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Sending to a draining or removed endpoint must stop within this time.
    pub drain_grace: Span,
    /// Slow start: share of its full capacity that a destination has when it recovers from an outage.
    #[serde(rename = "cold_share")]
    pub slow_start_share: f64,
    /// Slow start: time from recovery to full capacity.
    #[serde(rename = "ramp")]
    pub slow_start: Span,
    /// A destination that is sent more than this multiple of its current capacity ...
    pub overload_factor: f64,
    /// ... for this long fails from overload.
    #[serde(rename = "fall")]
    pub overload_tolerance: Span,
    /// Minimum interval between an attempt that may still execute and the next message of the same ordering
    /// key.
    pub order_settle: Span,
    /// Time after which a sender is assumed to know the list even if it neither subscribed nor polled.
    pub must_ask_in: Span,
}

/// Settings of a sender; [`Event::SettingsChanged`] replaces them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Classes of messages, indexed by [`ClassId`]; not empty.
    pub classes: Vec<Class>,
    /// Kinds of destination, indexed by [`KindId`]; not empty.
    pub kinds: Vec<Kind>,
    /// Tenants, indexed by [`TenantId`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a message above its tenant's quota, as a fraction of the value within it.
    #[serde(rename = "over_share_worth")]
    pub over_share_value: f64,
    /// Zone of this sender; endpoints in other zones are less preferred.
    pub zone: ZoneId,
    /// Number of senders that share the traffic, and thus each destination's limit.
    pub senders: usize,
    /// Maximum number of calls in flight.
    pub slots: usize,
    /// Maximum number of pending messages.
    #[serde(rename = "most_held")]
    pub max_pending: usize,
    /// Maximum number of attempts for one message.
    pub max_attempts: u32,
    /// Minimum interval between two calls of [`Sender::step`](crate::Sender::step).
    pub period: Span,
    /// Connect time-out; an endpoint that cannot be connected within it counts as unreachable.
    pub connect_timeout: Span,
    /// How the value of a message falls after its latency target.
    pub decay: Decay,
    /// How the sender receives the endpoint list.
    pub discovery: Discovery,
    /// The meaning of capacity hints in the list.
    pub hints: Hints,
    /// Whether the sender may request health checks.
    pub probes: bool,
    /// Whether the sender may cancel attempts.
    pub cancel: bool,
    /// Whether an undelivered message keeps its ordering key until [`Event::OutcomeAcknowledged`].
    #[serde(rename = "ends_noticed")]
    pub outcomes_acknowledged: bool,
    /// Whether the host can time out a call only as a whole, not message by message.
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
        write!(f, "invalid setting: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// The first invalid setting, by name.
    pub fn check(&self) -> Result<(), SettingsError> {
        let check = |ok: bool, error| if ok { Ok(()) } else { Err(SettingsError(error)) };
        check(!self.classes.is_empty() && !self.kinds.is_empty(), "classes or kinds: must not be empty")?;
        check(
            self.classes.iter().all(|class| class.deadline.0 > 0 && class.latency_target.0 > 0),
            "deadline or aim of a class: must be above 0",
        )?;
        check(self.slots > 0, "slots: must be above 0")?;
        check(self.max_pending > 0, "most_held: must be above 0")?;
        check(self.senders > 0 && self.max_attempts > 0, "senders or max_attempts: must be above 0")
    }
}

/// A message as submitted to the policy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Assigned by the host, see [`MessageId`].
    pub id: MessageId,
    /// A copy of its class when accepted: later changes of the settings don't apply to it.
    pub class: Class,
    /// `None` if the settings define no tenants.
    pub tenant: Option<TenantId>,
    /// Ordering key; `None` if it is not ordered.
    pub key: Option<OrderKey>,
    /// Any endpoint of this destination may receive it.
    pub destination: DestinationId,
    /// Time left until it expires, from the step that accepts it.
    pub budget: Span,
}

/// A message that an earlier process of this sender accepted.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resumed {
    /// The message; its budget is the time that remains.
    pub message: Message,
    /// Attempts that earlier processes made.
    pub attempts: u32,
    /// The first attempt that may have executed, such as one in flight when its process stopped: when it was
    /// sent on the host's clock, and to which zone.
    pub ran: Option<(Time, ZoneId)>,
    /// Whether it is complete and only awaits [`Event::OutcomeAcknowledged`].
    pub ended: bool,
}

/// The state of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listing {
    /// In service according to the list.
    Active,
    /// Still listed, but shutting down: no new calls.
    Draining,
    /// No longer listed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The endpoint that the entry describes.
    pub endpoint: EndpointId,
    /// The destination whose messages it receives.
    pub destination: DestinationId,
    /// Kind of the destination; entries of an unknown kind are ignored.
    pub kind: KindId,
    /// The zone in which the endpoint runs.
    pub zone: ZoneId,
    /// Whether the endpoint may be sent to.
    pub listing: Listing,
    /// Capacity hint, as defined by [`Hints`].
    pub hint: f64,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The destination accepted the message.
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
    /// The sender stopped waiting, see [`Action::Cancel`]; may have executed.
    Cancelled,
    /// The host did not send it; not executed.
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
    /// Fraction of the limit that remains, from 0 to 1.
    pub left: f64,
    /// The limit, in calls per second; 0 for none.
    pub limit: f64,
}

/// An input of the policy, passed to [`Sender::step`](crate::Sender::step).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A message was submitted.
    Message(Message),
    /// A message is resumed after a restart; these arrive in the order of their first acceptance.
    Resumed(Resumed),
    /// An answer reported a `Retry-After` without rejecting a message.
    #[serde(rename = "Told")]
    RetryAfterReported {
        /// The endpoint that reported it; the wait applies to all that share its limit.
        endpoint: EndpointId,
        /// Minimum time before the next call.
        wait: Span,
    },
    /// The client acknowledged the outcome of a message, see [`Settings::outcomes_acknowledged`].
    #[serde(rename = "Noticed")]
    OutcomeAcknowledged(MessageId),
    /// The process shuts down at this time: a message that cannot complete before is left to its successor.
    #[serde(rename = "WindDown")]
    ShutdownScheduled(Time),
    /// An attempt has completed.
    #[serde(rename = "Ended")]
    AttemptCompleted {
        /// The message that was attempted; ignored if no longer pending.
        message: MessageId,
        /// Index of the attempt, from 0; outcomes of earlier attempts are ignored.
        attempt: u32,
        /// The result, and whether the message may have executed.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Span,
        /// Whether the message is complete, by this attempt or an earlier one.
        last: bool,
        /// The rate limit that the answer reported, if any.
        report: Option<Report>,
    },
    /// The client cancelled this message: it is not retried, and its outcome is not reported.
    #[serde(rename = "Withdrawn")]
    ClientCancelled(MessageId),
    /// The complete endpoint list; endpoints that it lacks count as removed.
    FullList(Vec<Entry>),
    /// Changed entries of the endpoint list.
    ListChanges(Vec<Entry>),
    /// Operators took this endpoint out of service for this sender, regardless of its state in the list.
    Excluded(EndpointId),
    /// Operators returned it to service: it may have been restarted meanwhile.
    Included(EndpointId),
    /// New settings: they apply to all later decisions, except that pending messages keep their classes.
    /// Kinds, zones and tenants must keep their indices.
    #[serde(rename = "Retuned")]
    SettingsChanged(Box<Settings>),
    /// Fetching the list failed, or the subscription was lost.
    ListFailed,
    /// A health check has completed.
    #[serde(rename = "Checked")]
    HealthCheckCompleted {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// The result of the check.
        outcome: Outcome,
    },
    /// The timer set by [`Action::WakeIn`] has fired.
    #[serde(rename = "Woken")]
    TimerFired,
}

/// An output of the policy, to be executed by the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an endpoint; sends of one step to the same endpoint may share a call.
    Send {
        /// The message to send; its attempts are numbered from 0 in the order of these actions.
        message: MessageId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// When the attempt times out.
        expires: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The message; its outcome is still expected, as [`Outcome::Cancelled`] if it was cancelled.
        message: MessageId,
        /// Index of the attempt, from 0.
        attempt: u32,
    },
    /// Complete a message undelivered; the client may safely submit it again.
    Refuse {
        /// The message to refuse.
        message: MessageId,
        /// The time after which submitting again may succeed; `None` if unknown.
        after: Option<Span>,
    },
    /// Complete a message undelivered; whether it executed is unknown.
    Fail(MessageId),
    /// Step again after this time with [`Event::TimerFired`], even without other events.
    WakeIn(Span),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Fetch the complete endpoint list once.
    FetchList,
    /// Run a health check of an endpoint.
    Probe(EndpointId),
    /// Close this sender's idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Drop all state of this endpoint. If it is listed again, it gets a new id.
    Forget(EndpointId),
    /// Write a log line for the operators.
    Log(String),
}
