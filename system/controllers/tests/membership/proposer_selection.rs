//! To which control node operators' orders go.

use controllers::{ProposerSelection, VoterController, times};
use fleet_model::{Lease, rendezvous_rank};
use googletest::prelude::*;
use std::net::Ipv4Addr;

const VOTERS: [Ipv4Addr; 4] = [
    Ipv4Addr::new(10, 0, 0, 1),
    Ipv4Addr::new(10, 0, 0, 2),
    Ipv4Addr::new(10, 0, 0, 3),
    Ipv4Addr::new(10, 0, 0, 4),
];
const NEWCOMER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 9);
const NOW_MS: u64 = 50_000;

fn lease(holder: Ipv4Addr) -> Lease {
    Lease { token: 6, holder: Some(holder) }
}

/// The controller of `me`, to which these have just responded.
fn responded(me: Ipv4Addr, responding: &[Ipv4Addr]) -> VoterController {
    let mut controller = VoterController::new(me);
    controller.observe(NOW_MS, &VOTERS);
    responding.iter().for_each(|ip| controller.record_response(NOW_MS, *ip));
    controller
}

fn highest_ranked(among: &[Ipv4Addr]) -> Ipv4Addr {
    among.iter().copied().max_by_key(|ip| rendezvous_rank(&ip.octets(), 6)).expect("some")
}

#[gtest]
fn all_nodes_choose_the_lease_holder_while_it_responds() {
    let selection = ProposerSelection::default();
    for holder in VOTERS {
        for me in VOTERS {
            let core = responded(me, &VOTERS);
            expect_that!(selection.select(NOW_MS, me, Some(&lease(holder)), &VOTERS, &core), eq(holder));
        }
    }
}

#[gtest]
fn without_the_holder_all_nodes_choose_the_same_responsive_voter() {
    let selection = ProposerSelection::default();
    let others = &VOTERS[1..];
    for me in others {
        let core = responded(*me, others);
        let chosen = selection.select(NOW_MS, *me, Some(&lease(VOTERS[0])), &VOTERS, &core);
        expect_that!(chosen, eq(highest_ranked(others)));
        // The holder responded, but too long ago.
        let core = responded(*me, &VOTERS);
        let later = NOW_MS + times::PROPOSER_TIMEOUT_MS;
        expect_that!(selection.select(later, *me, Some(&lease(VOTERS[0])), &VOTERS, &core), eq(*me));
    }
}

#[gtest]
fn a_node_that_did_not_answer_an_order_is_passed_over_for_a_while() {
    let mut selection = ProposerSelection::default();
    let (me, holder) = (VOTERS[1], VOTERS[0]);
    selection.record_failure(NOW_MS, holder);
    let core = responded(me, &VOTERS);
    let chosen = selection.select(NOW_MS, me, Some(&lease(holder)), &VOTERS, &core);
    expect_that!(chosen, eq(highest_ranked(&VOTERS[1..])));
    let after = NOW_MS + times::FAILED_PROPOSER_PAUSE_MS;
    let mut core = responded(me, &VOTERS);
    core.record_response(after, holder);
    expect_that!(selection.select(after, me, Some(&lease(holder)), &VOTERS, &core), eq(holder));
}

#[gtest]
fn a_node_that_knows_of_nobody_proposes_itself() {
    let selection = ProposerSelection::default();
    let alone = responded(VOTERS[2], &[]);
    expect_that!(selection.select(NOW_MS, VOTERS[2], None, &VOTERS, &alone), eq(VOTERS[2]));
    expect_that!(selection.select(NOW_MS, VOTERS[2], None, &[], &alone), eq(VOTERS[2]));
    // One that is no voter chooses among those that are.
    let core = responded(NEWCOMER, &VOTERS);
    expect_that!(selection.select(NOW_MS, NEWCOMER, Some(&lease(VOTERS[3])), &VOTERS, &core), eq(VOTERS[3]));
}
