//! Mutated snapshots: decoding never panics, and yields only states that have one form and can be worked with.

use byte_mutation::mutated;
use coordination::CoordinationState;
use fleet_model::{CoordinationBatch, CoordinationCommand};
use googletest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use std::cell::Cell;

fn commands() -> Vec<CoordinationCommand> {
    let lock = |name: &str| name.to_owned();
    vec![
        CoordinationCommand::AcquireLock {
            lock: lock("a"),
            holder: lock("x"),
            hold_ms: 9,
            expired_grant: None,
        },
        CoordinationCommand::AcquireLock {
            lock: lock("b"),
            holder: lock("y"),
            hold_ms: 9,
            expired_grant: Some(1),
        },
        CoordinationCommand::RenewLock { lock: lock("a"), holder: lock("x"), fence: 1, hold_ms: 9 },
        CoordinationCommand::NextNumber { name: lock("n") },
        CoordinationCommand::PutKey { key: lock("g.a"), value: lock("v1"), expected: None },
        CoordinationCommand::PutKey { key: lock("g.b"), value: lock("v2"), expected: Some(0) },
        CoordinationCommand::PutKey { key: lock("h"), value: lock("v3"), expected: None },
    ]
}

fn samples() -> Vec<Vec<u8>> {
    let mut state = CoordinationState::default();
    let mut samples = vec![state.snapshot()];
    for elapsed_ms in [0, 12_000, 1] {
        state.apply(&CoordinationBatch { elapsed_ms, history_ms: 1_000, commands: commands() });
        samples.push(state.snapshot());
    }
    let values = (0..40).map(|number| CoordinationCommand::PutKey {
        key: format!("g.{}", number % 5),
        value: format!("w{number}"),
        expected: None,
    });
    state.apply(&CoordinationBatch { elapsed_ms: 5, history_ms: 1_000, commands: values.collect() });
    samples.push(state.snapshot());
    samples
}

fn check(bytes: &[u8]) -> bool {
    let Ok(mut state) = CoordinationState::restore(bytes) else { return false };
    assert_eq!(CoordinationState::restore(&state.snapshot()).as_ref(), Ok(&state));
    for elapsed_ms in [0, 20_000, u64::MAX] {
        let batch = CoordinationBatch { elapsed_ms, history_ms: 1_000, commands: commands() };
        assert_eq!(state.apply(&batch).len(), batch.commands.len());
        for (group, summary) in state.groups() {
            let pruned = summary.revision - summary.event_count as u64;
            assert_eq!(state.events(group, pruned).map(|events| events.len()), Ok(summary.event_count));
        }
        assert_eq!(CoordinationState::restore(&state.snapshot()).as_ref(), Ok(&state));
    }
    true
}

#[gtest]
fn mutated_snapshots_are_rejected_or_restored_to_states_that_work() {
    let config = Config { cases: 30_000, failure_persistence: None, ..Config::default() };
    let (restored, refused) = (Cell::new(0), Cell::new(0));
    TestRunner::new(config)
        .run(&mutated(samples()), |bytes| {
            let count = if check(&bytes) { &restored } else { &refused };
            count.set(count.get() + 1);
            Ok(())
        })
        .unwrap();
    println!("{} restored, {} refused", restored.get(), refused.get());
    expect_that!(restored.get(), gt(500));
    expect_that!(refused.get(), gt(1_000));
}
