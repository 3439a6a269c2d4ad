//! Tests of membership changes: which change comes next, whose votes count, and why a change must be followed by a campaign.

use fleet_model::{
    AcceptedEntry, Ballot, CommitPosition, CoordinationBatch, CoordinationOutcome, LogEntry, LogMember,
    LogReply, LogRequest, ReplicaId, SlotEntry,
};
use googletest::prelude::*;
use replicated_log::{Campaign, CampaignStep, KnownReplica, Replica, StateMachine, VoteCount, next_members};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

#[derive(Clone, Debug, Default)]
struct EmptyState;

impl StateMachine for EmptyState {
    fn apply(&mut self, _: &CoordinationBatch) -> Vec<CoordinationOutcome> {
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _: &[u8]) -> bool {
        true
    }
}

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn members(replicas: &[(u8, u64)]) -> Vec<LogMember> {
    replicas.iter().map(|(last, id)| LogMember { ip: ip(*last), replica: ReplicaId(*id) }).collect()
}

fn known(replicas: &[(u8, u64, bool)]) -> BTreeMap<Ipv4Addr, KnownReplica> {
    let known_replica = |id: u64, is_responsive| KnownReplica { replica: ReplicaId(id), is_responsive };
    replicas.iter().map(|(last, id, is_responsive)| (ip(*last), known_replica(*id, *is_responsive))).collect()
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 1, incarnation: 1 }
}

fn accept(round: u64, slot: u64, entry: &LogEntry, committed: (u64, u64)) -> LogRequest {
    let entry = SlotEntry { slot, entry: entry.clone() };
    let committed = CommitPosition { slot: committed.0, ballot: ballot(committed.1) };
    LogRequest::Accept { accepted: AcceptedEntry { ballot: ballot(round), entry }, committed }
}

#[gtest]
fn replacement_precedes_addition_and_addition_precedes_removal() {
    let current = members(&[(1, 1), (2, 2), (3, 3)]);
    let voters = [ip(1), ip(2), ip(4)];
    let all = known(&[(1, 1, true), (2, 9, true), (3, 3, true), (4, 4, true)]);
    let replaced = next_members(&current, &voters, &all);
    expect_that!(replaced, some(eq(&members(&[(1, 1), (2, 9), (3, 3)]))));
    let added = next_members(&replaced.unwrap(), &voters, &all);
    expect_that!(added, some(eq(&members(&[(1, 1), (2, 9), (3, 3), (4, 4)]))));
    let removed = next_members(&added.unwrap(), &voters, &all);
    expect_that!(removed, some(eq(&members(&[(1, 1), (2, 9), (4, 4)]))));
    expect_that!(next_members(&removed.unwrap(), &voters, &all), none());
}

#[gtest]
fn no_change_is_made_unless_a_majority_of_its_members_responds() {
    let current = members(&[(1, 1), (2, 2), (3, 3)]);
    let voters = [ip(1), ip(2)];
    let one = known(&[(1, 1, true), (2, 2, false), (3, 3, true)]);
    expect_that!(next_members(&current, &voters, &one), none());
    expect_that!(next_members(&current, &[], &one), none());
    expect_that!(next_members(&[], &[], &BTreeMap::new()), none());
}

#[gtest]
fn only_members_count_and_each_counts_once() {
    let mut votes = VoteCount::new(&members(&[(1, 1), (2, 2), (3, 3)]));
    expect_that!(votes.record(ReplicaId(1)), eq(false));
    expect_that!(votes.record(ReplicaId(1)), eq(false));
    expect_that!(votes.record(ReplicaId(9)), eq(false));
    expect_that!(votes.record(ReplicaId(3)), eq(true));
    expect_that!(VoteCount::new(&[]).is_quorum(), eq(false));
}

#[gtest]
fn a_candidate_proposes_the_entry_with_the_highest_ballot_and_yields_to_members_that_are_ahead() {
    let promise = |round, slot, entry: LogEntry| LogReply::Promised {
        applied: 4,
        pending: Some(AcceptedEntry { ballot: ballot(round), entry: SlotEntry { slot, entry } }),
    };
    let newest = LogEntry::Batch(CoordinationBatch::default());
    let current = members(&[(1, 1), (2, 2), (3, 3), (4, 4), (5, 5)]);
    let mut campaign = Campaign::new(4, &current);
    let replies =
        [promise(2, 5, newest.clone()), promise(1, 5, LogEntry::Empty), promise(3, 4, LogEntry::Empty)];
    let mut steps =
        (1..).zip(&replies).map(|(id, reply)| campaign.on_reply(ip(id), ReplicaId(id.into()), reply));
    expect_that!(steps.next(), some(eq(&CampaignStep::Wait)));
    expect_that!(steps.next(), some(eq(&CampaignStep::Wait)));
    expect_that!(steps.next(), some(eq(&CampaignStep::Won(Some(newest)))));
    drop(steps);
    let ahead = LogReply::Promised { applied: 6, pending: None };
    let step = campaign.on_reply(ip(4), ReplicaId(4), &ahead);
    expect_that!(step, eq(&CampaignStep::Behind { from: ip(4) }));
    let step = campaign.on_reply(ip(5), ReplicaId(5), &LogReply::Rejected(ballot(9)));
    expect_that!(step, eq(&CampaignStep::Lost(ballot(9))));
}

/// The entries that two leaders have chosen for slot 3. The campaign of the second leader finds a membership change pending for
/// slot 2.
fn entries_of_slot_3(campaigns_after_change: bool) -> (LogEntry, LogEntry) {
    let former = members(&[(1, 1), (2, 2), (3, 3)]);
    let changed = members(&[(1, 1), (2, 2), (3, 4)]);
    let [mut a, mut b, mut c, mut d] = [1, 2, 3, 4].map(|id| Replica::<EmptyState>::new(ReplicaId(id)));
    let initial = SlotEntry { slot: 1, entry: LogEntry::Members(former.clone()) };
    for replica in [&mut a, &mut b, &mut c] {
        replica.handle(LogRequest::Learn { entries: vec![initial.clone()] });
        replica.handle(LogRequest::Prepare(ballot(1)));
    }
    // The first promise to the second leader comes from a replica that is replaced later; the leader's other request is delayed.
    let mut campaign = Campaign::new(1, &former);
    campaign.on_reply(ip(3), c.id(), &c.handle(LogRequest::Prepare(ballot(5))));
    // The first leader has the change chosen by a and b, then slot 3 by b and d under a new ballot among the new members.
    let change = LogEntry::Members(changed.clone());
    a.handle(accept(1, 2, &change, (1, 1)));
    b.handle(accept(1, 2, &change, (1, 1)));
    b.commit_own(CommitPosition { slot: 2, ballot: ballot(1) });
    b.handle(LogRequest::Prepare(ballot(2)));
    d.handle(LogRequest::Prepare(ballot(2)));
    d.handle(b.catch_up(0));
    let entry = LogEntry::Batch(CoordinationBatch::default());
    let replies = [&mut b, &mut d].map(|replica| replica.handle(accept(2, 3, &entry, (2, 1))));
    expect_that!(replies, each(eq(&LogReply::Accepted)));
    // The second leader wins its campaign and has the change chosen again.
    let step = campaign.on_reply(ip(1), a.id(), &a.handle(LogRequest::Prepare(ballot(5))));
    expect_that!(step, eq(&CampaignStep::Won(Some(change.clone()))));
    a.handle(accept(5, 2, &change, (1, 1)));
    expect_that!(b.handle(accept(5, 2, &change, (1, 1))), eq(&LogReply::Accepted));
    a.commit_own(CommitPosition { slot: 2, ballot: ballot(5) });
    let mut proposed = LogEntry::Empty;
    if campaigns_after_change {
        let mut campaign = Campaign::new(2, &changed);
        campaign.on_reply(ip(1), a.id(), &a.handle(LogRequest::Prepare(ballot(6))));
        let step = campaign.on_reply(ip(3), d.id(), &d.handle(LogRequest::Prepare(ballot(6))));
        if let CampaignStep::Won(Some(pending)) = step {
            proposed = pending;
        }
    }
    let round = if campaigns_after_change { 6 } else { 5 };
    let replies = [&mut a, &mut d].map(|replica| replica.handle(accept(round, 3, &proposed, (2, 5))));
    expect_that!(replies, each(eq(&LogReply::Accepted)));
    (entry, proposed)
}

#[gtest]
fn a_leader_without_a_campaign_after_a_pending_change_replaces_a_chosen_entry() {
    let (first, second) = entries_of_slot_3(true);
    expect_that!(second, eq(&first));
    let (first, second) = entries_of_slot_3(false);
    expect_that!(second, not(eq(&first)));
}
