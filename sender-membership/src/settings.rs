//! How a sender takes part in its fleet.
use crate::Millis;
use crate::member_list::Info;
use std::net::SocketAddr;

/// The longest name of a fleet, a sender, a zone or a machine, in bytes.
const MOST_NAME: usize = 64;
/// The most seeds.
const MOST_SEEDS: usize = 9;
/// The most voters: each one more has to hear each step before it counts.
const MOST_KEEPERS: usize = 9;

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A name is empty, too long, or holds what would break a line of a log.
    #[error("{0} is {1:?}: a name has 1 to {MOST_NAME} letters, digits, '-', '_', '.' or ':'")]
    Name(&'static str, String),
    /// Fewer seeds than a fleet can be founded on, or more than are asked.
    #[error(
        "seeds: {0} are named, 2 to {MOST_SEEDS} are needed, the same ones in the same order at every sender"
    )]
    Seeds(usize),
    /// A seed stands twice.
    #[error("seeds: {0} stands twice")]
    SeedTwice(SocketAddr),
    /// Voters that cannot have a majority.
    #[error("keepers: {0} is not an odd number from 3 to {MOST_KEEPERS}")]
    Voters(usize),
    /// Times that make the living look lost, or the lost living.
    #[error("{0}: {1} ms is not between {2} and {3}")]
    Time(&'static str, Millis, Millis, Millis),
    /// Others could not reach it there.
    #[error("advertise: {0} is no address that others can reach")]
    Advertise(SocketAddr),
}

/// Ways to break a promise on purpose, so that the checkers can be seen to catch it. Never set by a configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InjectedFaults {
    /// Voters remove members that do not answer: breaks V3.
    pub removes_the_silent: bool,
    /// One whose folder was emptied keeps its record and its vote: breaks V4.
    pub forgets_incarnation: bool,
    /// A voter tells before its disk has it: breaks V3 at a crash.
    pub tells_before_disk: bool,
}

/// How a sender takes part.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name: nothing of any other fleet is listened to.
    pub fleet: String,
    /// What others are told of this sender.
    pub info: Info,
    /// Where a blank sender asks first; on its first start the fleet is founded by them together.
    pub seeds: Vec<SocketAddr>,
    /// How many senders agree on the member list, once there are so many.
    pub voters: usize,
    /// One member is asked this often whether it lives.
    pub probe: Millis,
    /// It has so long to answer before others are asked to ask it.
    pub answer: Millis,
    /// One that is suspected has so long to object.
    pub suspect: Millis,
    /// One that is held lost counts as lost after this: when two halves meet again, each hears from the other that some of its
    /// own are lost, and those object within two seconds.
    pub confirm: Millis,
    /// A voter that is held lost for so long is replaced.
    pub replace_voter_after: Millis,
    /// For the checkers only.
    pub injected_faults: InjectedFaults,
}

fn named(what: &'static str, name: &str) -> Result<(), SettingsError> {
    let fits = |b: u8| b.is_ascii_alphanumeric() || b"-_.:".contains(&b);
    if name.is_empty() || name.len() > MOST_NAME || !name.bytes().all(fits) {
        return Err(SettingsError::Name(what, name.to_owned()));
    }
    Ok(())
}

impl Settings {
    /// The defaults for a sender of that fleet.
    pub fn new(fleet: &str, info: Info, seeds: Vec<SocketAddr>) -> Self {
        Self {
            fleet: fleet.to_owned(),
            info,
            seeds,
            voters: 5,
            probe: 1_000,
            answer: 400,
            suspect: 4_000,
            confirm: 2_500,
            replace_voter_after: 20_000,
            injected_faults: InjectedFaults::default(),
        }
    }

    /// All that is wrong with them.
    pub fn faults(&self) -> Vec<SettingsError> {
        let mut faults = Vec::new();
        let names = [
            ("name", &self.fleet),
            ("member", &self.info.name),
            ("zone", &self.info.zone),
            ("machine", &self.info.machine),
            ("version", &self.info.version),
        ];
        faults.extend(names.iter().filter_map(|(what, name)| named(what, name).err()));
        if !(2..=MOST_SEEDS).contains(&self.seeds.len()) {
            faults.push(SettingsError::Seeds(self.seeds.len()));
        }
        for (at, seed) in self.seeds.iter().enumerate() {
            if self.seeds[..at].contains(seed) {
                faults.push(SettingsError::SeedTwice(*seed));
            }
        }
        if self.voters.is_multiple_of(2) || !(3..=MOST_KEEPERS).contains(&self.voters) {
            faults.push(SettingsError::Voters(self.voters));
        }
        let times = [
            ("probe_ms", self.probe, 100, 60_000),
            ("answer_ms", self.answer, 20, self.probe * 2 / 3),
            ("suspect_ms", self.suspect, self.probe, 600_000),
            ("replace_keeper_ms", self.replace_voter_after, self.suspect, 86_400_000),
        ];
        for (what, time, least, most) in times {
            if time < least || time > most {
                faults.push(SettingsError::Time(what, time, least, most));
            }
        }
        let address = self.info.address;
        if address.ip().is_unspecified() || address.port() == 0 {
            faults.push(SettingsError::Advertise(address));
        }
        faults
    }

    /// The fleet's name as it stands in front of each datagram and frame: FNV-1a, which is the same everywhere.
    pub(crate) fn fleet_hash(&self) -> u64 {
        self.fleet
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
    }
}
