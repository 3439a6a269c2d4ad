use crate::times::REPLACEMENT_WINDOW_MS;
use std::collections::BTreeSet;

/// Who came to a set lately and who left it: each newcomer replaces at most one.
#[derive(Clone, Debug)]
pub(crate) struct Replacement<K> {
    members: Option<BTreeSet<K>>,
    /// All that ever were members: one of them that returns is no newcomer.
    former: BTreeSet<K>,
    /// Who came, when, and whom it replaces.
    newcomers: Vec<(K, u64, Option<K>)>,
    /// Who left without one that replaces it, and when.
    leavers: Vec<(K, u64)>,
}

impl<K> Default for Replacement<K> {
    fn default() -> Self {
        Self { members: None, former: BTreeSet::new(), newcomers: Vec::new(), leavers: Vec::new() }
    }
}

impl<K: Ord + Clone> Replacement<K> {
    /// These are the members now. `settled`: who is new among them may replace another. `bidden`: who left because it was
    /// told to, and needs no replacement.
    pub(crate) fn observe(
        &mut self,
        now_ms: u64,
        members: BTreeSet<K>,
        settled: bool,
        bidden: impl Fn(&K) -> bool,
    ) {
        let before = self.members.replace(members.clone()).unwrap_or_else(|| members.clone());
        for left in before.difference(&members) {
            self.leaves(now_ms, left, bidden(left));
        }
        for came in members.difference(&before) {
            match self.former.contains(came) {
                true => self.returns(came),
                false if settled => self.comes(now_ms, came),
                false => {}
            }
        }
        self.former.extend(members);
    }

    fn leaves(&mut self, now_ms: u64, left: &K, bidden: bool) {
        if let Some(place) = self.newcomers.iter().position(|(came, _, _)| came == left) {
            let (_, _, replaced) = self.newcomers.remove(place);
            // One that was told to leave leaves no place: who comes next may replace another.
            self.leavers.extend(replaced.filter(|_| !bidden).map(|replaced| (replaced, now_ms)));
            return;
        }
        if bidden {
            return;
        }
        let free =
            self.newcomers.iter_mut().find(|(_, at, replaced)| replaced.is_none() && lately(now_ms, *at));
        match free {
            Some((_, _, replaced)) => *replaced = Some(left.clone()),
            None => self.leavers.push((left.clone(), now_ms)),
        }
    }

    fn returns(&mut self, came: &K) {
        self.leavers.retain(|(left, _)| left != came);
        for (_, _, replaced) in &mut self.newcomers {
            if replaced.as_ref() == Some(came) {
                *replaced = None;
            }
        }
    }

    fn comes(&mut self, now_ms: u64, came: &K) {
        let place = self.leavers.iter().position(|(_, at)| lately(now_ms, *at));
        let replaced = place.map(|place| self.leavers.remove(place).0);
        self.newcomers.push((came.clone(), now_ms, replaced));
    }

    /// How many came lately that replace nobody yet.
    pub(crate) fn surplus(&self, now_ms: u64) -> usize {
        self.newcomers.iter().filter(|(_, at, replaced)| replaced.is_none() && lately(now_ms, *at)).count()
    }
}

fn lately(now_ms: u64, at: u64) -> bool {
    now_ms.saturating_sub(at) < REPLACEMENT_WINDOW_MS
}
