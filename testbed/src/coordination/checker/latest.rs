//! The highest of the values that had been given before a moment.

/// Values by the moment at which each was known to have been given.
#[derive(Default)]
pub(super) struct Latest {
    given: Vec<(u64, u64)>,
}

impl Latest {
    /// From pairs of moment and value.
    pub(super) fn new(given: impl IntoIterator<Item = (u64, u64)>) -> Self {
        let mut given: Vec<_> = given.into_iter().collect();
        given.sort_unstable();
        let mut highest = 0;
        for (_, value) in &mut given {
            highest = highest.max(*value);
            *value = highest;
        }
        Self { given }
    }

    /// The highest value given before `at_us`, if any was.
    pub(super) fn before(&self, at_us: u64) -> Option<u64> {
        let count = self.given.partition_point(|(given_us, _)| *given_us < at_us);
        count.checked_sub(1).map(|last| self.given[last].1)
    }
}
