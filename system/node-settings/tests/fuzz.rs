//! Mutated settings files: they yield complete settings or findings, and never a panic.

use byte_mutation::mutated;
use googletest::prelude::*;
use node_settings::{PortRange, Settings};
use proptest::prelude::*;

const SAMPLES: &[&str] = &[include_str!("edge.yaml"), include_str!("core.yaml")];

fn read_and_check(text: &str) -> bool {
    match Settings::parse(text) {
        Ok(settings) => {
            let PortRange { first, last } = settings.internal_port_range;
            assert!(first <= last && (first..=last).contains(&settings.peer_port()));
            assert!(settings.limits.disk_mb >= 0.0 && settings.limits.memory_mb >= 0.0);
            true
        }
        Err(error) => {
            assert!(!error.findings.is_empty());
            false
        }
    }
}

#[gtest]
fn the_full_port_range_is_accepted() {
    let text = SAMPLES[0].replace("7380", "1").replace("7395", "65535");
    expect_that!(
        Settings::parse(&text).unwrap().internal_port_range,
        eq(PortRange { first: 1, last: 65_535 })
    );
    let text = SAMPLES[0].replace("7380", "0").replace("7395", "65535");
    read_and_check(&text);
}

#[gtest]
fn deeply_nested_or_exponentially_aliased_documents_are_rejected() {
    for count in [1_000, 100_000] {
        for text in ["[".repeat(count), "{a: ".repeat(count), "- ".repeat(count)] {
            expect_that!(read_and_check(&text), eq(false));
        }
    }
    // Each line names the one before nine times.
    let lines = (1..40)
        .map(|line| format!("a{line}: &a{line} [{}]\n", vec![format!("*a{}", line - 1); 9].join(", ")));
    let text = std::iter::once("a0: &a0 [x]\n".to_owned()).chain(lines).collect::<String>();
    expect_that!(read_and_check(&text), eq(false));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(1_500) })]

    #[test]
    fn mutated_settings_are_complete_or_reported(
        bytes in mutated(SAMPLES.iter().map(|sample| sample.as_bytes().to_vec()).collect()),
    ) {
        read_and_check(&String::from_utf8_lossy(&bytes));
    }
}
