//! `config`: the operator's configuration, in force and as a file that may become the next.

use super::{ConfigCommand, Report, Verdict, is_stale, newest, provenance};
use crate::admin::query::Fleet;
use crate::admin::table::table;
use crate::admin::{Origin, View};
use operator_config::{Finding, Findings, OperatorConfig, difference};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// The configuration as a process knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SeenConfig {
    version: u64,
    /// All versions that were taken, oldest first.
    taken: Vec<u64>,
    /// Their SHA-256, in the same order.
    digests: Vec<String>,
    config: String,
}

#[derive(Serialize)]
struct FindingsReport<'a> {
    findings: &'a [Finding],
}

#[derive(Serialize)]
struct CheckReport {
    version: u64,
    findings: Vec<Finding>,
}

#[derive(Serialize)]
struct HistoryReport<'a> {
    taken: &'a [u64],
    digests: &'a [String],
    version: u64,
}

#[derive(Serialize)]
struct DiffReport<'a> {
    against: &'a Origin,
    version: u64,
    lines: &'a [String],
    refused: bool,
}

pub(super) async fn config(fleet: &Fleet, command: &ConfigCommand) -> Report {
    match command {
        ConfigCommand::Check { file } => check(file),
        ConfigCommand::Show => about_newest(fleet, show).await,
        ConfigCommand::History => about_newest(fleet, history).await,
        ConfigCommand::Diff { file } => match read_config(file) {
            Err(report) => report,
            Ok(after) => about_newest(fleet, |view| diff(view, &after)).await,
        },
    }
}

/// Reports on the newest configuration that anybody asked knows.
async fn about_newest(fleet: &Fleet, report: impl FnOnce(&View<SeenConfig>) -> Report) -> Report {
    let views: Vec<View<SeenConfig>> = fleet.responses(&fleet.entries, "config").await;
    newest(views, |seen| seen.version).as_ref().map_or_else(Report::silent, report)
}

fn read_config(file: &Path) -> Result<OperatorConfig, Report> {
    let bytes = std::fs::read(file).map_err(|error| unreadable_file(file, &error))?;
    OperatorConfig::read(&bytes).map_err(|findings| invalid(&findings))
}

fn unreadable_file(file: &Path, error: &std::io::Error) -> Report {
    let finding = Finding { path: "document".to_owned(), problem: error.to_string() };
    let text = format!("{}: {error}\n", file.display());
    Report::new(Verdict::Problem, text, FindingsReport { findings: &[finding] })
}

fn invalid(findings: &Findings) -> Report {
    Report::new(Verdict::Problem, format!("{findings}\n"), FindingsReport { findings: &findings.0 })
}

fn check(file: &Path) -> Report {
    let config = match read_config(file) {
        Err(report) => return report,
        Ok(config) => config,
    };
    let text = format!(
        "{}: version {}, {} routes, {} services, nothing wrong\n",
        file.display(),
        config.version,
        config.routes.len(),
        config.services.len()
    );
    Report::new(Verdict::Healthy, text, CheckReport { version: config.version, findings: Vec::new() })
}

/// Which configuration it is and where it is from, in a line.
fn source(view: &View<SeenConfig>) -> String {
    format!("version {}, {}", view.body.version, provenance(&view.origin))
}

fn show(view: &View<SeenConfig>) -> Report {
    let verdict = Verdict::problem_if(is_stale(&view.origin) || view.body.version == 0);
    let text = match view.body.version {
        0 => format!("no configuration yet, says {}\n", view.origin.node),
        _ => format!("{}\n", view.body.config.trim_end()),
    };
    Report::new(verdict, text, view)
}

fn history(view: &View<SeenConfig>) -> Report {
    let SeenConfig { version, taken, digests, .. } = &view.body;
    let row = |(taken, digest): (&u64, &String)| {
        let note = if taken == version { "in force" } else { "" };
        vec![taken.to_string(), digest.clone(), note.to_owned()]
    };
    let rows: Vec<Vec<String>> = taken.iter().zip(digests).map(row).collect();
    let text = format!("{}{}\n", table(&["VERSION", "SHA-256", ""], &rows), source(view));
    let body = HistoryReport { taken, digests, version: *version };
    let verdict = Verdict::problem_if(is_stale(&view.origin));
    Report::new(verdict, text, View { origin: view.origin.clone(), body })
}

fn diff(view: &View<SeenConfig>, after: &OperatorConfig) -> Report {
    let before = match view.body.version {
        0 => Ok(OperatorConfig::default()),
        _ => OperatorConfig::read(view.body.config.as_bytes()),
    };
    let Ok(before) = before else {
        return Report::new(Verdict::Problem, format!("{}: cannot be read here\n", source(view)), ());
    };
    let lines = difference(&before, after);
    // A version that is not above the current one is refused.
    let refused = after.version <= before.version && !lines.is_empty();
    let verdict = Verdict::problem_if(refused || is_stale(&view.origin));
    let text = diff_text(view, &lines, refused);
    let report = DiffReport { against: &view.origin, version: before.version, lines: &lines, refused };
    Report::new(verdict, text, report)
}

fn diff_text(view: &View<SeenConfig>, lines: &[String], refused: bool) -> String {
    let mut text: String = lines.iter().map(|line| format!("{line}\n")).collect();
    if lines.is_empty() {
        text.push_str("no difference\n");
    }
    if refused {
        text.push_str("would be refused: the version is not above the current one\n");
    }
    text.push_str(&format!("against {}\n", source(view)));
    text
}
