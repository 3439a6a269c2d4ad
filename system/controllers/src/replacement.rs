//! Pairs members that recently joined a set with members that left it.

use crate::times::REPLACEMENT_WINDOW_MS;
use std::collections::BTreeSet;

#[derive(Clone, Debug)]
struct JoinedMember<K> {
    member: K,
    joined_ms: u64,
    replaces: Option<K>,
}

/// A former member that has no replacement yet.
#[derive(Clone, Debug)]
struct DepartedMember<K> {
    member: K,
    departed_ms: u64,
}

/// Tracks which members joined a set recently and which left it. A joined member replaces at most one departed member.
#[derive(Clone, Debug)]
pub(crate) struct ReplacementTracker<K> {
    members: Option<BTreeSet<K>>,
    /// All members ever observed: a former member that returns does not count as joined.
    ever_observed: BTreeSet<K>,
    joined: Vec<JoinedMember<K>>,
    departed: Vec<DepartedMember<K>>,
}

impl<K> Default for ReplacementTracker<K> {
    fn default() -> Self {
        Self { members: None, ever_observed: BTreeSet::new(), joined: Vec::new(), departed: Vec::new() }
    }
}

impl<K: Ord + Clone> ReplacementTracker<K> {
    /// Compares `members` with the members of the previous call.
    ///
    /// New members count as joined only if the set is `settled`, that is, no longer being bootstrapped. A departed member for
    /// which `is_retired` returns true was removed on an operator's request and needs no replacement.
    pub(crate) fn observe(
        &mut self,
        now_ms: u64,
        members: BTreeSet<K>,
        settled: bool,
        is_retired: impl Fn(&K) -> bool,
    ) {
        let before = self.members.replace(members.clone()).unwrap_or_else(|| members.clone());
        for member in before.difference(&members) {
            self.record_departure(now_ms, member, is_retired(member));
        }
        for member in members.difference(&before) {
            match self.ever_observed.contains(member) {
                true => self.record_return(member),
                false if settled => self.record_join(now_ms, member),
                false => {}
            }
        }
        self.ever_observed.extend(members);
    }

    fn record_departure(&mut self, now_ms: u64, member: &K, is_retired: bool) {
        if let Some(index) = self.joined.iter().position(|joined| joined.member == *member) {
            let replaced = self.joined.remove(index).replaces;
            // If a replacement is retired, the member that it replaced needs no other replacement.
            let replaced = replaced.filter(|_| !is_retired);
            self.departed.extend(replaced.map(|member| DepartedMember { member, departed_ms: now_ms }));
            return;
        }
        if is_retired {
            return;
        }
        let unpaired = self
            .joined
            .iter_mut()
            .find(|joined| joined.replaces.is_none() && is_recent(now_ms, joined.joined_ms));
        match unpaired {
            Some(joined) => joined.replaces = Some(member.clone()),
            None => self.departed.push(DepartedMember { member: member.clone(), departed_ms: now_ms }),
        }
    }

    fn record_return(&mut self, member: &K) {
        self.departed.retain(|departed| departed.member != *member);
        for joined in &mut self.joined {
            if joined.replaces.as_ref() == Some(member) {
                joined.replaces = None;
            }
        }
    }

    fn record_join(&mut self, now_ms: u64, member: &K) {
        let index = self.departed.iter().position(|departed| is_recent(now_ms, departed.departed_ms));
        let replaces = index.map(|index| self.departed.remove(index).member);
        self.joined.push(JoinedMember { member: member.clone(), joined_ms: now_ms, replaces });
    }

    /// Number of members that joined recently and do not replace a departed member yet.
    pub(crate) fn unpaired_joins(&self, now_ms: u64) -> usize {
        self.joined
            .iter()
            .filter(|joined| joined.replaces.is_none() && is_recent(now_ms, joined.joined_ms))
            .count()
    }
}

fn is_recent(now_ms: u64, event_ms: u64) -> bool {
    now_ms.saturating_sub(event_ms) < REPLACEMENT_WINDOW_MS
}
