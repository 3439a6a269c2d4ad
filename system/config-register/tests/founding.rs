//! When a founder sends the initial value to seeds without a record, and when it must not.

use config_register::{AcceptorRecord, FOUNDING_DELAY_MS, Founder, founded_record, founding_record};
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest};
use std::net::Ipv4Addr;

const NONE: [Ipv4Addr; 0] = [];

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn initial_record(seeds: u8) -> AcceptorRecord {
    founding_record((1..=seeds).map(ip).collect())
}

fn founder(seeds: u8) -> Founder {
    Founder::new(ip(1), &initial_record(seeds)).unwrap()
}

fn unused() -> Option<RegisterReply> {
    Some(RegisterReply::Polled { accepted: Some(Ballot::default()), chosen: Ballot::default() })
}

fn empty() -> Option<RegisterReply> {
    Some(RegisterReply::Recovering)
}

fn first_ballot() -> Ballot {
    Ballot { round: 1, proposer: 2, incarnation: 3 }
}

/// The seeds that are founded if the others, from the second one on, give the same replies for `duration_ms`.
fn founded_after(replies: &[Option<RegisterReply>], duration_ms: u64) -> Vec<Ipv4Addr> {
    let replies: Vec<_> = (2..).map(ip).zip(replies.iter().cloned()).collect();
    let mut founder = founder(replies.len() as u8 + 1);
    founder.on_polled(1_000, &replies);
    founder.on_polled(1_000 + duration_ms, &replies).into_iter().map(|request| request.to).collect()
}

#[test]
fn seeds_without_a_record_are_founded_once_the_replies_agree_for_long_enough() {
    assert_eq!(founded_after(&[empty(), empty()], FOUNDING_DELAY_MS), [ip(2), ip(3)]);
    assert_eq!(founded_after(&[empty(), empty()], FOUNDING_DELAY_MS - 1), NONE);
    assert_eq!(
        founded_after(&[empty(), unused(), empty(), empty()], FOUNDING_DELAY_MS),
        [ip(2), ip(4), ip(5)]
    );
}

#[test]
fn seeds_that_can_recover_by_themselves_are_not_founded() {
    assert_eq!(founded_after(&[empty(), unused()], FOUNDING_DELAY_MS), NONE);
    assert_eq!(founded_after(&[empty(), unused(), empty(), unused()], FOUNDING_DELAY_MS), NONE);
}

#[test]
fn a_seed_that_may_have_voted_prevents_the_founding() {
    let accepted = Some(RegisterReply::Polled { accepted: Some(first_ballot()), chosen: Ballot::default() });
    let learned = Some(RegisterReply::Polled { accepted: Some(Ballot::default()), chosen: first_ballot() });
    let nothing = Some(RegisterReply::Polled { accepted: None, chosen: Ballot::default() });
    for reply in [accepted, learned, nothing, None] {
        let replies = [empty(), reply.clone(), empty(), empty()];
        assert_eq!(founded_after(&replies, FOUNDING_DELAY_MS), NONE, "{reply:?}");
    }
}

#[test]
fn a_reply_that_is_missing_once_restarts_the_delay() {
    let mut founder = founder(3);
    let agree = [(ip(2), empty()), (ip(3), empty())];
    founder.on_polled(0, &agree);
    founder.on_polled(FOUNDING_DELAY_MS - 1, &[(ip(2), empty()), (ip(3), None)]);
    assert!(founder.on_polled(FOUNDING_DELAY_MS, &agree).is_empty());
    assert!(founder.on_polled(2 * FOUNDING_DELAY_MS - 1, &agree).is_empty());
    assert_eq!(founder.on_polled(2 * FOUNDING_DELAY_MS, &agree).len(), 2);
}

#[test]
fn a_founder_that_has_accepted_a_value_is_not_unused() {
    let founder = founder(3);
    let initial = initial_record(3).accepted.unwrap();
    assert!(founder.is_unused(Some(&initial)));
    assert!(!founder.is_unused(Some(&AcceptedValue { ballot: first_ballot(), ..initial })));
    assert!(!founder.is_unused(None));
}

#[test]
fn only_a_seed_is_founded_and_only_by_the_initial_value() {
    let initial = initial_record(3).accepted.unwrap();
    let accept = |value: &AcceptedValue| RegisterRequest::Accept(value.clone());
    assert_eq!(founded_record(ip(2), &accept(&initial)), Some(initial_record(3)));
    assert_eq!(founded_record(ip(9), &accept(&initial)), None);
    assert_eq!(founded_record(ip(2), &RegisterRequest::Prepare(Ballot::default())), None);
    let later = AcceptedValue { ballot: first_ballot(), ..initial.clone() };
    assert_eq!(founded_record(ip(2), &accept(&later)), None);
    let mut changed = initial;
    changed.value.epoch = 1;
    assert_eq!(founded_record(ip(2), &accept(&changed)), None);
}
