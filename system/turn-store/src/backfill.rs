//! The receiving side of a backfill: which sources to call next, and when enough of them are drained.

use bytes::Bytes;
use fleet_model::{Call, StorageNode};
use std::collections::BTreeMap;

/// The progress of one backfill: its sources, the position in each, and whether enough of them are drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backfill {
    epoch: u64,
    disk: u64,
    needed: usize,
    relies_on_local_records: bool,
    sources: BTreeMap<u64, Source>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Source {
    store: StorageNode,
    progress: Progress,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Progress {
    Asking(Bytes),
    Drained,
    GivenUp,
}

impl Backfill {
    /// A backfill of `disk` that needs `covering` replicas in sync, itself included if it `relies_on_local_records`.
    pub(crate) fn new(
        epoch: u64,
        disk: u64,
        sources: impl Iterator<Item = StorageNode>,
        covering: usize,
        relies_on_local_records: bool,
    ) -> Self {
        let source = |store| Source { store, progress: Progress::Asking(Bytes::new()) };
        let sources = sources.map(|store: StorageNode| (store.disk, source(store))).collect();
        let needed = covering.saturating_sub(usize::from(relies_on_local_records));
        Self { epoch, disk, needed, relies_on_local_records, sources }
    }

    /// Whether it counts the records that the receiving replica already stores.
    pub(crate) fn relies_on_local_records(&self) -> bool {
        self.relies_on_local_records
    }

    /// The epoch that it is for. It is void under any other.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The next calls: one for each source that is neither drained nor given up.
    pub fn calls(&self) -> impl Iterator<Item = (&StorageNode, Call)> {
        self.sources.values().filter_map(|source| match &source.progress {
            Progress::Asking(cursor) => {
                let call = Call::Backfill { epoch: self.epoch, disk: self.disk, cursor: cursor.clone() };
                Some((&source.store, call))
            }
            Progress::Drained | Progress::GivenUp => None,
        })
    }

    /// The next call to one source, if it is neither drained nor given up.
    pub fn call(&self, source: u64) -> Option<Call> {
        self.calls().find(|(store, _)| store.disk == source).map(|(_, call)| call)
    }

    /// Records that a page of this source was applied, with the cursor of the next page; `None` if it was the last one.
    pub fn page_applied(&mut self, source: u64, cursor: Option<Bytes>) {
        if let Some(source) = self.sources.get_mut(&source) {
            source.progress = cursor.map_or(Progress::Drained, Progress::Asking);
        }
    }

    /// Records that this source does not answer, or cannot.
    pub fn give_up(&mut self, source: u64) {
        if let Some(source) = self.sources.get_mut(&source)
            && source.progress != Progress::Drained
        {
            source.progress = Progress::GivenUp;
        }
    }

    /// Restarts the sources that were given up, from their first page.
    pub fn retry(&mut self) {
        for source in self.sources.values_mut() {
            if source.progress == Progress::GivenUp {
                source.progress = Progress::Asking(Bytes::new());
            }
        }
    }

    /// The drained sources. Once their records are synced here, the host notifies them with [`Call::BackfillDone`].
    pub fn drained(&self) -> impl Iterator<Item = &StorageNode> {
        self.sources
            .values()
            .filter(|source| source.progress == Progress::Drained)
            .map(|source| &source.store)
    }

    /// Whether enough sources are drained that no record is on the others only. The others are not waited for, since an
    /// unresponsive one would delay the backfill until it is given up.
    pub fn is_done(&self) -> bool {
        self.drained().count() >= self.needed
    }

    /// Whether all sources are drained or given up, and too few are drained: then [`retry`](Self::retry).
    pub fn is_stuck(&self) -> bool {
        self.calls().next().is_none() && self.drained().count() < self.needed
    }
}
