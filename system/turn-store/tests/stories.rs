//! Stories of stores in memory: what each answers, and how records move when the roster changes.

use bytes::Bytes;
use fleet_model::{Answer, Call, QuorumSizes, Reservation, Roster, StorageNode, Turn, account_replicas};
use googletest::prelude::*;
use proptest::prelude::{Strategy, prop, prop_assert_eq, proptest};
use std::collections::{BTreeMap, BTreeSet};
use turn_store::{
    BackfillRecord, DiskCapacity, Durability, Outcome, Payload, Payloads, ReplicaState, Stored, TURNS, Write,
};

const MINUTE: u64 = 60_000;

fn store(disk: u64) -> StorageNode {
    StorageNode { name: format!("s{disk}"), ip: [10, 0, 0, disk as u8].into(), zone: "z".into(), disk }
}

fn stores(disks: &[u64]) -> Vec<StorageNode> {
    disks.iter().map(|disk| store(*disk)).collect()
}

fn roster(epoch: u64, current: &[u64], next: Option<&[u64]>) -> Roster {
    Roster { epoch, current: stores(current), next: next.map(stores), ..Default::default() }
}

fn turn(attempt: &str, previous: Option<&str>, replicas: &[u64]) -> Turn {
    Turn {
        attempt: attempt.into(),
        previous: previous.map(Into::into),
        input: Bytes::from(format!("in-{attempt};")),
        output: Bytes::from(format!("out-{attempt};")),
        retention_ms: MINUTE,
        replicas: replicas.to_vec(),
    }
}

fn reservation(attempt: u64, tokens: u32) -> Reservation {
    Reservation { attempt, tokens }
}

#[derive(Default)]
struct Shelf {
    written: BTreeMap<Vec<u8>, Turn>,
    lost: BTreeSet<String>,
}

impl Payloads for Shelf {
    fn get(&self, attempt: &str) -> Payload {
        if self.lost.contains(attempt) {
            return Payload::Lost;
        }
        self.written.get(attempt.as_bytes()).cloned().map_or(Payload::Pending, Payload::Present)
    }
}

struct Machine {
    state: ReplicaState,
    shelf: Shelf,
}

impl Machine {
    fn new(disk: u64, losses: usize) -> Self {
        Self { state: ReplicaState::new(0, disk, losses, Stored::default()), shelf: Shelf::default() }
    }

    fn write(&mut self, writes: &[Write]) {
        for write in writes.iter().filter(|write| write.space == TURNS) {
            match &write.value {
                Some(value) => {
                    self.shelf.written.insert(write.key.clone(), postcard::from_bytes(value).unwrap());
                }
                None => {
                    self.shelf.written.remove(&write.key);
                }
            }
        }
    }

    fn outcome(&mut self, now_ms: u64, call: &Call) -> Outcome {
        let outcome = self.state.handle(now_ms, call, &self.shelf);
        self.write(&outcome.writes);
        outcome
    }

    fn ask(&mut self, call: &Call) -> Answer {
        self.outcome(0, call).answer
    }

    fn reserve(&mut self, program: &str, reservation: Reservation) -> Answer {
        let epoch = self.state.epoch();
        self.ask(&Call::Reserve { epoch, program: program.into(), reservation })
    }

    fn account(&mut self, program: &str) -> Answer {
        let epoch = self.state.epoch();
        self.ask(&Call::ReadAccount { epoch, program: program.into() })
    }

    fn keep(&mut self, turn: Turn) -> Answer {
        let epoch = self.state.epoch();
        self.ask(&Call::StoreTurn { epoch, turn })
    }

    fn chain(&mut self, attempt: &str) -> Answer {
        let epoch = self.state.epoch();
        self.ask(&Call::ReadChain { epoch, attempt: attempt.into() })
    }
}

/// Stores by disk, and those that are down.
struct Fleet {
    machines: BTreeMap<u64, Machine>,
    down: BTreeSet<u64>,
    roster: Roster,
    losses: usize,
    pages: usize,
}

impl Fleet {
    /// A founded fleet, all full.
    fn founded(disks: &[u64], losses: usize) -> Self {
        let full = |disk: &u64| {
            let in_sync = vec![(0, disks.iter().copied().collect())];
            let kept = Stored { backfill: BackfillRecord { in_sync, damaged: false }, ..Stored::default() };
            let state = ReplicaState::new(0, *disk, losses, kept);
            (*disk, Machine { state, shelf: Shelf::default() })
        };
        let machines = disks.iter().map(full).collect();
        let (down, roster_) = (BTreeSet::new(), roster(1, disks, None));
        let mut fleet = Self { machines, down, roster: roster_, losses, pages: 0 };
        fleet.spread();
        fleet
    }

    /// Empty machines that wait for the founding.
    fn gathering(disks: &[u64], losses: usize) -> Self {
        let mut fleet = Self::founded(&[], losses);
        disks.iter().for_each(|disk| fleet.add(*disk));
        fleet.set_roster(roster(1, &[], Some(disks)));
        fleet
    }

    fn add(&mut self, disk: u64) {
        self.machines.insert(disk, Machine::new(disk, self.losses));
    }

    fn spread(&mut self) {
        for (disk, machine) in &mut self.machines {
            if !self.down.contains(disk) {
                let writes = machine.state.set_roster(&self.roster);
                machine.write(&writes);
            }
        }
    }

    fn set_roster(&mut self, roster: Roster) {
        self.roster = roster;
        self.spread();
    }

    /// Fill one store from those that are up; whether it came to an end.
    fn backfill(&mut self, disk: u64) -> bool {
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

    fn fill_all(&mut self) {
        let disks: Vec<u64> = self.machines.keys().copied().collect();
        for disk in disks {
            if !self.down.contains(&disk) {
                assert!(self.backfill(disk), "store {disk} did not fill");
            }
        }
    }

    /// A whole change of the stores.
    fn change(&mut self, next: &[u64]) {
        let current: Vec<u64> = self.roster.current.iter().map(|store| store.disk).collect();
        let epoch = self.roster.epoch;
        self.set_roster(roster(epoch + 1, &current, Some(next)));
        self.fill_all();
        self.set_roster(roster(epoch + 2, next, None));
    }

    fn at(&mut self, disk: u64) -> &mut Machine {
        self.machines.get_mut(&disk).unwrap()
    }

    fn holding(&mut self, attempt: &str) -> Vec<u64> {
        let holds = |machine: &mut Machine| matches!(machine.chain(attempt), Answer::Chain { .. });
        self.machines.iter_mut().filter_map(|(disk, machine)| holds(machine).then_some(*disk)).collect()
    }
}

fn sum(answer: &Answer) -> u32 {
    let Answer::Account(reservations) = answer else { panic!("{answer:?}") };
    reservations.iter().map(|reservation| reservation.tokens).sum()
}

#[gtest]
fn a_call_of_another_epoch_is_told_the_stores_own() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    for epoch in [0, 2] {
        let calls = [
            Call::Reserve { epoch, program: "p".into(), reservation: reservation(1, 1) },
            Call::Settle { epoch, program: "p".into(), reservation: reservation(1, 1) },
            Call::ReadAccount { epoch, program: "p".into() },
            Call::StoreTurn { epoch, turn: turn("a", None, &[1]) },
            Call::ReadChain { epoch, attempt: "a".into() },
            Call::Backfill { epoch, disk: 2, cursor: Bytes::new() },
            Call::BackfillDone { epoch, disk: 2 },
        ];
        for call in calls {
            expect_that!(fleet.at(1).ask(&call), eq(&Answer::WrongEpoch(1)));
        }
    }
    expect_that!(fleet.at(1).state.counts(), eq((0, 0, 0)));
}

#[gtest]
fn an_older_roster_is_passed_over() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    fleet.set_roster(roster(0, &[4, 5, 6], None));
    expect_that!(fleet.at(1).state.epoch(), eq(1));
    expect_that!(fleet.at(1).state.is_in_sync(), eq(true));
}

#[gtest]
fn two_sub_agents_that_reserve_at_once_both_see_both() {
    // Given a founded fleet, and two reservations that reach the three holders in different orders.
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    let (one, two) = (reservation(1, 60), reservation(2, 70));
    fleet.at(1).reserve("p", one);
    fleet.at(2).reserve("p", two);
    fleet.at(3).reserve("p", one);
    // When the second of each arrives, then its answer tells both: at most one of two can miss the other.
    expect_that!(sum(&fleet.at(1).reserve("p", two)), eq(130));
    expect_that!(sum(&fleet.at(2).reserve("p", one)), eq(130));
    expect_that!(sum(&fleet.at(3).reserve("p", two)), eq(130));
}

#[gtest]
fn a_reservation_counts_once_and_at_its_lowest() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    let machine = fleet.at(1);
    expect_that!(sum(&machine.reserve("p", reservation(1, 60))), eq(60));
    expect_that!(sum(&machine.reserve("p", reservation(1, 60))), eq(60));
    // When the try settles with less, and its reservation comes late once more, and a higher settlement too.
    for tokens in [10, 60, 20] {
        let call = Call::Settle { epoch: 1, program: "p".into(), reservation: reservation(1, tokens) };
        expect_that!(machine.ask(&call), eq(&Answer::Done));
    }
    // Then the lowest holds.
    expect_that!(sum(&machine.reserve("p", reservation(1, 60))), eq(10));
    expect_that!(sum(&machine.account("p")), eq(10));
    expect_that!(machine.account("q"), eq(&Answer::Account(vec![])));
}

#[gtest]
fn a_reservation_waits_for_the_sync_and_a_settlement_does_not() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    let reserve = Call::Reserve { epoch: 1, program: "p".into(), reservation: reservation(1, 60) };
    let settle = Call::Settle { epoch: 1, program: "p".into(), reservation: reservation(1, 10) };
    // A repeated reservation is written again: the first may not be synced yet.
    for _ in 0..2 {
        let outcome = fleet.at(1).outcome(0, &reserve);
        expect_that!((outcome.durability, outcome.writes.len()), eq((Durability::Synced, 1)));
    }
    let outcome = fleet.at(1).outcome(0, &settle);
    expect_that!((outcome.durability, outcome.writes.len()), eq((Durability::Lazy, 1)));
    let outcome = fleet.at(1).outcome(0, &settle);
    expect_that!((outcome.durability, outcome.writes.len()), eq((Durability::Free, 0)));
}

#[gtest]
fn a_disk_with_little_room_is_kept_for_programs_that_have_begun() {
    // Given a store with one program, whose disk has become scarce.
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    let machine = fleet.at(1);
    machine.reserve("old", reservation(1, 60));
    machine.keep(turn("a", None, &[1, 2]));
    expect_that!(machine.state.set_capacity(DiskCapacity::Scarce), eq(true));
    expect_that!(machine.state.set_capacity(DiskCapacity::Scarce), eq(false));
    // Then no other one may begin, and that one goes on; what is kept is told.
    expect_that!(machine.reserve("new", reservation(2, 60)), eq(&Answer::NotReady));
    expect_that!(machine.account("new"), eq(&Answer::Account(vec![])));
    expect_that!(sum(&machine.reserve("old", reservation(3, 10))), eq(70));
    expect_that!(machine.keep(turn("b", Some("a"), &[1, 2])), eq(&Answer::Done));
    // When it is full, then no further turn is taken, and one that is kept is confirmed.
    machine.state.set_capacity(DiskCapacity::Full);
    expect_that!(machine.keep(turn("c", Some("b"), &[1, 2])), eq(&Answer::NotReady));
    expect_that!(machine.keep(turn("b", Some("a"), &[1, 2])), eq(&Answer::Done));
    expect_that!(matches!(machine.chain("b"), Answer::Chain { .. }), eq(true));
    expect_that!(sum(&machine.reserve("old", reservation(1, 20))), eq(30));
    // And what has expired is removed, after which it takes others again.
    expect_that!(machine.state.expire(100 * MINUTE), not(is_empty()));
    expect_that!(machine.state.set_capacity(DiskCapacity::Ample), eq(true));
    expect_that!(sum(&machine.reserve("new", reservation(2, 60))), eq(60));
    expect_that!(machine.keep(turn("c", None, &[1, 2])), eq(&Answer::Done));
}

#[gtest]
fn a_majority_with_room_still_lets_a_program_begin() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    fleet.at(1).state.set_capacity(DiskCapacity::Full);
    let answers = [1, 2, 3].map(|disk| fleet.at(disk).reserve("new", reservation(2, 60)));
    expect_that!(answers.iter().filter(|answer| matches!(answer, Answer::Account(_))).count(), eq(2));
}

#[gtest]
fn the_room_of_a_disk_goes_by_what_its_tables_leave() {
    const MB: u64 = 1_000_000;
    // Given 310 MB, of which the journals may take 134.
    let limit = 310 * MB;
    for (tables, capacity) in [
        (0, DiskCapacity::Ample),
        (150 * MB, DiskCapacity::Ample),
        (160 * MB, DiskCapacity::Scarce),
        (170 * MB, DiskCapacity::Scarce),
        (172 * MB, DiskCapacity::Full),
        (u64::MAX, DiskCapacity::Full),
    ] {
        expect_that!(DiskCapacity::from_usage(tables, limit), eq(capacity), "{tables} bytes");
    }
    // A small disk has half of it for tables, and one without a limit is never full.
    expect_that!(DiskCapacity::from_usage(44 * MB, 100 * MB), eq(DiskCapacity::Ample));
    expect_that!(DiskCapacity::from_usage(49 * MB, 100 * MB), eq(DiskCapacity::Full));
    expect_that!(DiskCapacity::from_usage(u64::MAX, 0), eq(DiskCapacity::Ample));
}

#[gtest]
fn before_the_founding_stores_take_and_tell_nothing() {
    // Given stores that have gathered, and are full as far as there is anything.
    let mut fleet = Fleet::gathering(&[1, 2, 3], 1);
    fleet.fill_all();
    for disk in 1..=3 {
        let machine = fleet.at(disk);
        expect_that!(machine.state.is_in_sync_for_next(), eq(true));
        expect_that!(machine.reserve("p", reservation(1, 1)), eq(&Answer::NotReady));
        expect_that!(machine.account("p"), eq(&Answer::NotReady));
        expect_that!(machine.keep(turn("a", None, &[1, 2])), eq(&Answer::NotReady));
        expect_that!(machine.chain("a"), eq(&Answer::Absent { complete: false }));
    }
    // When they are founded, then all of them take and tell.
    fleet.set_roster(roster(2, &[1, 2, 3], None));
    for disk in 1..=3 {
        let machine = fleet.at(disk);
        expect_that!(sum(&machine.reserve("p", reservation(1, 1))), eq(1));
        expect_that!(machine.keep(turn("a", None, &[1, 2])), eq(&Answer::Done));
        expect_that!(machine.chain("b"), eq(&Answer::Absent { complete: true }));
    }
}

#[gtest]
fn stores_fewer_than_the_losses_ask_for_take_writes_and_fill() {
    for (losses, machines) in [(1, 1), (1, 2), (2, 1), (2, 2), (2, 3), (2, 4)] {
        let disks: Vec<u64> = (1..=machines).collect();
        let mut fleet = Fleet::founded(&disks, losses);
        for disk in &disks {
            expect_that!(sum(&fleet.at(*disk).reserve("p", reservation(1, 5))), eq(5));
            expect_that!(fleet.at(*disk).keep(turn("a", None, &disks)), eq(&Answer::Done));
        }
        // When as many are lost as the copies allow, then one that takes their place has all.
        let survived = QuorumSizes::for_machines(disks.len(), losses).unwrap().losses_survived() as u64;
        fleet.down.extend(1..=survived);
        fleet.add(9);
        let next: Vec<u64> = (survived + 1..=machines).chain([9]).collect();
        fleet.change(&next);
        expect_that!(sum(&fleet.at(9).account("p")), eq(5), "{machines} machines, {losses} losses");
        expect_that!(matches!(fleet.at(9).chain("a"), Answer::Chain { .. }), eq(true));
    }
}

#[gtest]
fn a_store_outside_the_roster_takes_and_tells_nothing() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    fleet.at(1).keep(turn("a", None, &[1, 2]));
    fleet.add(4);
    fleet.spread();
    let machine = fleet.at(4);
    expect_that!(machine.reserve("p", reservation(1, 1)), eq(&Answer::NotReady));
    expect_that!(machine.account("p"), eq(&Answer::NotReady));
    expect_that!(machine.keep(turn("b", None, &[4])), eq(&Answer::NotReady));
    expect_that!(machine.chain("a"), eq(&Answer::Absent { complete: false }));
    expect_that!(
        machine.ask(&Call::Backfill { epoch: 1, disk: 1, cursor: Bytes::new() }),
        eq(&Answer::NotReady)
    );
    // And it is given nothing.
    expect_that!(
        fleet.at(1).ask(&Call::Backfill { epoch: 1, disk: 4, cursor: Bytes::new() }),
        eq(&Answer::NotReady)
    );
}

#[gtest]
fn a_retired_store_still_tells_a_turn_but_no_absence() {
    let mut fleet = Fleet::founded(&[1, 2, 3, 4], 1);
    fleet.at(4).keep(turn("a", None, &[4, 1]));
    fleet.change(&[1, 2, 3]);
    expect_that!(matches!(fleet.at(4).chain("a"), Answer::Chain { .. }), eq(true));
    expect_that!(fleet.at(4).chain("b"), eq(&Answer::Absent { complete: false }));
    expect_that!(fleet.at(1).chain("b"), eq(&Answer::Absent { complete: true }));
}

#[gtest]
fn a_store_that_is_not_full_never_says_complete_absence() {
    // Given a store in `current` that has not filled, and one in `next`, before and after filling.
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    fleet.at(1).keep(turn("a", None, &[1, 2]));
    fleet.add(4);
    fleet.set_roster(roster(2, &[1, 2, 3], Some(&[1, 2, 4])));
    expect_that!(fleet.at(4).chain("a"), eq(&Answer::Absent { complete: false }));
    expect_that!(fleet.backfill(4), eq(true));
    expect_that!(fleet.at(4).chain("x"), eq(&Answer::Absent { complete: false }));
    // A stranger to the change that finds itself in `current`.
    let mut machine = Machine::new(2, 1);
    machine.state.set_roster(&roster(3, &[1, 2, 4], None));
    expect_that!(machine.chain("a"), eq(&Answer::Absent { complete: false }));
    expect_that!(machine.reserve("p", reservation(1, 1)), eq(&Answer::NotReady));
    expect_that!(machine.account("p"), eq(&Answer::NotReady));
    expect_that!(machine.keep(turn("b", None, &[2])), eq(&Answer::NotReady));
    // The one that had filled says it once it is in `current`.
    fleet.set_roster(roster(3, &[1, 2, 4], None));
    expect_that!(fleet.at(4).chain("x"), eq(&Answer::Absent { complete: true }));
}

#[gtest]
fn a_member_of_next_takes_writes_and_is_not_read() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    fleet.add(4);
    fleet.set_roster(roster(2, &[1, 2, 3], Some(&[1, 2, 4])));
    expect_that!(sum(&fleet.at(4).reserve("p", reservation(1, 5))), eq(5));
    expect_that!(fleet.at(4).account("p"), eq(&Answer::NotReady));
    expect_that!(fleet.at(4).keep(turn("a", None, &[4, 1])), eq(&Answer::Done));
    expect_that!(matches!(fleet.at(4).chain("a"), Answer::Chain { .. }), eq(true));
}

#[gtest]
fn a_chain_is_told_oldest_first_up_to_what_is_held_elsewhere() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    let machine = fleet.at(1);
    machine.keep(turn("b", Some("a"), &[1, 2]));
    machine.keep(turn("c", Some("b"), &[1, 2]));
    let text = Bytes::from_static(b"in-b;out-b;in-c;out-c;");
    expect_that!(machine.chain("c"), eq(&Answer::Chain { text, missing: Some("a".into()) }));
    machine.keep(turn("a", None, &[1, 2]));
    let text = Bytes::from_static(b"in-a;out-a;in-b;out-b;");
    expect_that!(machine.chain("b"), eq(&Answer::Chain { text, missing: None }));
}

#[gtest]
fn turns_that_name_each_other_end_a_chain() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    fleet.at(1).keep(turn("a", Some("b"), &[1, 2]));
    fleet.at(1).keep(turn("b", Some("a"), &[1, 2]));
    let text = Bytes::from_static(b"in-b;out-b;in-a;out-a;");
    expect_that!(fleet.at(1).chain("a"), eq(&Answer::Chain { text, missing: None }));
    expect_that!(fleet.at(1).state.expire(0), is_empty());
}

#[gtest]
fn a_turn_kept_twice_stays_as_it_was_and_waits_for_the_sync() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    fleet.at(1).keep(turn("a", None, &[1, 2]));
    let mut again = turn("a", None, &[1, 2]);
    again.output = Bytes::from_static(b"other");
    let outcome = fleet.at(1).outcome(0, &Call::StoreTurn { epoch: 1, turn: again });
    expect_that!(outcome.answer, eq(&Answer::Done));
    expect_that!((outcome.durability, outcome.writes.len()), eq((Durability::Synced, 0)));
    let text = Bytes::from_static(b"in-a;out-a;");
    expect_that!(fleet.at(1).chain("a"), eq(&Answer::Chain { text, missing: None }));
}

#[gtest]
fn a_turn_not_written_yet_is_not_taken_for_absent() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    fleet.at(1).keep(turn("a", None, &[1, 2]));
    fleet.at(1).shelf.written.clear();
    expect_that!(fleet.at(1).chain("a"), eq(&Answer::NotReady));
    // Nor is it left out of a page.
    expect_that!(
        fleet.at(1).ask(&Call::Backfill { epoch: 1, disk: 2, cursor: Bytes::new() }),
        eq(&Answer::NotReady)
    );
}

#[gtest]
fn turns_expire_after_their_descendants() {
    // Given a chain whose end was kept a minute later.
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    let machine = fleet.at(1);
    let keep = |turn| Call::StoreTurn { epoch: 1, turn };
    machine.outcome(0, &keep(turn("a", None, &[1])));
    machine.outcome(0, &keep(turn("other", None, &[1])));
    machine.outcome(MINUTE, &keep(turn("b", Some("a"), &[1])));
    // When the time of the first is over, then only the one without descendants goes.
    let count = |machine: &Machine| machine.state.counts().0;
    machine.state.expire(2 * MINUTE - 1);
    expect_that!(count(machine), eq(3));
    expect_that!(machine.state.expire(2 * MINUTE).len(), eq(2));
    expect_that!(count(machine), eq(2));
    machine.state.expire(3 * MINUTE - 1);
    expect_that!(count(machine), eq(2));
    machine.state.expire(3 * MINUTE);
    expect_that!(count(machine), eq(0));
}

#[gtest]
fn a_chain_that_is_read_lives_on() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    let machine = fleet.at(1);
    machine.keep(turn("a", None, &[1]));
    machine.outcome(MINUTE, &Call::ReadChain { epoch: 1, attempt: "a".into() });
    expect_that!(machine.state.expire(3 * MINUTE - 1), is_empty());
}

#[gtest]
fn accounts_expire_ten_minutes_after_the_last_touch() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    let machine = fleet.at(1);
    machine.reserve("p", reservation(1, 5));
    machine.reserve("p", reservation(2, 5));
    machine.outcome(MINUTE, &Call::ReadAccount { epoch: 1, program: "p".into() });
    expect_that!(machine.state.expire(11 * MINUTE - 1), is_empty());
    expect_that!(machine.state.expire(11 * MINUTE).len(), eq(2));
    expect_that!(machine.account("p"), eq(&Answer::Account(vec![])));
}

#[gtest]
fn a_replaced_disk_gets_what_the_lost_one_held() {
    // Given turns and an account on three stores, of which one loses its disk and comes back as 4.
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    for (attempt, replicas) in [("a", [1, 3]), ("b", [2, 3]), ("c", [1, 2])] {
        for holder in replicas {
            fleet.at(holder).keep(turn(attempt, None, &replicas));
        }
    }
    for disk in [1, 3] {
        fleet.at(disk).reserve("p", reservation(1, 60));
    }
    fleet.down.insert(3);
    fleet.add(4);
    // When the fleet goes over to it.
    fleet.change(&[1, 2, 4]);
    // Then each turn is on two of those that are left, the untouched one where it was.
    for attempt in ["a", "b"] {
        let holding: Vec<u64> = fleet.holding(attempt).into_iter().filter(|disk| *disk != 3).collect();
        expect_that!(holding.len(), eq(2));
    }
    expect_that!(fleet.holding("c"), eq(&vec![1, 2]));
    expect_that!(fleet.at(4).chain("c"), eq(&Answer::Absent { complete: true }));
    // And the account, also where a minority had it.
    for disk in [1, 2, 4] {
        expect_that!(sum(&fleet.at(disk).account("p")), eq(60));
    }
}

#[gtest]
fn a_retired_store_leaves_enough_copies() {
    // Given four stores, and turns all over.
    let mut fleet = Fleet::founded(&[1, 2, 3, 4], 1);
    for number in 0..40_u64 {
        let replicas = [1 + number % 4, 1 + (number + 1 + number / 4 % 3) % 4];
        for holder in replicas {
            fleet.at(holder).keep(turn(&format!("t{number}"), None, &replicas));
        }
    }
    // When one is retired, and then goes away.
    fleet.change(&[1, 2, 3]);
    fleet.machines.remove(&4);
    // Then every turn is on two of the others, not more.
    for number in 0..40 {
        expect_that!(fleet.holding(&format!("t{number}")).len(), eq(2));
    }
}

#[gtest]
fn a_second_change_goes_by_the_holders_of_the_first() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    for holder in [1, 2] {
        fleet.at(holder).keep(turn("a", None, &[1, 2]));
    }
    // When one holder after another is replaced, each time without the old one.
    fleet.down.insert(1);
    fleet.add(4);
    fleet.change(&[2, 3, 4]);
    fleet.down.insert(2);
    fleet.add(5);
    fleet.change(&[3, 4, 5]);
    // Then the turn is still there.
    let left: Vec<u64> = fleet.holding("a").into_iter().filter(|disk| *disk > 2).collect();
    expect_that!(left.len(), eq(2));
}

#[gtest]
fn accounts_go_to_their_new_holders_only() {
    // Given five stores that outlive one loss: accounts are on three of them.
    let mut fleet = Fleet::founded(&[1, 2, 3, 4, 5], 1);
    let programs: Vec<String> = (0..30).map(|number| format!("program-{number}")).collect();
    for program in &programs {
        let replicas = account_replicas(&fleet.roster.current, program, 1);
        for holder in replicas.iter().map(|store| store.disk).collect::<Vec<_>>() {
            fleet.at(holder).reserve(program, reservation(1, 9));
        }
    }
    // When the fifth is replaced.
    fleet.down.insert(5);
    fleet.add(6);
    fleet.change(&[1, 2, 3, 4, 6]);
    // Then every holder has the account, and the new store no other.
    let mut of_new = 0;
    for program in &programs {
        let replicas = account_replicas(&fleet.roster.current, program, 1);
        for holder in replicas.iter().map(|store| store.disk).collect::<Vec<_>>() {
            expect_that!(sum(&fleet.at(holder).account(program)), eq(9));
            of_new += usize::from(holder == 6);
        }
    }
    expect_that!(fleet.at(6).state.counts().1, eq(of_new));
}

#[gtest]
fn a_store_with_damage_fills_again_and_is_no_source_until_then() {
    // Given a store that finds a turn unreadable.
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    for attempt in ["a", "b"] {
        for holder in [1, 2] {
            fleet.at(holder).keep(turn(attempt, None, &[1, 2]));
        }
    }
    fleet.at(1).shelf.lost.insert("a".into());
    expect_that!(fleet.at(1).chain("a"), eq(&Answer::Absent { complete: false }));
    // Then it takes nothing, gives nothing, and still tells what it has.
    expect_that!(fleet.at(1).reserve("p", reservation(1, 1)), eq(&Answer::NotReady));
    expect_that!(
        fleet.at(1).ask(&Call::Backfill { epoch: 1, disk: 2, cursor: Bytes::new() }),
        eq(&Answer::NotReady)
    );
    expect_that!(matches!(fleet.at(1).chain("b"), Answer::Chain { .. }), eq(true));
    // One of the others is not enough to fill from.
    fleet.down.insert(2);
    expect_that!(fleet.backfill(1), eq(false));
    expect_that!(fleet.at(1).state.is_in_sync(), eq(false));
    // When both are there, then it is whole again.
    fleet.down.clear();
    fleet.at(1).shelf.lost.clear();
    expect_that!(fleet.backfill(1), eq(true));
    expect_that!(fleet.holding("a"), eq(&vec![1, 2]));
    expect_that!(fleet.at(1).chain("x"), eq(&Answer::Absent { complete: true }));
}

#[gtest]
fn a_filling_counts_only_for_its_own_change() {
    // Given a store that has filled for a change.
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    fleet.add(4);
    fleet.set_roster(roster(2, &[1, 2, 3], Some(&[1, 2, 4])));
    let stale = fleet.at(4).state.backfill().unwrap();
    expect_that!(fleet.backfill(4), eq(true));
    expect_that!(fleet.at(4).state.is_in_sync_for_next(), eq(true));
    // While the same change goes on under the next epoch, it still counts.
    fleet.set_roster(roster(3, &[1, 2, 3], Some(&[1, 2, 4])));
    expect_that!(fleet.at(4).state.is_in_sync_for_next(), eq(true));
    // When the change was given up in between and comes again, it does not, seen or unseen.
    let mut seen = fleet;
    seen.set_roster(roster(4, &[1, 2, 3], None));
    seen.set_roster(roster(5, &[1, 2, 3], Some(&[1, 2, 4])));
    expect_that!(seen.at(4).state.is_in_sync_for_next(), eq(false));
    expect_that!(seen.backfill(4), eq(true));
    seen.set_roster(roster(9, &[1, 2, 3], Some(&[1, 2, 4])));
    expect_that!(seen.at(4).state.is_in_sync_for_next(), eq(false));
    // And a filling begun under another epoch marks nothing.
    expect_that!(seen.at(4).state.mark_in_sync(&stale), none());
    // Where the roster itself tells that it was told so, it counts.
    expect_that!(seen.backfill(4), eq(true));
    seen.set_roster(Roster { in_sync: vec![4], ..roster(12, &[1, 2, 3], Some(&[1, 2, 4])) });
    expect_that!(seen.at(4).state.is_in_sync_for_next(), eq(true));
}

#[gtest]
fn current_stores_stay_full_for_readers_while_they_fill_for_next() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    fleet.at(1).reserve("p", reservation(1, 5));
    fleet.add(4);
    fleet.set_roster(roster(2, &[1, 2, 3], Some(&[1, 2, 4])));
    fleet.fill_all();
    expect_that!(sum(&fleet.at(1).account("p")), eq(5));
    expect_that!(sum(&fleet.at(3).account("p")), eq(0));
    // When the change is given up, they are still full.
    fleet.set_roster(roster(3, &[1, 2, 3], None));
    expect_that!(fleet.at(1).state.is_in_sync(), eq(true));
}

#[gtest]
fn a_new_fleet_is_full_when_it_is_founded_also_with_one_down() {
    let mut fleet = Fleet::gathering(&[1, 2, 3], 1);
    fleet.down.insert(3);
    fleet.fill_all();
    fleet.set_roster(roster(2, &[1, 2, 3], None));
    expect_that!(sum(&fleet.at(1).reserve("p", reservation(1, 5))), eq(5));
    expect_that!(sum(&fleet.at(2).reserve("p", reservation(1, 5))), eq(5));
    // When the third comes, it gets what was written meanwhile.
    fleet.down.clear();
    fleet.spread();
    expect_that!(fleet.at(3).chain("x"), eq(&Answer::Absent { complete: false }));
    expect_that!(fleet.backfill(3), eq(true));
    expect_that!(sum(&fleet.at(3).account("p")), eq(5));
}

#[gtest]
fn a_new_fleet_that_changes_at_once_fills_though_nobody_has_seen_it_founded() {
    // Given a new fleet that was full when it was founded, of which nobody has heard that;
    let mut fleet = Fleet::gathering(&[1, 2, 3], 1);
    fleet.fill_all();
    // when a fourth joins at that moment, then all fill.
    fleet.add(4);
    fleet.set_roster(roster(3, &[1, 2, 3], Some(&[1, 2, 3, 4])));
    expect_that!(sum(&fleet.at(1).reserve("p", reservation(1, 5))), eq(5));
    for disk in 1..=4 {
        expect_that!(fleet.backfill(disk), eq(true), "store {disk}");
    }
    // But one that has taken a write and is not full gives nothing: it may lack what it answered for.
    fleet.set_roster(roster(4, &[1, 2, 3, 4], None));
    fleet.at(4).reserve("p", reservation(2, 5));
    fleet.set_roster(roster(5, &[1, 2, 4], None));
    let call = Call::Backfill { epoch: 5, disk: 1, cursor: Bytes::new() };
    expect_that!(fleet.at(4).ask(&call), eq(&Answer::NotReady));
}

#[gtest]
fn an_empty_store_that_was_not_waited_for_is_no_source_and_does_not_count_on_itself() {
    // Given a turn on 1 and 2; 2 is replaced by 4, which is not waited for,
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    for holder in [1, 2] {
        fleet.at(holder).keep(turn("a", None, &[1, 2]));
    }
    fleet.down.extend([2, 4]);
    fleet.add(4);
    fleet.set_roster(roster(2, &[1, 2, 3], Some(&[1, 3, 4])));
    expect_that!(fleet.backfill(1) && fleet.backfill(3), eq(true));
    fleet.set_roster(roster(3, &[1, 3, 4], None));
    // when it comes while 1 is away, then it does not fill from 3 alone, and says nothing of the turn,
    fleet.down.extend([1]);
    fleet.down.remove(&4);
    fleet.spread();
    let has_it = fleet.holding("a").contains(&3);
    expect_that!(fleet.backfill(4), eq(false));
    expect_that!(fleet.at(4).chain("a"), eq(&Answer::Absent { complete: false }));
    let call = Call::Backfill { epoch: 3, disk: 3, cursor: Bytes::new() };
    expect_that!(fleet.at(4).ask(&call), eq(&Answer::NotReady));
    // and with 1 it gets what it should.
    fleet.down.remove(&1);
    expect_that!(fleet.backfill(4), eq(true));
    let holding = fleet.holding("a");
    expect_that!(holding.contains(&4), eq(!has_it));
}

#[gtest]
fn damage_found_during_a_filling_that_counts_on_the_store_itself_voids_it() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    fleet.at(1).keep(turn("a", None, &[1, 2]));
    fleet.add(4);
    fleet.set_roster(roster(2, &[1, 2, 3], Some(&[1, 2, 4])));
    let mut backfill = fleet.at(1).state.backfill().unwrap();
    backfill.page_applied(3, None);
    expect_that!(backfill.is_done(), eq(true));
    fleet.at(1).shelf.lost.insert("a".into());
    fleet.at(1).chain("a");
    expect_that!(fleet.at(1).state.mark_in_sync(&backfill), none());
    expect_that!(fleet.at(1).state.backfill().is_some_and(|backfill| !backfill.is_done()), eq(true));
}

#[gtest]
fn fills_go_in_pages() {
    // Given more than a page of turns, of which one is larger than a page, and an account larger than a page.
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    for number in 0..20 {
        let mut big = turn(&format!("t{number:02}"), None, &[1, 4]);
        big.input = Bytes::from(vec![b'x'; if number == 7 { 300_000 } else { 50_000 }]);
        fleet.at(1).keep(big);
    }
    for attempt in 0..40_000 {
        fleet.at(1).reserve_quietly("", attempt);
        fleet.at(1).reserve_quietly("p", attempt);
    }
    fleet.down.insert(3);
    fleet.add(4);
    fleet.pages = 0;
    // When a new store fills, then all comes over, in pages as large as they may be.
    fleet.change(&[1, 2, 4]);
    expect_that!(fleet.at(4).state.counts().0, eq(20));
    for program in ["", "p"] {
        expect_that!(sum(&fleet.at(4).account(program)), eq(40_000));
    }
    expect_that!(fleet.pages, ge(10));
}

impl Machine {
    fn reserve_quietly(&mut self, program: &str, attempt: u64) {
        let writes = self.state.apply_page(0, vec![], vec![(program.into(), vec![reservation(attempt, 1)])]);
        assert_eq!(writes.len(), 1);
    }
}

#[gtest]
fn a_nonsense_cursor_is_no_panic() {
    let mut fleet = Fleet::founded(&[1, 2, 3], 1);
    let call = Call::Backfill { epoch: 1, disk: 2, cursor: Bytes::from_static(&[9, 9, 9]) };
    expect_that!(fleet.at(1).ask(&call), eq(&Answer::NotReady));
}

fn account_of(parts: &[&Vec<Reservation>]) -> Vec<Reservation> {
    let mut fleet = Fleet::founded(&[1], 0);
    for part in parts {
        fleet.at(1).state.apply_page(0, vec![], vec![("p".into(), (*part).clone())]);
    }
    let Answer::Account(account) = fleet.at(1).account("p") else { panic!("no account") };
    account
}

fn reservations() -> impl Strategy<Value = Vec<Reservation>> {
    let one = (0_u64..6, 0_u32..50).prop_map(|(attempt, tokens)| reservation(attempt, tokens));
    prop::collection::vec(one, 0..8)
}

proptest! {
    #[test]
    fn accounts_merge_in_any_order_any_grouping_and_any_number_of_times(
        a in reservations(), b in reservations(), c in reservations(),
    ) {
        let all = account_of(&[&a, &b, &c]);
        prop_assert_eq!(&all, &account_of(&[&c, &b, &a]));
        prop_assert_eq!(&all, &account_of(&[&account_of(&[&a, &b]), &c]));
        prop_assert_eq!(&all, &account_of(&[&a, &account_of(&[&b, &c])]));
        prop_assert_eq!(&all, &account_of(&[&a, &b, &c, &a, &b, &c]));
        let mut lowest = BTreeMap::new();
        for one in a.iter().chain(&b).chain(&c) {
            let tokens = lowest.entry(one.attempt).or_insert(one.tokens);
            *tokens = one.tokens.min(*tokens);
        }
        let lowest: Vec<_> = lowest.into_iter().map(|(attempt, tokens)| reservation(attempt, tokens)).collect();
        prop_assert_eq!(&all, &lowest);
    }
}
