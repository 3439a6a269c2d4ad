//! What a process waits for, and what it tells of that.

use googletest::prelude::*;
use process_lifecycle::waits::Waits;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

const INTERVAL: Duration = Duration::from_secs(1);

fn wait<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.unwrap().block_on(future)
}

#[gtest]
fn something_that_comes_late_is_given_up() {
    let waits = Rc::new(Waits::default());
    let attempts = Cell::new(0);
    let found = wait(waits.retry("a thing", INTERVAL, async || {
        attempts.set(attempts.get() + 1);
        if attempts.get() < 1_000 { Err("not there") } else { Ok(7) }
    }));
    expect_that!(found, eq(7));
    expect_that!((waits.current(), waits.begun()), eq((0, 1)));
}

#[gtest]
fn a_wait_is_told_by_no_metric() {
    let waits = Rc::new(Waits::default());
    let never = async || Err::<(), _>("not there");
    wait(async {
        let (first, second) = (waits.retry("one", INTERVAL, never), waits.retry("another", INTERVAL, never));
        let both = async { tokio::join!(first, second) };
        let (limited, ()) = tokio::join!(timeout(Duration::from_secs(10), both), async {
            sleep(Duration::from_secs(5)).await;
            expect_that!((waits.current(), waits.begun()), eq((2, 2)));
        });
        expect_that!(limited.is_err(), eq(true));
    });
    // Dropped waits have ended.
    expect_that!((waits.current(), waits.begun()), eq((0, 2)));
    expect_that!(waits.longest(), eq(Duration::ZERO));
}

#[gtest]
fn what_is_there_at_once_counts_as_a_wait() {
    let waits = Rc::new(Waits::default());
    expect_that!(wait(waits.retry("a thing", INTERVAL, async || Ok::<_, String>(1))), eq(1));
    expect_that!(waits.begun(), eq(0));
}

#[gtest]
fn work_that_hangs_is_told_by_no_metric() {
    let waits = Rc::new(Waits::default());
    let slow = async || {
        sleep(Duration::from_secs(12)).await;
        Ok::<_, String>(1)
    };
    wait(async {
        let (one, other, ()) =
            tokio::join!(waits.observe("one", slow()), waits.retry("another", INTERVAL, slow), async {
                sleep(Duration::from_secs(5)).await;
                expect_that!((waits.current(), waits.begun()), eq((2, 2)));
            });
        expect_that!((one.unwrap(), other), eq((1, 1)));
    });
    expect_that!(waits.current(), eq(0));
}

#[gtest]
fn work_that_is_soon_done_counts_as_a_wait() {
    let waits = Rc::new(Waits::default());
    wait(async { waits.observe("a thing", sleep(Duration::from_millis(500))).await });
    expect_that!(waits.begun(), eq(0));
}
