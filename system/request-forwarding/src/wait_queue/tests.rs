use super::*;
use futures_util::FutureExt;

#[test]
fn the_most_urgent_waiter_is_notified_first_and_the_next_when_it_leaves() {
    let queue = WaitQueue::new(10);
    let less_urgent = queue.enter("a", queue.rank(0, 2)).unwrap();
    let urgent = queue.enter("a", queue.rank(100, 0)).unwrap();
    queue.wake_first("a");
    assert!(urgent.notified().now_or_never().is_some());
    assert!(less_urgent.notified().now_or_never().is_none());
    drop(urgent);
    assert!(less_urgent.notified().now_or_never().is_some());
}

#[test]
fn a_long_wait_outranks_the_priority_of_new_arrivals() {
    let queue = WaitQueue::new(10);
    let old = queue.rank(0, 3);
    let _old = queue.enter("a", old).unwrap();
    assert!(queue.is_behind("a", queue.rank(1_000_000, 0)));
    assert!(!queue.is_behind("a", queue.rank(500_000, 0)));
    assert!(!queue.is_behind("b", queue.rank(1_000_000, 0)));
}

#[test]
fn the_queue_holds_at_most_its_maximum_of_waiters() {
    let queue = WaitQueue::new(1);
    let only = queue.enter("a", queue.rank(0, 0)).unwrap();
    assert!(queue.enter("b", queue.rank(0, 0)).is_none());
    drop(only);
    assert!(queue.enter("b", queue.rank(0, 0)).is_some());
    assert_eq!(queue.len(), 0);
}
