//! The simulator's protocol: batches of events for the senders, and replies with their actions. Attributes keep the
//! names in the JSON.
use message_sender::profile::Profile;
use serde::{Deserialize, Serialize};

/// All events of one simulation step.
#[derive(Deserialize)]
pub struct Batch {
    /// In microseconds.
    pub sim_time: u64,
    /// Repeated in the reply.
    pub serial: u64,
    #[serde(rename = "senders")]
    pub groups: Vec<EventGroup>,
}

/// The events for one sender, in their order.
#[derive(Deserialize)]
pub struct EventGroup {
    pub sender: u64,
    #[serde(rename = "input")]
    pub events: Vec<Event>,
}

#[derive(Deserialize)]
#[serde(tag = "t", rename_all = "snake_case")]
pub enum Event {
    Start {
        rng_seed: u64,
        #[serde(rename = "profile_data")]
        profile: Box<Profile>,
    },
    /// The sender crashed and loses its state.
    #[serde(rename = "down")]
    Crash {},
    /// Defines a page of endpoints, which `EndpointList` events refer to by number.
    #[serde(rename = "catalog")]
    ListPage {
        page: u64,
        entries: Vec<ListEntry>,
    },
    #[serde(rename = "discovery")]
    EndpointList {
        kind: ListKind,
        page: Option<u64>,
    },
    #[serde(rename = "ask")]
    Message {
        #[serde(rename = "job")]
        id: u32,
        #[serde(rename = "realm")]
        tenant: Option<TenantName>,
        /// The ordering key, in hexadecimal digits.
        #[serde(rename = "subject")]
        key: Option<String>,
        #[serde(rename = "service")]
        class: String,
        time_budget: u64,
        #[serde(rename = "dest")]
        destination: u64,
    },
    #[serde(rename = "begun")]
    AttemptStarted {},
    #[serde(rename = "report_back")]
    AttemptCompleted {
        #[serde(rename = "job")]
        id: u32,
        #[serde(rename = "try")]
        attempt: u32,
        result: Status,
        #[serde(rename = "lag")]
        elapsed: u64,
        last: bool,
        /// For `Overloaded`, the requested delay in milliseconds.
        detail: Option<f64>,
        #[serde(rename = "stats")]
        load_report: Option<Vec<f64>>,
    },
    #[serde(rename = "vanished")]
    ClientCancelled {
        #[serde(rename = "job")]
        id: u32,
    },
    #[serde(rename = "bell")]
    TimerFired {},
    #[serde(rename = "checked")]
    HealthCheckCompleted {
        endpoint: String,
        result: Status,
    },
    PeerData {},
}

/// A tenant's name, or 0 in a deployment without tenants.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum TenantName {
    Text(String),
    Number(u64),
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum ListKind {
    #[serde(rename = "patch")]
    Changes,
    #[serde(rename = "whole")]
    Full,
    StaleCopy,
    /// The list could not be fetched.
    #[serde(rename = "broken")]
    Failed,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    Success,
    Failure,
    Overloaded,
    TimedOut,
    Unreachable,
    #[serde(rename = "broken")]
    Reset,
    #[serde(rename = "withdrawn")]
    Cancelled,
    Void,
}

/// An endpoint in the list.
#[derive(Deserialize)]
pub struct ListEntry {
    #[serde(rename = "readiness")]
    pub status: ListingStatus,
    #[serde(rename = "dest")]
    pub destination: u64,
    #[serde(rename = "rack_zone")]
    pub zone: String,
    #[serde(rename = "flavor")]
    pub kind: String,
    pub endpoint: String,
    #[serde(rename = "power_hint")]
    pub capacity_hint: Option<f64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum ListingStatus {
    Active,
    #[serde(rename = "leaving")]
    Draining,
    #[serde(rename = "left")]
    Removed,
}

/// The reply to a batch; senders without actions are left out.
#[derive(Serialize)]
pub struct Reply {
    pub serial: u64,
    pub senders: Vec<SenderActions>,
}

#[derive(Serialize)]
pub struct SenderActions {
    pub sender: u64,
    #[serde(rename = "do")]
    pub actions: Vec<Action>,
}

#[derive(Serialize)]
#[serde(tag = "t", rename_all = "snake_case")]
pub enum Action {
    #[serde(rename = "forward")]
    Send {
        #[serde(rename = "job")]
        id: u32,
        endpoint: String,
        #[serde(rename = "expire_at")]
        expires: u64,
    },
    #[serde(rename = "stop_attempt")]
    Cancel {
        #[serde(rename = "job")]
        id: u32,
        #[serde(rename = "try")]
        attempt: u32,
    },
    #[serde(rename = "busy")]
    Refuse {
        #[serde(rename = "job")]
        id: u32,
    },
    Fail {
        #[serde(rename = "job")]
        id: u32,
    },
    #[serde(rename = "wake_me")]
    SetTimer {
        #[serde(rename = "in")]
        delay: u64,
        #[serde(rename = "mark")]
        label: &'static str,
    },
    Subscribe {
        #[serde(rename = "on")]
        enabled: bool,
    },
    #[serde(rename = "list_all")]
    FetchList {},
    CloseIdle {
        endpoint: String,
    },
    #[serde(rename = "sound_out")]
    Probe {
        endpoint: String,
    },
    #[serde(rename = "write_log")]
    Log {
        #[serde(rename = "words")]
        text: String,
    },
}
