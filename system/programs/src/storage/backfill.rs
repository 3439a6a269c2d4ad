//! Backfill: a storage node reads the records that it should store from its peers until it is in sync.

use super::StorageServer;
use fleet_model::{Answer, Call, StorageNode};
use futures_util::future::join_all;
use std::cell::RefCell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::sleep;
use turn_store::{Backfill, RecordCounts, WriteFailed};

/// Timeout of one call to another storage node.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without an answer after which a source is given up.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay before a failed backfill is started again.
const RESTART_DELAY: Duration = Duration::from_millis(60);
/// Delay before a source that was not ready is called again.
const NOT_READY_RETRY_INTERVAL: Duration = Duration::from_millis(30);

/// A backfill in progress: for one epoch, into the replica of one generation.
struct BackfillRun {
    epoch: u64,
    generation: u64,
    backfill: RefCell<Backfill>,
    /// Notified once enough sources are drained: the others need not be awaited.
    enough: Notify,
}

impl BackfillRun {
    fn give_up(&self, source: &StorageNode) {
        self.backfill.borrow_mut().give_up(source.disk);
    }
}

impl StorageServer {
    /// Runs one backfill; it is abandoned when the roster or the replica changes.
    pub(super) async fn run_backfill(&self, backfill: Backfill) {
        let generation = self.replica.generation();
        let run = BackfillRun {
            epoch: backfill.epoch(),
            generation,
            backfill: RefCell::new(backfill),
            enough: Notify::new(),
        };
        let began = Instant::now();
        let sources: Vec<StorageNode> =
            run.backfill.borrow().calls().map(|(store, _)| store.clone()).collect();
        join_all(sources.iter().map(|source| self.drain_source(source, &run))).await;
        if !run.backfill.borrow().is_done() || !self.is_current(&run) {
            sleep(RESTART_DELAY).await;
            return;
        }
        match self.finish(&run).await {
            Ok(true) => {
                let RecordCounts { turns, accounts, turn_bytes, .. } =
                    self.replica.with(|replica| replica.state.counts()).unwrap_or_default();
                log::info!(
                    "backfill complete: epoch={} elapsed_ms={} turns={turns} accounts={accounts} bytes={turn_bytes}",
                    run.epoch,
                    began.elapsed().as_millis()
                );
            }
            Ok(false) => {}
            Err(error) => log::warn!("backfill failed: epoch={} error={error}", run.epoch),
        }
    }

    /// Whether the roster and the replica are those with which the backfill started.
    fn is_current(&self, run: &BackfillRun) -> bool {
        let epoch = self.replica.with_generation(run.generation, |replica| replica.state.epoch());
        epoch == Some(run.epoch)
    }

    /// Completes a backfill with enough drained sources: syncs, notifies the sources, and records that this replica is in sync.
    async fn finish(&self, run: &BackfillRun) -> Result<bool, WriteFailed> {
        self.replica.write(run.generation, Vec::new()).await?;
        let drained: Vec<StorageNode> = run.backfill.borrow().drained().cloned().collect();
        let Some(disk) = self.replica.with_generation(run.generation, |replica| replica.me.disk) else {
            return Ok(false);
        };
        let told = drained.iter().map(|source| async {
            let call = Call::BackfillDone { epoch: run.epoch, disk };
            // A source that misses it offers the same records again, which is harmless.
            let _ = self.peer(source.ip).call(call, CALL_TIMEOUT).await;
        });
        join_all(told).await;
        let marked = self.replica.with_generation(run.generation, |replica| {
            let writes = replica.state.mark_in_sync(&run.backfill.borrow())?;
            Some(replica.write(writes))
        });
        match marked.flatten() {
            Some(synced) => synced.await.map(|()| true),
            None => Ok(false),
        }
    }

    /// Reads all pages of one source, until it is drained or unresponsive, or enough others are drained. A page counts once
    /// it is synced.
    async fn drain_source(&self, source: &StorageNode, run: &BackfillRun) {
        let mut answered = Instant::now();
        loop {
            if run.backfill.borrow().is_done() {
                return run.enough.notify_waiters();
            }
            let Some(call) = run.backfill.borrow().call(source.disk) else { return };
            if !self.is_current(run) {
                return run.give_up(source);
            }
            let peer = self.peer(source.ip);
            // Only the call is cancelled: applied pages are written in any case.
            let answer = tokio::select! {
                answer = peer.call(call, CALL_TIMEOUT) => answer,
                () = run.enough.notified() => return,
            };
            match answer {
                Ok(Answer::Records { turns, accounts, cursor }) => {
                    answered = Instant::now();
                    let now = self.process.now_ms();
                    let absorbed = self.replica.with_generation(run.generation, |replica| {
                        let writes = replica.state.apply_page(now, turns, accounts);
                        replica.write(writes)
                    });
                    // Also without writes it waits for the earlier ones, which may have brought the same.
                    let synced = match absorbed {
                        Some(synced) => synced.await.is_ok(),
                        None => false,
                    };
                    if !synced {
                        return run.give_up(source);
                    }
                    run.backfill.borrow_mut().page_applied(source.disk, cursor);
                }
                _ if answered.elapsed() > SOURCE_TIMEOUT => return run.give_up(source),
                // It may not know the epoch yet, or not be there yet.
                _ => sleep(NOT_READY_RETRY_INTERVAL).await,
            }
            self.update_roster();
        }
    }
}
