//! Variants of one scenario, run in turn, and what can be said of their difference.
use crate::run::RunResult;
use crate::scenario::Variant;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;

/// A figure of a run by which variants are compared.
pub struct Measure {
    /// What tables call it.
    pub name: &'static str,
    /// Reads it.
    pub of: fn(&RunResult) -> f64,
}

fn share(part: u64, overall: u64) -> f64 {
    part as f64 / overall.max(1) as f64
}

/// The figures that are compared, in the order of the tables.
pub const MEASURES: [Measure; 9] = [
    Measure { name: "service", of: |p| p.verdict.value.result },
    Measure { name: "delivered", of: |p| share(p.verdict.counts.delivered, p.verdict.counts.wanted) },
    Measure { name: "late", of: |p| share(p.verdict.counts.late, p.verdict.counts.wanted) },
    Measure { name: "refused", of: |p| share(p.verdict.counts.refused, p.verdict.counts.wanted) },
    Measure { name: "failed", of: |p| share(p.verdict.counts.failed, p.verdict.counts.wanted) },
    Measure { name: "attempts", of: |p| share(p.verdict.counts.calls, p.verdict.counts.accepted) },
    Measure { name: "calls refused", of: |p| share(p.verdict.counts.calls_refused, p.verdict.counts.calls) },
    Measure { name: "connections", of: |p| share(p.verdict.counts.connections, p.verdict.counts.calls) },
    Measure {
        name: "p99 s",
        of: |p| p.verdict.latencies.iter().map(|l| l.percentiles[2]).fold(0.0, f64::max),
    },
];

/// Runs in their order: each seed so often, each time all variants, every second time in the other order, so that
/// what drifts with the machine meets all of them alike.
pub fn order(seeds: &[u64], repeats: u32, variants: &[Variant]) -> Vec<(u64, usize)> {
    let mut runs = Vec::new();
    for repeat in 0..repeats {
        for (seed_index, seed) in seeds.iter().enumerate() {
            let mut turn: Vec<_> = (0..variants.len()).map(|variant| (*seed, variant)).collect();
            if (repeat as usize + seed_index) % 2 == 1 {
                turn.reverse();
            }
            runs.extend(turn);
        }
    }
    runs
}

/// The median of some figures; not a number where there are none.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    match sorted.len() {
        0 => f64::NAN,
        n if n % 2 == 1 => sorted[n / 2],
        n => (sorted[n / 2 - 1] + sorted[n / 2]) / 2.0,
    }
}

/// Draws with replacement by which an interval is estimated.
const RESAMPLES: usize = 2000;
/// With fewer pairs no interval is reported: it would be narrower than what can be known.
const MIN_PAIRS: usize = 3;

/// The interval that holds the mean of the differences in 95 of 100 such experiments, by the bootstrap; none for too
/// few pairs.
pub fn interval(differences: &[f64]) -> Option<(f64, f64)> {
    if differences.len() < MIN_PAIRS {
        return None;
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut mean = || {
        let draw = (0..differences.len()).map(|_| differences[rng.random_range(0..differences.len())]);
        draw.sum::<f64>() / differences.len() as f64
    };
    let mut means: Vec<f64> = (0..RESAMPLES).map(|_| mean()).collect();
    means.sort_by(f64::total_cmp);
    Some((means[RESAMPLES / 40], means[RESAMPLES - 1 - RESAMPLES / 40]))
}

/// Differences of a measure between the runs of a variant and those of the first one, pair by pair: the nth run of
/// a seed with the nth of the same seed.
pub fn differences(runs: &[RunResult], first: &str, other: &str, of: fn(&RunResult) -> f64) -> Vec<f64> {
    let named =
        |name: &str| runs.iter().filter(move |p| p.variant == name && !p.cut_short).collect::<Vec<_>>();
    let (base, others) = (named(first), named(other));
    let mut seeds: Vec<u64> = base.iter().map(|p| p.seed).collect();
    seeds.sort_unstable();
    seeds.dedup();
    let pairs = seeds.into_iter().flat_map(|seed| {
        let a = base.iter().filter(move |p| p.seed == seed);
        let b = others.iter().filter(move |p| p.seed == seed);
        a.zip(b).map(|(a, b)| of(b) - of(a)).collect::<Vec<_>>()
    });
    pairs.collect()
}

/// One table for all variants: medians with least and most, rules broken, and differences from the first.
pub fn comparison(runs: &[RunResult], variants: &[Variant]) -> String {
    let mut text = String::new();
    let _ = write!(text, "{:<16}", "median (range)");
    for variant in variants {
        let _ = write!(text, " {:>26}", variant.name);
    }
    for measure in &MEASURES {
        let _ = write!(text, "\n{:<16}", measure.name);
        for variant in variants {
            let own: Vec<f64> = runs.iter().filter(|p| p.variant == variant.name).map(measure.of).collect();
            let lowest = own.iter().copied().fold(f64::INFINITY, f64::min);
            let highest = own.iter().copied().fold(f64::NEG_INFINITY, f64::max);
            let _ = write!(text, " {:>26}", format!("{:.3} ({lowest:.3} to {highest:.3})", median(&own)));
        }
    }
    let _ = write!(text, "\n{:<16}", "rules broken");
    for variant in variants {
        let own = runs.iter().filter(|p| p.variant == variant.name);
        let broken: usize = own.flat_map(|p| p.verdict.breaches.iter().map(|b| b.1)).sum();
        let _ = write!(text, " {broken:>26}");
    }
    let Some((first, rest)) = variants.split_first() else { return text };
    for other in rest {
        let _ = write!(text, "\n\n{} less {}, pair by pair (mean's 95% interval):", other.name, first.name);
        for measure in &MEASURES {
            let differences = differences(runs, &first.name, &other.name, measure.of);
            let conclusion = match interval(&differences) {
                Some((low, high)) if low > 0.0 || high < 0.0 => format!("{low:+.3} to {high:+.3}"),
                Some((low, high)) => format!("{low:+.3} to {high:+.3}, cannot be told from 0"),
                None => format!("{} pairs are too few to tell", differences.len()),
            };
            let _ =
                write!(text, "\n  {:<14} median {:+.3}; {conclusion}", measure.name, median(&differences));
        }
    }
    text.push('\n');
    text
}

#[cfg(test)]
mod tests;
