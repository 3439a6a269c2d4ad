//! Settings of a sender's membership in its fleet.
use crate::Millis;
use crate::member_list::Info;
use std::net::SocketAddr;

/// Longest name of a fleet, sender, zone or machine, in bytes.
const MAX_NAME_BYTES: usize = 64;
const MAX_SEEDS: usize = 9;
/// Largest group of voters: every voter adds messages to the agreement on each change.
const MAX_VOTERS: usize = 9;

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A name is empty, too long, or has characters that would break a log line.
    #[error("{0} is {1:?}: a name has 1 to {MAX_NAME_BYTES} letters, digits, '-', '_', '.' or ':'")]
    Name(&'static str, String),
    /// Too few seeds to found a fleet, or more than the maximum.
    #[error(
        "seeds: {0} listed, 2 to {MAX_SEEDS} are needed, the same ones in the same order at every sender"
    )]
    Seeds(usize),
    /// Each seed may be listed only once.
    #[error("seeds: {0} is listed twice")]
    DuplicateSeed(SocketAddr),
    /// The number of voters is even or out of range.
    #[error("keepers: {0} is not an odd number from 3 to {MAX_VOTERS}")]
    Voters(usize),
    /// A time is so short that healthy members would be reported as lost, or so long that lost ones go unnoticed.
    #[error("{0}: {1} ms is not between {2} and {3}")]
    Time(&'static str, Millis, Millis, Millis),
    /// The advertised address has no specific IP or no port.
    #[error("advertise: peers cannot reach a sender at {0}")]
    UnreachableAddress(SocketAddr),
}

/// Deliberate violations of the guarantees, which show that the checkers detect them. No configuration can set them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InjectedFaults {
    /// Voters remove members that do not answer, which violates V3.
    pub removes_the_silent: bool,
    /// A sender whose folder was emptied keeps its identity and its vote, which violates V4.
    pub forgets_incarnation: bool,
    /// A voter sends messages before the records that they depend on are on disk, which violates V3 after a crash.
    pub tells_before_disk: bool,
}

/// Settings of one sender.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the fleet: packets of fleets with other names are dropped.
    pub fleet: String,
    /// Description of this sender that its peers receive.
    pub info: Info,
    /// Addresses that a sender without a fleet contacts. The seeds together found the fleet at its first start.
    pub seeds: Vec<SocketAddr>,
    /// Target size of the group that agrees on the member list; a smaller fleet has fewer voters.
    pub voters: usize,
    /// Interval at which the failure detector probes one member, in milliseconds.
    pub probe_interval: Millis,
    /// Time for a direct answer to a probe, in milliseconds, before other members are asked to probe indirectly.
    pub answer_timeout: Millis,
    /// Time for a suspected member to refute the suspicion, in milliseconds.
    pub suspect: Millis,
    /// Delay in milliseconds between the failure detector declaring a member down and its report as lost. When a network
    /// partition heals, each side learns that the other one declared some of its members down; those refute that within
    /// two seconds.
    pub confirm: Millis,
    /// Time in milliseconds for which a voter must be down before it is replaced.
    pub replace_voter_after: Millis,
    /// Set by simulations only.
    pub injected_faults: InjectedFaults,
}

fn check_name(setting: &'static str, name: &str) -> Result<(), SettingsError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
        return Err(SettingsError::Name(setting, name.to_owned()));
    }
    Ok(())
}

impl Settings {
    /// Default settings for a sender of the named fleet.
    pub fn new(fleet: &str, info: Info, seeds: Vec<SocketAddr>) -> Self {
        Self {
            fleet: fleet.to_owned(),
            info,
            seeds,
            voters: 5,
            probe_interval: 1_000,
            answer_timeout: 400,
            suspect: 4_000,
            confirm: 2_500,
            replace_voter_after: 20_000,
            injected_faults: InjectedFaults::default(),
        }
    }

    /// Validates the settings and returns all errors; empty if they are valid.
    pub fn faults(&self) -> Vec<SettingsError> {
        let mut errors = Vec::new();
        let names = [
            ("name", &self.fleet),
            ("member", &self.info.name),
            ("zone", &self.info.zone),
            ("machine", &self.info.machine),
            ("version", &self.info.version),
        ];
        errors.extend(names.iter().filter_map(|(setting, name)| check_name(setting, name).err()));
        if !(2..=MAX_SEEDS).contains(&self.seeds.len()) {
            errors.push(SettingsError::Seeds(self.seeds.len()));
        }
        for (index, seed) in self.seeds.iter().enumerate() {
            if self.seeds[..index].contains(seed) {
                errors.push(SettingsError::DuplicateSeed(*seed));
            }
        }
        if self.voters.is_multiple_of(2) || !(3..=MAX_VOTERS).contains(&self.voters) {
            errors.push(SettingsError::Voters(self.voters));
        }
        let times = [
            ("probe_ms", self.probe_interval, 100, 60_000),
            ("answer_ms", self.answer_timeout, 20, self.probe_interval * 2 / 3),
            ("suspect_ms", self.suspect, self.probe_interval, 600_000),
            ("replace_keeper_ms", self.replace_voter_after, self.suspect, 86_400_000),
        ];
        for (setting, time, min, max) in times {
            if time < min || time > max {
                errors.push(SettingsError::Time(setting, time, min, max));
            }
        }
        let address = self.info.address;
        if address.ip().is_unspecified() || address.port() == 0 {
            errors.push(SettingsError::UnreachableAddress(address));
        }
        errors
    }

    /// Hash of the fleet's name for the packet header: FNV-1a, which is the same on all platforms and versions.
    pub(crate) fn fleet_hash(&self) -> u64 {
        self.fleet
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
    }
}
