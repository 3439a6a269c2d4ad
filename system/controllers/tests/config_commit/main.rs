//! Commits of operators' configurations through the register: several requests with the same version or expected version, each
//! sent to one or more nodes and repeated at any time. The checks use only the verdicts that operators got and the values that
//! were read.
//!
//! A copy of a request is one call at one node. Its proposals may start and be abandoned at any time, also between their
//! phases. Each Accept arrives at any later time or never, and its reply may be lost. The schedules therefore include
//! restarts, partitions and power losses: voters retain what they have synced, and messages in flight are lost.

mod model;

use bytes::Bytes;
use controllers::{ConfigVerdict, put_config};
use fleet_model::{CommittedVersion, ControlState};
use googletest::prelude::*;
use model::{CORRECT, Evaluation, Event, Report, Request, Rules, Task, find_violation, request, schedules};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use stateright::{Checker, Model};
use std::collections::BTreeSet;

/// Checks the properties in all schedules. Returns the number of states.
fn check_all_schedules(requests: &[Request], tasks: &[(Task, u8)]) -> usize {
    let checker = schedules(requests, tasks, CORRECT).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    checker.unique_state_count()
}

/// Whether the model checker finds a schedule with inconsistent reports.
fn finds_violation(requests: &[Request], tasks: &[(Task, u8)], rules: Rules) -> bool {
    let checker = schedules(requests, tasks, rules).checker().threads(2).spawn_bfs().join();
    let discovery = checker.discovery("reports are consistent");
    if let Some(path) = &discovery {
        let last = path.last_state();
        println!(
            "{:?} after {} steps",
            find_violation(requests, &last.reports),
            path.clone().into_actions().len()
        );
    }
    discovery.is_some()
}

#[gtest]
fn two_requests_of_one_version_with_a_duplicate_call_in_all_schedules() {
    let tasks = [(Task::Request(0), 1), (Task::Request(0), 1), (Task::Request(1), 1)];
    expect_that!(check_all_schedules(&[request(0, 6), request(0, 6)], &tasks), gt(10_000));
}

#[gtest]
fn two_requests_on_one_expected_version_with_a_retry_in_all_schedules() {
    let tasks = [(Task::Request(0), 2), (Task::Request(1), 1)];
    expect_that!(check_all_schedules(&[request(0, 6), request(0, 7)], &tasks), gt(1_000));
}

#[gtest]
fn a_request_that_expects_a_future_version_in_all_schedules() {
    let tasks = [(Task::Request(0), 1), (Task::Request(1), 1), (Task::Request(1), 1)];
    expect_that!(check_all_schedules(&[request(0, 1), request(1, 2)], &tasks), gt(10_000));
}

#[gtest]
fn a_request_repeated_after_a_later_one_in_all_schedules() {
    let tasks = [(Task::Request(0), 1), (Task::Request(1), 1), (Task::Request(0), 1)];
    expect_that!(check_all_schedules(&[request(0, 1), request(1, 2)], &tasks), gt(10_000));
}

/// Faulty: only the current version is recorded as committed.
fn records_only_the_last_version(
    state: &ControlState,
    expected: u64,
    sent: &CommittedVersion,
    body: &Bytes,
) -> Evaluation {
    match put_config(state, expected, sent, body) {
        (None, ConfigVerdict::Committed) if state.committed.last() != Some(sent) => {
            (None, ConfigVerdict::VersionMismatch(state.version()))
        }
        evaluation => evaluation,
    }
}

/// Faulty: rejections are not stored.
fn stores_no_rejection(
    state: &ControlState,
    expected: u64,
    sent: &CommittedVersion,
    body: &Bytes,
) -> Evaluation {
    match put_config(state, expected, sent, body) {
        (_, verdict @ ConfigVerdict::VersionMismatch(_)) => (None, verdict),
        evaluation => evaluation,
    }
}

/// Faulty: a request is committed even if its expected version is not current.
fn ignores_the_expected_version(
    state: &ControlState,
    _: u64,
    sent: &CommittedVersion,
    body: &Bytes,
) -> Evaluation {
    put_config(state, state.version(), sent, body)
}

#[gtest]
fn the_model_checker_finds_faulty_evaluations() {
    let rules = |evaluate| Rules { evaluate, ..CORRECT };

    let with_repeat = [(Task::Request(0), 1), (Task::Request(1), 1), (Task::Request(0), 1)];
    let consecutive = [request(0, 1), request(1, 2)];
    expect_that!(finds_violation(&consecutive, &with_repeat, rules(records_only_the_last_version)), eq(true));

    let with_duplicate = [(Task::Request(0), 1), (Task::Request(1), 1), (Task::Request(1), 1)];
    expect_that!(finds_violation(&consecutive, &with_duplicate, rules(stores_no_rejection)), eq(true));

    let concurrent = [(Task::Request(0), 1), (Task::Request(1), 1)];
    expect_that!(
        finds_violation(&[request(0, 1), request(0, 2)], &concurrent, rules(ignores_the_expected_version)),
        eq(true)
    );
}

#[gtest]
fn the_model_checker_finds_a_rejection_reported_before_its_proposal_completed() {
    let tasks = [(Task::Request(0), 1), (Task::Request(1), 1), (Task::Request(0), 1)];
    let requests = [request(0, 6), request(0, 6)];
    expect_that!(finds_violation(&requests, &tasks, Rules { reports_early: true, ..CORRECT }), eq(true));
}

#[derive(Default, Debug)]
struct Counts {
    confirmed: usize,
    rejected: usize,
    unanswered: usize,
}

/// Runs a random schedule of eight requests, each sent to two or three nodes, while one voter is added and another one removed.
/// Returns the violation, if any.
fn random_schedule(seed: u64, rules: Rules, counts: &mut Counts) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut below = |bound: usize| rng.next_u32() as usize % bound;
    let random_requests = (0..8).map(|_| {
        let expected = below(4) as u64;
        request(expected, expected + below(3) as u64)
    });
    let requests: Vec<Request> = random_requests.collect();
    let mut tasks: Vec<_> = (0..20).map(|index| (Task::Request(index % 8), 4)).collect();
    tasks.extend([(Task::AddVoter, 3), (Task::RemoveVoter, 3), (Task::Read, 4), (Task::Read, 4)]);
    let schedules = schedules(&requests, &tasks, rules);
    let mut state = schedules.initial_state();
    for _ in 0..600 {
        let events = schedules.events(&state);
        // Most steps continue a proposal: if proposals mostly preempted each other, few states would be reached.
        let ongoing: Vec<_> =
            events.iter().filter(|event| !matches!(event, Event::BeginProposal(_))).collect();
        let event = match below(12) {
            0 if !events.is_empty() => &events[below(events.len())],
            _ if !ongoing.is_empty() => ongoing[below(ongoing.len())],
            _ if !events.is_empty() => &events[below(events.len())],
            _ => break,
        };
        state = schedules.apply(&state, event);
    }
    for index in 0..requests.len() {
        match (
            state.reports.contains(&Report::Confirmed(index)),
            state.reports.contains(&Report::Rejected(index)),
        ) {
            (true, _) => counts.confirmed += 1,
            (_, true) => counts.rejected += 1,
            _ => counts.unanswered += 1,
        }
    }
    find_violation(&requests, &state.reports)
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
fn random_schedules_find_the_faulty_rules() {
    let count_violations = |rules: Rules| {
        let mut counts = Counts::default();
        (0..500).filter(|seed| random_schedule(*seed, rules, &mut counts).is_some()).count()
    };
    for (description, rules) in [
        ("only the last version is recorded", Rules { evaluate: records_only_the_last_version, ..CORRECT }),
        ("rejections are not stored", Rules { evaluate: stores_no_rejection, ..CORRECT }),
        ("the expected version is ignored", Rules { evaluate: ignores_the_expected_version, ..CORRECT }),
        ("verdicts are reported early", Rules { reports_early: true, ..CORRECT }),
    ] {
        let violations = count_violations(rules);
        println!("{description}: found in {violations} of 500 schedules");
        expect_that!(violations, gt(0), "{description}");
    }
}

#[gtest]
fn verdicts_remain_stable_over_thousands_of_changes() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let body = Bytes::from_static(b"{}");
    let mut state = ControlState::default();
    let (mut committed, mut rejected) = (vec![], BTreeSet::new());
    let (mut indeterminate, mut indeterminate_repeats) = (0, 0);
    for _ in 0..3_000 {
        // Sequential requests, some of which expect a version above or below the current one.
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
        // A repeated request gets the same verdict as before, or an indeterminate one.
        for _ in 0..4 {
            let (expected, request) = &committed[rng.next_u32() as usize % committed.len().max(1)];
            let (next, verdict) = put_config(&state, *expected, request, &body);
            expect_that!(next, none());
            expect_that!([ConfigVerdict::Committed, ConfigVerdict::Indeterminate], contains(eq(verdict)));
            indeterminate_repeats += usize::from(verdict == ConfigVerdict::Indeterminate);
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
    // The recorded versions and rejections take up only a small part of the value.
    let without_records = ControlState { config: state.config.clone(), ..ControlState::default() };
    let records_bytes = state.to_payload().unwrap().len() - without_records.to_payload().unwrap().len();
    println!(
        "{} committed, {} rejected, {indeterminate} indeterminate, {indeterminate_repeats} indeterminate when repeated; their records take up {records_bytes} bytes of the value",
        committed.len(),
        rejected.len()
    );
    expect_that!(indeterminate_repeats, gt(100));
    expect_that!(records_bytes, lt(20_000));
}
