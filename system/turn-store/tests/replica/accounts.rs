//! Token reservations and their settlement.

use crate::cluster::{Cluster, MINUTE, reservation, sum};
use fleet_model::{Answer, Call, Reservation};
use googletest::prelude::*;
use proptest::prelude::{Strategy, prop, prop_assert_eq, proptest};
use std::collections::BTreeMap;
use turn_store::Durability;

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
