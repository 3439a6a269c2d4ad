//! Operators' orders over the register: several under one number or one base, each at one machine or at several, sent again
//! at any time. What is checked is what operators were told and what was read, nothing within.
//!
//! A copy of an order is one call at one machine. Its runs begin at any time and are given up at any time, also between their
//! rounds; each Accept arrives at any later time or never, and its answer may be lost. So a restart, a cut and a loss of all
//! power are among the schedules: voters keep what they have synced, and what was under way is never heard of again.

mod model;

use bytes::Bytes;
use controllers::{ConfigVerdict, put_config};
use fleet_model::{CommittedVersion, ControlState};
use googletest::prelude::*;
use model::{Event, Judged, Order, Rules, SOUND, Task, Told, fault, order, schedules};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use stateright::{Checker, Model};
use std::collections::BTreeSet;

/// Goes through all schedules; how many states there are.
fn check(orders: &[Order], tasks: &[(Task, u8)]) -> usize {
    let checker = schedules(orders, tasks, SOUND).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    checker.unique_state_count()
}

/// Whether some schedule breaks what was told.
fn breaks(orders: &[Order], tasks: &[(Task, u8)], rules: Rules) -> bool {
    let checker = schedules(orders, tasks, rules).checker().threads(2).spawn_bfs().join();
    let found = checker.discovery("what was told holds");
    if let Some(path) = &found {
        let last = path.last_state();
        println!("{:?} after {} steps", fault(orders, &last.told), path.clone().into_actions().len());
    }
    found.is_some()
}

#[gtest]
fn two_orders_under_one_number_and_one_sent_elsewhere_too_in_all_schedules() {
    let tasks = [(Task::Order(0), 1), (Task::Order(0), 1), (Task::Order(1), 1)];
    expect_that!(check(&[order(0, 6), order(0, 6)], &tasks), gt(10_000));
}

#[gtest]
fn two_orders_on_one_base_of_which_one_is_tried_again_in_all_schedules() {
    let tasks = [(Task::Order(0), 2), (Task::Order(1), 1)];
    expect_that!(check(&[order(0, 6), order(0, 7)], &tasks), gt(1_000));
}

#[gtest]
fn an_order_that_goes_by_a_version_still_to_come_in_all_schedules() {
    let tasks = [(Task::Order(0), 1), (Task::Order(1), 1), (Task::Order(1), 1)];
    expect_that!(check(&[order(0, 1), order(1, 2)], &tasks), gt(10_000));
}

#[gtest]
fn an_order_sent_again_after_a_later_one_in_all_schedules() {
    let tasks = [(Task::Order(0), 1), (Task::Order(1), 1), (Task::Order(0), 1)];
    expect_that!(check(&[order(0, 1), order(1, 2)], &tasks), gt(10_000));
}

/// Broken: only the version in force is known as taken.
fn knows_the_last_alone(
    state: &ControlState,
    expected: u64,
    sent: &CommittedVersion,
    body: &Bytes,
) -> Judged {
    match put_config(state, expected, sent, body) {
        (None, ConfigVerdict::Committed) if state.committed.last() != Some(sent) => {
            (None, ConfigVerdict::VersionMismatch(state.version()))
        }
        judged => judged,
    }
}

/// Broken: no refusal is kept.
fn keeps_no_refusal(state: &ControlState, expected: u64, sent: &CommittedVersion, body: &Bytes) -> Judged {
    match put_config(state, expected, sent, body) {
        (_, verdict @ ConfigVerdict::VersionMismatch(_)) => (None, verdict),
        judged => judged,
    }
}

/// Broken: an order is taken on top of whatever is in force.
fn asks_for_no_base(state: &ControlState, _: u64, sent: &CommittedVersion, body: &Bytes) -> Judged {
    put_config(state, state.version(), sent, body)
}

#[gtest]
fn the_checker_finds_orders_judged_wrongly() {
    let rules = |judge| Rules { judge, ..SOUND };

    let again = [(Task::Order(0), 1), (Task::Order(1), 1), (Task::Order(0), 1)];
    let on_each_other = [order(0, 1), order(1, 2)];
    expect_that!(breaks(&on_each_other, &again, rules(knows_the_last_alone)), eq(true));

    let early = [(Task::Order(0), 1), (Task::Order(1), 1), (Task::Order(1), 1)];
    expect_that!(breaks(&on_each_other, &early, rules(keeps_no_refusal)), eq(true));

    let two = [(Task::Order(0), 1), (Task::Order(1), 1)];
    expect_that!(breaks(&[order(0, 1), order(0, 2)], &two, rules(asks_for_no_base)), eq(true));
}

#[gtest]
fn the_checker_finds_a_refusal_that_is_told_before_its_run_has_ended() {
    let tasks = [(Task::Order(0), 1), (Task::Order(1), 1), (Task::Order(0), 1)];
    let orders = [order(0, 6), order(0, 6)];
    expect_that!(breaks(&orders, &tasks, Rules { tells_at_once: true, ..SOUND }), eq(true));
}

#[derive(Default, Debug)]
struct Counts {
    confirmed: usize,
    refused: usize,
    unanswered: usize,
}

/// Eight orders, each at two machines or three, while a voter comes and another goes.
fn random_schedule(seed: u64, rules: Rules, counts: &mut Counts) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut below = |bound: usize| rng.next_u32() as usize % bound;
    let drawn = (0..8).map(|_| {
        let expected = below(4) as u64;
        order(expected, expected + below(3) as u64)
    });
    let orders: Vec<Order> = drawn.collect();
    let mut tasks: Vec<_> = (0..20).map(|number| (Task::Order(number % 8), 4)).collect();
    tasks.extend([(Task::AddVoter, 3), (Task::RemoveVoter, 3), (Task::Read, 4), (Task::Read, 4)]);
    let schedules = schedules(&orders, &tasks, rules);
    let mut fleet = schedules.start();
    for _ in 0..600 {
        let events = schedules.events(&fleet);
        // Most of what is under way goes on: runs that all give way to each other would tell little.
        let going: Vec<_> = events.iter().filter(|event| !matches!(event, Event::Begin(_))).collect();
        let event = match below(12) {
            0 if !events.is_empty() => &events[below(events.len())],
            _ if !going.is_empty() => going[below(going.len())],
            _ if !events.is_empty() => &events[below(events.len())],
            _ => break,
        };
        fleet = schedules.after(&fleet, event);
    }
    for number in 0..orders.len() {
        match (fleet.told.contains(&Told::Confirmed(number)), fleet.told.contains(&Told::Refused(number))) {
            (true, _) => counts.confirmed += 1,
            (_, true) => counts.refused += 1,
            _ => counts.unanswered += 1,
        }
    }
    fault(&orders, &fleet.told)
}

#[gtest]
fn eight_orders_at_once_in_random_schedules_with_voters_replaced() {
    let mut counts = Counts::default();
    for seed in 0..2_000 {
        assert_that!(random_schedule(seed, SOUND, &mut counts), none(), "seed {seed}");
    }
    println!("{counts:?}");
    expect_that!(counts.confirmed, gt(1_000));
    expect_that!(counts.refused, gt(1_000));
}

#[gtest]
fn random_schedules_find_what_is_broken_too() {
    let found = |rules: Rules| {
        let mut counts = Counts::default();
        (0..500).filter(|seed| random_schedule(*seed, rules, &mut counts).is_some()).count()
    };
    for (what, rules) in [
        ("the last version alone is known", Rules { judge: knows_the_last_alone, ..SOUND }),
        ("no refusal is kept", Rules { judge: keeps_no_refusal, ..SOUND }),
        ("no base is asked for", Rules { judge: asks_for_no_base, ..SOUND }),
        ("verdicts are told at once", Rules { tells_at_once: true, ..SOUND }),
    ] {
        let found = found(rules);
        println!("{what}: found in {found} of 500 schedules");
        expect_that!(found, gt(0), "{what}");
    }
}

#[gtest]
fn what_was_taken_or_refused_stays_so_over_thousands_of_changes() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let body = Bytes::from_static(b"{}");
    let mut state = ControlState::default();
    let (mut taken, mut refused) = (vec![], BTreeSet::new());
    let (mut unclear, mut forgotten) = (0, 0);
    for _ in 0..3_000 {
        // Given one order after the other, some on a wrong base, which may be above the right one.
        let base = match rng.next_u32() % 4 {
            0 => state.version() + u64::from(rng.next_u32() % 20),
            1 => state.version().saturating_sub(u64::from(rng.next_u32() % 20)),
            _ => state.version(),
        };
        let order = CommittedVersion {
            version: base + u64::from(rng.next_u32() % 4),
            digest: std::array::from_fn(|_| rng.next_u32() as u8),
        };
        let (next, verdict) = put_config(&state, base, &order, &body);
        state = next.unwrap_or(state);
        match verdict {
            ConfigVerdict::Committed => taken.push((base, order)),
            ConfigVerdict::VersionMismatch(_) | ConfigVerdict::NotNewer => {
                refused.insert((base, order.version, order.digest));
            }
            ConfigVerdict::Indeterminate => unclear += 1,
        }
        // When any earlier one is sent again, then it is answered as before, or not clearly.
        for _ in 0..4 {
            let (base, order) = &taken[rng.next_u32() as usize % taken.len().max(1)];
            let (next, verdict) = put_config(&state, *base, order, &body);
            expect_that!(next, none());
            expect_that!([ConfigVerdict::Committed, ConfigVerdict::Indeterminate], contains(eq(verdict)));
            forgotten += usize::from(verdict == ConfigVerdict::Indeterminate);
        }
        for (base, version, digest) in
            refused.iter().skip(rng.next_u32() as usize % refused.len().max(1)).take(4)
        {
            let order = CommittedVersion { version: *version, digest: *digest };
            expect_that!(put_config(&state, *base, &order, &body).1, not(eq(ConfigVerdict::Committed)));
        }
    }
    expect_that!(taken.len(), gt(1_000));
    expect_that!(refused.len(), gt(500));
    // What a value carries of all this stays small.
    let bare = ControlState { config: state.config.clone(), ..ControlState::default() };
    let carried = state.to_payload().unwrap().len() - bare.to_payload().unwrap().len();
    println!(
        "{} taken, {} refused, {unclear} unclear, {forgotten} forgotten when sent again; a value carries {carried} bytes",
        taken.len(),
        refused.len()
    );
    expect_that!(forgotten, gt(100));
    expect_that!(carried, lt(20_000));
}
