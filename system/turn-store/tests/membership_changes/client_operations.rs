//! What proxies ask of the machines: each call goes out by itself, by the roster that the proxy knew when it began.

use crate::cluster::{Cluster, Mutation};
use bytes::Bytes;
use fleet_model::{Answer, Call, QuorumSizes, Reservation, Roster, StorageNode, Turn, rendezvous_rank};
use std::collections::{BTreeMap, BTreeSet};
use turn_store::{
    AccountReplicas, NodePreference, copies_needed, copy_order, has_copies, merge_reservations,
};

/// Each account's bound; a reservation takes two fifths of it.
pub(crate) const BOUND: u32 = 100;
const TOKENS: u32 = 40;

/// A turn to be kept, or a reservation to be made.
#[derive(Clone)]
pub(crate) struct Operation {
    roster: Roster,
    waiting: Vec<u64>,
    answered: BTreeSet<u64>,
    work: Work,
}

#[derive(Clone)]
enum Work {
    Keep { attempt: String, replicas: Vec<u64>, naming: bool },
    Reserve { program: String, number: u64, read_account: BTreeMap<u64, u32>, reading: bool },
}

enum Progress {
    GoesOn,
    Ends,
}

impl Cluster {
    fn copies(&self) -> usize {
        self.tolerance + 1 - usize::from(self.mutation == Mutation::CopiesOneShort)
    }

    /// A turn is about to be kept, by the roster of now.
    pub(crate) fn begin_turn(&mut self, attempt: String) {
        let roster = self.roster().clone();
        let up: BTreeSet<u64> =
            self.machines.iter().filter(|machine| machine.up).map(|machine| machine.store.disk).collect();
        let order = copy_order(&roster, |store: &StorageNode| NodePreference {
            is_down: !up.contains(&store.disk),
            is_remote: store.zone != "a",
            rank: !rendezvous_rank(attempt.as_bytes(), store.disk),
        });
        let Some(replicas) = copies_needed(&roster, &order, self.copies()) else { return };
        let waiting = order.iter().rev().map(|store| store.disk).collect();
        let work = Work::Keep { attempt, replicas, naming: false };
        self.operations.push(Operation { roster, waiting, answered: BTreeSet::new(), work });
    }

    /// A reservation is about to be made, by the roster of now.
    pub(crate) fn begin_reservation(&mut self, program: String, number: u64) {
        let roster = self.roster().clone();
        let Some(replicas) = AccountReplicas::for_program(&roster, &program, self.tolerance) else { return };
        let waiting = replicas.all().map(|store| store.disk).collect();
        let work = Work::Reserve { program, number, read_account: BTreeMap::new(), reading: false };
        self.operations.push(Operation { roster, waiting, answered: BTreeSet::new(), work });
    }

    /// The next call of one of the operations.
    pub(crate) fn operate(&mut self, at: usize) {
        let mut operation = self.operations.swap_remove(at);
        let progress = match operation.work {
            Work::Keep { .. } => self.keep_next(&mut operation),
            Work::Reserve { .. } => self.reserve_next(&mut operation),
        };
        if matches!(progress, Progress::GoesOn) {
            self.operations.push(operation);
        }
    }

    /// Carries out one operation alone; it ends as it may.
    pub(crate) fn operate_all(&mut self) {
        while !self.operations.is_empty() {
            self.operate(0);
        }
    }

    fn call(&mut self, disk: u64, call: &Call) -> Option<Answer> {
        Some(self.by_disk(disk).filter(|machine| machine.up)?.answer(call))
    }

    fn keep_next(&mut self, operation: &mut Operation) -> Progress {
        let Work::Keep { attempt, replicas, naming } = &mut operation.work else { return Progress::Ends };
        let Some(disk) = operation.waiting.pop() else { return Progress::Ends };
        let turn = Turn {
            attempt: attempt.clone(),
            previous: None,
            input: Bytes::from(attempt.clone()),
            output: Bytes::new(),
            retention_ms: 600_000,
            replicas: replicas.clone(),
        };
        let answer =
            self.call(disk, &Call::StoreTurn { epoch: operation.roster.epoch, turn, served_by: None });
        if answer != Some(Answer::Done) {
            return if *naming { Progress::Ends } else { Progress::GoesOn };
        }
        if *naming {
            if operation.waiting.is_empty() {
                self.turns.push(attempt.clone());
                return Progress::Ends;
            }
            return Progress::GoesOn;
        }
        operation.answered.insert(disk);
        if !has_copies(&operation.roster, &operation.answered, self.copies()) {
            return Progress::GoesOn;
        }
        if replicas.iter().all(|disk| operation.answered.contains(disk)) {
            self.turns.push(attempt.clone());
            return Progress::Ends;
        }
        *replicas = operation.answered.iter().copied().collect();
        *naming = true;
        operation.waiting.clone_from(replicas);
        Progress::GoesOn
    }

    fn reserve_next(&mut self, operation: &mut Operation) -> Progress {
        let Operation { roster, waiting, answered, work } = operation;
        let Work::Reserve { program, number, read_account, reading } = work else { return Progress::Ends };
        let Some(replicas) = AccountReplicas::for_program(roster, program, self.tolerance) else {
            return Progress::Ends;
        };
        let current = replicas.current_only();
        if !waiting.is_empty() {
            let disk = waiting.swap_remove(self.random_below(waiting.len()));
            let reservation = Reservation { attempt: *number, tokens: TOKENS };
            let (epoch, program) = (roster.epoch, program.clone());
            let call = match *reading {
                true => Call::ReadAccount { epoch, program },
                false => Call::Reserve { epoch, program, reservation },
            };
            if let Some(Answer::Account(known)) = self.call(disk, &call) {
                answered.insert(disk);
                if current.current.iter().any(|store| store.disk == disk) {
                    merge_reservations(read_account, known);
                }
            }
        }
        let enough = match *reading {
            true => self.is_read(&current, answered),
            false => replicas.is_quorum(answered),
        };
        let all = current.current.iter().all(|store| answered.contains(&store.disk));
        match (enough, *reading) {
            (true, true) => {
                self.decide(operation);
                Progress::Ends
            }
            (true, false) if all => {
                self.decide(operation);
                Progress::Ends
            }
            (true, false) if waiting.is_empty() || self.random_below(2) == 0 => {
                *reading = true;
                answered.clear();
                *waiting = current.current.iter().map(|store| store.disk).collect();
                Progress::GoesOn
            }
            _ if waiting.is_empty() => Progress::Ends,
            _ => Progress::GoesOn,
        }
    }

    fn is_read(&self, current: &AccountReplicas<'_>, answered: &BTreeSet<u64>) -> bool {
        if self.mutation != Mutation::ReadsOneLess {
            return current.is_quorum(answered);
        }
        QuorumSizes::for_machines(current.current.len(), self.tolerance)
            .is_some_and(|sizes| answered.len() + 1 >= sizes.read)
    }

    fn decide(&mut self, operation: &Operation) {
        let Work::Reserve { program, number, read_account, .. } = &operation.work else { return };
        if read_account.values().sum::<u32>() <= BOUND {
            self.granted.push((program.clone(), *number, TOKENS));
        }
    }
}
