//! Catch-up: a storage machine gets from others what it should hold, and tells the core when it is in sync.

use super::StorageServer;
use fleet_model::{Answer, Call, StorageNode};
use futures_util::future::join_all;
use std::cell::RefCell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::sleep;
use turn_store::{Backfill, RecordCounts, WriteFailed};

/// Longest time for one call to another storage machine.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// A source that does not answer for so long is given up.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Before a catch-up that failed begins again.
const RESTART_DELAY: Duration = Duration::from_millis(60);
/// Before a source that was not ready is asked again.
const NOT_READY_RETRY_INTERVAL: Duration = Duration::from_millis(30);

/// A catch-up under way: for one epoch, into the replica of one generation.
struct BackfillRun {
    epoch: u64,
    generation: u64,
    backfill: RefCell<Backfill>,
    /// Told once enough sources are drained: the others need not be waited for.
    enough: Notify,
}

impl BackfillRun {
    fn give_up(&self, source: &StorageNode) {
        self.backfill.borrow_mut().give_up(source.disk);
    }
}

impl StorageServer {
    /// One catch-up, as long as the roster stays as it is and the replica is the same.
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
                let RecordCounts { turns, accounts, turn_bytes } =
                    self.replica.with(|replica| replica.state.counts()).unwrap_or_default();
                log::info!(
                    "full for epoch {} after {} ms: {turns} turns, {accounts} accounts, {turn_bytes} bytes",
                    run.epoch,
                    began.elapsed().as_millis()
                );
            }
            Ok(false) => {}
            Err(error) => log::warn!("the catch-up for epoch {} failed: {error}", run.epoch),
        }
    }

    /// Whether the roster and the replica are those that the catch-up began with.
    fn is_current(&self, run: &BackfillRun) -> bool {
        let epoch = self.replica.with_generation(run.generation, |replica| replica.state.epoch());
        epoch == Some(run.epoch)
    }

    /// Enough sources are drained: once it is synced they are told, and it is kept that this replica is in sync.
    async fn finish(&self, run: &BackfillRun) -> Result<bool, WriteFailed> {
        self.replica.write(run.generation, Vec::new()).await?;
        let drained: Vec<StorageNode> = run.backfill.borrow().drained().cloned().collect();
        let Some(disk) = self.replica.with_generation(run.generation, |replica| replica.me.disk) else {
            return Ok(false);
        };
        let told = drained.iter().map(|source| async {
            let call = Call::BackfillDone { epoch: run.epoch, disk };
            // Who does not hear of it offers the same again: no harm.
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

    /// Asks one source for page after page, until it is drained or gone, or enough others are. A page counts when it is synced.
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
            // Only the asking is left off: what has been absorbed is written in any case.
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
