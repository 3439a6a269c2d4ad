use super::*;
use googletest::prelude::*;

const USUAL: Duration = Duration::from_millis(300);

fn after(writes_ms: &[u64]) -> VoteDelay {
    let delay = VoteDelay::default();
    writes_ms.iter().for_each(|write_ms| delay.record(Duration::from_millis(*write_ms)));
    delay
}

#[gtest]
fn a_slow_disk_has_the_limits_of_a_fast_one() {
    expect_that!(after(&[2, 3, 2]).call_timeout(USUAL), eq(USUAL));
    expect_that!(after(&[210, 230, 250]).call_timeout(USUAL), eq(Duration::from_millis(630)));
    expect_that!(after(&[210, 230, 250]).change_timeout(USUAL), eq(Duration::from_millis(2_520)));
}

#[gtest]
fn one_stall_counts_as_a_slow_disk() {
    for writes_ms in [&[4_000][..], &[2, 4_000, 2], &[4_000, 4_000, 2]] {
        expect_that!(after(writes_ms).get(), le(Duration::from_millis(2)), "{writes_ms:?}");
    }
}

#[gtest]
fn a_disk_that_hardly_syncs_has_no_limits() {
    expect_that!(after(&[60_000; 3]).get(), eq(MAX_VOTE_DELAY));
}
