use super::*;
use crate::{KEYSPACES, STATE};
use googletest::prelude::*;
use std::sync::mpsc;

fn put(key: &str) -> Write {
    Write::put(STATE, key, "value")
}

type Committed = std::result::Result<(), WriteFailed>;

/// A writer whose commits each wait for a word, and tell their keys.
fn stalled_writer() -> (Writer, mpsc::Sender<Committed>, mpsc::Receiver<Vec<Vec<u8>>>) {
    let (go, gone) = mpsc::channel();
    let (tell, reported) = mpsc::channel();
    let commit = move |writes: &[Write]| {
        tell.send(writes.iter().map(|write| write.key.clone()).collect()).unwrap();
        gone.recv().unwrap()
    };
    (Writer::start_engine(commit, |_| ()).unwrap(), go, reported)
}

fn keys(names: &[&str]) -> Vec<Vec<u8>> {
    names.iter().map(|name| name.as_bytes().to_vec()).collect()
}

fn note(log: &mpsc::Sender<(u8, bool)>, number: u8) -> Completion {
    let log = log.clone();
    Box::new(move |result| log.send((number, result.is_ok())).unwrap())
}

#[gtest]
fn what_comes_during_a_sync_goes_in_one_batch_and_completes_in_order() {
    // Given a writer busy with a first batch.
    let (writer, go, reported) = stalled_writer();
    let (log, completed) = mpsc::channel();
    writer.submit(vec![put("a")], note(&log, 1));
    expect_that!(reported.recv().unwrap(), eq(&keys(&["a"])));
    // When three more come, a lazy one, and one that waits only.
    writer.submit(vec![put("b")], note(&log, 2));
    writer.submit_deferred(vec![put("lazy")]);
    writer.submit(vec![], note(&log, 3));
    writer.submit(vec![put("c"), put("d")], note(&log, 4));
    expect_that!(completed.try_recv().is_err(), eq(true));
    go.send(Ok(())).unwrap();
    // Then they are one batch, and nobody is reported before it is synced.
    expect_that!(reported.recv().unwrap(), eq(&keys(&["b", "lazy", "c", "d"])));
    expect_that!(completed.recv().unwrap(), eq((1, true)));
    expect_that!(completed.try_recv().is_err(), eq(true));
    go.send(Ok(())).unwrap();
    let rest: Vec<_> = completed.iter().take(3).collect();
    expect_that!(rest, eq(&vec![(2, true), (3, true), (4, true)]));
}

#[gtest]
fn after_a_failure_nothing_is_reported_as_synced() {
    // Given a batch that fails.
    let (writer, go, reported) = stalled_writer();
    let (log, completed) = mpsc::channel();
    go.send(Err(WriteFailed("no space".into()))).unwrap();
    writer.submit(vec![put("a")], note(&log, 1));
    expect_that!(completed.recv().unwrap(), eq((1, false)));
    // When a later request comes, even one that only waits, then it fails too and nothing is written.
    writer.submit(vec![], note(&log, 2));
    writer.submit(vec![put("b")], note(&log, 3));
    expect_that!(completed.iter().take(2).collect::<Vec<_>>(), eq(&vec![(2, false), (3, false)]));
    expect_that!(reported.try_iter().count(), eq(1));
}

#[gtest]
fn lazy_writes_go_alone_after_a_while_and_at_the_end() {
    let (writer, go, reported) = stalled_writer();
    writer.submit_deferred(vec![put("a")]);
    expect_that!(reported.recv().unwrap(), eq(&keys(&["a"])));
    writer.submit_deferred(vec![put("b")]);
    go.send(Ok(())).unwrap();
    go.send(Ok(())).unwrap();
    drop(writer);
    expect_that!(reported.recv().unwrap(), eq(&keys(&["b"])));
}

#[gtest]
fn writes_reported_as_synced_survive_a_reopening() {
    let dir = tempfile::tempdir().unwrap();
    let disk = Arc::new(Disk::open(dir.path(), KEYSPACES, || 1).unwrap());
    let writer = Writer::start(Arc::clone(&disk), |_| ()).unwrap();
    let (log, completed) = mpsc::channel();
    for number in 0..50 {
        writer.submit(vec![put(&format!("{number:02}"))], note(&log, number));
    }
    let order: Vec<_> = completed.iter().take(50).collect();
    expect_that!(order, eq(&(0..50).map(|number| (number, true)).collect::<Vec<_>>()));
    drop(writer);
    drop(disk);
    let disk = Disk::open(dir.path(), KEYSPACES, || 1).unwrap();
    let mut found = 0;
    disk.scan(STATE, |_, _| {
        found += 1;
        Ok::<_, std::convert::Infallible>(())
    })
    .unwrap();
    expect_that!(found, eq(50));
}
