//! Test library for decoders: a `proptest` strategy that mutates valid samples of a format. Decoders are tested with its
//! bytes, which reach deeper into them than arbitrary bytes do. What a decoder must satisfy is left to the tests.

use proptest::prelude::*;
use proptest::sample::Index;

/// One mutation of a byte string.
#[derive(Clone, Debug)]
enum Mutation {
    /// Truncates the bytes.
    Cut(Index),
    /// Flips a bit.
    Flip(Index, u8),
    /// Overwrites a byte.
    Set(Index, u8),
    /// Duplicates a range.
    Repeat(Index, Index),
    /// Removes a range.
    Remove(Index, Index),
    /// Inserts a range of another sample.
    Splice(Index, Index, Index, Index),
}

/// Strategy of samples with one to four mutations each.
///
/// # Panics
///
/// If there is no sample.
pub fn mutated(samples: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    assert!(!samples.is_empty(), "no sample to mutate");
    let any_index = any::<Index>;
    let mutation = prop_oneof![
        1 => any_index().prop_map(Mutation::Cut),
        4 => (any_index(), 0..8_u8).prop_map(|(position, bit)| Mutation::Flip(position, bit)),
        4 => (any_index(), any::<u8>()).prop_map(|(position, byte)| Mutation::Set(position, byte)),
        2 => (any_index(), any_index()).prop_map(|(from, to)| Mutation::Repeat(from, to)),
        2 => (any_index(), any_index()).prop_map(|(from, to)| Mutation::Remove(from, to)),
        2 => (any_index(), any_index(), any_index(), any_index())
            .prop_map(|(other, from, to, position)| Mutation::Splice(other, from, to, position)),
    ];
    (any::<Index>(), prop::collection::vec(mutation, 1..5)).prop_map(move |(which, mutations)| {
        let mut bytes = which.get(&samples).clone();
        for mutation in mutations {
            apply(&mut bytes, mutation, &samples);
        }
        bytes
    })
}

fn apply(bytes: &mut Vec<u8>, mutation: Mutation, samples: &[Vec<u8>]) {
    let offset = |index: Index, bytes: &[u8]| index.index(bytes.len() + 1);
    let range = |from: Index, to: Index, bytes: &[u8]| {
        let (from, to) = (offset(from, bytes), offset(to, bytes));
        from.min(to)..from.max(to)
    };
    match mutation {
        Mutation::Cut(position) => bytes.truncate(offset(position, bytes)),
        Mutation::Flip(position, bit) => {
            let position = offset(position, bytes);
            bytes.iter_mut().skip(position).take(1).for_each(|byte| *byte ^= 1 << bit);
        }
        Mutation::Set(position, set) => {
            let position = offset(position, bytes);
            bytes.iter_mut().skip(position).take(1).for_each(|byte| *byte = set);
        }
        Mutation::Repeat(from, to) => {
            let range = range(from, to, bytes);
            let (end, repeated) = (range.end, bytes[range].to_vec());
            bytes.splice(end..end, repeated);
        }
        Mutation::Remove(from, to) => drop(bytes.drain(range(from, to, bytes))),
        Mutation::Splice(other, from, to, position) => {
            let other = other.get(samples);
            let position = offset(position, bytes);
            let range = other[range(from, to, other)].to_vec();
            bytes.splice(position..position, range);
        }
    }
}
