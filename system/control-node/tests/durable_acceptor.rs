//! An acceptor's reply must not be sent before the record on which it depends is on disk, whichever writes fail.

use bytes::Bytes;
use config_register::{AcceptorRecord, founding_record};
use control_node::{DurableAcceptor, PendingWrite, WriteNumber, WriteOutcome};
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest, RegisterValue};
use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::net::Ipv4Addr;

fn voters() -> Vec<Ipv4Addr> {
    (1..=3).map(|last| Ipv4Addr::new(10, 0, 0, last)).collect()
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 1, incarnation: 1 }
}

fn prepare(round: u64) -> RegisterRequest {
    RegisterRequest::Prepare(ballot(round))
}

fn value(round: u64) -> AcceptedValue {
    let payload = Bytes::from(format!("value {round}"));
    AcceptedValue { ballot: ballot(round), value: RegisterValue { epoch: 0, voters: voters(), payload } }
}

fn accept(round: u64) -> RegisterRequest {
    RegisterRequest::Accept(value(round))
}

fn poll() -> RegisterRequest {
    RegisterRequest::Poll { chosen: Ballot::default() }
}

fn founding_acceptor() -> DurableAcceptor {
    DurableAcceptor::new(Some(founding_record(voters())))
}

fn start_write(acceptor: &mut DurableAcceptor, request: &RegisterRequest) -> PendingWrite {
    acceptor.handle(request).write.expect("the request changes the state")
}

fn polled_ballot(acceptor: &mut DurableAcceptor) -> Option<Ballot> {
    match acceptor.handle(&poll()).reply {
        RegisterReply::Polled { accepted, .. } => accepted,
        other => panic!("{other:?}"),
    }
}

#[gtest]
fn a_failed_write_reverts_the_promise() {
    // Given a promise whose write fails
    let mut acceptor = founding_acceptor();
    let pending_reply = acceptor.handle(&prepare(5));
    let write = pending_reply.write.expect("a promise is written");
    expect_that!(pending_reply.after, some(eq(write.number)));
    expect_that!(acceptor.on_write_completed(write.number, false), eq(true));
    // then its reply is never sent, the disk counts as failing, and the promise is dropped from memory:
    expect_that!(acceptor.outcome(write.number), eq(WriteOutcome::Failed));
    expect_that!((acceptor.disk().is_failing, acceptor.disk().failed_writes), eq((true, 1)));
    expect_that!(acceptor.newest_record(), eq(acceptor.synced_record()));
    // a lower ballot is promised, and once that write succeeds the node votes again.
    let pending_reply = acceptor.handle(&prepare(3));
    expect_that!(pending_reply.reply, matches_pattern!(RegisterReply::Promised(_)));
    let retried = pending_reply.write.expect("a promise is written");
    expect_that!(acceptor.on_write_completed(retried.number, true), eq(true));
    expect_that!(acceptor.outcome(retried.number), eq(WriteOutcome::Synced));
    expect_that!(acceptor.disk().is_failing, eq(false));
    // The first write remains failed even though a write of a later generation is synced.
    expect_that!(acceptor.outcome(write.number), eq(WriteOutcome::Failed));
}

#[gtest]
fn reads_do_not_wait_for_the_disk_and_return_the_synced_state() {
    // Given a vote whose write is in flight
    let mut acceptor = founding_acceptor();
    let write = start_write(&mut acceptor, &accept(4));
    // when the acceptor handles reads, then it answers immediately with the state before the vote,
    let pending_reply = acceptor.handle(&poll());
    expect_that!(pending_reply.after, none());
    expect_that!(polled_ballot(&mut acceptor), some(eq(Ballot::default())));
    let fetched = acceptor.handle(&RegisterRequest::Fetch);
    expect_that!(fetched.after, none());
    // and with the state after the vote once the write is synced.
    acceptor.on_write_completed(write.number, true);
    expect_that!(polled_ballot(&mut acceptor), some(eq(ballot(4))));
}

#[gtest]
fn a_repeated_reply_waits_for_the_same_write() {
    let mut acceptor = founding_acceptor();
    let write = start_write(&mut acceptor, &prepare(4));
    let repeated = acceptor.handle(&prepare(4));
    expect_that!(repeated.write, none());
    expect_that!(repeated.after, some(eq(write.number)));
    // So does a rejection, which reveals the promise.
    expect_that!(acceptor.handle(&prepare(2)).after, some(eq(write.number)));
    acceptor.on_write_completed(write.number, true);
    expect_that!(acceptor.handle(&prepare(4)).after, none());
}

#[gtest]
fn a_later_write_supersedes_a_failed_one() {
    // Given two votes in flight, the first of which fails to be written
    let mut acceptor = founding_acceptor();
    let first = start_write(&mut acceptor, &prepare(4));
    let second = start_write(&mut acceptor, &accept(4));
    acceptor.on_write_completed(first.number, false);
    expect_that!(acceptor.disk().is_failing, eq(true));
    // when the second write succeeds, then both votes are on disk.
    acceptor.on_write_completed(second.number, true);
    expect_that!(acceptor.outcome(second.number), eq(WriteOutcome::Synced));
    expect_that!(acceptor.disk().is_failing, eq(false));
    expect_that!(polled_ballot(&mut acceptor), some(eq(ballot(4))));
    // The same applies if the first write is skipped in favor of the second.
    let first = start_write(&mut acceptor, &prepare(6));
    let second = start_write(&mut acceptor, &accept(6));
    acceptor.on_write_completed(second.number, true);
    expect_that!(acceptor.outcome(first.number), eq(WriteOutcome::Synced));
    expect_that!(acceptor.is_writing(), eq(false));
    expect_that!(acceptor.newest_record(), eq(acceptor.synced_record()));
    expect_that!(polled_ballot(&mut acceptor), some(eq(ballot(6))));
}

#[gtest]
fn an_acceptor_without_a_record_votes_only_after_one_is_synced() {
    let mut acceptor = DurableAcceptor::new(None);
    expect_that!(acceptor.handle(&prepare(1)).reply, eq(&RegisterReply::Recovering));
    let write = acceptor.recover(founding_record(voters()));
    expect_that!(acceptor.handle(&prepare(1)).reply, eq(&RegisterReply::Recovering));
    acceptor.on_write_completed(write.number, false);
    expect_that!((acceptor.has_record(), acceptor.outcome(write.number)), eq((false, WriteOutcome::Failed)));
    let write = acceptor.recover(founding_record(voters()));
    acceptor.on_write_completed(write.number, true);
    expect_that!(acceptor.has_record(), eq(true));
    expect_that!(acceptor.handle(&prepare(1)).reply, matches_pattern!(RegisterReply::Promised(_)));
}

/// A disk on which writes succeed or fail one at a time. A later write replaces a queued one.
struct Disk {
    record: AcceptorRecord,
    queued: Option<PendingWrite>,
    /// A write that has succeeded (true) or failed, and is not reported to the acceptor yet.
    completed: Option<(WriteNumber, bool)>,
}

/// Whether the record on disk contains everything that the reply reveals.
fn is_durable(reply: &RegisterReply, request: &RegisterRequest, disk_record: &AcceptorRecord) -> bool {
    let accepted = disk_record.accepted.as_ref().map(|value| value.ballot);
    match (reply, request) {
        (RegisterReply::Promised(reported), RegisterRequest::Prepare(ballot)) => {
            disk_record.promised >= *ballot && reported.as_ref().map(|value| value.ballot) <= accepted
        }
        (RegisterReply::Accepted, RegisterRequest::Accept(offered)) => {
            disk_record.promised >= offered.ballot && accepted >= Some(offered.ballot)
        }
        (RegisterReply::Rejected(promised), _) => disk_record.promised >= *promised,
        (RegisterReply::Polled { accepted: reported, .. }, _) => *reported <= accepted,
        (RegisterReply::Fetched(reported), _) => reported.as_ref().map(|value| value.ballot) <= accepted,
        _ => false,
    }
}

#[gtest]
fn no_reply_is_released_before_its_record_is_on_disk() {
    let mut released = 0;
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut below = |limit: u64| rng.next_u64() % limit;
        let mut acceptor = founding_acceptor();
        let mut disk = Disk { record: founding_record(voters()), queued: None, completed: None };
        let mut unreleased = Vec::new();
        for _ in 0..120 {
            match below(4) {
                0 if disk.completed.is_none() => {
                    if let Some(write) = disk.queued.take() {
                        let succeeds = below(3) > 0;
                        if succeeds {
                            disk.record = write.record;
                        }
                        disk.completed = Some((write.number, succeeds));
                    }
                }
                1 => {
                    if let Some((number, succeeds)) = disk.completed.take() {
                        acceptor.on_write_completed(number, succeeds);
                    }
                }
                _ => {
                    let round = 1 + below(12);
                    let request = match below(4) {
                        0 => prepare(round),
                        1 => accept(round),
                        2 => poll(),
                        _ => RegisterRequest::Fetch,
                    };
                    let pending_reply = acceptor.handle(&request);
                    disk.queued = pending_reply.write.or(disk.queued.take());
                    unreleased.push((request, pending_reply.reply, pending_reply.after));
                }
            }
            unreleased.retain(|(request, reply, after)| {
                match after.map_or(WriteOutcome::Synced, |number| acceptor.outcome(number)) {
                    WriteOutcome::Pending => return true,
                    WriteOutcome::Failed => return false,
                    WriteOutcome::Synced => {}
                }
                released += 1;
                assert!(is_durable(reply, request, &disk.record), "seed {seed}: {reply:?} of {request:?}");
                false
            });
            if !acceptor.is_writing() {
                expect_that!(acceptor.newest_record(), eq(acceptor.synced_record()), "seed {seed}");
                expect_that!(acceptor.synced_record(), some(eq(&disk.record)), "seed {seed}");
            }
        }
    }
    expect_that!(released, gt(50_000));
}
