//! One voter in the consensus on changes of the member list: the library `omnipaxos` over a log in memory, each of whose
//! writes is also returned as a record for the disk. The voters of a group are numbered from 1 in the order in which the
//! member list has their folder IDs. A group ends with a stop sign that names the next group, which starts with an empty
//! log; this also bounds the length of the log.
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

type PendingRecords = Rc<RefCell<Vec<VoterRecord>>>;

/// The log in memory, with the writes that were not yet returned for the disk.
struct VoterLog {
    state: VoterState,
    pending_records: PendingRecords,
    /// Number of changes in the log, not counting a stop sign.
    change_count: Rc<Cell<usize>>,
}

impl VoterLog {
    fn write(&mut self, record: VoterRecord) {
        self.pending_records.borrow_mut().push(record.clone());
        self.state.apply(record);
        self.change_count.set(self.state.log.len());
    }
}

impl Storage<Change> for VoterLog {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Change>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(index) => self.set_decided_idx(index)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                StorageOp::SetStopsign(stop_sign) => self.set_stopsign(stop_sign)?,
                // A group's log is never compacted: a new group starts instead.
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
        Ok(self.state.decided_count)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        if self.state.accepted_ballot != Some(ballot) {
            self.write(VoterRecord::AcceptedBallot(ballot));
        }
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.state.accepted_ballot)
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

    fn set_stopsign(&mut self, stop_sign: Option<StopSign>) -> StorageResult<()> {
        if self.state.stop_sign != stop_sign {
            self.write(VoterRecord::Stop(stop_sign));
        }
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.state.stop_sign.clone())
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

/// Calls of [`Voter::tick`] between two checks of the leader.
const ELECTION_TICKS: u64 = 4;
/// Calls of [`Voter::tick`] between two transmissions of an unanswered message. It must be well above a round trip: the
/// library restarts a session for each duplicate answer, and a group that gets all answers twice makes no progress (seen
/// at 5 with round trips of 2).
const RESEND_TICKS: u64 = 10;

/// A voter of one group.
pub(crate) struct Voter {
    paxos: OmniPaxos<Change, VoterLog>,
    pub(crate) group: u32,
    pub(crate) folders: Vec<u64>,
    own_number: NodeId,
    pending_records: PendingRecords,
    change_count: Rc<Cell<usize>>,
}

impl Voter {
    /// Creates the voter with this folder ID. It continues with the log from disk if that belongs to the same group. Returns
    /// `None` if the folder ID is not in the group or the library rejects the group's configuration.
    pub(crate) fn new(group: u32, folders: &[u64], folder: u64, disk: Option<&VoterState>) -> Option<Self> {
        let own_number = folders.iter().position(|other| *other == folder)? as NodeId + 1;
        let pending_records = PendingRecords::default();
        let state = disk.filter(|state| state.group == group).cloned().unwrap_or_else(|| {
            pending_records.borrow_mut().push(VoterRecord::GroupStarted(group));
            VoterState { group, ..VoterState::default() }
        });
        let cluster = ClusterConfig {
            configuration_id: group,
            nodes: (1..=folders.len() as NodeId).collect(),
            flexible_quorum: None,
        };
        let server = ServerConfig {
            pid: own_number,
            election_tick_timeout: ELECTION_TICKS,
            resend_message_tick_timeout: RESEND_TICKS,
            ..ServerConfig::default()
        };
        let change_count = Rc::new(Cell::new(state.log.len()));
        let log =
            VoterLog { state, pending_records: pending_records.clone(), change_count: change_count.clone() };
        let mut paxos = cluster.build_for_server(server, log).ok()?;
        if disk.is_some_and(|state| state.group == group) {
            // The other voters have to resend what this one missed while it was down.
            for peer in (1..=folders.len() as NodeId).filter(|peer| *peer != own_number) {
                paxos.reconnected(peer);
            }
        }
        Some(Self { paxos, group, folders: folders.to_vec(), own_number, pending_records, change_count })
    }

    /// Folder ID of the group's leader, as far as this voter knows.
    pub(crate) fn leader(&self) -> Option<u64> {
        let (leader, is_accepting) = self.paxos.get_current_leader()?;
        let folder = self.folders.get(usize::try_from(leader).ok()?.checked_sub(1)?)?;
        // In any other phase it is not known whether a majority follows the leader.
        is_accepting.then_some(*folder)
    }

    /// Whether this voter is the leader and has a majority.
    pub(crate) fn is_leader(&self) -> bool {
        self.leader().is_some_and(|leader| self.folders.get(self.own_number as usize - 1) == Some(&leader))
    }

    pub(crate) fn tick(&mut self) {
        self.paxos.tick();
    }

    /// Handles a message from the voter with this folder ID. Returns false, and ignores the message, if its sender or
    /// receiver number is wrong.
    pub(crate) fn handle_message(&mut self, folder: u64, message: Message<Change>) -> bool {
        let from = self.folders.iter().position(|other| *other == folder);
        let valid = from.is_some_and(|index| index as NodeId + 1 == message.get_sender())
            && message.get_receiver() == self.own_number
            && message.get_sender() != self.own_number;
        if valid && let Some(message) = self.correct_sync_index(message) {
            self.paxos.handle_incoming(message);
        }
        valid
    }

    /// Works around a fault in the library. When a log is synchronized to a voter that already has the stop sign, the library
    /// counts the sign among the existing entries and then once more. With each synchronization the voter would report one
    /// entry more, until the leader takes entries for decided that no voter has. The index is therefore limited to the end
    /// of the changes. Returns `None` if this voter knows that the group has ended: it needs no synchronization.
    fn correct_sync_index(&self, mut message: Message<Change>) -> Option<Message<Change>> {
        let sync: Option<&mut LogSync<Change>> = match &mut message {
            Message::SequencePaxos(paxos) => match &mut paxos.msg {
                PaxosMsg::AcceptSync(sync) => Some(&mut sync.log_sync),
                PaxosMsg::Promise(promise) => promise.log_sync.as_mut(),
                _ => None,
            },
            Message::BLE(_) => None,
        };
        if let Some(sync) =
            sync.filter(|sync| sync.stopsign.is_some() && sync.sync_idx > self.change_count.get())
        {
            sync.sync_idx = self.change_count.get();
            if self.paxos.get_decided_idx() > self.change_count.get() {
                return None;
            }
        }
        Some(message)
    }

    /// Starts an election with a higher ballot. A voter that restarts with a promise to a ballot that has lost since cannot
    /// follow the current leader, whose ballot is lower, and the other voters see no reason for an election (seed 994 of
    /// `fleet-chaos`).
    pub(crate) fn start_election(&mut self) {
        self.paxos.try_become_leader();
    }

    /// Requests the messages again that may have been lost between this voter and the one with this folder ID.
    pub(crate) fn reconnected(&mut self, folder: u64) {
        if let Some(index) = self.folders.iter().position(|other| *other == folder) {
            self.paxos.reconnected(index as NodeId + 1);
        }
    }

    /// Proposes a change to the group; returns false if the group has ended or is about to end.
    pub(crate) fn propose(&mut self, change: Change) -> bool {
        self.paxos.append(change).is_ok()
    }

    /// Number of entries that this voter has accepted beyond the `applied` ones.
    pub(crate) fn pending_entries(&self, applied: usize) -> usize {
        self.paxos.get_accepted_idx().saturating_sub(applied)
    }

    /// Proposes to end the group, with the given folder IDs as the next one; returns false if the library rejects that.
    pub(crate) fn end_group(&mut self, folders: &[u64]) -> bool {
        let next = ClusterConfig {
            configuration_id: self.group + 1,
            nodes: (1..=folders.len() as NodeId).collect(),
            flexible_quorum: None,
        };
        let Ok(metadata) = postcard::to_allocvec(folders) else { return false };
        self.paxos.reconfigure(next, Some(metadata)).is_ok()
    }

    /// The decided changes from this log index on. The last one may be the change of voters that ends the group.
    pub(crate) fn decided(&self, from: usize) -> Vec<Change> {
        let entries = self.paxos.read_decided_suffix(from).unwrap_or_default();
        let to_change = |entry| match entry {
            LogEntry::Decided(change) => Some(change),
            LogEntry::StopSign(stop_sign, true) => {
                let folders = postcard::from_bytes(stop_sign.metadata.as_deref()?).ok()?;
                Some(Change::Voters { group: stop_sign.next_config.configuration_id, folders })
            }
            _ => None,
        };
        entries.into_iter().map_while(to_change).collect()
    }

    /// Takes the records that must be on disk before the messages are sent.
    pub(crate) fn take_records(&mut self) -> Vec<VoterRecord> {
        std::mem::take(&mut self.pending_records.borrow_mut())
    }

    /// Takes the outgoing messages, each with the folder ID of its receiver.
    pub(crate) fn take_messages(&mut self) -> Vec<(u64, Message<Change>)> {
        let mut messages = Vec::new();
        self.paxos.take_outgoing_messages(&mut messages);
        let with_receiver = |message: Message<Change>| {
            let index = usize::try_from(message.get_receiver()).ok()?.checked_sub(1)?;
            Some((*self.folders.get(index)?, message))
        };
        messages.into_iter().filter_map(with_receiver).collect()
    }
}

#[cfg(test)]
mod tests;
