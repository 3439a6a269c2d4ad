//! Pairs members that joined a set recently with those that left it.

use crate::times::REPLACEMENT_WINDOW_MS;
use std::collections::BTreeSet;

/// A member that joined.
#[derive(Clone, Debug)]
struct Joined<K> {
    member: K,
    at_ms: u64,
    /// The member that it replaces, if any.
    replaces: Option<K>,
}

/// A former member that no other one replaces.
#[derive(Clone, Debug)]
struct Departed<K> {
    member: K,
    at_ms: u64,
}

/// Members that joined a set recently and members that left it; each joined member replaces at most one that left.
#[derive(Clone, Debug)]
pub(crate) struct Replacement<K> {
    members: Option<BTreeSet<K>>,
    /// All members ever observed: one of them that returns does not count as joined.
    former: BTreeSet<K>,
    joined: Vec<Joined<K>>,
    departed: Vec<Departed<K>>,
}

impl<K> Default for Replacement<K> {
    fn default() -> Self {
        Self { members: None, former: BTreeSet::new(), joined: Vec::new(), departed: Vec::new() }
    }
}

impl<K: Ord + Clone> Replacement<K> {
    /// Compares `members` with those of the call before.
    ///
    /// Members that are new count as joined only if the set is `settled`, that is, no longer being bootstrapped. A member
    /// that left and `is_retired` was removed on an operator's request and needs no replacement.
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
            match self.former.contains(member) {
                true => self.record_return(member),
                false if settled => self.record_join(now_ms, member),
                false => {}
            }
        }
        self.former.extend(members);
    }

    fn record_departure(&mut self, now_ms: u64, member: &K, is_retired: bool) {
        if let Some(index) = self.joined.iter().position(|joined| joined.member == *member) {
            let replaced = self.joined.remove(index).replaces;
            // A retired replacement leaves nothing to replace: the next member to join may replace another one.
            let replaced = replaced.filter(|_| !is_retired);
            self.departed.extend(replaced.map(|member| Departed { member, at_ms: now_ms }));
            return;
        }
        if is_retired {
            return;
        }
        let unpaired = self
            .joined
            .iter_mut()
            .find(|joined| joined.replaces.is_none() && is_recent(now_ms, joined.at_ms));
        match unpaired {
            Some(joined) => joined.replaces = Some(member.clone()),
            None => self.departed.push(Departed { member: member.clone(), at_ms: now_ms }),
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
        let index = self.departed.iter().position(|departed| is_recent(now_ms, departed.at_ms));
        let replaces = index.map(|index| self.departed.remove(index).member);
        self.joined.push(Joined { member: member.clone(), at_ms: now_ms, replaces });
    }

    /// Number of members that joined recently and replace none yet.
    pub(crate) fn surplus(&self, now_ms: u64) -> usize {
        self.joined
            .iter()
            .filter(|joined| joined.replaces.is_none() && is_recent(now_ms, joined.at_ms))
            .count()
    }
}

fn is_recent(now_ms: u64, at_ms: u64) -> bool {
    now_ms.saturating_sub(at_ms) < REPLACEMENT_WINDOW_MS
}
