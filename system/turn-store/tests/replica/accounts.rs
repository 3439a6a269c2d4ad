//! Token reservations and their settlement.

use crate::cluster::{Cluster, MINUTE, reservation, sum};
use fleet_model::{Answer, Call, Reservation};
use googletest::prelude::*;
use proptest::prelude::{Strategy, prop, prop_assert_eq, proptest};
use std::collections::BTreeMap;
use turn_store::{Durability, ReplicaState, STATE, Stored};

#[gtest]
fn concurrent_reservations_see_each_other() {
    // Given a founded fleet, and two reservations that reach the three replicas in different orders.
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    let (one, two) = (reservation(1, 60), reservation(2, 70));
    cluster.at(1).reserve("p", one);
    cluster.at(2).reserve("p", two);
    cluster.at(3).reserve("p", one);
    // When the second of each arrives, then its answer tells both: at most one of two can miss the other.
    expect_that!(sum(&cluster.at(1).reserve("p", two)), eq(130));
    expect_that!(sum(&cluster.at(2).reserve("p", one)), eq(130));
    expect_that!(sum(&cluster.at(3).reserve("p", two)), eq(130));
}

#[gtest]
fn a_reservation_counts_once_at_its_lowest() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    let machine = cluster.at(1);
    expect_that!(sum(&machine.reserve("p", reservation(1, 60))), eq(60));
    expect_that!(sum(&machine.reserve("p", reservation(1, 60))), eq(60));
    // When the try settles with less, and its reservation comes late once more, and a higher settlement too.
    for tokens in [10, 60, 20] {
        let call = Call::Settle { epoch: 1, program: "p".into(), reservation: reservation(1, tokens) };
        expect_that!(machine.ask(&call), eq(&Answer::Done));
    }
    // Then the lowest holds.
    expect_that!(sum(&machine.reserve("p", reservation(1, 60))), eq(10));
    expect_that!(sum(&machine.read_account("p")), eq(10));
    expect_that!(machine.read_account("q"), eq(&Answer::Account(vec![])));
}

#[gtest]
fn a_reservation_waits_for_the_sync_and_a_settlement_does_not() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    let reserve = Call::Reserve { epoch: 1, program: "p".into(), reservation: reservation(1, 60) };
    let settle = Call::Settle { epoch: 1, program: "p".into(), reservation: reservation(1, 10) };
    // A repeated reservation is written again: the first may not be synced yet.
    for _ in 0..2 {
        let outcome = cluster.at(1).outcome(0, &reserve);
        expect_that!((outcome.durability, outcome.writes.len()), eq((Durability::Synced, 1)));
    }
    let outcome = cluster.at(1).outcome(0, &settle);
    expect_that!((outcome.durability, outcome.writes.len()), eq((Durability::Deferred, 1)));
    let outcome = cluster.at(1).outcome(0, &settle);
    expect_that!((outcome.durability, outcome.writes.len()), eq((Durability::NoWrites, 0)));
}

#[gtest]
fn accounts_expire_ten_minutes_after_the_last_access() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    let machine = cluster.at(1);
    machine.reserve("p", reservation(1, 5));
    machine.reserve("p", reservation(2, 5));
    machine.outcome(MINUTE, &Call::ReadAccount { epoch: 1, program: "p".into() });
    expect_that!(machine.state.expire(11 * MINUTE - 1), is_empty());
    expect_that!(machine.state.expire(11 * MINUTE).len(), eq(2));
    expect_that!(machine.read_account("p"), eq(&Answer::Account(vec![])));
}

const HOUR: u64 = 60 * MINUTE;

fn read_account_at(now_ms: u64, program: &str) -> (u64, Call) {
    (now_ms, Call::ReadAccount { epoch: 1, program: program.into() })
}

#[gtest]
fn an_account_is_retained_for_the_longest_retention_since_its_last_access() {
    // Given an account that was accessed while turns were retained for a minute.
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    let machine = cluster.at(1);
    machine.state.set_account_retention(MINUTE);
    machine.reserve("stopped", reservation(1, 5));
    // When a configuration retains turns for an hour, and a later one for a minute again,
    machine.state.set_account_retention(HOUR);
    expect_that!(machine.state.account_retention_ms(), eq(HOUR));
    machine.state.set_account_retention(MINUTE);
    let later = Call::Reserve { epoch: 1, program: "later".into(), reservation: reservation(2, 5) };
    machine.outcome(MINUTE, &later);
    // then the program finds its account for an hour, and a program of later on for the shortest retention.
    machine.state.expire(12 * MINUTE);
    expect_that!(machine.state.counts().accounts, eq(1));
    machine.state.expire(HOUR - 1);
    let (now_ms, read) = read_account_at(HOUR - 1, "stopped");
    expect_that!(machine.ask_at(now_ms, &read), eq(&Answer::Account(vec![reservation(1, 5)])));
    machine.state.expire(HOUR + 10 * MINUTE);
    expect_that!(machine.state.counts().accounts, eq(0));
    expect_that!(machine.state.account_retention_ms(), eq(10 * MINUTE));
}

#[gtest]
fn an_access_under_a_shorter_retention_does_not_shorten_the_remaining_one() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    let machine = cluster.at(1);
    machine.state.set_account_retention(HOUR);
    machine.reserve("p", reservation(1, 5));
    machine.state.set_account_retention(MINUTE);
    let (now_ms, read) = read_account_at(MINUTE, "p");
    machine.ask_at(now_ms, &read);
    machine.state.expire(HOUR - 1);
    expect_that!(machine.state.counts().accounts, eq(1));
    machine.state.expire(HOUR);
    expect_that!(machine.state.counts().accounts, eq(0));
}

#[gtest]
fn the_retention_of_accounts_survives_a_restart_under_a_shorter_one() {
    // Given a disk that was written while turns were retained for an hour.
    let mut stored = Stored::default();
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    for write in cluster.at(1).state.set_account_retention(HOUR) {
        expect_that!(write.keyspace, eq(STATE));
        stored.read_state(&write.key, &write.value.unwrap()).unwrap();
    }
    expect_that!(stored.account_retention_ms, eq(HOUR));
    stored.accounts.push(("p".into(), reservation(1, 5)));
    // When the machine starts again, and learns of a configuration that retains them for a minute,
    let mut state = ReplicaState::new(0, 1, 1, stored);
    expect_that!(state.set_account_retention(MINUTE), is_empty());
    // then the account is there for an hour; once it is gone, the disk states the shorter retention.
    expect_that!(state.expire(HOUR - 1), is_empty());
    let writes = state.expire(HOUR);
    let last = writes.last().unwrap();
    let mut read_again = Stored::default();
    read_again.read_state(&last.key, last.value.as_ref().unwrap()).unwrap();
    expect_that!((writes.len(), read_again.account_retention_ms), eq((2, 10 * MINUTE)));
}

#[gtest]
fn accounts_are_bounded_in_memory_and_refused_beyond() {
    // Given as many programs with long names as there is memory for.
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    let machine = cluster.at(1);
    let program = |number: usize| format!("{number:04096}");
    let mut accounts = 0;
    while machine.reserve(&program(accounts), reservation(1, 5)) != Answer::NotReady {
        accounts += 1;
        assert!(accounts < 100_000, "no bound");
    }
    expect_that!(machine.state.counts().account_bytes, lt(49 << 20));
    // Then those that have an account go on, and others do once these have expired.
    expect_that!(machine.reserve(&program(0), reservation(2, 5)), not(eq(&Answer::NotReady)));
    expect_that!(machine.reserve("new", reservation(1, 5)), eq(&Answer::NotReady));
    machine.state.expire(HOUR);
    expect_that!(machine.state.counts().account_bytes, eq(0));
    expect_that!(machine.reserve("new", reservation(1, 5)), not(eq(&Answer::NotReady)));
}

fn account_of(parts: &[&Vec<Reservation>]) -> Vec<Reservation> {
    let mut cluster = Cluster::founded(&[1], 0);
    for part in parts {
        cluster.at(1).state.apply_page(0, vec![], vec![("p".into(), (*part).clone())]);
    }
    let Answer::Account(read_account) = cluster.at(1).read_account("p") else { panic!("no account") };
    read_account
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
