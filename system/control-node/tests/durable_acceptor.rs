//! No reply of an acceptor is sent before its record is on disk, whatever writes the disk refuses.

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

fn founded() -> DurableAcceptor {
    DurableAcceptor::new(Some(founding_record(voters())))
}

fn begun(acceptor: &mut DurableAcceptor, request: &RegisterRequest) -> PendingWrite {
    acceptor.handle(request).write.expect("it changes the state")
}

fn polled(acceptor: &mut DurableAcceptor) -> Option<Ballot> {
    match acceptor.handle(&poll()).reply {
        RegisterReply::Polled { accepted, .. } => accepted,
        other => panic!("{other:?}"),
    }
}

#[gtest]
fn a_refused_write_reverts_the_promise() {
    // Given a promise whose write fails,
    let mut acceptor = founded();
    let handled = acceptor.handle(&prepare(5));
    let write = handled.write.expect("a promise is written");
    expect_that!(handled.after, some(eq(write.number)));
    expect_that!(acceptor.on_write_completed(write.number, false), eq(true));
    // then its answer never leaves, the disk counts as refusing, and nothing of it is left in memory:
    expect_that!(acceptor.outcome(write.number), eq(WriteOutcome::Failed));
    expect_that!((acceptor.disk().is_refusing, acceptor.disk().refusals), eq((true, 1)));
    expect_that!(acceptor.newest_record(), eq(acceptor.synced_record()));
    // a lower ballot is promised, and with its write the node votes again.
    let handled = acceptor.handle(&prepare(3));
    expect_that!(handled.reply, matches_pattern!(RegisterReply::Promised(_)));
    let again = handled.write.expect("a promise is written");
    expect_that!(acceptor.on_write_completed(again.number, true), eq(true));
    expect_that!(acceptor.outcome(again.number), eq(WriteOutcome::Synced));
    expect_that!(acceptor.disk().is_refusing, eq(false));
    // The failed one stays so, also now that a later one is synced.
    expect_that!(acceptor.outcome(write.number), eq(WriteOutcome::Failed));
}

#[gtest]
fn reads_do_not_wait_for_the_disk_and_return_the_synced_state() {
    // Given a vote that is being written,
    let mut acceptor = founded();
    let write = begun(&mut acceptor, &accept(4));
    // when it is polled and fetched from, then it answers at once as before the vote,
    let handled = acceptor.handle(&poll());
    expect_that!(handled.after, none());
    expect_that!(polled(&mut acceptor), some(eq(Ballot::default())));
    let fetched = acceptor.handle(&RegisterRequest::Fetch);
    expect_that!(fetched.after, none());
    // and after it once that is synced.
    acceptor.on_write_completed(write.number, true);
    expect_that!(polled(&mut acceptor), some(eq(ballot(4))));
}

#[gtest]
fn a_repeated_reply_waits_for_the_same_write() {
    let mut acceptor = founded();
    let write = begun(&mut acceptor, &prepare(4));
    let again = acceptor.handle(&prepare(4));
    expect_that!(again.write, none());
    expect_that!(again.after, some(eq(write.number)));
    // So does a refusal, which tells of the promise.
    expect_that!(acceptor.handle(&prepare(2)).after, some(eq(write.number)));
    acceptor.on_write_completed(write.number, true);
    expect_that!(acceptor.handle(&prepare(4)).after, none());
}

#[gtest]
fn a_later_write_supersedes_a_failed_one() {
    // Given two votes under way of which the first is refused,
    let mut acceptor = founded();
    let first = begun(&mut acceptor, &prepare(4));
    let second = begun(&mut acceptor, &accept(4));
    acceptor.on_write_completed(first.number, false);
    expect_that!(acceptor.disk().is_refusing, eq(true));
    // when the second succeeds, then the disk has both.
    acceptor.on_write_completed(second.number, true);
    expect_that!(acceptor.outcome(second.number), eq(WriteOutcome::Synced));
    expect_that!(acceptor.disk().is_refusing, eq(false));
    expect_that!(polled(&mut acceptor), some(eq(ballot(4))));
    // The same if the second is written in the place of the first.
    let first = begun(&mut acceptor, &prepare(6));
    let second = begun(&mut acceptor, &accept(6));
    acceptor.on_write_completed(second.number, true);
    expect_that!(acceptor.outcome(first.number), eq(WriteOutcome::Synced));
    expect_that!(acceptor.is_writing(), eq(false));
    expect_that!(acceptor.newest_record(), eq(acceptor.synced_record()));
    expect_that!(polled(&mut acceptor), some(eq(ballot(6))));
}

#[gtest]
fn without_a_record_it_votes_only_after_one_is_synced() {
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

/// A disk that takes or refuses one write after another; one that waits is replaced by a later one.
struct Disk {
    holds: AcceptorRecord,
    queued: Option<PendingWrite>,
    /// Written or refused, and not told of yet.
    ended: Option<(WriteNumber, bool)>,
}

/// Whether the disk holds what an answer tells.
fn is_durable(reply: &RegisterReply, request: &RegisterRequest, disk: &AcceptorRecord) -> bool {
    let accepted = disk.accepted.as_ref().map(|value| value.ballot);
    match (reply, request) {
        (RegisterReply::Promised(told), RegisterRequest::Prepare(ballot)) => {
            disk.promised >= *ballot && told.as_ref().map(|value| value.ballot) <= accepted
        }
        (RegisterReply::Accepted, RegisterRequest::Accept(offered)) => {
            disk.promised >= offered.ballot && accepted >= Some(offered.ballot)
        }
        (RegisterReply::Rejected(promised), _) => disk.promised >= *promised,
        (RegisterReply::Polled { accepted: told, .. }, _) => *told <= accepted,
        (RegisterReply::Fetched(told), _) => told.as_ref().map(|value| value.ballot) <= accepted,
        _ => false,
    }
}

#[gtest]
fn no_reply_is_released_before_its_record_is_on_disk() {
    let mut released = 0;
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut below = |most: u64| rng.next_u64() % most;
        let mut acceptor = founded();
        let mut disk = Disk { holds: founding_record(voters()), queued: None, ended: None };
        let mut waiting = Vec::new();
        for _ in 0..120 {
            match below(4) {
                0 if disk.ended.is_none() => {
                    if let Some(write) = disk.queued.take() {
                        let takes = below(3) > 0;
                        if takes {
                            disk.holds = write.record;
                        }
                        disk.ended = Some((write.number, takes));
                    }
                }
                1 => {
                    if let Some((number, takes)) = disk.ended.take() {
                        acceptor.on_write_completed(number, takes);
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
                    let handled = acceptor.handle(&request);
                    disk.queued = handled.write.or(disk.queued.take());
                    waiting.push((request, handled.reply, handled.after));
                }
            }
            waiting.retain(|(request, reply, after)| {
                match after.map_or(WriteOutcome::Synced, |number| acceptor.outcome(number)) {
                    WriteOutcome::Pending => return true,
                    WriteOutcome::Failed => return false,
                    WriteOutcome::Synced => {}
                }
                released += 1;
                assert!(is_durable(reply, request, &disk.holds), "seed {seed}: {reply:?} of {request:?}");
                false
            });
            if !acceptor.is_writing() {
                expect_that!(acceptor.newest_record(), eq(acceptor.synced_record()), "seed {seed}");
                expect_that!(acceptor.synced_record(), some(eq(&disk.holds)), "seed {seed}");
            }
        }
    }
    expect_that!(released, gt(50_000));
}
