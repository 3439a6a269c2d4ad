//! What was done and seen in a play of the whole system, for the checker, which reads nothing else.

use super::schedule::Class;
use fleet_model::Ballot;

/// What one asked for a turn was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// This chain, by its hash.
    Text(u64),
    /// There is no such turn.
    NoSuchTurn,
    /// Not now.
    Unavailable,
}

/// What a process of the core tells of an order, or that it tells nothing clear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// 200: it is in force, or was.
    Confirmed,
    /// 412: this version is current.
    OtherVersion(u64),
    /// 400: its version is not above the current one.
    NotAbove,
    /// 503, silence, or an answer that was lost on its way.
    Unclear,
}

/// In which way a machine is disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// Its processes do not run.
    Lost,
    /// It answers late.
    Slow,
    /// Its disk refuses or stalls.
    Disk,
}

/// One thing that was done or seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fact {
    /// A fault begins, as the schedule names it.
    Fault(String),
    /// A keeper takes a value as chosen: the versions it remembers and a hash of all of it.
    Chosen {
        /// Of the keeper.
        node: usize,
        /// Under which it was chosen.
        ballot: Ballot,
        /// Versions taken, oldest first.
        versions: Vec<u64>,
        /// Of payload and voters.
        hash: u64,
    },
    /// A keeper takes another roster as chosen: its disks.
    Roster {
        /// Of the keeper.
        node: usize,
        /// The roster's epoch.
        epoch: u64,
        /// What counts.
        current: Vec<u64>,
        /// What is to count.
        next: Option<Vec<u64>>,
        /// Those that have told they are full.
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
        /// When it was asked for.
        started_at: u64,
        /// What came.
        version: u64,
    },
    /// A keeper's life begins to hold the duty.
    Holds {
        /// Of the keeper.
        node: usize,
        /// Its life.
        incarnation: u64,
        /// Under which fence.
        token: u64,
    },
    /// What a process on an edge machine goes by from now on.
    Knows {
        /// Of the process.
        node: usize,
        /// Its life.
        incarnation: u64,
        /// The register's value.
        ballot: Ballot,
        /// Its configuration.
        version: u64,
        /// The list's reading, by the platform's count.
        list: u64,
    },
    /// The platform's list is another one.
    Platform {
        /// Its count.
        list: u64,
    },
    /// A program begins.
    Program {
        /// Its name.
        program: String,
        /// What it may be handed.
        budget: u64,
        /// What one turn may be handed at most.
        max_turn_tokens: u64,
    },
    /// A client got tokens.
    Handed {
        /// The program.
        program: String,
        /// So many.
        tokens: u64,
    },
    /// A turn was answered whole.
    Completed {
        /// Its `Attempt-Id`.
        attempt: String,
        /// The turn before it.
        previous: Option<String>,
        /// Its input and output.
        text: String,
    },
    /// A turn was asked for.
    LookedUp {
        /// When.
        started_at: u64,
        /// Its `Attempt-Id`.
        attempt: String,
        /// What came.
        result: LookupResult,
    },
    /// The machines of the play, by number.
    Fleet {
        /// What each is there for.
        classes: Vec<Class>,
    },
    /// A process begins a life.
    ProcessStarted {
        /// Of the process.
        node: usize,
        /// Its life.
        incarnation: u64,
        /// Its machine.
        machine: usize,
    },
    /// A machine is gone for good.
    Removed {
        /// The machine.
        machine: usize,
    },
    /// A machine is disturbed.
    Disturbed {
        /// The machine.
        machine: usize,
        /// In which way.
        how: Disturbance,
        /// Until when.
        until: u64,
    },
    /// What one machine sends does not reach another.
    PathCut {
        /// The sender.
        from: usize,
        /// The other.
        to: usize,
        /// Until when.
        until: u64,
    },
    /// A machine is kept from others on purpose.
    Isolated {
        /// The machine.
        machine: usize,
        /// Until when.
        until: u64,
    },
    /// Messages, or answers to operators, are lost here and there.
    Lossy {
        /// Until when.
        until: u64,
    },
    /// An operator sent an order to a machine, and this came of it.
    Ordered {
        /// Names the order, whose bytes are always the same.
        order: u64,
        /// The version that it brings.
        number: u64,
        /// The version on which it builds.
        on: u64,
        /// The core machine that was asked.
        machine: usize,
        /// When it was asked.
        started_at: u64,
        /// What came.
        answer: OrderAnswer,
    },
    /// A read at a machine, and whether a clear answer came.
    Read {
        /// The core machine that was asked.
        machine: usize,
        /// When it was asked.
        started_at: u64,
        /// Whether a version came.
        clear: bool,
    },
    /// An order is seen in a control node's replicated state for the first time.
    InForce {
        /// Names the order.
        order: u64,
        /// The version that it brings.
        number: u64,
    },
    /// A control node that came back, or into touch, knows all that was chosen by then.
    CaughtUp {
        /// Of the process.
        node: usize,
        /// Its changes that it had missed.
        missed: u64,
        /// Milliseconds after it was back.
        after: u64,
    },
    /// Sizes at the end of a play.
    Sizes {
        /// Bytes of the longest record of an acceptor.
        record: usize,
        /// Bytes of the longest payload, as it goes in messages.
        payload: usize,
    },
    /// The last fault is over.
    Calm,
    /// After this all is as it should be, or what is not.
    Settled {
        /// Milliseconds after the last fault.
        after: u64,
        /// What is not as it should be; empty where all is.
        unmet: Vec<String>,
    },
}

/// All of it, in order, each with its time in milliseconds.
pub type History = Vec<(u64, Fact)>;
