//! Operators' configurations over the register: several requests with one version or one expected version, each sent to one node
//! or to several, and repeated at any time. The checks use only what operators were answered and what was read.
//!
//! A copy of a request is one call at one node. Its proposals start at any time and are abandoned at any time, also between
//! their phases; each Accept arrives at any later time or never, and its reply may be lost. So a restart, a partition and a
//! power loss are among the schedules: voters retain what they have synced, and what was in flight is lost.

mod model;

use bytes::Bytes;
use controllers::{ConfigVerdict, put_config};
use fleet_model::{CommittedVersion, ControlState};
use googletest::prelude::*;
use model::{CORRECT, Event, Judgement, Report, Request, Rules, Task, fault, request, schedules};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use stateright::{Checker, Model};
use std::collections::BTreeSet;

/// Checks all schedules; returns the number of states.
fn check(requests: &[Request], tasks: &[(Task, u8)]) -> usize {
    let checker = schedules(requests, tasks, CORRECT).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    checker.unique_state_count()
}

/// Whether some schedule violates the property.
fn finds_fault(requests: &[Request], tasks: &[(Task, u8)], rules: Rules) -> bool {
    let checker = schedules(requests, tasks, rules).checker().threads(2).spawn_bfs().join();
    let found = checker.discovery("every report holds");
    if let Some(path) = &found {
        let last = path.last_state();
        println!("{:?} after {} steps", fault(requests, &last.reports), path.clone().into_actions().len());
    }
    found.is_some()
}

#[gtest]
fn two_requests_of_one_version_with_a_duplicate_call_in_all_schedules() {
    let tasks = [(Task::Request(0), 1), (Task::Request(0), 1), (Task::Request(1), 1)];
    expect_that!(check(&[request(0, 6), request(0, 6)], &tasks), gt(10_000));
}

#[gtest]
fn two_requests_on_one_expected_version_with_a_retry_in_all_schedules() {
    let tasks = [(Task::Request(0), 2), (Task::Request(1), 1)];
    expect_that!(check(&[request(0, 6), request(0, 7)], &tasks), gt(1_000));
}

#[gtest]
fn a_request_that_expects_a_future_version_in_all_schedules() {
    let tasks = [(Task::Request(0), 1), (Task::Request(1), 1), (Task::Request(1), 1)];
    expect_that!(check(&[request(0, 1), request(1, 2)], &tasks), gt(10_000));
}

#[gtest]
fn a_request_repeated_after_a_later_one_in_all_schedules() {
    let tasks = [(Task::Request(0), 1), (Task::Request(1), 1), (Task::Request(0), 1)];
    expect_that!(check(&[request(0, 1), request(1, 2)], &tasks), gt(10_000));
}

/// Faulty: only the current version is remembered as committed.
fn remembers_only_the_last_version(
    state: &ControlState,
    expected: u64,
    sent: &CommittedVersion,
    body: &Bytes,
) -> Judgement {
    match put_config(state, expected, sent, body) {
        (None, ConfigVerdict::Committed) if state.committed.last() != Some(sent) => {
            (None, ConfigVerdict::VersionMismatch(state.version()))
        }
        judgement => judgement,
    }
}

/// Faulty: no rejection is stored.
fn stores_no_rejection(
    state: &ControlState,
    expected: u64,
    sent: &CommittedVersion,
    body: &Bytes,
) -> Judgement {
    match put_config(state, expected, sent, body) {
        (_, verdict @ ConfigVerdict::VersionMismatch(_)) => (None, verdict),
        judgement => judgement,
    }
}

/// Faulty: a request is committed whatever the current version is.
fn ignores_the_expected_version(
    state: &ControlState,
    _: u64,
    sent: &CommittedVersion,
    body: &Bytes,
) -> Judgement {
    put_config(state, state.version(), sent, body)
}

#[gtest]
fn the_model_checker_finds_faulty_judgements() {
    let rules = |judge| Rules { judge, ..CORRECT };

    let again = [(Task::Request(0), 1), (Task::Request(1), 1), (Task::Request(0), 1)];
    let on_each_other = [request(0, 1), request(1, 2)];
    expect_that!(finds_fault(&on_each_other, &again, rules(remembers_only_the_last_version)), eq(true));

    let early = [(Task::Request(0), 1), (Task::Request(1), 1), (Task::Request(1), 1)];
    expect_that!(finds_fault(&on_each_other, &early, rules(stores_no_rejection)), eq(true));

    let two = [(Task::Request(0), 1), (Task::Request(1), 1)];
    expect_that!(
        finds_fault(&[request(0, 1), request(0, 2)], &two, rules(ignores_the_expected_version)),
        eq(true)
    );
}

#[gtest]
fn the_model_checker_finds_a_rejection_reported_before_its_proposal_completed() {
    let tasks = [(Task::Request(0), 1), (Task::Request(1), 1), (Task::Request(0), 1)];
    let requests = [request(0, 6), request(0, 6)];
    expect_that!(finds_fault(&requests, &tasks, Rules { reports_early: true, ..CORRECT }), eq(true));
}

#[derive(Default, Debug)]
struct Counts {
    confirmed: usize,
    rejected: usize,
    unanswered: usize,
}

/// Eight requests, each at two or three nodes, while one voter is added and another one removed.
fn random_schedule(seed: u64, rules: Rules, counts: &mut Counts) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut below = |bound: usize| rng.next_u32() as usize % bound;
    let drawn = (0..8).map(|_| {
        let expected = below(4) as u64;
        request(expected, expected + below(3) as u64)
    });
    let requests: Vec<Request> = drawn.collect();
    let mut tasks: Vec<_> = (0..20).map(|number| (Task::Request(number % 8), 4)).collect();
    tasks.extend([(Task::AddVoter, 3), (Task::RemoveVoter, 3), (Task::Read, 4), (Task::Read, 4)]);
    let schedules = schedules(&requests, &tasks, rules);
    let mut state = schedules.start();
    for _ in 0..600 {
        let events = schedules.events(&state);
        // Most steps continue a proposal: proposals that only preempt each other would reach few states.
        let ongoing: Vec<_> = events.iter().filter(|event| !matches!(event, Event::Begin(_))).collect();
        let event = match below(12) {
            0 if !events.is_empty() => &events[below(events.len())],
            _ if !ongoing.is_empty() => ongoing[below(ongoing.len())],
            _ if !events.is_empty() => &events[below(events.len())],
            _ => break,
        };
        state = schedules.after(&state, event);
    }
    for number in 0..requests.len() {
        match (
            state.reports.contains(&Report::Confirmed(number)),
            state.reports.contains(&Report::Rejected(number)),
        ) {
            (true, _) => counts.confirmed += 1,
            (_, true) => counts.rejected += 1,
            _ => counts.unanswered += 1,
        }
    }
    fault(&requests, &state.reports)
}

#[gtest]
fn eight_concurrent_requests_in_random_schedules_with_voter_changes() {
    let mut counts = Counts::default();
    for seed in 0..2_000 {
        assert_that!(random_schedule(seed, CORRECT, &mut counts), none(), "seed {seed}");
    }
    println!("{counts:?}");
    expect_that!(counts.confirmed, gt(1_000));
    expect_that!(counts.rejected, gt(1_000));
}

#[gtest]
fn random_schedules_find_the_faulty_rules_too() {
    let found = |rules: Rules| {
        let mut counts = Counts::default();
        (0..500).filter(|seed| random_schedule(*seed, rules, &mut counts).is_some()).count()
    };
    for (what, rules) in [
        ("only the last version is remembered", Rules { judge: remembers_only_the_last_version, ..CORRECT }),
        ("no rejection is stored", Rules { judge: stores_no_rejection, ..CORRECT }),
        ("the expected version is ignored", Rules { judge: ignores_the_expected_version, ..CORRECT }),
        ("verdicts are reported early", Rules { reports_early: true, ..CORRECT }),
    ] {
        let found = found(rules);
        println!("{what}: found in {found} of 500 schedules");
        expect_that!(found, gt(0), "{what}");
    }
}

#[gtest]
fn verdicts_remain_stable_over_thousands_of_changes() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let body = Bytes::from_static(b"{}");
    let mut state = ControlState::default();
    let (mut committed, mut rejected) = (vec![], BTreeSet::new());
    let (mut indeterminate, mut indeterminate_again) = (0, 0);
    for _ in 0..3_000 {
        // One request after the other, some with a wrong expected version, which may be above the current one.
        let expected = match rng.next_u32() % 4 {
            0 => state.version() + u64::from(rng.next_u32() % 20),
            1 => state.version().saturating_sub(u64::from(rng.next_u32() % 20)),
            _ => state.version(),
        };
        let request = CommittedVersion {
            version: expected + u64::from(rng.next_u32() % 4),
            digest: std::array::from_fn(|_| rng.next_u32() as u8),
        };
        let (next, verdict) = put_config(&state, expected, &request, &body);
        state = next.unwrap_or(state);
        match verdict {
            ConfigVerdict::Committed => committed.push((expected, request)),
            ConfigVerdict::VersionMismatch(_) | ConfigVerdict::NotNewer => {
                rejected.insert((expected, request.version, request.digest));
            }
            ConfigVerdict::Indeterminate => indeterminate += 1,
        }
        // An earlier request that is repeated gets the same verdict, or an indeterminate one.
        for _ in 0..4 {
            let (expected, request) = &committed[rng.next_u32() as usize % committed.len().max(1)];
            let (next, verdict) = put_config(&state, *expected, request, &body);
            expect_that!(next, none());
            expect_that!([ConfigVerdict::Committed, ConfigVerdict::Indeterminate], contains(eq(verdict)));
            indeterminate_again += usize::from(verdict == ConfigVerdict::Indeterminate);
        }
        for (expected, version, digest) in
            rejected.iter().skip(rng.next_u32() as usize % rejected.len().max(1)).take(4)
        {
            let request = CommittedVersion { version: *version, digest: *digest };
            expect_that!(put_config(&state, *expected, &request, &body).1, not(eq(ConfigVerdict::Committed)));
        }
    }
    expect_that!(committed.len(), gt(1_000));
    expect_that!(rejected.len(), gt(500));
    // The share of the value that remembers versions stays small.
    let bare = ControlState { config: state.config.clone(), ..ControlState::default() };
    let carried = state.to_payload().unwrap().len() - bare.to_payload().unwrap().len();
    println!(
        "{} committed, {} rejected, {indeterminate} indeterminate, {indeterminate_again} indeterminate_again when sent again; a value carries {carried} bytes",
        committed.len(),
        rejected.len()
    );
    expect_that!(indeterminate_again, gt(100));
    expect_that!(carried, lt(20_000));
}
