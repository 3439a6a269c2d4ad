//! Time-outs for futures.

use crate::Runtime;
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

/// The output of `work`; `None` if it does not complete within `duration`.
pub async fn timeout<R: Runtime, F: Future>(runtime: &R, duration: Duration, work: F) -> Option<F::Output> {
    let mut work = pin!(work);
    let mut sleep = pin!(runtime.sleep(duration));
    poll_fn(|cx| match work.as_mut().poll(cx) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending => sleep.as_mut().poll(cx).map(|()| None),
    })
    .await
}

/// The output of `work`; `None` if it does not complete before `deadline`, a time of [`Runtime::now`].
pub async fn timeout_at<R: Runtime, F: Future>(
    runtime: &R,
    deadline: Duration,
    work: F,
) -> Option<F::Output> {
    timeout(runtime, deadline.saturating_sub(runtime.now()), work).await
}
