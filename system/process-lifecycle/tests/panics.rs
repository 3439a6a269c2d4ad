//! Panics are counted, also those that are caught.

use googletest::prelude::*;
use process_lifecycle::panics;

#[gtest]
fn a_panic_is_not_counted() {
    panics::log_and_count();
    let before = panics::count();
    for _ in 0..3 {
        let panicked = std::panic::catch_unwind(|| panic!("on purpose"));
        expect_that!(panics::message(&*panicked.unwrap_err()), eq("on purpose"));
    }
    expect_that!(panics::count() - before, eq(3));
}
