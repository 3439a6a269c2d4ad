//! Keys in groups, and the change history of each group.
//!
//! Each stored value gets the next revision of its group. A group retains the changes as events for a limited time. One queue
//! orders the events of all groups by age, so that pruning visits only the events that it removes.

use crate::key_event::KeyEvent;
use crate::limits::{MAX_KEYS, fit_text_limit};
use fleet_model::{CoordinationOutcome, KeyRevision};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Events are retained this many milliseconds longer than the history setting requires, because the clock of a watcher and the
/// logical clock of the log differ.
pub const HISTORY_MARGIN_MS: u64 = 10_000;

/// The group of a key: its prefix up to and including the first dot, or the whole key if it has no dot.
pub fn group_of(key: &str) -> &str {
    key.find('.').map_or(key, |dot| &key[..=dot])
}

/// Some events after the requested revision have been pruned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("events up to revision {pruned_revision} are not retained")]
pub struct EventsPruned {
    /// The highest revision whose event was pruned.
    pub pruned_revision: u64,
}

/// The revision of a group and the number of its entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupSummary {
    /// Revision of the last change in the group.
    pub revision: u64,
    /// Number of keys; keys are never removed.
    pub key_count: usize,
    /// Number of events that have not been pruned.
    pub event_count: usize,
}

/// A group of keys. Its events have consecutive revisions, of which the last is `revision`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Group {
    revision: u64,
    keys: BTreeMap<String, KeyRevision>,
    events: VecDeque<KeyEvent>,
}

impl Group {
    fn pruned_revision(&self) -> u64 {
        self.revision.saturating_sub(self.events.len() as u64)
    }

    /// The revision at which a key got a value, if that is its current value or the event is still retained.
    fn stored_revision(&self, key: &str, value: &str) -> Option<u64> {
        let current = self.keys.get(key)?;
        if current.value == value {
            return Some(current.revision);
        }
        let event = self.events.iter().find(|event| event.value == value && event.key == key);
        event.map(|event| event.revision)
    }
}

/// An entry of the event queue. The n-th entry of a group refers to the n-th retained event of that group.
#[derive(Clone, Debug, PartialEq, Eq)]
struct QueuedEvent {
    group: Arc<str>,
    stored_at_ms: u64,
}

/// All keys, and the logical clock by which the age of events is measured.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Keys {
    groups: BTreeMap<Arc<str>, Group>,
    event_queue: VecDeque<QueuedEvent>,
    key_count: usize,
    clock_ms: u64,
}

impl Keys {
    /// No groups yet; add them with [`Keys::restore_group`] and then their events with [`Keys::restore_event`].
    pub(crate) fn with_clock(clock_ms: u64) -> Self {
        Self { clock_ms, ..Self::default() }
    }

    /// Advances the logical clock and prunes the events that are older than the history and its margin.
    pub(crate) fn advance_clock(&mut self, elapsed_ms: u64, history_ms: u64) {
        self.clock_ms = self.clock_ms.saturating_add(elapsed_ms);
        let retained_ms = history_ms.saturating_add(HISTORY_MARGIN_MS);
        while let Some(oldest) = self.event_queue.front()
            && self.clock_ms.saturating_sub(oldest.stored_at_ms) > retained_ms
        {
            if let Some(group) = self.groups.get_mut(&oldest.group) {
                group.events.pop_front();
            }
            self.event_queue.pop_front();
        }
    }

    /// Stores a value, unless `expected` is given and is not the revision of the key (0 if the key does not exist).
    ///
    /// A put whose value is current or still in the history changes nothing and returns the revision at which that value was
    /// stored, so that a caller can safely retry.
    pub(crate) fn put(&mut self, key: &str, value: &str, expected: Option<u64>) -> CoordinationOutcome {
        if !fit_text_limit(&[key, value]) {
            return CoordinationOutcome::LimitReached;
        }
        let group = self.groups.get(group_of(key));
        if let Some(revision) = group.and_then(|group| group.stored_revision(key, value)) {
            return CoordinationOutcome::KeyStored { revision };
        }
        let current = group.and_then(|group| group.keys.get(key)).map(|current| current.revision);
        let current_revision = current.unwrap_or(0);
        if expected.is_some_and(|expected| expected != current_revision) {
            return CoordinationOutcome::RevisionMismatch { revision: current_revision };
        }
        let next = group.map_or(0, |group| group.revision).checked_add(1);
        let Some(revision) = next.filter(|_| current.is_some() || self.key_count < MAX_KEYS) else {
            return CoordinationOutcome::LimitReached;
        };
        self.store(KeyEvent { key: key.to_owned(), value: value.to_owned(), revision });
        CoordinationOutcome::KeyStored { revision }
    }

    pub(crate) fn get(&self, key: &str) -> Option<&KeyRevision> {
        self.groups.get(group_of(key))?.keys.get(key)
    }

    /// The last revision of a group; 0 if the group does not exist.
    pub(crate) fn group_revision(&self, group: &str) -> u64 {
        self.groups.get(group).map_or(0, |group| group.revision)
    }

    /// All events of a group after a revision, in ascending order.
    pub(crate) fn events(&self, group: &str, after_revision: u64) -> Result<Vec<KeyEvent>, EventsPruned> {
        let Some(group) = self.groups.get(group) else { return Ok(Vec::new()) };
        let pruned_revision = group.pruned_revision();
        if after_revision < pruned_revision {
            return Err(EventsPruned { pruned_revision });
        }
        let skipped = usize::try_from(after_revision - pruned_revision).unwrap_or(usize::MAX);
        Ok(group.events.iter().skip(skipped).cloned().collect())
    }

    /// The groups in order of name.
    pub(crate) fn groups(&self) -> impl Iterator<Item = (&str, GroupSummary)> {
        self.groups.iter().map(|(name, group)| {
            let (key_count, event_count) = (group.keys.len(), group.events.len());
            (&**name, GroupSummary { revision: group.revision, key_count, event_count })
        })
    }

    /// The keys of a group in order of name.
    pub(crate) fn group_keys(&self, group: &str) -> impl Iterator<Item = (&str, &KeyRevision)> {
        let keys = self.groups.get(group).into_iter().flat_map(|group| &group.keys);
        keys.map(|(key, stored)| (key.as_str(), stored))
    }

    /// All retained events, oldest first, each with the logical time at which it was stored.
    pub(crate) fn queued_events(&self) -> impl Iterator<Item = (u64, &KeyEvent)> {
        let mut next_positions: BTreeMap<&str, usize> = BTreeMap::new();
        self.event_queue.iter().filter_map(move |queued| {
            let position = next_positions.entry(&queued.group).or_default();
            let event = self.groups.get(&queued.group)?.events.get(*position)?;
            *position += 1;
            Some((queued.stored_at_ms, event))
        })
    }

    pub(crate) fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Adds a group without its events. `None` if the group exists already, or a key belongs to another group or has no
    /// revision.
    pub(crate) fn restore_group(
        &mut self,
        name: &str,
        pruned_revision: u64,
        keys: BTreeMap<String, KeyRevision>,
    ) -> Option<()> {
        let is_consistent = keys.iter().all(|(key, stored)| group_of(key) == name && stored.revision > 0);
        let key_count = keys.len();
        let group = Group { revision: pruned_revision, keys, events: VecDeque::new() };
        let replaced = self.groups.insert(Arc::from(name), group);
        self.key_count += key_count;
        (is_consistent && replaced.is_none()).then_some(())
    }

    /// Adds the next event of an existing group. `None` if its group or key does not exist, or its time is before that of the
    /// event added last or after the logical clock.
    pub(crate) fn restore_event(&mut self, key: &str, value: &str, stored_at_ms: u64) -> Option<()> {
        let (name, group) = self.groups.get_key_value(group_of(key))?;
        let revision = group.revision.checked_add(1)?;
        let newest_ms = self.event_queue.back().map_or(0, |queued| queued.stored_at_ms);
        let is_consistent =
            (newest_ms..=self.clock_ms).contains(&stored_at_ms) && group.keys.contains_key(key);
        self.event_queue.push_back(QueuedEvent { group: Arc::clone(name), stored_at_ms });
        let group = self.groups.get_mut(group_of(key))?;
        group.events.push_back(KeyEvent { key: key.to_owned(), value: value.to_owned(), revision });
        group.revision = revision;
        is_consistent.then_some(())
    }

    /// Whether each key has a revision that its group has reached, and each event is the last change of its key or precedes it.
    pub(crate) fn is_consistent(&self) -> bool {
        self.groups.values().all(|group| {
            group.revision > 0
                && group.keys.values().all(|stored| stored.revision <= group.revision)
                && group.events.iter().all(|event| {
                    group.keys.get(&event.key).is_some_and(|stored| {
                        stored.revision > event.revision
                            || (stored.revision == event.revision && stored.value == event.value)
                    })
                })
        })
    }

    fn store(&mut self, event: KeyEvent) {
        let name = group_of(&event.key);
        let name = match self.groups.get_key_value(name) {
            Some((name, _)) => Arc::clone(name),
            None => Arc::from(name),
        };
        self.event_queue.push_back(QueuedEvent { group: Arc::clone(&name), stored_at_ms: self.clock_ms });
        let group = self.groups.entry(name).or_default();
        group.revision = event.revision;
        let stored = KeyRevision { value: event.value.clone(), revision: event.revision };
        match group.keys.get_mut(&event.key) {
            Some(current) => *current = stored,
            None => {
                group.keys.insert(event.key.clone(), stored);
                self.key_count += 1;
            }
        }
        group.events.push_back(event);
    }
}
