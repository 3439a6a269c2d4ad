//! Bounds on time.

use crate::Runtime;
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

/// What the work comes to, if it does in this time.
pub async fn timeout<R: Runtime, F: Future>(runtime: &R, within: Duration, work: F) -> Option<F::Output> {
    let mut work = pin!(work);
    let mut over = pin!(runtime.sleep(within));
    poll_fn(|cx| match work.as_mut().poll(cx) {
        Poll::Ready(done) => Poll::Ready(Some(done)),
        Poll::Pending => over.as_mut().poll(cx).map(|()| None),
    })
    .await
}

/// What the work comes to, if it does before this moment of [`Runtime::now`].
pub async fn timeout_at<R: Runtime, F: Future>(
    runtime: &R,
    deadline: Duration,
    work: F,
) -> Option<F::Output> {
    timeout(runtime, deadline.saturating_sub(runtime.now()), work).await
}
