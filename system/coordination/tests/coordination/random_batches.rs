//! Applies random batches and compares the outcomes with a simple model that remembers every grant and every stored value.

use crate::commands::{acquire, acquire_after_expiry, next_number, put, release, renew};
use coordination::{CoordinationState, EventsPruned, HISTORY_MARGIN_MS, KeyEvent, group_of};
use fleet_model::{CoordinationBatch, CoordinationCommand, CoordinationOutcome};
use googletest::prelude::*;
use proptest::prelude::{Just, Strategy, any, prop, prop_oneof};
use proptest::test_runner::{Config, TestRunner};
use std::cell::Cell;
use std::collections::BTreeMap;

/// A put that changed its key.
#[derive(Clone, Debug)]
struct StoredPut {
    event: KeyEvent,
    stored_at_ms: u64,
    pruned: bool,
}

/// All grants, numbers and stored values since the start.
#[derive(Debug, Default)]
struct ReferenceModel {
    clock_ms: u64,
    /// Lock and holder, by fencing token.
    fence_owners: BTreeMap<u64, (String, String)>,
    numbers: BTreeMap<String, u64>,
    puts: BTreeMap<String, Vec<StoredPut>>,
    repeated_puts: u64,
}

impl ReferenceModel {
    fn begin_batch(&mut self, batch: &CoordinationBatch) {
        self.clock_ms += batch.elapsed_ms;
        for stored in self.puts.values_mut().flatten() {
            stored.pruned |= self.clock_ms - stored.stored_at_ms > batch.history_ms + HISTORY_MARGIN_MS;
        }
    }

    fn check_outcome(&mut self, command: &CoordinationCommand, outcome: &CoordinationOutcome) {
        match (command, outcome) {
            (
                CoordinationCommand::AcquireLock { lock, holder, .. },
                CoordinationOutcome::LockGranted { fence },
            ) => {
                let highest = self.fence_owners.last_key_value().map_or(0, |(fence, _)| *fence);
                let known = self.fence_owners.entry(*fence).or_insert_with(|| {
                    assert!(*fence > highest, "fence {fence} after {highest}");
                    (lock.clone(), holder.clone())
                });
                assert_eq!((&known.0, &known.1), (lock, holder));
            }
            (
                CoordinationCommand::RenewLock { lock, holder, fence: requested, .. },
                CoordinationOutcome::LockGranted { fence },
            ) => {
                assert_eq!(requested, fence);
                assert_eq!(self.fence_owners.get(fence), Some(&(lock.clone(), holder.clone())));
                let later = self.fence_owners.range(fence + 1..).any(|(_, (other, _))| other == lock);
                assert!(!later, "renewal with fence {fence} succeeded after a later holder got the lock");
            }
            (
                CoordinationCommand::AcquireLock { .. } | CoordinationCommand::RenewLock { .. },
                CoordinationOutcome::LockNotHeld,
            )
            | (CoordinationCommand::ReleaseLock { .. }, CoordinationOutcome::LockReleased) => {}
            (CoordinationCommand::NextNumber { name }, CoordinationOutcome::Number { value }) => {
                let last = self.numbers.entry(name.clone()).or_default();
                assert_eq!(*value, *last + 1);
                *last = *value;
            }
            (CoordinationCommand::PutKey { key, value, expected }, outcome) => {
                self.check_put(key, value, *expected, outcome);
            }
            other => panic!("{other:?}"),
        }
    }

    fn check_put(&mut self, key: &str, value: &str, expected: Option<u64>, outcome: &CoordinationOutcome) {
        let puts = self.puts.entry(group_of(key).to_owned()).or_default();
        let current = puts.iter().rev().find(|stored| stored.event.key == key);
        let current_revision = current.map_or(0, |stored| stored.event.revision);
        let known = puts.iter().find(|stored| {
            let is_current = stored.event.revision == current_revision;
            (is_current || !stored.pruned) && stored.event.key == key && stored.event.value == value
        });
        if let Some(known) = known {
            assert_eq!(*outcome, CoordinationOutcome::KeyStored { revision: known.event.revision });
            self.repeated_puts += 1;
        } else if expected.is_some_and(|expected| expected != current_revision) {
            assert_eq!(*outcome, CoordinationOutcome::RevisionMismatch { revision: current_revision });
        } else {
            let revision = puts.last().map_or(0, |last| last.event.revision) + 1;
            assert_eq!(*outcome, CoordinationOutcome::KeyStored { revision });
            let event = KeyEvent { key: key.to_owned(), value: value.to_owned(), revision };
            puts.push(StoredPut { event, stored_at_ms: self.clock_ms, pruned: false });
        }
    }

    /// Compares the events after each revision. Returns how many of the reads failed because events were pruned.
    fn check_events(&self, state: &CoordinationState) -> u64 {
        let mut pruned_reads = 0;
        for (group, puts) in &self.puts {
            assert_eq!(state.group_revision(group), puts.len() as u64);
            for after in 0..=puts.len() as u64 + 1 {
                let later_puts = || puts.iter().filter(|stored| stored.event.revision > after);
                let expected = if later_puts().any(|stored| stored.pruned) {
                    pruned_reads += 1;
                    let last_pruned = puts.iter().rev().find(|stored| stored.pruned).unwrap();
                    Err(EventsPruned { pruned_revision: last_pruned.event.revision })
                } else {
                    Ok(later_puts().map(|stored| stored.event.clone()).collect())
                };
                assert_eq!(state.events(group, after), expected);
            }
        }
        pruned_reads
    }
}

fn command() -> impl Strategy<Value = CoordinationCommand> {
    let lock = || prop::sample::select(vec!["a", "b"]);
    let holder = || prop::sample::select(vec!["x", "y", "z"]);
    let grant = || 1..20_u64;
    let hold_ms = || 0..5_000_u64;
    let expected = prop_oneof![4 => Just(None), 1 => (0..6_u64).prop_map(Some)];
    let key = prop::sample::select(vec!["g.a", "g.b", "h.a", "h"]);
    prop_oneof![
        3 => (lock(), holder(), hold_ms()).prop_map(|(lock, holder, hold_ms)| acquire(lock, holder, hold_ms)),
        4 => (lock(), holder(), hold_ms(), grant())
            .prop_map(|(lock, holder, hold_ms, grant)| acquire_after_expiry(lock, holder, hold_ms, Some(grant))),
        4 => (lock(), holder(), grant(), hold_ms())
            .prop_map(|(lock, holder, fence, hold_ms)| renew(lock, holder, fence, hold_ms)),
        4 => (lock(), holder(), grant()).prop_map(|(lock, holder, fence)| release(lock, holder, fence)),
        2 => prop::sample::select(vec!["n", "m"]).prop_map(next_number),
        8 => (key, 0..12_u8, expected).prop_map(|(key, value, expected)| put(key, &format!("v{value}"), expected)),
    ]
}

/// A batch, and whether the second state is restored from a snapshot before it is applied.
fn step() -> impl Strategy<Value = (CoordinationBatch, bool)> {
    let times = (0..9_000_u64, prop::sample::select(vec![0, 3_000, 20_000]));
    (times, prop::collection::vec(command(), 0..8), any::<bool>()).prop_map(
        |((elapsed_ms, history_ms), commands, is_restored)| {
            (CoordinationBatch { elapsed_ms, history_ms, commands }, is_restored)
        },
    )
}

#[gtest]
fn random_batches_match_the_model_with_and_without_snapshots() {
    let config = Config { cases: 1_500, failure_persistence: None, ..Config::default() };
    let (repeated_puts, pruned_reads, fence_count) = (Cell::new(0), Cell::new(0), Cell::new(0));
    TestRunner::new(config)
        .run(&prop::collection::vec(step(), 1..30), |steps| {
            let (mut state, mut model) = (CoordinationState::default(), ReferenceModel::default());
            let mut through_snapshots = state.clone();
            for (batch, is_restored) in &steps {
                if *is_restored {
                    through_snapshots = CoordinationState::restore(&through_snapshots.snapshot()).unwrap();
                }
                let outcomes = state.apply(batch);
                assert_eq!(outcomes, through_snapshots.apply(batch));
                assert_eq!(state, through_snapshots);
                assert_eq!(outcomes.len(), batch.commands.len());
                model.begin_batch(batch);
                for (command, outcome) in batch.commands.iter().zip(&outcomes) {
                    model.check_outcome(command, outcome);
                }
                pruned_reads.set(pruned_reads.get() + model.check_events(&state));
            }
            repeated_puts.set(repeated_puts.get() + model.repeated_puts);
            fence_count.set(fence_count.get() + model.fence_owners.len());
            Ok(())
        })
        .unwrap();
    println!(
        "{} repeated puts, {} reads of pruned events, {} fencing tokens",
        repeated_puts.get(),
        pruned_reads.get(),
        fence_count.get()
    );
    expect_that!(repeated_puts.get(), gt(1_000));
    expect_that!(pruned_reads.get(), gt(1_000));
    expect_that!(fence_count.get(), gt(1_000));
}
