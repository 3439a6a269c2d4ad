//! Callers that hold locks for a moment or for seconds, and some that die or sleep while they hold.

use super::super::history::{Answer, Request};
use super::super::plan::HOLD_MS;
use super::{Caller, RESEND_INTERVAL, RESEND_TIME};
use rand::RngExt;
use std::ops::Range;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between two short holds, in milliseconds.
const IDLE_MS: Range<u64> = 50..350;
/// Time that a short hold lasts, in milliseconds.
const MOMENT_MS: Range<u64> = 10..200;
/// Renewals of a long hold.
const RENEWALS: Range<u32> = 2..9;
/// Time until a candidate asks again, in milliseconds.
const CANDIDATE_RETRY_MS: Range<u64> = 150..400;
/// The share of holds whose caller dies.
const DEATH_SHARE: f64 = 0.08;
/// The share of holds whose caller sleeps past its time.
const SLEEP_SHARE: f64 = 0.08;
/// The share of short holds whose caller asks for the lock again while it has it.
const REPEAT_SHARE: f64 = 0.1;

/// A lock that a caller got.
struct Held {
    lock: String,
    holder: String,
    fence: u64,
    until: Instant,
}

/// Takes locks for a moment, one after the other.
pub(super) async fn hold_for_moments(mut caller: Caller) {
    for hold in 0_u64.. {
        sleep(Duration::from_millis(caller.rng.random_range(IDLE_MS))).await;
        let number = caller.rng.random_range(0..caller.applications.locks);
        let lock = caller.applications.lock(number);
        let holder = format!("a{}.{hold}", caller.number);
        let Some(mut held) = acquire(&mut caller, lock, holder).await else { continue };
        if caller.rng.random_bool(REPEAT_SHARE) {
            repeat(&mut caller, &mut held).await;
        }
        sleep(Duration::from_millis(caller.rng.random_range(MOMENT_MS))).await;
        finish(&mut caller, held).await;
    }
}

/// Asks for one lock until it is elected, holds it by renewals, and gives it back.
pub(super) async fn stand_for_election(mut caller: Caller, election: u32) {
    let lock = caller.applications.election(election);
    for hold in 0_u64.. {
        sleep(Duration::from_millis(caller.rng.random_range(CANDIDATE_RETRY_MS))).await;
        let holder = format!("e{}.{hold}", caller.number);
        let Some(mut held) = acquire(&mut caller, lock.clone(), holder).await else { continue };
        let mut is_held = true;
        for _ in 0..caller.rng.random_range(RENEWALS) {
            sleep(Duration::from_millis(HOLD_MS / 3)).await;
            is_held = is_held && renew(&mut caller, &mut held).await;
        }
        if is_held {
            finish(&mut caller, held).await;
        } else {
            release(&mut caller, &held).await;
        }
    }
}

/// Asks for a lock under one name until the answer is clear.
async fn acquire(caller: &mut Caller, lock: String, holder: String) -> Option<Held> {
    let begun = Instant::now();
    while begun.elapsed() < RESEND_TIME {
        let until = Instant::now() + Duration::from_millis(HOLD_MS);
        let request = Request::Acquire { lock: lock.clone(), holder: holder.clone(), hold_ms: HOLD_MS };
        match caller.client.call(request).await {
            Answer::Granted { fence } => return Some(Held { lock, holder, fence, until }),
            Answer::NotHeld => return None,
            _ => sleep(RESEND_INTERVAL).await,
        }
    }
    None
}

/// Asks once more for a lock that the caller holds.
async fn repeat(caller: &mut Caller, held: &mut Held) {
    let until = Instant::now() + Duration::from_millis(HOLD_MS);
    let request = Request::Acquire { lock: held.lock.clone(), holder: held.holder.clone(), hold_ms: HOLD_MS };
    if let Answer::Granted { fence } = caller.client.call(request).await {
        (held.fence, held.until) = (fence, until);
    }
}

/// Extends a hold while its time lasts; whether the caller still counts itself holder.
async fn renew(caller: &mut Caller, held: &mut Held) -> bool {
    while Instant::now() < held.until {
        let until = Instant::now() + Duration::from_millis(HOLD_MS);
        let request = Request::Renew {
            lock: held.lock.clone(),
            holder: held.holder.clone(),
            fence: held.fence,
            hold_ms: HOLD_MS,
        };
        match caller.client.call(request).await {
            // Past the caller's time, the renewal counts for nothing.
            Answer::Renewed if Instant::now() < held.until => {
                held.until = until;
                return true;
            }
            Answer::Renewed | Answer::NotHeld => return false,
            _ => sleep(RESEND_INTERVAL).await,
        }
    }
    false
}

/// Ends a hold: by a release, by death, or by a sleep past its time and a renewal that comes too late.
async fn finish(caller: &mut Caller, mut held: Held) {
    let draw = caller.rng.random_range(0.0..1.0);
    if draw < DEATH_SHARE {
        return;
    }
    if draw < DEATH_SHARE + SLEEP_SHARE {
        sleep(Duration::from_millis(HOLD_MS * 4 / 3)).await;
        let request = Request::Renew {
            lock: held.lock.clone(),
            holder: held.holder.clone(),
            fence: held.fence,
            hold_ms: HOLD_MS,
        };
        held.until = Instant::now();
        caller.client.call(request).await;
    }
    release(caller, &held).await;
}

/// Gives a lock back until that is answered.
async fn release(caller: &mut Caller, held: &Held) {
    let begun = Instant::now();
    while begun.elapsed() < RESEND_TIME {
        let request =
            Request::Release { lock: held.lock.clone(), holder: held.holder.clone(), fence: held.fence };
        if caller.client.call(request).await.is_clear() {
            return;
        }
        sleep(RESEND_INTERVAL).await;
    }
}
