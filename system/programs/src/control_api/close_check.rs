//! Detection of callers that are gone before their request is carried out.
//!
//! A process that was stopped for seconds finds whole requests in its sockets whose callers have given up since. Such a request
//! must not be carried out: its caller holds the call for failed. hyper reads the connection to its end while a service's future
//! is pending, and drops the future when the caller has closed; that takes polls of the connection and of the sockets.

/// Number of turns that the runtime gets: one to poll the sockets, one for hyper to read the end of the connection, and one in
/// reserve for an end that arrived while the request was being read.
const RUNTIME_TURNS: usize = 3;

/// Gives hyper the opportunity to drop the future that awaits this, if the caller has closed the connection.
pub(super) async fn drop_if_caller_is_gone() {
    for _ in 0..RUNTIME_TURNS {
        tokio::task::yield_now().await;
    }
}
