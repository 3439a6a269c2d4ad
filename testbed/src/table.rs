//! The table that a run ends with.
use crate::run::RunResult;
use std::fmt::Write;

/// A run's figures, for a terminal.
pub fn table(result: &RunResult) -> String {
    let (v, c) = (&result.verdict, &result.verdict.counts);
    let mut text = String::new();
    let mut row = |name: &str, value: String| {
        let _ = writeln!(text, "{name:<28} {value:>12}");
    };
    row("wanted by clients", c.wanted.to_string());
    row("handed in (with repeats)", c.submitted.to_string());
    row("taken on", c.accepted.to_string());
    row("delivered", c.delivered.to_string());
    row("  of these late", c.late.to_string());
    row("refused in the end", c.refused.to_string());
    row("failed", c.failed.to_string());
    row("not known to the client", c.unknown.to_string());
    row("doubled (must be 0)", c.doubled.to_string());
    row("doubled by clients", c.doubled_by_clients.to_string());
    row("lost (must be 0)", c.lost.to_string());
    row("attempts a message taken on", format!("{:.2}", c.calls as f64 / c.accepted.max(1) as f64));
    row("calls refused by partners", c.calls_refused.to_string());
    row("connections made", c.connections.to_string());
    if c.strangers > 0 {
        row("strangers left unanswered", format!("{} of {}", c.strangers_left, c.strangers));
    }
    row("service, less prices", format!("{:.3}", v.value.result));
    let _ = writeln!(
        text,
        "\n{:<16}{:>9}{:>9}{:>9}{:>9}{:>9}",
        "to delivery", "count", "p50", "p90", "p99", "p99.9"
    );
    for l in &v.latencies {
        let _ = write!(text, "{:<16}{:>9}", l.class, l.delivered);
        for seconds in l.percentiles {
            let _ = write!(text, "{:>7.2} s", seconds);
        }
        text.push('\n');
    }
    for (rule, count, examples) in &v.breaches {
        let charged = result.charged().any(|(other, ..)| other == rule);
        let word = if charged { "RULE BROKEN" } else { "by emptied or copied folders, not charged" };
        let _ = writeln!(text, "\n{word}: {rule:?}, {count} times");
        for breach in examples {
            let _ = writeln!(text, "  {:6.2} s  {}", breach.at_s, breach.what);
        }
    }
    for crash in &result.crashes {
        let _ = writeln!(text, "\nSENDER ENDED BY ITSELF: {crash}");
    }
    for fault in &result.faults {
        let _ = writeln!(text, "\nFAULT OF THE LAB: {fault}");
    }
    if result.cut_short {
        text.push_str("\nThe play was cut short: these figures are of a part of it.\n");
    }
    text
}
