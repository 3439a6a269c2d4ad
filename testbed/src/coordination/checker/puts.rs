//! The puts of a history with all their tries, and ORDER as far as revisions go.

use super::super::history::{Answer, Call, History, Request, group_of};
use super::latest::Latest;
use super::{Breach, Rule};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// One put, over all its tries.
#[derive(Default)]
pub(super) struct Put {
    /// When it was first sent.
    pub(super) first_sent_us: u64,
    /// The revision that the key had to have.
    expected: Option<u64>,
    /// The revision that it was acknowledged with, and when.
    acknowledged: Option<(u64, u64)>,
    /// Whether a try was answered 412.
    has_mismatch: bool,
    /// Whether every try was answered 429 or 503.
    is_always_refused: bool,
}

impl Put {
    /// Whether it has not taken effect and never will.
    pub(super) fn is_rejected(&self) -> bool {
        self.acknowledged.is_none() && (self.has_mismatch || self.is_always_refused)
    }

    /// Whether it may have been given a revision that nobody was told.
    fn is_unclear(&self) -> bool {
        self.acknowledged.is_none() && !self.is_rejected()
    }
}

/// Key and value.
type KeyValue<'a> = (&'a str, &'a str);

/// All puts, and every revision that an answer showed.
pub(super) struct Puts<'a> {
    puts: HashMap<KeyValue<'a>, Put>,
    /// By group and revision: what was shown under it, and when first.
    shown: BTreeMap<&'a str, BTreeMap<u64, BTreeMap<KeyValue<'a>, u64>>>,
    /// By key and value: the revisions it was shown under.
    revisions: HashMap<KeyValue<'a>, BTreeSet<u64>>,
    /// Acknowledged revisions by key, by the time of the acknowledgement.
    acknowledged_keys: HashMap<&'a str, Latest>,
    /// Acknowledged revisions by group, by the time of the acknowledgement.
    acknowledged_groups: HashMap<&'a str, Latest>,
}

impl<'a> Puts<'a> {
    pub(super) fn new(history: &'a History) -> Self {
        let mut puts = Self {
            puts: HashMap::new(),
            shown: BTreeMap::new(),
            revisions: HashMap::new(),
            acknowledged_keys: HashMap::new(),
            acknowledged_groups: HashMap::new(),
        };
        let (mut by_key, mut by_group) = (HashMap::new(), HashMap::new());
        for call in &history.calls {
            match (&call.request, &call.answer) {
                (Request::Put { key, value, .. }, answer) => {
                    puts.add_try(call);
                    if let Answer::Stored { revision } = answer {
                        puts.show((key, value), *revision, call.ended_us);
                        let given = (call.ended_us, *revision);
                        by_key.entry(key.as_str()).or_insert_with(Vec::new).push(given);
                        by_group.entry(group_of(key)).or_insert_with(Vec::new).push(given);
                    }
                }
                (Request::Get { key }, Answer::Found { value, revision }) => {
                    puts.show((key, value), *revision, call.ended_us);
                }
                (Request::Watch { .. }, Answer::Events { events, .. }) => {
                    for event in events {
                        puts.show((&event.name, &event.value), event.revision, call.ended_us);
                    }
                }
                _ => {}
            }
        }
        let latest = |(name, given)| (name, Latest::new(given));
        puts.acknowledged_keys = by_key.into_iter().map(latest).collect();
        puts.acknowledged_groups = by_group.into_iter().map(latest).collect();
        puts
    }

    fn add_try(&mut self, call: &'a Call) {
        let Request::Put { key, value, expected } = &call.request else { return };
        let put = self.puts.entry((key, value)).or_insert_with(|| Put {
            first_sent_us: call.sent_us,
            expected: *expected,
            is_always_refused: true,
            ..Put::default()
        });
        put.first_sent_us = put.first_sent_us.min(call.sent_us);
        put.is_always_refused &= matches!(call.answer, Answer::Refused { .. });
        match call.answer {
            Answer::Stored { revision } => {
                put.acknowledged.get_or_insert((revision, call.ended_us));
            }
            Answer::Mismatch { .. } => put.has_mismatch = true,
            _ => {}
        }
    }

    fn show(&mut self, (key, value): KeyValue<'a>, revision: u64, at_us: u64) {
        let group = self.shown.entry(group_of(key)).or_default();
        let first_us = group.entry(revision).or_default().entry((key, value)).or_insert(at_us);
        *first_us = at_us.min(*first_us);
        self.revisions.entry((key, value)).or_default().insert(revision);
    }

    /// The put of a value to a key.
    pub(super) fn put(&self, key: &'a str, value: &'a str) -> Option<&Put> {
        self.puts.get(&(key, value))
    }

    /// The revisions under which values were shown.
    pub(super) fn revisions(&self) -> impl Iterator<Item = (&KeyValue<'a>, &BTreeSet<u64>)> {
        self.revisions.iter()
    }

    /// The highest revision of a key acknowledged before this moment.
    pub(super) fn acknowledged_key(&self, key: &str, at_us: u64) -> Option<u64> {
        self.acknowledged_keys.get(key)?.before(at_us)
    }

    /// The highest revision of a group acknowledged before this moment.
    pub(super) fn acknowledged_group(&self, group: &str, at_us: u64) -> Option<u64> {
        self.acknowledged_groups.get(group)?.before(at_us)
    }

    /// What was shown of a group from `after` on, without it, up to `to`.
    pub(super) fn shown_in(
        &self,
        group: &str,
        after: u64,
        to: u64,
    ) -> impl Iterator<Item = (u64, &KeyValue<'a>)> {
        let span = (after < to).then(|| self.shown.get(group)).flatten();
        let revisions = span.into_iter().flat_map(move |group| group.range(after + 1..=to));
        revisions.flat_map(|(revision, values)| values.keys().map(move |value| (*revision, value)))
    }

    /// When a value of this key was first shown under this revision.
    pub(super) fn shown_under(&self, key: &str, revision: u64) -> Option<&Put> {
        let values = self.shown.get(group_of(key))?.get(&revision)?;
        values.keys().filter(|(shown, _)| *shown == key).find_map(|value| self.puts.get(value))
    }

    /// Whether a revision was shown for any key of the group.
    pub(super) fn is_shown(&self, group: &str, revision: u64) -> bool {
        self.shown.get(group).is_some_and(|group| group.contains_key(&revision))
    }

    /// How many puts to this key that were sent before `at_us` may have been given a revision that was never shown.
    pub(super) fn unclear(&self, key: &str, at_us: u64) -> usize {
        let is_candidate = |((put_key, value), put): &(&KeyValue<'a>, &Put)| {
            *put_key == key
                && put.first_sent_us < at_us
                && put.is_unclear()
                && !self.revisions.contains_key(&(*put_key, *value))
        };
        self.puts.iter().filter(is_candidate).count()
    }

    /// ORDER of revisions.
    pub(super) fn check(&self, breaches: &mut Vec<Breach>) {
        for (group, revisions) in &self.shown {
            for (revision, values) in revisions.iter().filter(|(_, values)| values.len() > 1) {
                let at_us = values.values().copied().max().unwrap_or_default();
                let what = format!("group {group}: revision {revision} is given twice: {:?}", values.keys());
                breaches.push(Breach { at_us, rule: Rule::Order, what });
            }
        }
        for ((key, value), put) in &self.puts {
            let Some((revision, at_us)) = put.acknowledged else { continue };
            let group = group_of(key);
            if let Some(before) =
                self.acknowledged_group(group, put.first_sent_us).filter(|before| revision <= *before)
            {
                let what = format!("put {value} to {key}: revision {revision} is given after {before}");
                breaches.push(Breach { at_us, rule: Rule::Order, what });
            }
            if let Some(expected) = put.expected
                && let Some((later, _)) = self
                    .shown_in(group, expected, revision.saturating_sub(1))
                    .find(|(_, (shown, _))| shown == key)
            {
                let what = format!(
                    "put {value} to {key}: succeeds on revision {expected} with {revision}, over the later {later}"
                );
                breaches.push(Breach { at_us, rule: Rule::Order, what });
            }
        }
    }
}
