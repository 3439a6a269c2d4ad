//! One voter's part in agreeing on the member list's steps: the consensus library `omnipaxos` over a log in memory, each of whose
//! writes is also handed out as a record for the disk. Voters of one group have the numbers 1 and up, in the order in
//! which the member list names their folders. A group ends with a stop sign, which names the next one; that is also how the log
//! stays short.
use crate::disk::{VoterRecord, VoterState};
use crate::member_list::Change;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::messages::sequence_paxos::PaxosMsg;
use omnipaxos::storage::{Entry, NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use omnipaxos::util::{LogEntry, LogSync, NodeId};
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

impl Entry for Change {
    type Snapshot = NoSnapshot;
}

type Writes = Rc<RefCell<Vec<VoterRecord>>>;

/// The log: in memory, with the writes that the disk has not been given yet.
struct Log {
    state: VoterState,
    writes: Writes,
    /// How many steps it has; a stop sign is none.
    steps: Rc<Cell<usize>>,
}

impl Log {
    fn write(&mut self, record: VoterRecord) {
        self.writes.borrow_mut().push(record.clone());
        self.state.apply(record);
        self.steps.set(self.state.log.len());
    }
}

impl Storage<Change> for Log {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Change>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(index) => self.set_decided_idx(index)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                StorageOp::SetStopsign(stop) => self.set_stopsign(stop)?,
                // A group's log is never cut short: a new group begins instead.
                StorageOp::SetCompactedIdx(_) | StorageOp::Trim(_) | StorageOp::SetSnapshot(_) => {}
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Change) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<Change>) -> StorageResult<()> {
        self.append_on_prefix(self.state.log.len(), entries)
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Change>) -> StorageResult<()> {
        self.write(VoterRecord::Accepted(from, entries));
        Ok(())
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        if self.state.promised != Some(ballot) {
            self.write(VoterRecord::Promised(ballot));
        }
        Ok(())
    }

    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        self.write(VoterRecord::Decided(index));
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.state.decided)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        if self.state.round != Some(ballot) {
            self.write(VoterRecord::Round(ballot));
        }
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.state.round)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Change>> {
        Ok(self.state.log.get(from..to).unwrap_or_default().to_vec())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.state.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Change>> {
        Ok(self.state.log.get(from..).unwrap_or_default().to_vec())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.state.promised)
    }

    fn set_stopsign(&mut self, stop: Option<StopSign>) -> StorageResult<()> {
        if self.state.stop != stop {
            self.write(VoterRecord::Stop(stop));
        }
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.state.stop.clone())
    }

    fn trim(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, _: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}

/// Calls of [`Voter::tick`] between two looks at who leads.
const ELECTION_TICKS: u64 = 4;
/// Calls between two tellings of what was not answered. Well above a round trip: the library begins a session anew for
/// each answer that it gets twice, and a group whose answers all come twice agrees on nothing (seen at 5, with answers
/// that took 2).
const RESEND_TICKS: u64 = 10;

/// A voter at work in one group.
pub(crate) struct Voter {
    paxos: OmniPaxos<Change, Log>,
    pub(crate) group: u32,
    pub(crate) folders: Vec<u64>,
    own: NodeId,
    writes: Writes,
    steps: Rc<Cell<usize>>,
}

impl Voter {
    /// The voter with that folder, with the log that its disk holds, if that is of the same group. None if the folder is not
    /// of the group, or the library does not take the group.
    pub(crate) fn new(group: u32, folders: &[u64], folder: u64, disk: Option<&VoterState>) -> Option<Self> {
        let own = folders.iter().position(|other| *other == folder)? as NodeId + 1;
        let writes = Writes::default();
        let state = disk.filter(|state| state.group == group).cloned().unwrap_or_else(|| {
            writes.borrow_mut().push(VoterRecord::Began(group));
            VoterState { group, ..VoterState::default() }
        });
        let cluster = ClusterConfig {
            configuration_id: group,
            nodes: (1..=folders.len() as NodeId).collect(),
            flexible_quorum: None,
        };
        let server = ServerConfig {
            pid: own,
            election_tick_timeout: ELECTION_TICKS,
            resend_message_tick_timeout: RESEND_TICKS,
            ..ServerConfig::default()
        };
        let steps = Rc::new(Cell::new(state.log.len()));
        let log = Log { state, writes: writes.clone(), steps: steps.clone() };
        let mut paxos = cluster.build_for_server(server, log).ok()?;
        if disk.is_some_and(|state| state.group == group) {
            // Whatever came while it was away has to be told anew.
            for peer in (1..=folders.len() as NodeId).filter(|peer| *peer != own) {
                paxos.reconnected(peer);
            }
        }
        Some(Self { paxos, group, folders: folders.to_vec(), own, writes, steps })
    }

    /// The folder of the voter that leads, as far as this one knows.
    pub(crate) fn leader(&self) -> Option<u64> {
        let (leader, accepts) = self.paxos.get_current_leader()?;
        let folder = self.folders.get(usize::try_from(leader).ok()?.checked_sub(1)?)?;
        // In any other phase nobody is known to follow.
        accepts.then_some(*folder)
    }

    /// Whether this one leads, with a majority behind it.
    pub(crate) fn leads(&self) -> bool {
        self.leader().is_some_and(|leader| self.folders.get(self.own as usize - 1) == Some(&leader))
    }

    pub(crate) fn tick(&mut self) {
        self.paxos.tick();
    }

    /// What another voter of the group, the one with that folder, says. Nothing is taken from one that says it is another.
    pub(crate) fn hear(&mut self, folder: u64, message: Message<Change>) -> bool {
        let from = self.folders.iter().position(|other| *other == folder);
        let sound = from.is_some_and(|at| at as NodeId + 1 == message.get_sender())
            && message.get_receiver() == self.own
            && message.get_sender() != self.own;
        if sound && let Some(message) = self.counted_once(message) {
            self.paxos.handle_incoming(message);
        }
        sound
    }

    /// Where a log is told anew to one that has its stop sign already, the library counts that sign among the steps that
    /// are there, and then once more: with each telling this voter would say that it has one step more, until the leader
    /// takes steps for agreed that nobody has. So the telling is made to begin where the steps end. None where this voter
    /// knows that the group has ended: it needs no telling.
    fn counted_once(&self, mut message: Message<Change>) -> Option<Message<Change>> {
        let sync: Option<&mut LogSync<Change>> = match &mut message {
            Message::SequencePaxos(paxos) => match &mut paxos.msg {
                PaxosMsg::AcceptSync(told) => Some(&mut told.log_sync),
                PaxosMsg::Promise(told) => told.log_sync.as_mut(),
                _ => None,
            },
            Message::BLE(_) => None,
        };
        if let Some(sync) = sync.filter(|sync| sync.stopsign.is_some() && sync.sync_idx > self.steps.get()) {
            sync.sync_idx = self.steps.get();
            if self.paxos.get_decided_idx() > self.steps.get() {
                return None;
            }
        }
        Some(message)
    }

    /// Tries to lead. One that came back with a promise to a ballot that lost since can follow nobody: the others are content
    /// with their leader, whose ballot is lower (seed 994 of `fleet-chaos`). A higher ballot of its own ends that.
    pub(crate) fn lead(&mut self) {
        self.paxos.try_become_leader();
    }

    /// Has a voter tell anew what may have been lost between the two.
    pub(crate) fn reconnected(&mut self, folder: u64) {
        if let Some(at) = self.folders.iter().position(|other| *other == folder) {
            self.paxos.reconnected(at as NodeId + 1);
        }
    }

    /// Puts a step to the group; false once the group has ended, or is about to.
    pub(crate) fn propose(&mut self, change: Change) -> bool {
        self.paxos.append(change).is_ok()
    }

    /// Steps that are accepted here and not agreed on yet; `agreed` are.
    pub(crate) fn waiting(&self, agreed: usize) -> usize {
        self.paxos.get_accepted_idx().saturating_sub(agreed)
    }

    /// Ends the group: the next one has these folders.
    pub(crate) fn hand_on(&mut self, folders: &[u64]) -> bool {
        let next = ClusterConfig {
            configuration_id: self.group + 1,
            nodes: (1..=folders.len() as NodeId).collect(),
            flexible_quorum: None,
        };
        let Ok(metadata) = postcard::to_allocvec(folders) else { return false };
        self.paxos.reconfigure(next, Some(metadata)).is_ok()
    }

    /// The steps that are agreed, from the given place on; the last one may be the end of the group.
    pub(crate) fn agreed(&self, from: usize) -> Vec<Change> {
        let entries = self.paxos.read_decided_suffix(from).unwrap_or_default();
        let change = |entry| match entry {
            LogEntry::Decided(change) => Some(change),
            LogEntry::StopSign(stop, true) => {
                let folders = postcard::from_bytes(stop.metadata.as_deref()?).ok()?;
                Some(Change::Voters { group: stop.next_config.configuration_id, folders })
            }
            _ => None,
        };
        entries.into_iter().map_while(change).collect()
    }

    /// What the disk has to be given before anything else is told.
    pub(crate) fn writes(&mut self) -> Vec<VoterRecord> {
        std::mem::take(&mut self.writes.borrow_mut())
    }

    /// What is to be told, each with the folder of the voter that it is for.
    pub(crate) fn messages(&mut self) -> Vec<(u64, Message<Change>)> {
        let mut messages = Vec::new();
        self.paxos.take_outgoing_messages(&mut messages);
        let to = |message: Message<Change>| {
            let at = usize::try_from(message.get_receiver()).ok()?.checked_sub(1)?;
            Some((*self.folders.get(at)?, message))
        };
        messages.into_iter().filter_map(to).collect()
    }
}

#[cfg(test)]
mod tests;
