//! The memory that request bodies share: who gives way, and what is given back.

use bytes::Bytes;
use client_admission::{BodyBudget, BodyError, BudgetExceeded, discard_body, read_body};
use googletest::prelude::*;
use http_body_util::{Empty, Full};
use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest};
use std::time::Duration;
use tokio::time::{Instant, advance};

/// Longer than a body may be incomplete while others need its memory.
const EVICTION_AGE: Duration = Duration::from_secs(1);
/// A large body: it leaves a quarter of the budget free.
const LARGE: usize = 100 * 1024;

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn given_stalled_bodies_use_the_budget_up_then_the_oldest_gives_way() {
    let budget = BodyBudget::new(4 * LARGE);
    let mut stalled: Vec<_> = (0..3).map(|_| budget.begin(Some(LARGE), LARGE)).collect();
    for body in &mut stalled {
        body.push(&vec![1; LARGE - 1]).unwrap();
    }
    let mut newcomer = budget.begin(Some(LARGE), LARGE);
    expect_that!(newcomer.push(&vec![2; LARGE - 1]), err(eq(BudgetExceeded)), "none is old enough");

    advance(EVICTION_AGE).await;
    newcomer.push(&vec![2; LARGE - 1]).unwrap();
    expect_that!(budget.evicted(), eq(1));
    stalled[0].evicted().await;
    expect_that!(stalled[0].push(&[1]), err(eq(BudgetExceeded)));
    stalled[1].push(&[1]).unwrap();
    expect_that!(stalled.remove(1).finish().unwrap().len(), eq(LARGE));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn given_complete_large_bodies_then_small_ones_still_find_room() {
    let budget = BodyBudget::new(4 * LARGE);
    let held: Vec<Bytes> = (0..3).map(|_| budget.join(&[&vec![0; LARGE]]).unwrap()).collect();
    advance(2 * EVICTION_AGE).await;
    expect_that!(budget.join(&[&vec![0; LARGE]]), err(eq(&BudgetExceeded)));
    let small = budget.join(&[b"small", b"body"]).unwrap();
    expect_that!(small, eq(&Bytes::from_static(b"smallbody")));
    let clone = held[0].clone();
    drop(held);
    expect_that!(budget.used_bytes(), eq(LARGE + small.len()), "a clone occupies its memory");
    drop((clone, small));
    expect_that!(budget.used_bytes(), eq(0));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn given_a_body_is_alone_then_it_is_read_whatever_the_budget() {
    let budget = BodyBudget::new(10);
    let deadline = Instant::now() + EVICTION_AGE;
    let read = read_body(Full::new(Bytes::from(vec![7; LARGE])), LARGE, deadline, &budget).await;
    expect_that!(read.unwrap().len(), eq(LARGE));
    expect_that!(budget.used_bytes(), eq(0));
    let empty = read_body(Empty::<Bytes>::new(), 0, deadline, &budget).await;
    expect_that!(empty, ok(eq(&Bytes::new())));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn given_a_body_states_too_great_a_length_then_nothing_of_it_is_read() {
    let budget = BodyBudget::new(LARGE);
    let deadline = Instant::now() + EVICTION_AGE;
    let body = || Full::new(Bytes::from(vec![7; 11]));
    expect_that!(read_body(body(), 10, deadline, &budget).await, err(eq(&BodyError::TooLarge)));
    expect_that!(discard_body(body(), 10, deadline).await, err(eq(BodyError::TooLarge)));
    expect_that!(discard_body(body(), 11, deadline).await, ok(eq(())));
}

/// What happens to the bodies of a budget.
#[derive(Clone, Debug)]
enum Step {
    Begin,
    Push { body: usize, bytes: usize },
    Finish { body: usize },
    Abandon { body: usize },
    Drop { complete: usize },
    Wait,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(|_| Step::Begin),
        (0_usize..8, 1_usize..40_000).prop_map(|(body, bytes)| Step::Push { body, bytes }),
        (0_usize..8).prop_map(|body| Step::Finish { body }),
        (0_usize..8).prop_map(|body| Step::Abandon { body }),
        (0_usize..8).prop_map(|complete| Step::Drop { complete }),
        any::<bool>().prop_map(|_| Step::Wait),
    ]
}

proptest! {
    #[test]
    fn given_any_steps_then_the_budget_holds_and_all_memory_is_given_back(steps in vec(step(), 0..120)) {
        const MAX_BYTES: usize = 200_000;
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        runtime.enable_time().start_paused(true).build().unwrap().block_on(async {
            let budget = BodyBudget::new(MAX_BYTES);
            let (mut incomplete, mut complete) = (Vec::new(), Vec::new());
            for step in steps {
                match step {
                    Step::Begin => incomplete.push(budget.begin(None, 100_000)),
                    Step::Push { body, bytes } if body < incomplete.len() => {
                        // An evicted or refused body stays until it is dropped.
                        let _ = incomplete[body].push(&vec![0; bytes]);
                    }
                    Step::Finish { body } if body < incomplete.len() => {
                        let length = incomplete[body].len();
                        if let Ok(bytes) = incomplete.remove(body).finish() {
                            prop_assert_eq!(bytes.len(), length);
                            complete.push(bytes);
                        }
                    }
                    Step::Abandon { body } if body < incomplete.len() => drop(incomplete.remove(body)),
                    Step::Drop { complete: index } if index < complete.len() => drop(complete.remove(index)),
                    Step::Wait => advance(EVICTION_AGE).await,
                    _ => {}
                }
                let held: usize = complete.iter().map(Bytes::len).sum();
                let read: usize = incomplete.iter().map(client_admission::BodyBuffer::len).sum();
                prop_assert!(held + read <= budget.used_bytes());
                let is_alone = complete.len() + incomplete.iter().filter(|body| !body.is_empty()).count() <= 1;
                prop_assert!(is_alone || budget.used_bytes() <= MAX_BYTES);
            }
            drop((incomplete, complete));
            prop_assert_eq!(budget.used_bytes(), 0);
            Ok(())
        })?;
    }
}
