//! Keys in groups, and the history of each group.
//!
//! Each put in a group takes the group's next revision. A group retains its puts as events for some time; a queue over all
//! groups tells which event is the oldest, so that pruning visits only what it removes.

use crate::key_event::KeyEvent;
use crate::limits::{MAX_KEYS, are_within_limit};
use fleet_model::{CoordinationOutcome, KeyRevision};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// How much longer events are retained than the history demands, in milliseconds: a watcher's time and the log's differ.
pub const HISTORY_MARGIN_MS: u64 = 10_000;

/// The group of a key: what precedes its first dot, with the dot; the whole key if it has none.
pub fn group_of(key: &str) -> &str {
    key.find('.').map_or(key, |dot| &key[..=dot])
}

/// Events after the revision that was asked for are not retained any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("events up to revision {pruned_revision} are not retained")]
pub struct EventsPruned {
    /// The highest revision whose event was pruned.
    pub pruned_revision: u64,
}

/// What a group holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupSummary {
    /// Its last revision.
    pub revision: u64,
    /// Number of its keys.
    pub key_count: usize,
    /// Number of its retained events.
    pub event_count: usize,
}

/// A group: its events are those of all revisions from the one after the pruned ones up to the last.
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

    /// The revision under which a key was given a value, if it still has the value or the event is retained.
    fn stored_revision(&self, key: &str, value: &str) -> Option<u64> {
        let current = self.keys.get(key)?;
        if current.value == value {
            return Some(current.revision);
        }
        let event = self.events.iter().find(|event| event.value == value && event.key == key);
        event.map(|event| event.revision)
    }
}

/// A retained event's place in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
struct QueuedEvent {
    group: Arc<str>,
    stored_at_ms: u64,
}

/// All keys, with the logical clock by which events age.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Keys {
    groups: BTreeMap<Arc<str>, Group>,
    queue: VecDeque<QueuedEvent>,
    key_count: usize,
    clock_ms: u64,
}

impl Keys {
    /// Keys and groups without events; see [`Keys::restore_group`] and [`Keys::restore_event`].
    pub(crate) fn at(clock_ms: u64) -> Self {
        Self { clock_ms, ..Self::default() }
    }

    /// Advances the clock and prunes the events that are older than the history demands.
    pub(crate) fn advance(&mut self, elapsed_ms: u64, history_ms: u64) {
        self.clock_ms = self.clock_ms.saturating_add(elapsed_ms);
        let retained_ms = history_ms.saturating_add(HISTORY_MARGIN_MS);
        while let Some(oldest) = self.queue.front()
            && self.clock_ms.saturating_sub(oldest.stored_at_ms) > retained_ms
        {
            if let Some(group) = self.groups.get_mut(&oldest.group) {
                group.events.pop_front();
            }
            self.queue.pop_front();
        }
    }

    /// Stores a value, unless it is stored already or the key does not have the expected revision.
    pub(crate) fn put(&mut self, key: &str, value: &str, expected: Option<u64>) -> CoordinationOutcome {
        if !are_within_limit(&[key, value]) {
            return CoordinationOutcome::LimitReached;
        }
        let group = self.groups.get(group_of(key));
        if let Some(revision) = group.and_then(|group| group.stored_revision(key, value)) {
            return CoordinationOutcome::KeyStored { revision };
        }
        let current = group.and_then(|group| group.keys.get(key)).map(|current| current.revision);
        let current_or_zero = current.unwrap_or(0);
        if expected.is_some_and(|expected| expected != current_or_zero) {
            return CoordinationOutcome::RevisionMismatch { revision: current_or_zero };
        }
        let next = group.map_or(0, |group| group.revision).checked_add(1);
        let Some(revision) = next.filter(|_| current.is_some() || self.key_count < MAX_KEYS) else {
            return CoordinationOutcome::LimitReached;
        };
        self.store(KeyEvent { key: key.to_owned(), value: value.to_owned(), revision });
        CoordinationOutcome::KeyStored { revision }
    }

    /// The value of a key.
    pub(crate) fn get(&self, key: &str) -> Option<&KeyRevision> {
        self.groups.get(group_of(key))?.keys.get(key)
    }

    /// The last revision of a group.
    pub(crate) fn group_revision(&self, group: &str) -> u64 {
        self.groups.get(group).map_or(0, |group| group.revision)
    }

    /// All events of a group after a revision.
    pub(crate) fn events(&self, group: &str, after: u64) -> Result<Vec<KeyEvent>, EventsPruned> {
        let Some(group) = self.groups.get(group) else { return Ok(Vec::new()) };
        let pruned_revision = group.pruned_revision();
        if after < pruned_revision {
            return Err(EventsPruned { pruned_revision });
        }
        let seen = usize::try_from(after - pruned_revision).unwrap_or(usize::MAX);
        Ok(group.events.iter().skip(seen).cloned().collect())
    }

    /// The groups in the order of their names.
    pub(crate) fn groups(&self) -> impl Iterator<Item = (&str, GroupSummary)> {
        self.groups.iter().map(|(name, group)| {
            let (key_count, event_count) = (group.keys.len(), group.events.len());
            (&**name, GroupSummary { revision: group.revision, key_count, event_count })
        })
    }

    /// The keys of a group in their order.
    pub(crate) fn keys_of(&self, group: &str) -> impl Iterator<Item = (&str, &KeyRevision)> {
        let keys = self.groups.get(group).into_iter().flat_map(|group| &group.keys);
        keys.map(|(key, stored)| (key.as_str(), stored))
    }

    /// All retained events in the order of their puts, each with the time of its put.
    pub(crate) fn queued_events(&self) -> impl Iterator<Item = (u64, &KeyEvent)> {
        let mut visited: BTreeMap<&str, usize> = BTreeMap::new();
        self.queue.iter().filter_map(move |queued| {
            let position = visited.entry(&queued.group).or_default();
            let event = self.groups.get(&queued.group)?.events.get(*position)?;
            *position += 1;
            Some((queued.stored_at_ms, event))
        })
    }

    /// The logical clock in milliseconds.
    pub(crate) fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Adds a group that is not present, as it was before its retained events; `None` if that cannot be.
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

    /// Adds the next event to a present group; `None` if that cannot be.
    pub(crate) fn restore_event(&mut self, key: &str, value: &str, stored_at_ms: u64) -> Option<()> {
        let (name, group) = self.groups.get_key_value(group_of(key))?;
        let revision = group.revision.checked_add(1)?;
        let last_ms = self.queue.back().map_or(0, |queued| queued.stored_at_ms);
        let is_consistent = (last_ms..=self.clock_ms).contains(&stored_at_ms) && group.keys.contains_key(key);
        self.queue.push_back(QueuedEvent { group: Arc::clone(name), stored_at_ms });
        let group = self.groups.get_mut(group_of(key))?;
        group.events.push_back(KeyEvent { key: key.to_owned(), value: value.to_owned(), revision });
        group.revision = revision;
        is_consistent.then_some(())
    }

    /// Whether each key has a revision that its group gave, and each retained event's key has that event's value or a later.
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
        self.queue.push_back(QueuedEvent { group: Arc::clone(&name), stored_at_ms: self.clock_ms });
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
