//! Mutated frames: decoding never panics, allocates little memory, and yields only frames that encode stably.

// One test only: allocations are counted for the whole process.
mod samples;

use byte_mutation::mutated;
use googletest::prelude::*;
use peer_wire::{MAX_FRAME_LEN, WireError, decode, encode};
use proptest::test_runner::{Config, TestRunner};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::cell::Cell;

#[global_allocator]
static ALLOCATED: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// What decoding may ask for: packing makes two bytes of 256 words of zeros, and what is read takes a few times that.
fn max_allocated_bytes(len: usize) -> usize {
    (16 << 10) + 4 * (1024 * len).min(MAX_FRAME_LEN)
}

fn check(bytes: &[u8]) -> bool {
    let region = Region::new(ALLOCATED);
    let decoded = decode(bytes);
    let requested = region.change().bytes_allocated;
    assert!(
        requested <= max_allocated_bytes(bytes.len()),
        "{requested} bytes for a frame of {}: {bytes:?}",
        bytes.len()
    );
    match decoded {
        Ok(frame) => {
            assert_eq!(decode(&encode(&frame).unwrap()).unwrap(), frame);
            true
        }
        Err(_) => false,
    }
}

/// Words as they are packed.
fn packed(words: &[u64]) -> Vec<u8> {
    let mut packed = Vec::new();
    for word in words {
        let bytes = word.to_le_bytes();
        let tag = (0..8).filter(|bit| bytes[*bit] != 0).map(|bit| 1 << bit).sum();
        packed.push(tag);
        packed.extend(bytes.iter().filter(|byte| **byte != 0));
        packed.extend((tag == 0).then_some(0));
        packed.extend((tag == 0xff).then_some(0));
    }
    packed
}

fn unpacked(mut packed: &[u8]) -> Vec<u64> {
    let mut words = Vec::new();
    while let Some((tag, rest)) = packed.split_first() {
        packed = rest;
        let mut word = [0; 8];
        for (bit, byte) in word.iter_mut().enumerate().filter(|(bit, _)| tag & (1 << bit) != 0) {
            (*byte, packed) =
                packed.split_first().map(|(byte, rest)| (*byte, rest)).unwrap_or_else(|| panic!("{bit}"));
        }
        words.push(u64::from_le_bytes(word));
        if *tag == 0 || *tag == 0xff {
            let (count, rest) = packed.split_first().unwrap();
            packed = rest;
            for _ in 0..*count {
                words.push(match tag {
                    0 => 0,
                    _ => {
                        let (word, rest) = packed.split_first_chunk::<8>().unwrap();
                        packed = rest;
                        u64::from_le_bytes(*word)
                    }
                });
            }
        }
    }
    words
}

/// The message with the list of structs to which the word at `at` points made one of a million empty ones.
fn hollow_list(words: &[u64], at: usize) -> Option<Vec<u64>> {
    let pointer = words[at];
    let is_list_of_structs = pointer & 3 == 1 && (pointer >> 32) & 7 == 7;
    let tag = at + 1 + ((pointer & 0xffff_ffff) >> 2) as usize;
    (is_list_of_structs && tag < words.len()).then(|| {
        let mut words = words.to_vec();
        words[at] = pointer & 0x7_ffff_ffff;
        words[tag] = 1_000_000 << 2;
        words
    })
}

#[gtest]
fn mutated_frames_are_rejected_or_decode_stably_within_memory_bounds() {
    // Given a frame whose header claims far more words than it has.
    let long = [vec![0x70, 0xff, 0xff, 0x1f], vec![0; 12]].concat();
    expect_that!(check(&long), eq(false));
    // And frames whose lists of structs tell of a million without any field: these take no room in a frame.
    let mut hollow = 0;
    for frame in samples::frames() {
        let words = unpacked(&encode(&frame).unwrap());
        for at in 1..words.len() {
            if let Some(words) = hollow_list(&words, at) {
                hollow += 1;
                check(&packed(&words));
            }
        }
    }
    expect_that!(hollow, ge(6));
    // When every kind of frame is changed in many ways, then each is checked.
    let samples: Vec<Vec<u8>> =
        samples::frames().iter().map(|frame| encode(frame).unwrap().to_vec()).collect();
    let config = Config { cases: 30_000, failure_persistence: None, ..Config::default() };
    let (decoded, refused) = (Cell::new(0), Cell::new(0));
    TestRunner::new(config)
        .run(&mutated(samples), |bytes| {
            let count = if check(&bytes) { &decoded } else { &refused };
            count.set(count.get() + 1);
            Ok(())
        })
        .unwrap();
    println!("{} decoded, {} refused", decoded.get(), refused.get());
    expect_that!(decoded.get(), gt(1_000));
    expect_that!(refused.get(), gt(1_000));
    expect_that!(matches!(decode(&[]), Err(WireError::Malformed(_))), eq(true));
}
