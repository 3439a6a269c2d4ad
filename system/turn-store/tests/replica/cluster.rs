//! Replicas in memory: machines of a cluster by disk, those that are down, and calls to them.

use bytes::Bytes;
use fleet_model::{Answer, Call, Reservation, Roster, StorageNode, Turn};
use std::collections::{BTreeMap, BTreeSet};
use turn_store::{BackfillRecord, Outcome, Payload, Payloads, ReplicaState, Stored, TURNS, Write};

pub(crate) const MINUTE: u64 = 60_000;

pub(crate) fn store(disk: u64) -> StorageNode {
    StorageNode { name: format!("s{disk}"), ip: [10, 0, 0, disk as u8].into(), zone: "z".into(), disk }
}

pub(crate) fn stores(disks: &[u64]) -> Vec<StorageNode> {
    disks.iter().map(|disk| store(*disk)).collect()
}

pub(crate) fn roster(epoch: u64, current: &[u64], next: Option<&[u64]>) -> Roster {
    Roster { epoch, current: stores(current), next: next.map(stores), ..Default::default() }
}

pub(crate) fn turn(attempt: &str, previous: Option<&str>, replicas: &[u64]) -> Turn {
    Turn {
        attempt: attempt.into(),
        previous: previous.map(Into::into),
        input: Bytes::from(format!("in-{attempt};")),
        output: Bytes::from(format!("out-{attempt};")),
        retention_ms: MINUTE,
        replicas: replicas.to_vec(),
    }
}

pub(crate) fn reservation(attempt: u64, tokens: u32) -> Reservation {
    Reservation { attempt, tokens }
}

#[derive(Default)]
pub(crate) struct PayloadStore {
    pub(crate) written: BTreeMap<Vec<u8>, Turn>,
    pub(crate) lost: BTreeSet<String>,
}

impl Payloads for PayloadStore {
    fn get(&self, attempt: &str) -> Payload {
        if self.lost.contains(attempt) {
            return Payload::Lost;
        }
        self.written.get(attempt.as_bytes()).cloned().map_or(Payload::Pending, Payload::Present)
    }
}

pub(crate) struct Machine {
    pub(crate) state: ReplicaState,
    pub(crate) payloads: PayloadStore,
}

impl Machine {
    pub(crate) fn new(disk: u64, losses: usize) -> Self {
        Self {
            state: ReplicaState::new(0, disk, losses, Stored::default()),
            payloads: PayloadStore::default(),
        }
    }

    pub(crate) fn write(&mut self, writes: &[Write]) {
        for write in writes.iter().filter(|write| write.keyspace == TURNS) {
            match &write.value {
                Some(value) => {
                    self.payloads.written.insert(write.key.clone(), postcard::from_bytes(value).unwrap());
                }
                None => {
                    self.payloads.written.remove(&write.key);
                }
            }
        }
    }

    pub(crate) fn outcome(&mut self, now_ms: u64, call: &Call) -> Outcome {
        let outcome = self.state.handle(now_ms, call, &self.payloads);
        self.write(&outcome.writes);
        outcome
    }

    pub(crate) fn ask(&mut self, call: &Call) -> Answer {
        self.ask_at(0, call)
    }

    pub(crate) fn ask_at(&mut self, now_ms: u64, call: &Call) -> Answer {
        self.outcome(now_ms, call).answer
    }

    pub(crate) fn reserve(&mut self, program: &str, reservation: Reservation) -> Answer {
        let epoch = self.state.epoch();
        self.ask(&Call::Reserve { epoch, program: program.into(), reservation })
    }

    pub(crate) fn read_account(&mut self, program: &str) -> Answer {
        let epoch = self.state.epoch();
        self.ask(&Call::ReadAccount { epoch, program: program.into() })
    }

    pub(crate) fn run_controller(&mut self, turn: Turn) -> Answer {
        let epoch = self.state.epoch();
        self.ask(&Call::StoreTurn { epoch, turn, served_by: None })
    }

    pub(crate) fn read_chain(&mut self, attempt: &str) -> Answer {
        let epoch = self.state.epoch();
        self.ask(&Call::ReadChain { epoch, attempt: attempt.into() })
    }
}

impl Machine {
    pub(crate) fn reserve_quietly(&mut self, program: &str, attempt: u64) {
        let writes = self.state.apply_page(0, vec![], vec![(program.into(), vec![reservation(attempt, 1)])]);
        assert_eq!(writes.len(), 1);
    }
}

/// Stores by disk, and those that are down.
pub(crate) struct Cluster {
    pub(crate) machines: BTreeMap<u64, Machine>,
    pub(crate) down: BTreeSet<u64>,
    pub(crate) roster: Roster,
    pub(crate) losses: usize,
    pub(crate) pages: usize,
}

impl Cluster {
    /// A founded fleet, all full.
    pub(crate) fn founded(disks: &[u64], losses: usize) -> Self {
        let full = |disk: &u64| {
            let in_sync = vec![(0, disks.iter().copied().collect())];
            let kept = Stored { backfill: BackfillRecord { in_sync, damaged: false }, ..Stored::default() };
            let state = ReplicaState::new(0, *disk, losses, kept);
            (*disk, Machine { state, payloads: PayloadStore::default() })
        };
        let machines = disks.iter().map(full).collect();
        let (down, roster_) = (BTreeSet::new(), roster(1, disks, None));
        let mut cluster = Self { machines, down, roster: roster_, losses, pages: 0 };
        cluster.spread();
        cluster
    }

    /// Empty machines that wait for the founding.
    pub(crate) fn gathering(disks: &[u64], losses: usize) -> Self {
        let mut cluster = Self::founded(&[], losses);
        disks.iter().for_each(|disk| cluster.add(*disk));
        cluster.set_roster(roster(1, &[], Some(disks)));
        cluster
    }

    pub(crate) fn add(&mut self, disk: u64) {
        self.machines.insert(disk, Machine::new(disk, self.losses));
    }

    pub(crate) fn spread(&mut self) {
        for (disk, machine) in &mut self.machines {
            if !self.down.contains(disk) {
                let writes = machine.state.set_roster(&self.roster);
                machine.write(&writes);
            }
        }
    }

    pub(crate) fn set_roster(&mut self, roster: Roster) {
        self.roster = roster;
        self.spread();
    }

    /// Fill one store from those that are up; whether it came to an end.
    pub(crate) fn backfill(&mut self, disk: u64) -> bool {
        let Some(mut backfill) = self.machines[&disk].state.backfill() else { return true };
        loop {
            let next = backfill.calls().next().map(|(store, call)| (store.disk, call));
            let Some((source, call)) = next else { break };
            let answer = match self.machines.get_mut(&source) {
                Some(machine) if !self.down.contains(&source) => machine.ask(&call),
                _ => Answer::NotReady,
            };
            let Answer::Records { turns, accounts, cursor } = answer else {
                backfill.give_up(source);
                continue;
            };
            self.pages += 1;
            let text: usize = turns.iter().map(|turn| turn.input.len() + turn.output.len()).sum();
            let count: usize = accounts.iter().map(|(_, page)| page.len()).sum();
            assert!(text + 16 * count <= 256 << 10 || turns.len() + count == 1, "a page too large");
            let machine = self.machines.get_mut(&disk).unwrap();
            let writes = machine.state.apply_page(0, turns, accounts);
            machine.write(&writes);
            backfill.page_applied(source, cursor);
        }
        if !backfill.is_done() {
            assert!(backfill.is_stuck());
            return false;
        }
        let drained: Vec<u64> = backfill.drained().map(|store| store.disk).collect();
        for source in drained {
            let call = Call::BackfillDone { epoch: backfill.epoch(), disk };
            assert_eq!(self.machines.get_mut(&source).unwrap().ask(&call), Answer::Done);
        }
        self.machines.get_mut(&disk).unwrap().state.mark_in_sync(&backfill).is_some()
    }

    pub(crate) fn fill_all(&mut self) {
        let disks: Vec<u64> = self.machines.keys().copied().collect();
        for disk in disks {
            if !self.down.contains(&disk) {
                assert!(self.backfill(disk), "store {disk} did not fill");
            }
        }
    }

    /// A whole change of the stores.
    pub(crate) fn change(&mut self, next: &[u64]) {
        let current: Vec<u64> = self.roster.current.iter().map(|store| store.disk).collect();
        let epoch = self.roster.epoch;
        self.set_roster(roster(epoch + 1, &current, Some(next)));
        self.fill_all();
        self.set_roster(roster(epoch + 2, next, None));
    }

    pub(crate) fn at(&mut self, disk: u64) -> &mut Machine {
        self.machines.get_mut(&disk).unwrap()
    }

    pub(crate) fn disks_with_turn(&mut self, attempt: &str) -> Vec<u64> {
        let holds = |machine: &mut Machine| matches!(machine.read_chain(attempt), Answer::Chain { .. });
        self.machines.iter_mut().filter_map(|(disk, machine)| holds(machine).then_some(*disk)).collect()
    }
}

pub(crate) fn sum(answer: &Answer) -> u32 {
    let Answer::Account(reservations) = answer else { panic!("{answer:?}") };
    reservations.iter().map(|reservation| reservation.tokens).sum()
}
