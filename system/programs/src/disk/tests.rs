//! What is told synced, also after failures and to those who did not ask first.

use super::*;
use futures_util::FutureExt;
use googletest::prelude::*;
use std::sync::mpsc;

fn wait<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(future)
}

#[googletest::test]
fn a_write_that_nobody_waits_for_any_more_is_still_waited_for_by_others() {
    // Given a stalled disk, and a write whose asker has given up.
    let (go, gone) = mpsc::channel();
    let commit = move |_: &[Write]| gone.recv().unwrap();
    let durable = Durable::with_writer(Writer::start_engine(commit, |_| ())).unwrap();
    let mut given_up = Box::pin(durable.write(vec![Write::put("record", Vec::new(), "a")]));
    expect_that!((&mut given_up).now_or_never().is_none(), eq(true));
    drop(given_up);
    // When another asks whether all is synced, then it is not told so.
    let mut flush = Box::pin(durable.flush());
    expect_that!((&mut flush).now_or_never().is_none(), eq(true));
    // And it is once the disk goes on.
    go.send(Ok(())).unwrap();
    go.send(Ok(())).unwrap();
    expect_that!(wait(flush), eq(&Ok(())));
}

#[googletest::test]
fn after_a_failed_record_nothing_counts_as_settled_until_it_is_written() {
    // Given a log whose folder is gone, so that each write fails.
    let parent = tempfile::tempdir().unwrap();
    let folder = parent.path().join("data");
    let durable = Durable::with_log(RecordLog::open(&folder).unwrap().log).unwrap();
    std::fs::remove_dir(&folder).unwrap();
    expect_that!(wait(durable.put(&7_u32)).is_err(), eq(true));
    expect_that!(durable.is_failing(), eq(true));
    // Then one that only waits is not told that all is synced, again and again.
    for _ in 0..3 {
        expect_that!(wait(durable.flush()).is_err(), eq(true));
    }
    // When the folder takes files again, then the next one that waits has the record written.
    std::fs::create_dir(&folder).unwrap();
    expect_that!(wait(durable.flush()), eq(&Ok(())));
    expect_that!(durable.is_failing(), eq(false));
    drop(durable);
    let found = RecordLog::open(&folder).unwrap().found;
    expect_that!(
        found,
        eq(&turn_store::RecoveredRecord::Stored(postcard::to_allocvec(&7_u32).unwrap().into()))
    );
}
