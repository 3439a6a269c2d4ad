//! The table that a run of the tier ends with.
use super::checker::MIN_FINISHED_PERCENT;
use super::history::{Attempt, End, Kind};
use super::run::RunResult;
use std::fmt::Write;

/// Breaches of one rule, and unfinished programs, that are printed.
const MAX_REPORTED_BREACHES: usize = 5;

/// Last attempts that are printed of a program that did not finish.
const MAX_REPORTED_OUTCOMES: usize = 5;

/// An attempt's end, when it began, how long it took and the sender.
fn describe_request(of: &Attempt) -> String {
    let end = match &of.end {
        End::Answered { status, complete: true, .. } => status.to_string(),
        End::Answered { status, complete: false, .. } => format!("{status} cut"),
        other => format!("{other:?}").to_lowercase(),
    };
    let took = of
        .route
        .ended_at
        .map_or("?".to_owned(), |ended| format!("{:.2}", (ended - of.route.began).as_secs_f64()));
    let to = of.route.to.map_or(String::new(), |to| format!(" {}", to.ip()));
    format!("{end} ({:.1} s +{took}{to})", of.route.began.as_secs_f64())
}

/// A run's figures, for a terminal.
pub fn table(result: &RunResult) -> String {
    let (history, verdict) = (&result.history, &result.verdict);
    let mut text = String::new();
    let mut row = |name: &str, value: String| {
        let _ = writeln!(text, "{name:<44} {value:>10}");
    };
    let attempts = |kind: Kind| history.attempts.iter().filter(move |t| t.kind == kind);
    let count = |of: fn(&Attempt) -> bool| history.attempts.iter().filter(|t| of(t)).count().to_string();
    row("programs started", verdict.started.to_string());
    row(&format!("  finished (at least {MIN_FINISHED_PERCENT} in 100)"), verdict.finished.to_string());
    row("tries of turns", attempts(Kind::Turn).count().to_string());
    row("tries of tools that run once", attempts(Kind::NonIdempotent).count().to_string());
    row("tries of tools that may run again", attempts(Kind::Idempotent).count().to_string());
    row("runs at endpoints", history.runs.len().to_string());
    row("answers whole", count(|t| matches!(t.end, End::Answered { status: 200, complete: true, .. })));
    row("streams broken off", count(|t| matches!(t.end, End::Answered { complete: false, .. })));
    row("budgets spent (402)", count(|t| matches!(t.end, End::Answered { status: 402, .. })));
    row(
        "refused by the tier, to be tried again",
        count(|t| matches!(t.end, End::Answered { status: 503, .. })),
    );
    row("connections that did not come up", count(|t| t.end == End::Unsent));
    row("connections broken without an answer", count(|t| t.end == End::Broken));
    row("calls refused by full endpoints", result.rejected_calls.0.to_string());
    row("calls meant for another incarnation", result.rejected_calls.1.to_string());
    row("calls for the list, and over its rate", format!("{}, {}", result.list_calls.0, result.list_calls.1));
    let versions: Vec<_> = history.configurations.acknowledged.iter().map(u64::to_string).collect();
    row("configurations acknowledged", versions.join(", "));
    row("rules broken", verdict.breaches.len().to_string());
    for (role, usage) in &result.usage {
        let megabytes = |bytes: u64| bytes.div_ceil(1_000_000);
        let (memory, space) = (megabytes(usage.memory_bytes), megabytes(usage.address_space_bytes));
        let value = format!("{memory}, {space}, {}, {}", usage.descriptors, usage.threads);
        row(&format!("{}: MB, MB of addresses, files, threads", role.program()), value);
    }
    row("proxies not ready after the faults", result.unready_proxies.to_string());
    let unfinished = history.programs.iter().filter_map(|p| Some((p.number, p.end.as_ref().err()?)));
    for (number, why) in unfinished.take(MAX_REPORTED_BREACHES) {
        let ends: Vec<_> =
            history.attempts.iter().filter(|t| t.program == number).map(describe_request).collect();
        let last = ends[ends.len().saturating_sub(MAX_REPORTED_OUTCOMES)..].join(", ");
        let _ = writeln!(text, "not finished: program {number}, {why}; its last tries: {last}");
    }
    for (rule, reports) in &verdict.breaches {
        let _ = writeln!(text, "\nRULE BROKEN: {rule:?}, {} times", reports.len());
        for what in reports.iter().take(MAX_REPORTED_BREACHES) {
            let _ = writeln!(text, "  {what}");
        }
    }
    for fault in result.crashes.iter().chain(&result.late_ends).chain(&result.failed_parts) {
        let _ = writeln!(text, "\nPROCESS FAILED: {fault}");
    }
    if result.cut_short {
        text.push_str("\nThe play was cut short: these figures are of a part of it.\n");
    }
    text
}
