//! What the programs of the system tell one another: plain types without behaviour of their own, beyond what follows
//! from their fields. `peer-wire` puts them on the wire, `config-register` and `turn-store` keep them.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// A ballot of the register, ordered by its fields in turn: rounds rise, the machine's address tells two machines of one
/// round apart, and the nonce two lives of one machine. `config-register` makes them (`BallotSource`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The round.
    pub round: u64,
    /// The proposer's address as a number.
    pub proposer: u32,
    /// The nonce of the proposer's life; 0 in the founding ballot and in those read from a record of an older form.
    pub life: u64,
}

/// The register's value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterValue {
    /// Rises by one with each change of the voters.
    pub epoch: u64,
    /// The core machines whose majority counts.
    pub voters: Vec<Ipv4Addr>,
    /// What the register holds: a [`ControlState`], by [`ControlState::to_payload`].
    pub payload: Bytes,
}

/// A value that an acceptor has accepted, under its ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedValue {
    /// The ballot.
    pub ballot: Ballot,
    /// The value.
    pub value: RegisterValue,
}

/// What a proposer asks of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RegisterRequest {
    /// Promise to listen to no lower ballot.
    Prepare(Ballot),
    /// Accept this value.
    Accept(AcceptedValue),
    /// Tell what is held, without a promise; `chosen` is the newest ballot that the asker knows to be chosen.
    Poll {
        /// The newest ballot that the asker knows to be chosen.
        chosen: Ballot,
    },
    /// Tell the accepted value.
    Fetch,
}

/// What an acceptor answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RegisterReply {
    /// It promises; here is what it has accepted.
    Promised(Option<AcceptedValue>),
    /// It has accepted.
    Accepted,
    /// It has promised this ballot, or accepted a value of a later epoch, under it.
    Refused(Ballot),
    /// It came back with an empty disk and may not vote yet.
    Unfit,
    /// What it holds.
    Polled {
        /// Ballot of the accepted value.
        accepted: Option<Ballot>,
        /// The newest ballot that it knows to be chosen.
        chosen: Ballot,
    },
    /// The accepted value.
    Fetched(Option<AcceptedValue>),
}

/// A duty's fence: who has it, under which number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fence {
    /// Rises with each hand-over.
    pub number: u64,
    /// The machine that has the duty.
    pub holder: Option<Ipv4Addr>,
}

/// A storage machine with its disk: one that lost its disk comes back as another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Store {
    /// The machine's name.
    pub name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Drawn when the disk's folder was made.
    pub disk: u64,
}

/// The storage machines that count.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Roster {
    /// Rises with every change.
    pub epoch: u64,
    /// Those that hold what was kept.
    pub current: Vec<Store>,
    /// While a change is under way: those that are to hold it. They fill, and all writes go to both.
    pub next: Option<Vec<Store>>,
    /// Those of `next` that have told they are full, by disk.
    pub filled: Vec<u64>,
    /// Names of machines that are to be emptied, or were.
    pub retiring: Vec<String>,
}

/// A configuration that was taken.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TakenVersion {
    /// Its number.
    pub version: u64,
    /// SHA-256 of its bytes as sent.
    pub digest: [u8; 32],
}

/// A configuration that was refused on top of a version that was not in force yet, and stays refused when it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RefusedConfig {
    /// The version that it goes by.
    pub expected: u64,
    /// What was sent.
    pub sent: TakenVersion,
}

/// What the register holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ControlState {
    /// The configuration's bytes as the operator sent them; empty before the first.
    pub config: Bytes,
    /// Versions taken, oldest first; the last is in force.
    pub taken: Vec<TakenVersion>,
    /// Fences of duties, by duty.
    pub fences: BTreeMap<String, Fence>,
    /// The storage machines.
    pub roster: Roster,
    /// The highest version that was taken and is not among `taken` any more; 0 while all are.
    pub forgotten: u64,
    /// Refusals that must be remembered, oldest first.
    pub refused: Vec<RefusedConfig>,
}

/// The state as the first form has it.
#[derive(Deserialize)]
struct FirstState {
    config: Bytes,
    taken: Vec<TakenVersion>,
    fences: BTreeMap<String, Fence>,
    roster: Roster,
}

/// So many versions taken the first form remembered, without a word of those that it forgot.
const FIRST_MOST_TAKEN: usize = 512;

impl From<FirstState> for ControlState {
    fn from(FirstState { config, taken, fences, roster }: FirstState) -> Self {
        let before_oldest = taken.first().map_or(0, |oldest| oldest.version.saturating_sub(1));
        let forgotten = if taken.len() < FIRST_MOST_TAKEN { 0 } else { before_oldest };
        Self { config, taken, fences, roster, forgotten, refused: Vec::new() }
    }
}

impl ControlState {
    /// The number of the configuration in force, 0 before the first.
    pub fn version(&self) -> u64 {
        self.taken.last().map_or(0, |taken| taken.version)
    }
}

/// Longest state that is taken from a payload: operators' bodies are shorter by far.
const MOST_STATE: usize = 32 << 20;

/// A payload that is no state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PayloadError {
    /// It is in a form that this program does not know.
    #[error("a payload of form {0}")]
    Form(u8),
    /// It says that it is longer than any state.
    #[error("a payload of {0} bytes")]
    Length(usize),
    /// Its compression is damaged.
    #[error("a payload that cannot be unpacked: {0}")]
    Packed(String),
    /// What it holds cannot be read.
    #[error("a payload that cannot be read: {0}")]
    State(postcard::Error),
}

/// The form of a payload: a [`ControlState`] by postcard, compressed by LZ4 behind its length. Configurations repeat
/// themselves, and a payload goes to every voter twice and to every sender once.
const PACKED: u8 = 2;
/// The first form, packed alike: its states tell of no forgotten and no refused versions. It is read and no longer written.
const FIRST_PACKED: u8 = 1;

impl ControlState {
    /// The state as the register holds it.
    pub fn to_payload(&self) -> Result<Bytes, PayloadError> {
        let plain = postcard::to_allocvec(self).map_err(PayloadError::State)?;
        let mut payload = vec![PACKED];
        payload.extend(lz4_flex::block::compress_prepend_size(&plain));
        Ok(payload.into())
    }

    /// Reads what the register holds; before the first change that is nothing.
    pub fn from_payload(payload: &[u8]) -> Result<Self, PayloadError> {
        match payload {
            [] => Ok(Self::default()),
            [PACKED, packed @ ..] => unpack(packed),
            [FIRST_PACKED, packed @ ..] => unpack::<FirstState>(packed).map(Self::from),
            [form, ..] => Err(PayloadError::Form(*form)),
        }
    }
}

fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, PayloadError> {
    let unpacked = |e: lz4_flex::block::DecompressError| PayloadError::Packed(e.to_string());
    let (length, packed) = lz4_flex::block::uncompressed_size(packed).map_err(unpacked)?;
    if length > MOST_STATE {
        return Err(PayloadError::Length(length));
    }
    let plain = lz4_flex::block::decompress(packed, length).map_err(unpacked)?;
    postcard::from_bytes(&plain).map_err(PayloadError::State)
}

/// A chosen value, as it is spread.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChosenValue {
    /// The ballot under which it was chosen: a later one replaces it.
    pub ballot: Ballot,
    /// The voters.
    pub voters: Vec<Ipv4Addr>,
    /// A [`ControlState`], by [`ControlState::to_payload`].
    pub payload: Bytes,
}

/// Whether an endpoint takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// An endpoint, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Endpoint {
    /// This incarnation.
    pub instance_id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// How many requests it works on at once.
    pub capacity_slots: u32,
    /// Whether it takes new requests.
    pub state: EndpointState,
}

/// The list of endpoints, as one asker of the platform read it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointList {
    /// The asker's fence, and the number of its reading: a later pair replaces an earlier one.
    pub stamp: (u64, u64),
    /// All endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// A kept turn, written once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Its `Attempt-Id`.
    pub attempt: String,
    /// The turn it continues from.
    pub previous: Option<String>,
    /// The new input, as the client sent it.
    pub input: Bytes,
    /// The data of its events, each with a line feed after it.
    pub output: Bytes,
    /// How long it is held, in milliseconds.
    pub retention_ms: u64,
    /// The disks on which it was to be kept when it was written.
    pub holders: Vec<u64>,
}

/// One reservation of an account: the tokens that a try may have handed out, or did. Two records of one try merge to
/// the lower count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reservation {
    /// The try: a hash of its `Attempt-Id`.
    pub attempt: u64,
    /// Tokens.
    pub tokens: u32,
}

/// What a process asks of another; each call gets one [`Answer`].
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// To an acceptor.
    Register(RegisterRequest),
    /// A core machine that is no voter asks to be one.
    JoinCore {
        /// Its address.
        ip: Ipv4Addr,
    },
    /// A storage machine tells that it is there.
    JoinStorage {
        /// The machine.
        store: Store,
    },
    /// A storage machine holds all that it should hold under this roster's epoch.
    Filled {
        /// Its disk.
        disk: u64,
        /// The epoch.
        epoch: u64,
    },
    /// Open the feed: pushes follow on this connection if the answer is `Done`.
    Subscribe {
        /// The subscriber's address.
        ip: Ipv4Addr,
        /// Its zone.
        zone: String,
        /// Take it on, however many there are.
        urgent: bool,
        /// Newest value that it has.
        value: Ballot,
        /// Newest list that it has.
        list: (u64, u64),
    },
    /// Reserve tokens for a try, synced before the answer.
    Reserve {
        /// The asker's epoch of the roster.
        epoch: u64,
        /// The program.
        program: String,
        /// The try and the most it generates.
        reservation: Reservation,
    },
    /// What a try has handed out.
    Settle {
        /// The asker's epoch of the roster.
        epoch: u64,
        /// The program.
        program: String,
        /// The try and what it handed out.
        reservation: Reservation,
    },
    /// The account again, without a change.
    ReadAccount {
        /// The asker's epoch of the roster.
        epoch: u64,
        /// The program.
        program: String,
    },
    /// Keep a turn, synced before the answer.
    KeepTurn {
        /// The asker's epoch of the roster.
        epoch: u64,
        /// The turn.
        turn: Turn,
    },
    /// The inputs and outputs of a turn and those before it.
    ReadChain {
        /// The asker's epoch of the roster.
        epoch: u64,
        /// The turn's `Attempt-Id`.
        attempt: String,
    },
    /// A storage machine asks another for what it should hold under `epoch`, from `cursor` on.
    Fill {
        /// The epoch of the roster that the asker fills for.
        epoch: u64,
        /// The asker's disk.
        disk: u64,
        /// Where to go on; empty at the start.
        cursor: Bytes,
    },
    /// The asker of `Fill` has synced all that it got.
    FillDone {
        /// The epoch.
        epoch: u64,
        /// Its disk.
        disk: u64,
    },
    /// Staff ask for a process's own view, as JSON.
    Inspect {
        /// What about: `members`, `config`, `endpoints`, `turns`, `figures` or another topic that the program knows.
        topic: String,
    },
}

/// What a call is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// From an acceptor.
    Register(RegisterReply),
    /// It is done.
    Done,
    /// The asked one cannot do it now.
    Unready,
    /// Ask one of these.
    Redirect(Vec<SocketAddrV4>),
    /// The asked one knows this epoch of the roster, and the asker's is another.
    WrongEpoch(u64),
    /// All reservations of an account.
    Account(Vec<Reservation>),
    /// Part of a chain that ends with the asked turn.
    Chain {
        /// Inputs and outputs, oldest first.
        text: Bytes,
        /// The turn before these, where it is not held here.
        missing: Option<String>,
    },
    /// No such turn here. `complete`: this machine holds all that it should.
    Absent {
        /// Whether this machine holds all that it should.
        complete: bool,
    },
    /// Records that the asker should hold.
    Records {
        /// Turns.
        turns: Vec<Turn>,
        /// Accounts.
        accounts: Vec<(String, Vec<Reservation>)>,
        /// Where to go on, if there is more.
        cursor: Option<Bytes>,
    },
    /// A view for staff, as JSON.
    View(String),
}

/// What the feed pushes to a subscriber.
#[derive(Clone, Debug, PartialEq)]
pub enum Push {
    /// The link lives, and what it told is at most so old: a majority of the core had nothing newer then.
    Beat {
        /// Age in milliseconds.
        age_ms: u32,
        /// How many proxies the feed's source knows.
        proxies: u32,
    },
    /// A newer value of the register.
    Value(ChosenValue),
    /// A newer list.
    List(EndpointList),
    /// Changes on top of the list with the stamp `base`.
    ListChange {
        /// The list that this changes.
        base: (u64, u64),
        /// The list that it makes.
        stamp: (u64, u64),
        /// New or changed endpoints.
        put: Vec<Endpoint>,
        /// Instances that are gone.
        gone: Vec<String>,
    },
}

/// Everything that travels between two processes.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// A call under a number of the caller's.
    Call(u64, Call),
    /// The answer to the call of that number.
    Answer(u64, Answer),
    /// The feed.
    Push(Push),
}

/// Rank of a machine for a key by rendezvous hashing: the highest ranks hold it.
pub fn rank(key: &[u8], disk: u64) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ disk.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for byte in key {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 29;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^ (hash >> 32)
}

/// How many storage machines of a set hold a record, write it and are read, so that `losses` are borne as far as there are
/// machines for it.
///
/// With `n` machines and `t` losses, a record that was acknowledged is on at least `write = min(t + 1, n)` machines of the
/// set: an account on so many of its `holders = min(n, 2t + 1)`, a turn on so many of all. It follows:
///
/// - `write + read = holders + 1`: among an account's holders each read meets each write.
/// - `write - 1 = min(t, n - 1)` disks may be lost, and one of each record's is left.
/// - `covering = n - write + 1` machines of the set leave out `write - 1`, fewer than hold any record: together they
///   know all of them. Who fills reads so many.
/// - `absent = max(covering, write)` machines that answer "not there" under one epoch prove that nothing is: `absent`
///   leave out too few to hold it all, and since `absent + covering > n`, no later set has been filled from machines
///   that go by a later epoch, so that nothing can have been acknowledged there. From 2t + 1 machines on, both are n - t.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuorumSizes {
    /// Machines that hold an account.
    pub holders: usize,
    /// Holders that must have synced an account's record; also the copies of a turn.
    pub write: usize,
    /// Holders that are read to meet each write.
    pub read: usize,
    /// Machines of the whole set that together know every record.
    pub covering: usize,
    /// Machines of the whole set that must say that a turn is not there.
    pub absent: usize,
}

impl QuorumSizes {
    /// For a set of so many machines; none for an empty one, which keeps nothing.
    pub fn of(machines: usize, losses: usize) -> Option<Self> {
        if machines == 0 {
            return None;
        }
        let holders = machines.min(2 * losses + 1);
        let write = holders.min(losses + 1);
        let covering = machines + 1 - write;
        Some(Self { holders, write, read: holders + 1 - write, covering, absent: covering.max(write) })
    }

    /// So many disks may be lost at once, and every record is left.
    pub fn losses_survived(&self) -> usize {
        self.write - 1
    }

    /// So many machines may be silent at once, and records are still taken and read.
    pub fn losses_served(&self) -> usize {
        self.holders - self.write
    }
}

/// The machines among `stores` that hold the account of a program: `2 * losses + 1` of them, or all if there are fewer.
pub fn account_holders<'a>(stores: &'a [Store], program: &str, losses: usize) -> Vec<&'a Store> {
    let mut ranked: Vec<_> =
        stores.iter().map(|store| (rank(program.as_bytes(), store.disk), store)).collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.disk.cmp(&b.1.disk)));
    ranked.into_iter().take(2 * losses + 1).map(|(_, store)| store).collect()
}
