//! What clients ask for in a run: how many programs start, how long their chains grow, and which endpoints serve them.
use super::history::Kind;
use std::ops::Range;
use std::time::Duration;

/// The load of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// Between two programs that start.
    pub program_interval: Duration,
    /// Turns of a program.
    pub turns: Range<u64>,
    /// Turns of one program in [`LONG_PROGRAM_STRIDE`].
    pub long_turns: Range<u64>,
    /// Tools that a program calls after a turn.
    pub tools: Range<u64>,
    /// Bytes of a turn's input.
    pub input_bytes: usize,
    /// The most tokens that a turn generates.
    pub max_tokens_per_turn: u64,
    /// Endpoints of each service.
    pub endpoints: [Service; 3],
    /// Endpoints on a page of the platform's list.
    pub list_page: usize,
    /// Calls for the list that the platform answers in a second.
    pub list_calls_per_second: usize,
}

/// The name of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum LoadName {
    /// A few programs at a time.
    Light,
    /// Hundreds of programs in half a minute, with long chains.
    Busy,
}

impl From<LoadName> for Load {
    fn from(name: LoadName) -> Self {
        match name {
            LoadName::Light => Self::LIGHT,
            LoadName::Busy => Self::BUSY,
        }
    }
}

/// The endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: &'static str,
    /// What its endpoints do.
    pub kind: Kind,
    /// How many endpoints it has.
    pub endpoints: u8,
    /// Requests that one of them works on at a time.
    pub slots: usize,
}

/// One program in this many is a long one.
pub const LONG_PROGRAM_STRIDE: u64 = 4;

impl Load {
    /// A few programs at a time, so that many processes can be started beside them.
    pub const LIGHT: Self = Self {
        program_interval: Duration::from_millis(120),
        turns: 3..6,
        long_turns: 3..6,
        tools: 1..4,
        input_bytes: 0,
        max_tokens_per_turn: 24,
        endpoints: [
            Service { name: "engine", kind: Kind::Turn, endpoints: 3, slots: 8 },
            Service { name: "orders", kind: Kind::NonIdempotent, endpoints: 2, slots: 3 },
            Service { name: "lookups", kind: Kind::Idempotent, endpoints: 2, slots: 3 },
        ],
        list_page: 4,
        list_calls_per_second: 10,
    };

    /// That of a small deployment in a busy hour: hundreds of programs in half a minute, with chains of up to 22 turns.
    pub const BUSY: Self = Self {
        program_interval: Duration::from_millis(60),
        turns: 2..8,
        long_turns: 6..22,
        tools: 1..4,
        input_bytes: 5_100,
        max_tokens_per_turn: 34,
        endpoints: [
            Service { name: "engine", kind: Kind::Turn, endpoints: 12, slots: 96 },
            Service { name: "orders", kind: Kind::NonIdempotent, endpoints: 6, slots: 12 },
            Service { name: "lookups", kind: Kind::Idempotent, endpoints: 5, slots: 12 },
        ],
        list_page: 50,
        list_calls_per_second: 50,
    };

    /// How many turns the program with this random number has.
    pub fn turns_of(&self, random: u64) -> u64 {
        let range = if random.is_multiple_of(LONG_PROGRAM_STRIDE) { &self.long_turns } else { &self.turns };
        value_in(range, random / LONG_PROGRAM_STRIDE)
    }

    /// How many tools are called after a turn.
    pub fn tools_of(&self, random: u64) -> u64 {
        value_in(&self.tools, random)
    }

    /// The most tokens that a program's turns may generate together.
    pub fn budget(&self) -> u64 {
        self.max_tokens_per_turn * 40
    }
}

fn value_in(range: &Range<u64>, random: u64) -> u64 {
    range.start + random % (range.end - range.start)
}
