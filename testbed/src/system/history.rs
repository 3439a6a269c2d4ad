//! The recorded history of a simulation run: the only input of the checker.

use super::schedule::Class;
use fleet_model::Ballot;

/// The result of looking up a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// The chain was found; the hash of its text.
    Text(u64),
    /// There is no such turn.
    NoSuchTurn,
    /// The lookup failed for now.
    Unavailable,
}

/// A control node's answer to a configuration change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// 200: the change is committed.
    Confirmed,
    /// 412: another version is current; that version.
    OtherVersion(u64),
    /// 400: its version is not above the current one.
    NotAbove,
    /// 503, a timeout, or a lost response: the outcome is unknown.
    Unclear,
}

/// The kind of a machine's disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// Its processes do not run.
    Lost,
    /// It answers late.
    Slow,
    /// Its disk refuses or stalls.
    Disk,
}

/// One event of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fact {
    /// A fault begins, as the schedule names it.
    Fault(String),
    /// A control node learns that a value is chosen.
    Chosen {
        /// Index of the control node's process.
        node: usize,
        /// The ballot under which the value was chosen.
        ballot: Ballot,
        /// Committed versions that the value remembers, oldest first.
        versions: Vec<u64>,
        /// Hash of payload and voters.
        hash: u64,
    },
    /// A control node learns that another roster is chosen. Members are given by their disk numbers.
    Roster {
        /// Index of the control node's process.
        node: usize,
        /// The roster's epoch.
        epoch: u64,
        /// Members of the current set.
        current: Vec<u64>,
        /// Members of the next set, during a change.
        next: Option<Vec<u64>>,
        /// Members of the next set that have reported to be in sync.
        in_sync: Vec<u64>,
    },
    /// A configuration was acknowledged.
    Acknowledged {
        /// Its version.
        version: u64,
        /// The version that it replaces.
        on: u64,
    },
    /// A configuration was read back.
    ReadBack {
        /// When the request was sent, in milliseconds.
        started_at: u64,
        /// The outcome.
        version: u64,
    },
    /// An incarnation of a control node acquires the lease of the endpoint discovery task.
    Holds {
        /// Index of the control node's process.
        node: usize,
        /// The process's incarnation.
        incarnation: u64,
        /// The fencing token.
        token: u64,
    },
    /// A process on an edge machine applies new state from the feed.
    Knows {
        /// Index of the process.
        node: usize,
        /// The process's incarnation.
        incarnation: u64,
        /// Ballot of the register's value.
        ballot: Ballot,
        /// Version of the configuration.
        version: u64,
        /// Number of the endpoint list, by the platform's count.
        list: u64,
    },
    /// A process gets another upstream of the state feed, or loses its only one.
    UpstreamChanged {
        /// The process.
        node: usize,
    },
    /// The platform's endpoint list changes.
    Platform {
        /// Its count.
        list: u64,
    },
    /// A program begins.
    Program {
        /// Its name.
        program: String,
        /// Tokens that the program may be served in total.
        budget: u64,
        /// Maximum tokens of one turn.
        max_turn_tokens: u64,
    },
    /// Tokens were streamed to a client.
    Handed {
        /// The program.
        program: String,
        /// Number of tokens.
        tokens: u64,
    },
    /// A turn was answered completely.
    Completed {
        /// Its `Attempt-Id`.
        attempt: String,
        /// The turn before it.
        previous: Option<String>,
        /// Its input and output.
        text: String,
    },
    /// A turn was looked up.
    LookedUp {
        /// When the lookup began, in milliseconds.
        started_at: u64,
        /// Its `Attempt-Id`.
        attempt: String,
        /// The outcome.
        result: LookupResult,
    },
    /// The machines of the run, by index.
    Fleet {
        /// The role of each machine.
        classes: Vec<Class>,
    },
    /// A process starts.
    ProcessStarted {
        /// Index of the process.
        node: usize,
        /// The process's incarnation.
        incarnation: u64,
        /// Its machine.
        machine: usize,
    },
    /// A machine is removed permanently.
    Removed {
        /// The machine.
        machine: usize,
    },
    /// A machine is disturbed.
    Disturbed {
        /// The machine.
        machine: usize,
        /// The kind of disturbance.
        how: Disturbance,
        /// End, in milliseconds.
        until: u64,
    },
    /// A one-way network partition between two machines.
    PathCut {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// End, in milliseconds.
        until: u64,
    },
    /// A machine is isolated by the schedule.
    Isolated {
        /// The machine.
        machine: usize,
        /// End, in milliseconds.
        until: u64,
    },
    /// Some messages, or responses to operators, are lost at random.
    Lossy {
        /// End, in milliseconds.
        until: u64,
    },
    /// An operator sent a configuration change to a control node, with this outcome.
    Ordered {
        /// Identifies the change; its bytes are the same in each attempt.
        order: u64,
        /// The version of the new configuration.
        number: u64,
        /// The version that it replaces.
        on: u64,
        /// The control node's machine.
        machine: usize,
        /// When the request was sent, in milliseconds.
        started_at: u64,
        /// The outcome.
        answer: OrderAnswer,
    },
    /// A read of the configuration at a control node.
    Read {
        /// The control node's machine.
        machine: usize,
        /// When the request was sent, in milliseconds.
        started_at: u64,
        /// Whether a version was returned.
        clear: bool,
    },
    /// A change appears in a control node's replicated state for the first time.
    InForce {
        /// Identifies the change.
        order: u64,
        /// The version of the new configuration.
        number: u64,
    },
    /// A control node that restarted or was reconnected has learned all that was chosen by then.
    CaughtUp {
        /// Index of the process.
        node: usize,
        /// Versions that it had missed.
        missed: u64,
        /// Milliseconds after its return.
        after: u64,
    },
    /// Sizes at the end of a run.
    Sizes {
        /// Bytes of the longest record of an acceptor.
        record: usize,
        /// Bytes of the longest payload, as sent in messages.
        payload: usize,
    },
    /// The last fault is over.
    Calm,
    /// The system has converged after the last fault, or has failed to.
    Settled {
        /// Milliseconds after the last fault.
        after: u64,
        /// Conditions that are not met; empty after convergence.
        unmet: Vec<String>,
    },
}

/// All events in order, each with its time in milliseconds.
pub type History = Vec<(u64, Fact)>;
