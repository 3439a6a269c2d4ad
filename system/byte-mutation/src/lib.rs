//! For tests of decoders: valid samples that are cut, flipped, repeated and spliced.

use proptest::prelude::*;
use proptest::sample::Index;

/// One change of some bytes.
#[derive(Clone, Debug)]
enum Mutation {
    /// Everything from here on is gone.
    Cut(Index),
    /// A bit is another one.
    Flip(Index, u8),
    /// A byte is another one.
    Set(Index, u8),
    /// A part stands there twice.
    Repeat(Index, Index),
    /// A part is gone.
    Remove(Index, Index),
    /// A part of another sample stands there.
    Splice(Index, Index, Index, Index),
}

/// Samples, each with some changes in a row.
pub fn mutated(samples: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    assert!(!samples.is_empty(), "nothing to change");
    let place = any::<Index>;
    let change = prop_oneof![
        1 => place().prop_map(Mutation::Cut),
        4 => (place(), 0..8_u8).prop_map(|(at, bit)| Mutation::Flip(at, bit)),
        4 => (place(), any::<u8>()).prop_map(|(at, byte)| Mutation::Set(at, byte)),
        2 => (place(), place()).prop_map(|(from, to)| Mutation::Repeat(from, to)),
        2 => (place(), place()).prop_map(|(from, to)| Mutation::Remove(from, to)),
        2 => (place(), place(), place(), place())
            .prop_map(|(other, from, to, at)| Mutation::Splice(other, from, to, at)),
    ];
    (any::<Index>(), prop::collection::vec(change, 1..5)).prop_map(move |(which, changes)| {
        let mut bytes = which.get(&samples).clone();
        for change in changes {
            apply(&mut bytes, change, &samples);
        }
        bytes
    })
}

fn apply(bytes: &mut Vec<u8>, change: Mutation, samples: &[Vec<u8>]) {
    let place = |index: Index, bytes: &[u8]| index.index(bytes.len() + 1);
    let part = |from: Index, to: Index, bytes: &[u8]| {
        let (from, to) = (place(from, bytes), place(to, bytes));
        from.min(to)..from.max(to)
    };
    match change {
        Mutation::Cut(at) => bytes.truncate(place(at, bytes)),
        Mutation::Flip(at, bit) => {
            let at = place(at, bytes);
            bytes.iter_mut().skip(at).take(1).for_each(|byte| *byte ^= 1 << bit);
        }
        Mutation::Set(at, set) => {
            let at = place(at, bytes);
            bytes.iter_mut().skip(at).take(1).for_each(|byte| *byte = set);
        }
        Mutation::Repeat(from, to) => {
            let part = part(from, to, bytes);
            let (end, repeated) = (part.end, bytes[part].to_vec());
            bytes.splice(end..end, repeated);
        }
        Mutation::Remove(from, to) => drop(bytes.drain(part(from, to, bytes))),
        Mutation::Splice(other, from, to, at) => {
            let other = other.get(samples);
            let at = place(at, bytes);
            let part = other[part(from, to, other)].to_vec();
            bytes.splice(at..at, part);
        }
    }
}
