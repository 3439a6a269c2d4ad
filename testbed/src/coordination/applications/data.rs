//! Callers that take numbers, put keys with and without a condition, and read them.

use super::super::history::{Answer, Request};
use super::{Caller, RESEND_INTERVAL, RESEND_TIME};
use rand::RngExt;
use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between two calls, in milliseconds.
const PAUSE_MS: Range<u64> = 20..180;
/// The share of calls that take a number.
const NUMBER_SHARE: f64 = 0.3;
/// The share of calls that read.
const READ_SHARE: f64 = 0.35;
/// The share of puts that have a condition.
const CONDITION_SHARE: f64 = 0.6;

/// Draws one call after the other.
pub(super) async fn call(mut caller: Caller) {
    // What this caller last learnt of each key.
    let mut known: HashMap<String, u64> = HashMap::new();
    for put in 0_u64.. {
        sleep(Duration::from_millis(caller.rng.random_range(PAUSE_MS))).await;
        let group = caller.rng.random_range(0..caller.applications.groups);
        let number = caller.rng.random_range(0..caller.applications.keys_per_group);
        let key = caller.applications.key(group, number);
        let draw = caller.rng.random_range(0.0..1.0);
        if draw < NUMBER_SHARE {
            let number = caller.rng.random_range(0..caller.applications.numbers);
            let name = caller.applications.number(number);
            caller.client.call(Request::Number { name }).await;
        } else if draw < NUMBER_SHARE + READ_SHARE {
            match caller.client.call(Request::Get { key: key.clone() }).await {
                Answer::Found { revision, .. } => drop(known.insert(key, revision)),
                Answer::Absent => drop(known.insert(key, 0)),
                _ => {}
            }
        } else {
            let has_condition = caller.rng.random_bool(CONDITION_SHARE);
            let expected = if has_condition { known.get(&key).copied() } else { None };
            let value = format!("{:08x}{put:08x}", caller.number);
            if let Some(revision) = self::put(&mut caller, &key, value, expected).await {
                known.insert(key, revision);
            }
        }
    }
}

/// Puts a value, again and again with the same value while there is no clear answer; the key's revision then.
async fn put(caller: &mut Caller, key: &str, value: String, expected: Option<u64>) -> Option<u64> {
    let begun = Instant::now();
    while begun.elapsed() < RESEND_TIME {
        let request = Request::Put { key: key.to_owned(), value: value.clone(), expected };
        match caller.client.call(request).await {
            Answer::Stored { revision } | Answer::Mismatch { revision } => return Some(revision),
            _ => sleep(RESEND_INTERVAL).await,
        }
    }
    None
}
