//! The asker's side of filling a store.

use bytes::Bytes;
use fleet_model::{Call, StorageNode};
use std::collections::BTreeMap;

/// One filling of a store: whom to ask, how far each has come, and whether it is enough.
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
    /// From so many full stores, of which the one that fills is one if it `relies_on_local_records`.
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

    /// Whether it relies on what the one that fills holds itself.
    pub(crate) fn relies_on_local_records(&self) -> bool {
        self.relies_on_local_records
    }

    /// The epoch that it fills for: under another it is worth nothing.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whom to ask what next: one call for each that is neither drained nor given up.
    pub fn calls(&self) -> impl Iterator<Item = (&StorageNode, Call)> {
        self.sources.values().filter_map(|source| match &source.progress {
            Progress::Asking(cursor) => {
                let call = Call::Backfill { epoch: self.epoch, disk: self.disk, cursor: cursor.clone() };
                Some((&source.store, call))
            }
            Progress::Drained | Progress::GivenUp => None,
        })
    }

    /// The next call to one source, if it is still asked.
    pub fn call(&self, source: u64) -> Option<Call> {
        self.calls().find(|(store, _)| store.disk == source).map(|(_, call)| call)
    }

    /// A page of this source has been absorbed; `cursor` came with it.
    pub fn page_applied(&mut self, source: u64, cursor: Option<Bytes>) {
        if let Some(source) = self.sources.get_mut(&source) {
            source.progress = cursor.map_or(Progress::Drained, Progress::Asking);
        }
    }

    /// This source does not answer, or cannot.
    pub fn give_up(&mut self, source: u64) {
        if let Some(source) = self.sources.get_mut(&source)
            && source.progress != Progress::Drained
        {
            source.progress = Progress::GivenUp;
        }
    }

    /// Ask those again, from the start, that were given up.
    pub fn retry(&mut self) {
        for source in self.sources.values_mut() {
            if source.progress == Progress::GivenUp {
                source.progress = Progress::Asking(Bytes::new());
            }
        }
    }

    /// Those that gave all they had: once it is synced here, they are told with `FillDone`.
    pub fn drained(&self) -> impl Iterator<Item = &StorageNode> {
        self.sources
            .values()
            .filter(|source| source.progress == Progress::Drained)
            .map(|source| &source.store)
    }

    /// Enough are drained that no record was on the others alone. The rest is not waited for: one that is silent would cost
    /// the time until it is given up.
    pub fn is_done(&self) -> bool {
        self.drained().count() >= self.needed
    }

    /// All are drained or given up, and too few are drained: time to [`retry`](Self::retry).
    pub fn is_stuck(&self) -> bool {
        self.calls().next().is_none() && self.drained().count() < self.needed
    }
}
