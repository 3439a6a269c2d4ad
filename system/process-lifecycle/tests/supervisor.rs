//! Parts of a process that fail, and what the supervisor does then.

use googletest::prelude::*;
use process_lifecycle::signals::SignalRequests;
use process_lifecycle::supervisor::{Parts, Restarts, supervise};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// How many runs a test lets fail.
const FAILING_RUNS: u64 = 3;
/// A supervisor that has not come to its end by then never does.
const LIMIT: Duration = Duration::from_secs(600);

type Outcome = std::result::Result<(), String>;

/// A process without signals, whose shutdown a test requests.
struct World {
    shutdown: watch::Sender<bool>,
    requests: SignalRequests,
    restarts: Restarts,
    runs: Cell<u64>,
}

impl World {
    fn new() -> Rc<Self> {
        let (shutdown, requested) = watch::channel(false);
        let requests = SignalRequests { shutdown: requested, reloads: watch::channel(0).1 };
        Rc::new(Self { shutdown, requests, restarts: Restarts::default(), runs: Cell::new(0) })
    }

    /// Supervises a body that gets the number of its run, until it ends.
    async fn run<F: Future<Output = Outcome>>(&self, body: impl Fn(u64, Parts) -> F) {
        let numbered = |parts| body(self.runs.replace(self.runs.get() + 1), parts);
        timeout(LIMIT, supervise(&self.requests, &self.restarts, numbered)).await.expect("an end");
    }

    async fn shutdown_requested(&self) {
        self.requests.shutdown_requested().await;
    }
}

fn wait<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.unwrap().block_on(future)
}

/// The ways in which a run can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failing {
    BodyPanics,
    BodyReturnsAnError,
    PartPanics,
    PartReturns,
    TaskPanics,
}

async fn fail(how: Failing, parts: &Parts) -> Outcome {
    match how {
        Failing::BodyPanics => panic!("the body"),
        Failing::BodyReturnsAnError => return Err("an error".to_owned()),
        Failing::PartPanics => drop(parts.spawn("part", async { panic!("a part") })),
        Failing::PartReturns => drop(parts.spawn("part", async {})),
        Failing::TaskPanics => drop(parts.spawn_task("task", async { panic!("a task") })),
    }
    std::future::pending().await
}

#[gtest]
fn a_part_that_fails_leaves_a_process_that_lives_and_does_nothing() {
    use Failing::{BodyPanics, BodyReturnsAnError, PartPanics, PartReturns, TaskPanics};
    for how in [BodyPanics, BodyReturnsAnError, PartPanics, PartReturns, TaskPanics] {
        // Given a program whose first runs fail,
        let world = World::new();
        let served = Rc::new(Cell::new(false));
        wait(world.run(async |run, parts| {
            if run < FAILING_RUNS {
                return fail(how, &parts).await;
            }
            // when a later one does not, then it serves, and ends when it is told to.
            parts.set_started();
            served.set(true);
            world.shutdown.send_replace(true);
            world.shutdown_requested().await;
            Ok(())
        }));
        expect_that!(served.get(), eq(true), "{how:?}");
        expect_that!(world.restarts.count(), eq(FAILING_RUNS), "{how:?}");
    }
}

#[gtest]
fn tasks_of_a_failed_run_go_on_beside_those_of_the_next() {
    let world = World::new();
    let alive = Rc::new(Cell::new(0));
    struct Alive(Rc<Cell<i32>>);
    impl Drop for Alive {
        fn drop(&mut self) {
            self.0.set(self.0.get() - 1);
        }
    }
    wait(world.run(async |run, parts| {
        expect_that!(alive.get(), eq(0));
        alive.set(alive.get() + 1);
        let held = Alive(alive.clone());
        parts.spawn("holder", async move {
            let _held = held;
            std::future::pending().await
        });
        if run < FAILING_RUNS {
            return fail(Failing::PartPanics, &parts).await;
        }
        world.shutdown.send_replace(true);
        std::future::pending().await
    }));
    expect_that!(alive.get(), eq(0));
}

#[gtest]
fn a_program_that_fails_at_each_run_keeps_the_processor_busy() {
    let world = World::new();
    let starts = RefCell::new(Vec::new());
    wait(async {
        let began = Instant::now();
        let failing = world.run(async |_, parts| {
            starts.borrow_mut().push(began.elapsed());
            fail(Failing::PartPanics, &parts).await
        });
        tokio::join!(failing, async {
            sleep(Duration::from_secs(60)).await;
            world.shutdown.send_replace(true);
        });
    });
    // Pauses of 0.1, 0.2, .. 3.2 s, then of 5 s.
    expect_that!(starts.borrow().len(), all!(ge(15), le(20)));
}

#[gtest]
fn a_shutdown_waits_for_a_body_that_has_not_started() {
    let world = World::new();
    wait(async {
        let starting = world.run(async |_, _| std::future::pending().await);
        tokio::join!(starting, async {
            sleep(Duration::from_secs(1)).await;
            world.shutdown.send_replace(true);
        });
    });
    expect_that!(world.restarts.count(), eq(0));
}

#[gtest]
fn a_part_that_ends_in_a_shutdown_starts_the_process_again() {
    let world = World::new();
    let completed = Cell::new(false);
    wait(world.run(async |_, parts| {
        parts.set_started();
        world.shutdown.send_replace(true);
        parts.spawn("part", async {});
        sleep(Duration::from_secs(5)).await;
        completed.set(true);
        Ok(())
    }));
    expect_that!(completed.get(), eq(true));
    expect_that!(world.restarts.count(), eq(0));
}
