//! Random batches, compared with a plain record of all that was ever granted and stored.

use crate::commands::{acquire, next, put, release, renew, take};
use coordination::{CoordinationState, EventsPruned, HISTORY_MARGIN_MS, KeyEvent, group_of};
use fleet_model::{CoordinationBatch, CoordinationCommand, CoordinationOutcome};
use googletest::prelude::*;
use proptest::prelude::{Just, Strategy, any, prop, prop_oneof};
use proptest::test_runner::{Config, TestRunner};
use std::cell::Cell;
use std::collections::BTreeMap;

/// A put that was stored.
#[derive(Clone, Debug)]
struct StoredPut {
    event: KeyEvent,
    stored_at_ms: u64,
    pruned: bool,
}

/// Everything that was granted and stored.
#[derive(Debug, Default)]
struct Record {
    clock_ms: u64,
    /// The lock and the holder of each fencing token.
    fences: BTreeMap<u64, (String, String)>,
    numbers: BTreeMap<String, u64>,
    puts: BTreeMap<String, Vec<StoredPut>>,
    repeated_puts: u64,
}

impl Record {
    fn begin(&mut self, batch: &CoordinationBatch) {
        self.clock_ms += batch.elapsed_ms;
        for stored in self.puts.values_mut().flatten() {
            stored.pruned |= self.clock_ms - stored.stored_at_ms > batch.history_ms + HISTORY_MARGIN_MS;
        }
    }

    fn check(&mut self, command: &CoordinationCommand, outcome: &CoordinationOutcome) {
        match (command, outcome) {
            (
                CoordinationCommand::AcquireLock { lock, holder, .. },
                CoordinationOutcome::LockGranted { fence },
            ) => {
                let highest = self.fences.last_key_value().map_or(0, |(fence, _)| *fence);
                let known = self.fences.entry(*fence).or_insert_with(|| {
                    assert!(*fence > highest, "fence {fence} after {highest}");
                    (lock.clone(), holder.clone())
                });
                assert_eq!((&known.0, &known.1), (lock, holder));
            }
            (
                CoordinationCommand::RenewLock { lock, holder, fence: asked, .. },
                CoordinationOutcome::LockGranted { fence },
            ) => {
                assert_eq!(asked, fence);
                assert_eq!(self.fences.get(fence), Some(&(lock.clone(), holder.clone())));
                let later = self.fences.range(fence + 1..).any(|(_, (other, _))| other == lock);
                assert!(!later, "renewed under {fence} after another had the lock");
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

    /// Compares the events after each revision. Returns how often some were pruned.
    fn check_events(&self, state: &CoordinationState) -> u64 {
        let mut refusals = 0;
        for (group, puts) in &self.puts {
            assert_eq!(state.group_revision(group), puts.len() as u64);
            for after in 0..=puts.len() as u64 + 1 {
                let asked = || puts.iter().filter(|stored| stored.event.revision > after);
                let expected = if asked().any(|stored| stored.pruned) {
                    refusals += 1;
                    let pruned = puts.iter().rev().find(|stored| stored.pruned).unwrap();
                    Err(EventsPruned { pruned_revision: pruned.event.revision })
                } else {
                    Ok(asked().map(|stored| stored.event.clone()).collect())
                };
                assert_eq!(state.events(group, after), expected);
            }
        }
        refusals
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
            .prop_map(|(lock, holder, hold_ms, grant)| take(lock, holder, hold_ms, Some(grant))),
        4 => (lock(), holder(), grant(), hold_ms())
            .prop_map(|(lock, holder, fence, hold_ms)| renew(lock, holder, fence, hold_ms)),
        4 => (lock(), holder(), grant()).prop_map(|(lock, holder, fence)| release(lock, holder, fence)),
        2 => prop::sample::select(vec!["n", "m"]).prop_map(next),
        8 => (key, 0..12_u8, expected).prop_map(|(key, value, expected)| put(key, &format!("v{value}"), expected)),
    ]
}

/// A batch, and whether the state goes through a snapshot before it.
fn step() -> impl Strategy<Value = (CoordinationBatch, bool)> {
    let times = (0..9_000_u64, prop::sample::select(vec![0, 3_000, 20_000]));
    (times, prop::collection::vec(command(), 0..8), any::<bool>()).prop_map(
        |((elapsed_ms, history_ms), commands, is_restored)| {
            (CoordinationBatch { elapsed_ms, history_ms, commands }, is_restored)
        },
    )
}

#[gtest]
fn random_batches_agree_with_the_record_with_and_without_snapshots() {
    let config = Config { cases: 1_500, failure_persistence: None, ..Config::default() };
    let (repeated_puts, refusals, fences) = (Cell::new(0), Cell::new(0), Cell::new(0));
    TestRunner::new(config)
        .run(&prop::collection::vec(step(), 1..30), |steps| {
            let (mut state, mut record) = (CoordinationState::default(), Record::default());
            let mut through_snapshots = state.clone();
            for (batch, is_restored) in &steps {
                if *is_restored {
                    through_snapshots = CoordinationState::restore(&through_snapshots.snapshot()).unwrap();
                }
                let outcomes = state.apply(batch);
                assert_eq!(outcomes, through_snapshots.apply(batch));
                assert_eq!(state, through_snapshots);
                assert_eq!(outcomes.len(), batch.commands.len());
                record.begin(batch);
                for (command, outcome) in batch.commands.iter().zip(&outcomes) {
                    record.check(command, outcome);
                }
                refusals.set(refusals.get() + record.check_events(&state));
            }
            repeated_puts.set(repeated_puts.get() + record.repeated_puts);
            fences.set(fences.get() + record.fences.len());
            Ok(())
        })
        .unwrap();
    println!("{} repeated puts, {} refusals, {} fences", repeated_puts.get(), refusals.get(), fences.get());
    expect_that!(repeated_puts.get(), gt(1_000));
    expect_that!(refusals.get(), gt(1_000));
    expect_that!(fences.get(), gt(1_000));
}
