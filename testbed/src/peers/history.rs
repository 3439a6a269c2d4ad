//! What was done and what was seen in a run of a fleet, event by event, as JSON lines.
use super::campaign::Break;
use super::schedule::Fault;
use sender_membership::{Health, MemberState};
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};

/// Milliseconds from the run's start.
pub type At = u64;

/// A member, as one sender saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenMember {
    /// Its name.
    pub name: String,
    /// Its number in the roster.
    pub number: u32,
    /// Its incarnation.
    pub incarnation: u32,
    /// How it belonged.
    #[serde(rename = "standing")]
    pub state: SeenState,
    /// Whether it answered.
    pub health: SeenHealth,
}

/// As [`MemberState`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SeenState {
    /// Asked, not agreed.
    Joining,
    /// Belongs.
    In,
    /// About to go.
    Leaving,
    /// Does not belong any more.
    Gone,
}

impl From<MemberState> for SeenState {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Joining => Self::Joining,
            MemberState::Active => Self::In,
            MemberState::Leaving => Self::Leaving,
            MemberState::Departed => Self::Gone,
        }
    }
}

/// As [`Health`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SeenHealth {
    /// Answers.
    Answers,
    /// Suspected.
    Suspected,
    /// Considered lost.
    Lost,
    /// Not heard yet.
    Unknown,
}

impl From<Health> for SeenHealth {
    fn from(health: Health) -> Self {
        match health {
            Health::Answers => Self::Answers,
            Health::Suspected => Self::Suspected,
            Health::Lost => Self::Lost,
            Health::Unknown => Self::Unknown,
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// The run, first of all.
    #[serde(rename = "play")]
    RunStarted {
        /// The scenario.
        scenario: String,
        /// The seed.
        seed: u64,
        /// The senders' names, by number; the extra ones, on copied folders, last.
        senders: Vec<String>,
        /// Within how many milliseconds after the last fault all have to agree.
        settle_ms: u64,
        /// What goes wrong, by number, with the senders that each meets drawn.
        faults: Vec<Fault>,
        /// Whether time and senders were simulated.
        simulated: bool,
        /// How the senders are broken on purpose, if they are.
        broken: Option<Break>,
        /// The complete scenario, to run it again.
        #[serde(rename = "played")]
        full_scenario: serde_json::Value,
    },
    /// A process started.
    Up {
        /// Which.
        sender: usize,
        /// Whether its folder was empty.
        #[serde(rename = "blank")]
        empty_disk: bool,
        /// Whose folder it runs on a copy of.
        copy_of: Option<usize>,
    },
    /// A process ended.
    Down {
        /// Which.
        sender: usize,
    },
    /// It gets no processor time.
    Paused {
        /// Which.
        sender: usize,
    },
    /// It does again.
    Resumed {
        /// Which.
        sender: usize,
    },
    /// A fault of links or disks begins or ends; its number in the schedule, and what it is in words.
    Fault {
        /// Its number.
        number: usize,
        /// In words.
        text: String,
        /// Whether it begins.
        begins: bool,
    },
    /// Nothing goes from each of the first to each of the second.
    Cut {
        /// Which fault's.
        number: usize,
        /// From these.
        from: Vec<usize>,
        /// To these.
        to: Vec<usize>,
    },
    /// That is over.
    Healed {
        /// Which fault's.
        number: usize,
    },
    /// An operator asked for a member's removal, or it was ordered to leave.
    #[serde(rename = "asked")]
    RemovalRequested {
        /// Its name.
        name: String,
    },
    /// A sender has a roster of this number.
    Roster {
        /// Which sender.
        sender: usize,
        /// The fleet's own number.
        fleet: u64,
        /// The epoch.
        epoch: u32,
        /// The number.
        number: u64,
        /// The checksum of all of it.
        digest: u32,
    },
    /// What a sender says of its fleet, where that changed.
    Seen {
        /// Which sender.
        sender: usize,
        /// The number of its roster.
        number: u64,
        /// Whether its own start is agreed on.
        confirmed: bool,
        /// The members.
        members: Vec<SeenMember>,
    },
    /// A sender takes no part any more.
    Halted {
        /// Which.
        sender: usize,
        /// Why.
        why: String,
        /// Whether because of a copied folder.
        copied: bool,
    },
    /// The run is over.
    End,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When.
    pub at: At,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// Why a history cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// The file.
    #[error("history {path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A line that is no event.
    #[error("history {path}, line {line}: {source}")]
    Line {
        /// The file.
        path: PathBuf,
        /// The line.
        line: usize,
        /// Why.
        source: serde_json::Error,
    },
}

/// Writes a history.
pub fn write(path: &Path, events: &[Event]) -> Result<(), HistoryError> {
    let error = |source| HistoryError::File { path: path.to_owned(), source };
    let mut out = std::io::BufWriter::new(std::fs::File::create(path).map_err(error)?);
    for event in events {
        serde_json::to_writer(&mut out, event).map_err(|e| error(e.into()))?;
        out.write_all(b"\n").map_err(error)?;
    }
    out.flush().map_err(error)
}

/// Reads a history.
pub fn read(path: &Path) -> Result<Vec<Event>, HistoryError> {
    let error = |source| HistoryError::File { path: path.to_owned(), source };
    let lines = std::io::BufReader::new(std::fs::File::open(path).map_err(error)?).lines();
    let mut events = Vec::new();
    for (at, line) in lines.enumerate() {
        let event = serde_json::from_str(&line.map_err(error)?);
        events.push(event.map_err(|source| HistoryError::Line {
            path: path.to_owned(),
            line: at + 1,
            source,
        })?);
    }
    Ok(events)
}
