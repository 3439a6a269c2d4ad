//! The client listener: accepts connections, limits their number and ends them at shutdown.

use crate::forwarder::Forwarder;
use crate::open_connections::{ConnectionGuard, OpenConnections};
use crate::turn_storage::TurnStorage;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout};

/// After shutdown, the listen backlog counts as empty once no connection has been accepted for this long.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(20);
/// Interval between sweeps of the idle connections to endpoints.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for rejecting a client beyond the connection limit.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Upper bound on the clients being rejected at once; further ones are closed without a response.
const MAX_REJECTING: usize = 64;
const REJECTION_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.250\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Lower bound of hyper's connection buffer.
pub(crate) const MIN_BUFFER_BYTES: usize = 8192;

/// Phase of the process's graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// No shutdown.
    Serving,
    /// New connections are accepted, and each connection closes after its next response.
    Draining,
    /// The same, and no new connections are accepted.
    Closing,
}

impl<T: TurnStorage> Forwarder<T> {
    /// Serves clients until `shutdown` is `Closing` and all connections have closed.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, mut shutdown: watch::Receiver<ShutdownPhase>) {
        let rejecting = Rc::new(OpenConnections::default());
        let mut sweep = interval(IDLE_SWEEP_INTERVAL);
        loop {
            if current_phase(&mut shutdown) == ShutdownPhase::Closing {
                break;
            }
            tokio::select! {
                // The client has disconnected, or no file descriptor is free: both errors are transient.
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.accept(stream, &rejecting, &shutdown),
                    Err(e) => {
                        log::warn!("client listener: accept failed: {e}");
                        sleep(Duration::from_millis(5)).await;
                    }
                },
                _ = shutdown.changed() => {}
                _ = sweep.tick() => self.shared.sweep(),
            }
        }
        while let Ok(Ok((stream, _))) = timeout(FINAL_ACCEPT_TIMEOUT, listener.accept()).await {
            self.accept(stream, &rejecting, &shutdown);
        }
        drop(listener);
        while !self.connections.is_unused() {
            tokio::select! {
                () = self.connections.connection_closed() => {}
                _ = sweep.tick() => self.shared.sweep(),
            }
        }
    }

    /// Serves an accepted connection, or rejects it beyond the connection limit if no other connection can be evicted.
    fn accept(
        self: &Rc<Self>,
        stream: TcpStream,
        rejecting: &Rc<OpenConnections>,
        shutdown: &watch::Receiver<ShutdownPhase>,
    ) {
        let Some(slot) = self.connections.admit() else {
            self.shared.count(|metrics| metrics.clients_refused += 1);
            if rejecting.count.get() < MAX_REJECTING {
                let guard = ConnectionGuard::new(rejecting);
                spawn_local(async move {
                    let _ = timeout(REJECTION_TIMEOUT, reject(stream)).await;
                    drop(guard);
                });
            }
            return;
        };
        self.shared.count(|metrics| metrics.clients += 1);
        let (forwarder, shutdown) = (self.clone(), shutdown.clone());
        spawn_local(async move {
            forwarder.clone().serve_connection(stream, Rc::new(slot), shutdown).await;
            forwarder.shared.count(|metrics| metrics.clients -= 1);
        });
    }
}

/// The current phase; `Closing` once the sender is dropped.
pub(crate) fn current_phase(shutdown: &mut watch::Receiver<ShutdownPhase>) -> ShutdownPhase {
    if shutdown.has_changed().is_err() { ShutdownPhase::Closing } else { *shutdown.borrow_and_update() }
}

/// Responds with 503 to a client beyond the connection limit.
async fn reject(mut stream: TcpStream) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buffer = [0; 4096];
    if !matches!(stream.read(&mut buffer).await, Ok(count) if count > 0) {
        return;
    }
    if stream.write_all(REJECTION_RESPONSE).await.is_ok() && stream.shutdown().await.is_ok() {
        // Closing with unread bytes would reset the connection and lose the response.
        while matches!(stream.read(&mut buffer).await, Ok(count) if count > 0) {}
    }
}
