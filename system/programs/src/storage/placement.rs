//! The place of a storage machine in the roster.

use super::TurnKeeper;
use super::replica::Replica;
use crate::random::drawn;
use fleet_model::{Answer, Call, Roster, StorageNode};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;
use turn_store::{Disk, DiskCapacity};

/// Longest time for one call to the core.
const CORE_PATIENCE: Duration = Duration::from_millis(700);
/// Between two looks at the place in the roster, without news, while there is something to be told to the core or to catch up
/// with.
const BUSY_PAUSE_MS: u64 = 120;
/// The same with nothing to do.
const QUIET_PAUSE_MS: u64 = 2_000;
/// Pauses differ by up to this between machines.
const PAUSE_SPREAD_MS: u64 = 60;

/// What a machine has to see to for its place, by its roster.
struct Place {
    me: StorageNode,
    roster: Rc<Roster>,
    /// The roster has it, or takes it in.
    is_placed: bool,
    /// It holds all that it is to hold for the set that comes next.
    in_sync: bool,
    /// It has to catch up.
    is_behind: bool,
}

impl Place {
    fn of(replica: &Replica, roster: Rc<Roster>) -> Self {
        let me = replica.me.clone();
        let is_placed = roster.next.as_ref().unwrap_or(&roster.current).contains(&me);
        let in_sync = replica.state.is_in_sync_for_next();
        Self { me, is_placed, in_sync, is_behind: replica.state.backfill().is_some(), roster }
    }

    /// It is to ask for being taken in.
    fn must_join(&self) -> bool {
        !self.is_placed && !self.roster.retiring.contains(&self.me.name)
    }

    /// It is to tell that it is in sync for this epoch.
    fn must_tell_in_sync(&self, epoch: u64) -> bool {
        self.in_sync && !self.roster.in_sync.contains(&self.me.disk) && self.roster.epoch == epoch
    }

    fn pause_ms(&self) -> u64 {
        let is_quiet = self.is_placed && !self.in_sync && !self.is_behind;
        if is_quiet { QUIET_PAUSE_MS } else { BUSY_PAUSE_MS }
    }
}

impl TurnKeeper {
    /// Takes note of how much room the disk has. What was set aside as a whole goes first.
    fn look_at_room(&self) {
        let settings = self.process.settings();
        let limit = (settings.limits.disk_mb * 1e6) as u64;
        let news = self.replica.with(|replica| {
            let room = DiskCapacity::from_usage(replica.disk.table_bytes(), limit);
            replica.state.set_capacity(room).then_some(room)
        });
        let Some(room) = news.flatten() else { return };
        log::warn!("the disk's room: {room:?}");
        if let (true, Some(folder)) = (room != DiskCapacity::Ample, &settings.data_directory)
            && let Err(e) = Disk::remove_aside(folder)
        {
            log::error!("what was set aside stays: {e}");
        }
    }

    /// Asks the keepers in turn until one has done it.
    async fn tell_core(&self, call: Call) -> bool {
        let mut ips = self.feed.value().voters.clone();
        ips.extend(self.process.seeds());
        ips.sort();
        ips.dedup();
        let draw = drawn();
        // One keeper changes the roster for all, so that proposers do not get into each other's way.
        let holders: Vec<Ipv4Addr> =
            self.feed.state().leases.values().filter_map(|fence| fence.holder).collect();
        ips.sort_by_key(|ip| (!holders.contains(ip), fleet_model::rendezvous_rank(&ip.octets(), draw)));
        for ip in ips {
            if let Ok(Answer::Done) = self.peer(ip).call(call.clone(), CORE_PATIENCE).await {
                return true;
            }
        }
        false
    }

    /// Sees to it that the roster has this machine with this disk, and that it is in sync.
    pub(super) async fn keep_place(self: Rc<Self>) {
        let mut changes = self.feed.changes();
        loop {
            let pause_ms = self.see_to_place().await;
            let pause = Duration::from_millis(pause_ms + drawn() % PAUSE_SPREAD_MS);
            let _ = timeout(pause, changes.changed()).await;
        }
    }

    /// One look at the place; tells how long to wait for the next. While the disk refuses the place stays as it is.
    async fn see_to_place(&self) -> u64 {
        self.look_at_room();
        self.learn_roster();
        if self.replica.is_refusing() {
            return BUSY_PAUSE_MS;
        }
        let roster = Rc::new(self.feed.state().roster.clone());
        let place = || self.replica.with(|replica| Place::of(replica, roster.clone()));
        let Some(before) = place() else { return BUSY_PAUSE_MS };
        if self.feed.confirmed_at().is_some() && before.must_join() {
            self.tell_core(Call::JoinStorage { store: before.me }).await;
        }
        if let Some(filling) = self.replica.with(|replica| replica.state.backfill()).flatten() {
            self.catch_up(filling).await;
        }
        let Some(after) = place() else { return BUSY_PAUSE_MS };
        let epoch = self.replica.with(|replica| replica.state.epoch()).unwrap_or_default();
        if after.must_tell_in_sync(epoch) && !self.replica.is_refusing() {
            self.tell_core(Call::InSync { disk: after.me.disk, epoch }).await;
        }
        after.pause_ms()
    }
}
