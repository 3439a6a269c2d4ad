//! Catch-up: a storage machine gets from others what it should hold, and tells the core when it is in sync.

use super::TurnKeeper;
use fleet_model::{Answer, Call, StorageNode};
use futures_util::future::join_all;
use std::cell::RefCell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::sleep;
use turn_store::{Backfill, RecordCounts, WriteFailed};

/// Longest time for one call to another storage machine.
const PATIENCE: Duration = Duration::from_millis(600);
/// A source that does not answer for so long is given up.
const SOURCE_GONE: Duration = Duration::from_millis(1_200);
/// Before a catch-up that failed begins again.
const FAILED_PAUSE: Duration = Duration::from_millis(60);
/// Before a source that was not ready is asked again.
const UNREADY_PAUSE: Duration = Duration::from_millis(30);

/// A catch-up under way: for one epoch, into the replica of one generation.
struct CatchUp {
    epoch: u64,
    generation: u64,
    filling: RefCell<Backfill>,
    /// Told once enough sources are drained: the others need not be waited for.
    enough: Notify,
}

impl CatchUp {
    fn give_up(&self, source: &StorageNode) {
        self.filling.borrow_mut().give_up(source.disk);
    }
}

impl TurnKeeper {
    /// One catch-up, as long as the roster stays as it is and the replica is the same.
    pub(super) async fn catch_up(&self, filling: Backfill) {
        let generation = self.replica.generation();
        let catch_up = CatchUp {
            epoch: filling.epoch(),
            generation,
            filling: RefCell::new(filling),
            enough: Notify::new(),
        };
        let began = Instant::now();
        let sources: Vec<StorageNode> =
            catch_up.filling.borrow().calls().map(|(store, _)| store.clone()).collect();
        join_all(sources.iter().map(|source| self.drain(source, &catch_up))).await;
        if !catch_up.filling.borrow().is_done() || !self.goes_on(&catch_up) {
            sleep(FAILED_PAUSE).await;
            return;
        }
        match self.finish(&catch_up).await {
            Ok(true) => {
                let RecordCounts { turns, accounts, turn_bytes } =
                    self.replica.with(|replica| replica.state.counts()).unwrap_or_default();
                log::info!(
                    "full for epoch {} after {} ms: {turns} turns, {accounts} accounts, {turn_bytes} bytes",
                    catch_up.epoch,
                    began.elapsed().as_millis()
                );
            }
            Ok(false) => {}
            Err(error) => log::warn!("the catch-up for epoch {} failed: {error}", catch_up.epoch),
        }
    }

    /// Whether the roster and the replica are those that the catch-up began with.
    fn goes_on(&self, catch_up: &CatchUp) -> bool {
        let epoch = self.replica.with_generation(catch_up.generation, |replica| replica.state.epoch());
        epoch == Some(catch_up.epoch)
    }

    /// Enough sources are drained: once it is synced they are told, and it is kept that this replica is in sync.
    async fn finish(&self, catch_up: &CatchUp) -> Result<bool, WriteFailed> {
        self.replica.write(catch_up.generation, Vec::new()).await?;
        let drained: Vec<StorageNode> = catch_up.filling.borrow().drained().cloned().collect();
        let Some(disk) = self.replica.with_generation(catch_up.generation, |replica| replica.me.disk) else {
            return Ok(false);
        };
        let told = drained.iter().map(|source| async {
            let call = Call::BackfillDone { epoch: catch_up.epoch, disk };
            // Who does not hear of it offers the same again: no harm.
            let _ = self.peer(source.ip).call(call, PATIENCE).await;
        });
        join_all(told).await;
        let marked = self.replica.with_generation(catch_up.generation, |replica| {
            let writes = replica.state.mark_in_sync(&catch_up.filling.borrow())?;
            Some(replica.write(writes))
        });
        match marked.flatten() {
            Some(synced) => synced.await.map(|()| true),
            None => Ok(false),
        }
    }

    /// Asks one source for page after page, until it is drained or gone, or enough others are. A page counts when it is synced.
    async fn drain(&self, source: &StorageNode, catch_up: &CatchUp) {
        let mut answered = Instant::now();
        loop {
            if catch_up.filling.borrow().is_done() {
                return catch_up.enough.notify_waiters();
            }
            let Some(call) = catch_up.filling.borrow().call(source.disk) else { return };
            if !self.goes_on(catch_up) {
                return catch_up.give_up(source);
            }
            let peer = self.peer(source.ip);
            // Only the asking is left off: what has been absorbed is written in any case.
            let answer = tokio::select! {
                answer = peer.call(call, PATIENCE) => answer,
                () = catch_up.enough.notified() => return,
            };
            match answer {
                Ok(Answer::Records { turns, accounts, cursor }) => {
                    answered = Instant::now();
                    let now = self.process.now_ms();
                    let absorbed = self.replica.with_generation(catch_up.generation, |replica| {
                        let writes = replica.state.apply_page(now, turns, accounts);
                        replica.write(writes)
                    });
                    // Also without writes it waits for the earlier ones, which may have brought the same.
                    let synced = match absorbed {
                        Some(synced) => synced.await.is_ok(),
                        None => false,
                    };
                    if !synced {
                        return catch_up.give_up(source);
                    }
                    catch_up.filling.borrow_mut().page_applied(source.disk, cursor);
                }
                _ if answered.elapsed() > SOURCE_GONE => return catch_up.give_up(source),
                // It may not know the epoch yet, or not be there yet.
                _ => sleep(UNREADY_PAUSE).await,
            }
            self.learn_roster();
        }
    }
}
