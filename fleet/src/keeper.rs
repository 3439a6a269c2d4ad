//! One keeper's part in agreeing on the roster's steps: the consensus library `omnipaxos` over a log in memory, each of whose
//! writes is also handed out as a record for the disk. Keepers of one group have the numbers 1 and up, in the order in
//! which the roster names their folders. A group ends with a stop sign, which names the next one; that is also how the log
//! stays short.
use crate::disk::{KeeperRecord, KeeperState};
use crate::roster::Change;
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

type Writes = Rc<RefCell<Vec<KeeperRecord>>>;

/// The log: in memory, with the writes that the disk has not been given yet.
struct Log {
    state: KeeperState,
    writes: Writes,
    /// How many steps it has; a stop sign is none.
    steps: Rc<Cell<usize>>,
}

impl Log {
    fn write(&mut self, record: KeeperRecord) {
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
        self.write(KeeperRecord::Accepted(from, entries));
        Ok(())
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        if self.state.promised != Some(ballot) {
            self.write(KeeperRecord::Promised(ballot));
        }
        Ok(())
    }

    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        self.write(KeeperRecord::Decided(index));
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.state.decided)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        if self.state.round != Some(ballot) {
            self.write(KeeperRecord::Round(ballot));
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
            self.write(KeeperRecord::Stop(stop));
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

/// Calls of [`Keeper::tick`] between two looks at who leads.
const ELECTION_TICKS: u64 = 4;
/// Calls between two tellings of what was not answered. Well above a round trip: the library begins a session anew for
/// each answer that it gets twice, and a group whose answers all come twice agrees on nothing (seen at 5, with answers
/// that took 2).
const RESEND_TICKS: u64 = 10;

/// A keeper at work in one group.
pub(crate) struct Keeper {
    paxos: OmniPaxos<Change, Log>,
    pub(crate) group: u32,
    pub(crate) folders: Vec<u64>,
    own: NodeId,
    writes: Writes,
    steps: Rc<Cell<usize>>,
}

impl Keeper {
    /// The keeper with that folder, with the log that its disk holds, if that is of the same group. None if the folder is not
    /// of the group, or the library does not take the group.
    pub(crate) fn new(group: u32, folders: &[u64], folder: u64, disk: Option<&KeeperState>) -> Option<Self> {
        let own = folders.iter().position(|other| *other == folder)? as NodeId + 1;
        let writes = Writes::default();
        let state = disk.filter(|state| state.group == group).cloned().unwrap_or_else(|| {
            writes.borrow_mut().push(KeeperRecord::Began(group));
            KeeperState { group, ..KeeperState::default() }
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

    /// The folder of the keeper that leads, as far as this one knows.
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

    /// What another keeper of the group, the one with that folder, says. Nothing is taken from one that says it is another.
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
    /// are there, and then once more: with each telling this keeper would say that it has one step more, until the leader
    /// takes steps for agreed that nobody has. So the telling is made to begin where the steps end. None where this keeper
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

    /// Has a keeper tell anew what may have been lost between the two.
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
                Some(Change::Keepers { group: stop.next_config.configuration_id, folders })
            }
            _ => None,
        };
        entries.into_iter().map_while(change).collect()
    }

    /// What the disk has to be given before anything else is told.
    pub(crate) fn writes(&mut self) -> Vec<KeeperRecord> {
        std::mem::take(&mut self.writes.borrow_mut())
    }

    /// What is to be told, each with the folder of the keeper that it is for.
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
mod tests {
    use super::*;

    /// Lets keepers talk until none has more to say, but for those that are away.
    fn talk(keepers: &mut [Option<Keeper>], disks: &mut [KeeperState], rounds: usize) {
        for _ in 0..rounds {
            let mut said = Vec::new();
            for (at, keeper) in keepers.iter_mut().enumerate() {
                let Some(keeper) = keeper else { continue };
                keeper.tick();
                keeper.writes().into_iter().for_each(|record| disks[at].apply(record));
                said.extend(keeper.messages().into_iter().map(|(to, message)| (at as u64 + 1, to, message)));
            }
            for (from, to, message) in said {
                if let Some(keeper) = &mut keepers[to as usize - 1] {
                    assert!(keeper.hear(from, message));
                    keeper.writes().into_iter().for_each(|record| disks[to as usize - 1].apply(record));
                }
            }
        }
    }

    /// Lets them talk until one of them leads: what is put to any other may be lost, and would have to be put again.
    fn leader(keepers: &mut [Option<Keeper>], disks: &mut [KeeperState]) -> usize {
        for _ in 0..20 {
            talk(keepers, disks, 10);
            if let Some(at) = keepers.iter().position(|k| k.as_ref().is_some_and(Keeper::leads)) {
                return at;
            }
        }
        panic!("nobody leads");
    }

    fn farewell(folder: u64) -> Change {
        Change::Farewell { folder, why: crate::Farewell::Removed }
    }

    /// V3: what two of three keepers agreed on is there after one of them has started anew on its disk, and each has the same
    /// steps in the same order.
    #[test]
    fn agreed_steps_outlast_a_keeper() {
        let group = [1, 2, 3];
        let mut disks = vec![KeeperState::default(); 3];
        let mut keepers: Vec<_> = group.iter().map(|own| Keeper::new(1, &group, *own, None)).collect();
        let leading = leader(&mut keepers, &mut disks);
        for step in 10..15 {
            assert!(keepers[leading].as_mut().unwrap().propose(farewell(step)));
        }
        talk(&mut keepers, &mut disks, 10);
        let agreed = keepers[0].as_ref().unwrap().agreed(0);
        assert_eq!(agreed.len(), 5);
        keepers[leading] = None;
        let next = leader(&mut keepers, &mut disks);
        assert!(keepers[next].as_mut().unwrap().propose(farewell(99)));
        talk(&mut keepers, &mut disks, 10);
        keepers[leading] = Keeper::new(1, &group, leading as u64 + 1, Some(&disks[leading]));
        talk(&mut keepers, &mut disks, 40);
        for keeper in keepers.iter().flatten() {
            let all = keeper.agreed(0);
            assert_eq!(all[..5], agreed);
            assert_eq!(all[5..], [farewell(99)]);
        }
    }

    /// Seed 10221 of `fleet-chaos`: followers that accept a group's end, whose answers are lost, and that ask for it anew, count
    /// it once, and the group ends.
    #[test]
    fn an_end_told_twice_counts_once() {
        let group = [1, 2, 3];
        let mut disks = vec![KeeperState::default(); 3];
        let mut keepers: Vec<_> = group.iter().map(|own| Keeper::new(1, &group, *own, None)).collect();
        let leading = leader(&mut keepers, &mut disks);
        assert!(keepers[leading].as_mut().unwrap().propose(farewell(9)));
        talk(&mut keepers, &mut disks, 10);
        assert!(keepers[leading].as_mut().unwrap().hand_on(&[1, 2, 9]));
        let told = keepers[leading].as_mut().unwrap().messages();
        for (to, message) in told {
            let follower = keepers[to as usize - 1].as_mut().unwrap();
            assert!(follower.hear(leading as u64 + 1, message));
            // Its answer is lost.
            follower.messages();
        }
        for follower in (0..3).filter(|at| *at != leading) {
            for _ in 0..3 {
                keepers[follower].as_mut().unwrap().reconnected(leading as u64 + 1);
                talk(&mut keepers, &mut disks, 2);
            }
        }
        talk(&mut keepers, &mut disks, 10);
        for keeper in keepers.iter().flatten() {
            assert_eq!(keeper.paxos.get_accepted_idx(), 2, "one step and the end");
            let end = Change::Keepers { group: 2, folders: vec![1, 2, 9] };
            assert_eq!(keeper.agreed(0), [farewell(9), end]);
        }
    }

    /// A group's end is agreed as any step, and names the next group.
    #[test]
    fn a_group_ends_once() {
        let group = [1, 2, 3];
        let mut disks = vec![KeeperState::default(); 3];
        let mut keepers: Vec<_> = group.iter().map(|own| Keeper::new(1, &group, *own, None)).collect();
        let leading = leader(&mut keepers, &mut disks);
        assert!(keepers[leading].as_mut().unwrap().hand_on(&[1, 2, 9]));
        talk(&mut keepers, &mut disks, 20);
        for keeper in keepers.iter_mut().flatten() {
            assert_eq!(keeper.agreed(0), [Change::Keepers { group: 2, folders: vec![1, 2, 9] }]);
            assert!(!keeper.propose(farewell(1)), "a group that has ended takes no step");
        }
    }
}
