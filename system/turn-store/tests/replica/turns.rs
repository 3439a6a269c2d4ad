//! Storing turns, reading chains of them, and their expiry.

use crate::cluster::{Cluster, MINUTE, Machine, turn};
use bytes::Bytes;
use fleet_model::{Answer, Call, Turn};
use googletest::prelude::*;
use turn_store::Durability;

#[gtest]
fn a_chain_is_read_oldest_first_back_to_the_first_missing_turn() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    let machine = cluster.at(1);
    machine.run_controller(turn("b", Some("a"), &[1, 2]));
    machine.run_controller(turn("c", Some("b"), &[1, 2]));
    let text = Bytes::from_static(b"in-b;out-b;in-c;out-c;");
    expect_that!(
        machine.read_chain("c"),
        eq(&Answer::Chain { text, missing: Some("a".into()), served_by: None })
    );
    machine.run_controller(turn("a", None, &[1, 2]));
    let text = Bytes::from_static(b"in-a;out-a;in-b;out-b;");
    expect_that!(machine.read_chain("b"), eq(&Answer::Chain { text, missing: None, served_by: None }));
}

#[gtest]
fn a_chain_names_the_endpoint_that_served_its_last_turn() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    let machine = cluster.at(1);
    let store = |turn: Turn, served_by: Option<&str>| Call::StoreTurn {
        epoch: 1,
        turn,
        served_by: served_by.map(Into::into),
    };
    machine.ask(&store(turn("a", None, &[1, 2]), Some("i-1")));
    machine.ask(&store(turn("b", Some("a"), &[1, 2]), None));
    machine.ask(&store(turn("c", Some("b"), &[1, 2]), Some("i-3")));
    let served_by = |answer: Answer| match answer {
        Answer::Chain { served_by, .. } => served_by,
        _ => None,
    };
    expect_that!(served_by(machine.read_chain("a")), some(eq("i-1")));
    expect_that!(served_by(machine.read_chain("b")), none());
    expect_that!(served_by(machine.read_chain("c")), some(eq("i-3")));
}

#[gtest]
fn a_cycle_of_turns_ends_a_chain() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    cluster.at(1).run_controller(turn("a", Some("b"), &[1, 2]));
    cluster.at(1).run_controller(turn("b", Some("a"), &[1, 2]));
    let text = Bytes::from_static(b"in-b;out-b;in-a;out-a;");
    expect_that!(cluster.at(1).read_chain("a"), eq(&Answer::Chain { text, missing: None, served_by: None }));
    expect_that!(cluster.at(1).state.expire(0), is_empty());
}

#[gtest]
fn a_turn_stored_twice_is_unchanged_and_waits_for_the_sync() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    cluster.at(1).run_controller(turn("a", None, &[1, 2]));
    let mut again = turn("a", None, &[1, 2]);
    again.output = Bytes::from_static(b"other");
    let outcome = cluster.at(1).outcome(0, &Call::StoreTurn { epoch: 1, turn: again, served_by: None });
    expect_that!(outcome.answer, eq(&Answer::Done));
    expect_that!((outcome.durability, outcome.writes.len()), eq((Durability::Synced, 0)));
    let text = Bytes::from_static(b"in-a;out-a;");
    expect_that!(cluster.at(1).read_chain("a"), eq(&Answer::Chain { text, missing: None, served_by: None }));
}

#[gtest]
fn a_turn_not_written_yet_is_not_reported_as_absent() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    cluster.at(1).run_controller(turn("a", None, &[1, 2]));
    cluster.at(1).payloads.written.clear();
    expect_that!(cluster.at(1).read_chain("a"), eq(&Answer::NotReady));
    // Nor is it left out of a page.
    expect_that!(
        cluster.at(1).ask(&Call::Backfill { epoch: 1, disk: 2, cursor: Bytes::new() }),
        eq(&Answer::NotReady)
    );
}

#[gtest]
fn turns_expire_after_their_descendants() {
    // Given a chain whose end was kept a minute later.
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    let machine = cluster.at(1);
    let run_controller = |turn| Call::StoreTurn { epoch: 1, turn, served_by: None };
    machine.outcome(0, &run_controller(turn("a", None, &[1])));
    machine.outcome(0, &run_controller(turn("other", None, &[1])));
    machine.outcome(MINUTE, &run_controller(turn("b", Some("a"), &[1])));
    // When the time of the first is over, then only the one without descendants goes.
    let count = |machine: &Machine| machine.state.counts().turns;
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
fn reading_a_chain_renews_its_retention() {
    let mut cluster = Cluster::founded(&[1, 2, 3], 1);
    let machine = cluster.at(1);
    machine.run_controller(turn("a", None, &[1]));
    machine.outcome(MINUTE, &Call::ReadChain { epoch: 1, attempt: "a".into() });
    expect_that!(machine.state.expire(3 * MINUTE - 1), is_empty());
}
