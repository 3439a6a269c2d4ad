//! Decodes mutated snapshots. Decoding never panics: it rejects the bytes or yields a state that encodes back to itself and accepts
//! commands.

use byte_mutation::mutated;
use coordination::CoordinationState;
use fleet_model::{CoordinationBatch, CoordinationCommand};
use googletest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use std::cell::Cell;

fn commands() -> Vec<CoordinationCommand> {
    let text = |text: &str| text.to_owned();
    vec![
        CoordinationCommand::AcquireLock {
            lock: text("a"),
            holder: text("x"),
            hold_ms: 9,
            expired_grant: None,
        },
        CoordinationCommand::AcquireLock {
            lock: text("b"),
            holder: text("y"),
            hold_ms: 9,
            expired_grant: Some(1),
        },
        CoordinationCommand::RenewLock { lock: text("a"), holder: text("x"), fence: 1, hold_ms: 9 },
        CoordinationCommand::NextNumber { name: text("n") },
        CoordinationCommand::PutKey { key: text("g.a"), value: text("v1"), expected: None },
        CoordinationCommand::PutKey { key: text("g.b"), value: text("v2"), expected: Some(0) },
        CoordinationCommand::PutKey { key: text("h"), value: text("v3"), expected: None },
    ]
}

fn sample_snapshots() -> Vec<Vec<u8>> {
    let mut state = CoordinationState::default();
    let mut sample_snapshots = vec![state.snapshot()];
    for elapsed_ms in [0, 12_000, 1] {
        state.apply(&CoordinationBatch { elapsed_ms, history_ms: 1_000, commands: commands() });
        sample_snapshots.push(state.snapshot());
    }
    let puts = (0..40).map(|number| CoordinationCommand::PutKey {
        key: format!("g.{}", number % 5),
        value: format!("w{number}"),
        expected: None,
    });
    state.apply(&CoordinationBatch { elapsed_ms: 5, history_ms: 1_000, commands: puts.collect() });
    sample_snapshots.push(state.snapshot());
    sample_snapshots
}

/// Returns whether the bytes were decoded.
fn check_restored(bytes: &[u8]) -> bool {
    let Ok(mut state) = CoordinationState::restore(bytes) else { return false };
    assert_eq!(CoordinationState::restore(&state.snapshot()).as_ref(), Ok(&state));
    for elapsed_ms in [0, 20_000, u64::MAX] {
        let batch = CoordinationBatch { elapsed_ms, history_ms: 1_000, commands: commands() };
        assert_eq!(state.apply(&batch).len(), batch.commands.len());
        for (group, summary) in state.groups() {
            let pruned_revision = summary.revision - summary.event_count as u64;
            assert_eq!(
                state.events(group, pruned_revision).map(|events| events.len()),
                Ok(summary.event_count)
            );
        }
        assert_eq!(CoordinationState::restore(&state.snapshot()).as_ref(), Ok(&state));
    }
    true
}

#[gtest]
fn mutated_snapshots_are_rejected_or_restored_to_usable_states() {
    let config = Config { cases: 30_000, failure_persistence: None, ..Config::default() };
    let (restored, rejected) = (Cell::new(0), Cell::new(0));
    TestRunner::new(config)
        .run(&mutated(sample_snapshots()), |bytes| {
            let count = if check_restored(&bytes) { &restored } else { &rejected };
            count.set(count.get() + 1);
            Ok(())
        })
        .unwrap();
    println!("{} restored, {} rejected", restored.get(), rejected.get());
    expect_that!(restored.get(), gt(500));
    expect_that!(rejected.get(), gt(1_000));
}
