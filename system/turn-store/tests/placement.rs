//! Where the copies of a turn go.

use fleet_model::{Roster, StorageNode};
use googletest::prelude::*;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use turn_store::{NodePreference, copies_needed, copy_order, has_copies};

fn store(disk: u64, zone: &str) -> StorageNode {
    StorageNode {
        name: format!("s{disk}"),
        ip: Ipv4Addr::new(10, 0, 0, disk as u8),
        zone: zone.to_owned(),
        disk,
    }
}

fn local_first(zone: &str) -> impl Fn(&StorageNode) -> NodePreference<u64> {
    move |store| NodePreference { is_down: false, is_remote: store.zone != zone, rank: store.disk }
}

fn needed(roster: &Roster, copies: usize) -> Option<Vec<u64>> {
    copies_needed(roster, &copy_order(roster, local_first("a")), copies)
}

#[gtest]
fn one_copy_is_local_and_the_other_in_another_zone() {
    // Given two machines in the proxy's zone.
    let current = vec![store(1, "a"), store(2, "a"), store(3, "b"), store(4, "c")];
    let roster = Roster { current, ..Roster::default() };
    // Then a turn goes to one of them and to another zone.
    expect_that!(needed(&roster, 2), some(eq(&vec![1, 3])));
    // And where zones do not suffice, a zone has two.
    expect_that!(needed(&roster, 4), some(eq(&vec![1, 3, 4, 2])));
    // And where machines do not suffice for the copies, each of them has one; without machines nothing is kept.
    expect_that!(needed(&roster, 5), some(eq(&vec![1, 3, 4, 2])));
    expect_that!(needed(&Roster::default(), 1), none());
}

#[gtest]
fn a_machine_that_does_not_answer_comes_last() {
    let current = vec![store(1, "a"), store(2, "b"), store(3, "c")];
    let roster = Roster { current, ..Roster::default() };
    let order = copy_order(&roster, |store| NodePreference {
        is_down: store.disk == 1,
        is_remote: store.zone != "a",
        rank: store.disk,
    });
    expect_that!(copies_needed(&roster, &order, 2), some(eq(&vec![2, 3])));
}

#[gtest]
fn while_the_roster_changes_each_of_its_sets_holds_the_turn() {
    // Given a change that adds two machines, the only ones in the proxy's zone.
    let current = vec![store(3, "b"), store(4, "c"), store(5, "d")];
    let next = Some([current.clone(), vec![store(1, "a"), store(2, "a")]].concat());
    let roster = Roster { current, next, ..Roster::default() };
    // Then a turn goes to machines of both sets: the new ones alone would leave a reader of the old set without it.
    expect_that!(needed(&roster, 2), some(eq(&vec![3, 4])));
    expect_false!(has_copies(&roster, &BTreeSet::from([1, 2]), 2));
    expect_false!(has_copies(&roster, &BTreeSet::from([1, 3]), 2));
    expect_true!(has_copies(&roster, &BTreeSet::from([1, 3, 4]), 2));
    // And one that leaves counts for the old set only.
    let roster = Roster { next: Some(vec![store(3, "b"), store(4, "c"), store(1, "a")]), ..roster };
    expect_false!(has_copies(&roster, &BTreeSet::from([3, 5]), 2));
    expect_true!(has_copies(&roster, &BTreeSet::from([3, 5, 1]), 2));
}
