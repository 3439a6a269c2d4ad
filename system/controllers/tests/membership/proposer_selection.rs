//! Selection of the control node to which operators' orders are forwarded.

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
const NON_VOTER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 9);
const NOW_MS: u64 = 50_000;

fn lease(holder: Ipv4Addr) -> Lease {
    Lease { token: 6, holder: Some(holder) }
}

/// The voter controller of `own_ip`, to which the nodes `responding` have just responded.
fn controller_with_responses(own_ip: Ipv4Addr, responding: &[Ipv4Addr]) -> VoterController {
    let mut controller = VoterController::new(own_ip);
    controller.observe(NOW_MS, &VOTERS);
    responding.iter().for_each(|ip| controller.record_response(NOW_MS, *ip));
    controller
}

fn highest_ranked(candidates: &[Ipv4Addr]) -> Ipv4Addr {
    candidates
        .iter()
        .copied()
        .max_by_key(|ip| rendezvous_rank(&ip.octets(), 6))
        .expect("at least one candidate")
}

#[gtest]
fn all_nodes_choose_the_lease_holder_while_it_responds() {
    let selection = ProposerSelection::default();
    for holder in VOTERS {
        for own_ip in VOTERS {
            let controller = controller_with_responses(own_ip, &VOTERS);
            expect_that!(
                selection.select(NOW_MS, own_ip, Some(&lease(holder)), &VOTERS, &controller),
                eq(holder)
            );
        }
    }
}

#[gtest]
fn without_the_holder_all_nodes_choose_the_same_responsive_voter() {
    let selection = ProposerSelection::default();
    let others = &VOTERS[1..];
    for own_ip in others {
        let controller = controller_with_responses(*own_ip, others);
        let chosen = selection.select(NOW_MS, *own_ip, Some(&lease(VOTERS[0])), &VOTERS, &controller);
        expect_that!(chosen, eq(highest_ranked(others)));
        // The last response of every other voter is too old, so the node proposes itself.
        let controller = controller_with_responses(*own_ip, &VOTERS);
        let later = NOW_MS + times::PROPOSER_TIMEOUT_MS;
        expect_that!(
            selection.select(later, *own_ip, Some(&lease(VOTERS[0])), &VOTERS, &controller),
            eq(*own_ip)
        );
    }
}

#[gtest]
fn a_node_that_did_not_answer_an_order_is_passed_over_for_a_while() {
    let mut selection = ProposerSelection::default();
    let (own_ip, holder) = (VOTERS[1], VOTERS[0]);
    selection.record_failure(NOW_MS, holder);
    let controller = controller_with_responses(own_ip, &VOTERS);
    let chosen = selection.select(NOW_MS, own_ip, Some(&lease(holder)), &VOTERS, &controller);
    expect_that!(chosen, eq(highest_ranked(&VOTERS[1..])));
    let after = NOW_MS + times::FAILED_PROPOSER_PAUSE_MS;
    let mut controller = controller_with_responses(own_ip, &VOTERS);
    controller.record_response(after, holder);
    expect_that!(selection.select(after, own_ip, Some(&lease(holder)), &VOTERS, &controller), eq(holder));
}

#[gtest]
fn without_a_responsive_voter_a_node_proposes_itself() {
    let selection = ProposerSelection::default();
    let controller = controller_with_responses(VOTERS[2], &[]);
    expect_that!(selection.select(NOW_MS, VOTERS[2], None, &VOTERS, &controller), eq(VOTERS[2]));
    expect_that!(selection.select(NOW_MS, VOTERS[2], None, &[], &controller), eq(VOTERS[2]));
    // A node that is not a voter selects one of the voters.
    let controller = controller_with_responses(NON_VOTER, &VOTERS);
    expect_that!(
        selection.select(NOW_MS, NON_VOTER, Some(&lease(VOTERS[3])), &VOTERS, &controller),
        eq(VOTERS[3])
    );
}
