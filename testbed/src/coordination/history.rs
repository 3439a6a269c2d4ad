//! What applications sent to the coordination service and what they were answered, on one steady clock.

use serde::{Deserialize, Serialize};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// A request to the coordination service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Request {
    /// Acquire a lock, or extend one's own hold of it.
    Acquire {
        /// Name of the lock.
        lock: String,
        /// Name of the holder, unique to the hold.
        holder: String,
        /// Duration of the hold in milliseconds.
        hold_ms: u64,
    },
    /// Extend a hold.
    Renew {
        /// Name of the lock.
        lock: String,
        /// Name of the holder.
        holder: String,
        /// Fencing token of the hold.
        fence: u64,
        /// Duration of the hold in milliseconds.
        hold_ms: u64,
    },
    /// Give a lock back.
    Release {
        /// Name of the lock.
        lock: String,
        /// Name of the holder.
        holder: String,
        /// Fencing token of the hold.
        fence: u64,
    },
    /// Take the next value of a counter.
    Number {
        /// Name of the counter.
        name: String,
    },
    /// Store a value.
    Put {
        /// The key.
        key: String,
        /// The value, unique to the put. A put that is sent again has the same value.
        value: String,
        /// The revision that the key must have, 0 if it must not exist.
        expected: Option<u64>,
    },
    /// Read a key.
    Get {
        /// The key.
        key: String,
    },
    /// Wait for events of a group.
    Watch {
        /// The group, with its dot.
        group: String,
        /// The revision after which events are asked for; 0 asks for the present revision alone.
        after: u64,
        /// Longest time until the answer in milliseconds.
        wait_ms: u64,
    },
}

/// An event of a watch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Event {
    /// The key.
    pub name: String,
    /// Its value.
    pub value: String,
    /// The revision of that value.
    pub revision: u64,
}

/// The answer to a [`Request`], as far as the protocol gives it a meaning.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// 200 to an acquisition.
    Granted {
        /// The fencing token.
        fence: u64,
    },
    /// 200 to a renewal.
    Renewed,
    /// 200 to a release.
    Released,
    /// 409 to an acquisition or a renewal.
    NotHeld,
    /// 200 to a request for a number.
    Number {
        /// The value.
        value: u64,
    },
    /// 200 to a put.
    Stored {
        /// The revision given to the value.
        revision: u64,
    },
    /// 412 to a put.
    Mismatch {
        /// The revision that the key has.
        revision: u64,
    },
    /// 200 to a read.
    Found {
        /// The value.
        value: String,
        /// Its revision.
        revision: u64,
    },
    /// 404 to a read: revision 0.
    Absent,
    /// 200 to a watch.
    Events {
        /// The events.
        events: Vec<Event>,
        /// The revision up to which they reach.
        revision: u64,
    },
    /// 410 to a watch.
    Gone,
    /// 429 or 503: nothing was done, nor will be.
    Refused {
        /// The status.
        status: u16,
    },
    /// Any other status, or an answer that cannot be read: the request may have been executed.
    Unexpected {
        /// The status.
        status: u16,
    },
    /// No whole answer: the request may have been executed.
    Unanswered,
}

impl Answer {
    /// Whether it is an answer of the protocol to what was asked, and no refusal.
    pub fn is_clear(&self) -> bool {
        !matches!(self, Self::Refused { .. } | Self::Unexpected { .. } | Self::Unanswered)
    }
}

/// The part of a run in which a call was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// While applications work and faults occur.
    Work,
    /// After the last fault, when everything is read back.
    Final,
}

/// One try of a request at one control node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The application that called.
    pub caller: u32,
    /// The control node that was called, by its number.
    pub node: usize,
    /// When the request was sent, in microseconds from the start of the run.
    pub sent_us: u64,
    /// When the answer had arrived or was given up, in microseconds from the start of the run.
    pub ended_us: u64,
    /// The part of the run.
    pub phase: Phase,
    /// The request.
    pub request: Request,
    /// The answer.
    pub answer: Answer,
}

/// The bounds that a history is checked by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// For how long events are retained for watches, in milliseconds.
    pub history_ms: u64,
}

/// What is called for at the end of a run, each of which has to be answered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalTargets {
    /// Locks that are asked for.
    pub locks: Vec<String>,
    /// Counters that are asked for.
    pub numbers: Vec<String>,
    /// Keys that are read.
    pub keys: Vec<String>,
    /// Groups whose watches resume.
    pub groups: Vec<String>,
}

/// All calls of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The bounds.
    pub bounds: Bounds,
    /// The calls, in the order in which they ended.
    pub calls: Vec<Call>,
    /// What is asked for in [`Phase::Final`].
    pub targets: FinalTargets,
}

/// The group of a key: what precedes its first dot, with the dot.
pub fn group_of(key: &str) -> &str {
    key.find('.').map_or(key, |dot| &key[..=dot])
}

/// Records calls with the run's clock.
pub struct Recorder {
    began: Instant,
    calls: Mutex<Vec<Call>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self { began: Instant::now(), calls: Mutex::default() }
    }
}

impl Recorder {
    /// Time since the start of the run, in microseconds.
    pub fn now_us(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Adds a call that has ended.
    pub fn add(&self, call: Call) {
        self.lock().push(call);
    }

    /// The history up to now.
    pub fn history(&self, bounds: Bounds, targets: FinalTargets) -> History {
        History { bounds, calls: self.lock().clone(), targets }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Call>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
