//! Registration of a storage node in the roster: it joins, follows changes, and reports when it is in sync.

use super::StorageServer;
use super::replica::Replica;
use crate::random::random_u64;
use fleet_model::{Answer, Call, Roster, StorageNode};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;
use turn_store::{Disk, DiskCapacity};

/// Timeout of one call to a control node.
const CORE_CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Between two looks at the place in the roster, without news, while there is something to be told to the core or to catch up
/// with.
const BUSY_POLL_INTERVAL_MS: u64 = 120;
/// The same with nothing to do.
const IDLE_POLL_INTERVAL_MS: u64 = 2_000;
/// Pauses differ by up to this between machines.
const POLL_JITTER_MS: u64 = 60;

/// What a machine has to see to for its place, by its roster.
struct Placement {
    me: StorageNode,
    roster: Rc<Roster>,
    /// The roster has it, or takes it in.
    is_listed: bool,
    /// It holds all that it is to hold for the set that comes next.
    in_sync: bool,
    /// It has to catch up.
    is_behind: bool,
}

impl Placement {
    fn of(replica: &Replica, roster: Rc<Roster>) -> Self {
        let me = replica.me.clone();
        let is_listed = roster.next.as_ref().unwrap_or(&roster.current).contains(&me);
        let in_sync = replica.state.is_in_sync_for_next();
        Self { me, is_listed, in_sync, is_behind: replica.state.backfill().is_some(), roster }
    }

    /// It is to ask for being taken in.
    fn must_join(&self) -> bool {
        !self.is_listed && !self.roster.retiring.contains(&self.me.name)
    }

    /// It is to tell that it is in sync for this epoch.
    fn must_report_in_sync(&self, epoch: u64) -> bool {
        self.in_sync && !self.roster.in_sync.contains(&self.me.disk) && self.roster.epoch == epoch
    }

    fn poll_interval_ms(&self) -> u64 {
        let is_idle = self.is_listed && !self.in_sync && !self.is_behind;
        if is_idle { IDLE_POLL_INTERVAL_MS } else { BUSY_POLL_INTERVAL_MS }
    }
}

impl StorageServer {
    /// Updates the replica's disk capacity. When it becomes scarce, quarantined folders are removed first.
    fn update_disk_capacity(&self) {
        let settings = self.process.settings();
        let limit = (settings.limits.disk_mb * 1e6) as u64;
        let changed_capacity = self.replica.with(|replica| {
            let capacity = DiskCapacity::from_usage(replica.disk.table_bytes(), limit);
            replica.state.set_capacity(capacity).then_some(capacity)
        });
        let Some(capacity) = changed_capacity.flatten() else { return };
        log::warn!("disk capacity changed: capacity={capacity:?}");
        if let (true, Some(folder)) = (capacity != DiskCapacity::Ample, &settings.data_directory)
            && let Err(e) = Disk::remove_quarantined(folder)
        {
            log::error!("quarantined records not removed: error={e}");
        }
    }

    /// Calls the control nodes one after the other until one has carried the call out.
    async fn call_core(&self, call: Call) -> bool {
        let mut ips = self.feed.value().voters.clone();
        ips.extend(self.process.seeds());
        ips.sort();
        ips.dedup();
        let seed = random_u64();
        // Lease holders come first: with one proposer of roster changes there are no duelling proposals.
        let holders: Vec<Ipv4Addr> = self.feed.state().lease_holders().collect();
        ips.sort_by_key(|ip| (!holders.contains(ip), fleet_model::rendezvous_rank(&ip.octets(), seed)));
        for ip in ips {
            if let Ok(Answer::Done) = self.peer(ip).call(call.clone(), CORE_CALL_TIMEOUT).await {
                return true;
            }
        }
        false
    }

    /// Keeps this node with this disk in the roster, and in sync.
    pub(super) async fn maintain_placement(self: Rc<Self>) {
        let mut changes = self.feed.changes();
        loop {
            let poll_interval_ms = self.reconcile_placement().await;
            let delay = Duration::from_millis(poll_interval_ms + random_u64() % POLL_JITTER_MS);
            let _ = timeout(delay, changes.changed()).await;
        }
    }

    /// One pass; returns the time to the next one in milliseconds. While the disk refuses writes nothing is changed.
    async fn reconcile_placement(&self) -> u64 {
        self.update_disk_capacity();
        self.update_roster();
        self.update_account_retention();
        if self.replica.is_refusing() {
            return BUSY_POLL_INTERVAL_MS;
        }
        let roster = Rc::new(self.feed.state().roster.clone());
        let placement = || self.replica.with(|replica| Placement::of(replica, roster.clone()));
        let Some(before) = placement() else { return BUSY_POLL_INTERVAL_MS };
        if self.feed.confirmed_at().is_some() && before.must_join() {
            let is_founder = self.process.settings().first_start;
            self.call_core(Call::JoinStorage { store: before.me, is_founder }).await;
        }
        if let Some(backfill) = self.replica.with(|replica| replica.state.backfill()).flatten() {
            self.run_backfill(backfill).await;
        }
        let Some(after) = placement() else { return BUSY_POLL_INTERVAL_MS };
        let epoch = self.replica.with(|replica| replica.state.epoch()).unwrap_or_default();
        if after.must_report_in_sync(epoch) && !self.replica.is_refusing() {
            self.call_core(Call::InSync { disk: after.me.disk, epoch }).await;
        }
        after.poll_interval_ms()
    }
}
