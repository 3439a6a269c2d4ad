//! A keeper of the hollow fleet: the register's real machines, and the duties' rules.

use bytes::Bytes;
use config_register::{Acceptor, AcceptorRecord, BallotSource, Change, Learner, Proposal, Standing};
use fleet_model::{AcceptedValue, Ballot, ControlState, Fence, RegisterValue, TakenVersion};
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

/// The duty's name.
pub(crate) const LIST: &str = "list";

/// A change that a keeper is to make.
#[derive(Clone, Debug)]
pub(crate) enum Wanted {
    /// Only complete what stands.
    Keep,
    /// This configuration.
    Config(u64, Bytes),
    /// Without this voter.
    WithoutVoter(Ipv4Addr),
    /// The duty under this number.
    Duty(u64, Ipv4Addr),
    /// Without this storage machine, if the roster's epoch is still this.
    WithoutStore(u64, u64),
    /// This disk is full for this epoch.
    Filled(u64, u64),
}

/// A change that waits for its run.
#[derive(Debug)]
pub(crate) struct Queued {
    pub(crate) wanted: Wanted,
    pub(crate) until: u64,
    /// Runs for it that came to nothing.
    pub(crate) lost: u32,
}

/// A run that is under way.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) number: u64,
    pub(crate) proposal: Proposal,
    pub(crate) queued: Queued,
    pub(crate) began: u64,
}

/// A poll that is under way.
#[derive(Debug)]
pub(crate) struct Poll {
    pub(crate) round: u64,
    pub(crate) learner: Learner,
    pub(crate) began: u64,
    /// The newest ballot that a voter told.
    pub(crate) newest: Ballot,
}

/// An accepted value of which it is not known whether it is chosen.
#[derive(Debug)]
pub(crate) struct Unsettled {
    pub(crate) ballot: Ballot,
    /// When it is completed, if nothing moves before.
    pub(crate) until: u64,
}

/// The link on which a keeper is told the lists.
#[derive(Debug)]
pub(crate) struct ListFeed {
    pub(crate) link: u64,
    pub(crate) holder: Ipv4Addr,
    pub(crate) heard_at: u64,
}

/// A keeper's part of the register and of the duties.
#[derive(Debug)]
pub(crate) struct Keeper {
    pub(crate) acceptor: Acceptor,
    pub(crate) known: RegisterValue,
    pub(crate) ballots: BallotSource,
    pub(crate) seen: BTreeMap<Ipv4Addr, u64>,
    pub(crate) poll: Option<Poll>,
    pub(crate) polls: u64,
    pub(crate) unsettled: Option<Unsettled>,
    pub(crate) run: Option<Run>,
    pub(crate) runs: u64,
    /// How long the last run took that had a value chosen.
    pub(crate) run_took: u64,
    pub(crate) queue: VecDeque<Queued>,
    pub(crate) stores_seen: BTreeMap<u64, u64>,
    pub(crate) readings: u64,
    pub(crate) follows: Option<ListFeed>,
}

impl Keeper {
    /// A voter that holds what was chosen, in the life of that nonce.
    pub(crate) fn new(me: Ipv4Addr, life: u64, accepted: &AcceptedValue) -> Self {
        let mut ballots = BallotSource::new(me, life);
        ballots.saw(accepted.ballot);
        let settled = RegisterValue { payload: Bytes::new(), ..accepted.value.clone() };
        Self {
            acceptor: Acceptor::new(AcceptorRecord {
                promised: accepted.ballot,
                accepted: Some(accepted.clone()),
                standing: Standing::Member,
                settled: Some(settled),
            }),
            known: accepted.value.clone(),
            ballots,
            seen: BTreeMap::new(),
            poll: None,
            polls: 0,
            unsettled: None,
            run: None,
            runs: 0,
            run_took: 0,
            queue: VecDeque::new(),
            stores_seen: BTreeMap::new(),
            readings: 0,
            follows: None,
        }
    }
}

/// What a change makes of the value that was read.
pub(crate) fn apply(wanted: &Wanted, read: &RegisterValue) -> Change {
    let Ok(mut state) = ControlState::from_payload(&read.payload) else { return Change::Keep };
    let set = |state: &ControlState| match state.to_payload() {
        Ok(payload) => Change::Set(payload),
        Err(_) => Change::Keep,
    };
    match wanted {
        Wanted::Keep => Change::Keep,
        Wanted::Config(version, config) if *version > state.version() => {
            state.config = config.clone();
            state.taken.push(TakenVersion { version: *version, digest: [7; 32] });
            let extra = state.taken.len().saturating_sub(512);
            state.taken.drain(..extra);
            set(&state)
        }
        Wanted::WithoutVoter(ip) if read.voters.contains(ip) && read.voters.len() > 3 => {
            Change::Voters(read.voters.iter().copied().filter(|voter| voter != ip).collect())
        }
        Wanted::Duty(number, ip) => {
            let fence = state.fences.entry(LIST.to_owned()).or_default();
            if fence.number + 1 != *number {
                return Change::Keep;
            }
            *fence = Fence { number: *number, holder: Some(*ip) };
            set(&state)
        }
        Wanted::WithoutStore(disk, epoch) if state.roster.epoch == *epoch => {
            let mut next = state.roster.next.clone().unwrap_or_else(|| state.roster.current.clone());
            next.retain(|store| store.disk != *disk);
            state.roster.epoch += 1;
            state.roster.filled.clear();
            state.roster.next = Some(next);
            set(&state)
        }
        Wanted::Filled(disk, epoch) if state.roster.epoch == *epoch => {
            let Some(next) = state.roster.next.clone() else { return Change::Keep };
            if !next.iter().any(|store| store.disk == *disk) || state.roster.filled.contains(disk) {
                return Change::Keep;
            }
            state.roster.filled.push(*disk);
            if next.iter().all(|store| state.roster.filled.contains(&store.disk)) {
                state.roster.epoch += 1;
                state.roster.current = next;
                state.roster.next = None;
                state.roster.filled.clear();
            }
            set(&state)
        }
        _ => Change::Keep,
    }
}
