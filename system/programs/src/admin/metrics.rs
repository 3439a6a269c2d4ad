//! Counters and gauges in the Prometheus text exposition format.

use super::{Origin, View};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MetricKind {
    /// It rises as long as the process lives.
    Counter,
    /// It goes up and down.
    Gauge,
}

/// A metric of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Metric {
    /// Its name.
    pub name: String,
    /// What it is.
    pub kind: MetricKind,
    /// Its value.
    pub value: f64,
}

/// All metrics of a process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Metrics {
    /// Each metric once.
    #[serde(rename = "figures")]
    pub metrics: Vec<Metric>,
}

impl Metrics {
    /// Adds what only rises; its name gets the usual ending.
    pub fn counter(&mut self, name: &str, value: u64) {
        self.put(format!("{name}_total"), MetricKind::Counter, value as f64);
    }

    /// Adds what goes up and down.
    pub fn gauge(&mut self, name: &str, value: f64) {
        self.put(name.to_owned(), MetricKind::Gauge, value);
    }

    fn put(&mut self, name: String, kind: MetricKind, value: f64) {
        self.metrics.push(Metric { name, kind, value });
    }
}

/// The figures of several processes as one text: a family's lines stand together, under one `# TYPE`.
pub fn exposition(views: &[View<Metrics>]) -> String {
    let mut families: BTreeMap<(&str, MetricKind), Vec<(&Origin, f64)>> = BTreeMap::new();
    for view in views {
        for metric in &view.body.metrics {
            families.entry((&metric.name, metric.kind)).or_default().push((&view.origin, metric.value));
        }
    }
    let mut text = String::new();
    for ((name, kind), lines) in families {
        let kind = match kind {
            MetricKind::Counter => "counter",
            MetricKind::Gauge => "gauge",
        };
        // Writing to a string does not fail.
        let _ = writeln!(text, "# TYPE {name} {kind}");
        for (origin, value) in lines {
            let (node, zone, program) =
                (escaped(&origin.node), escaped(&origin.zone), escaped(&origin.program));
            let _ = writeln!(text, r#"{name}{{node="{node}",program="{program}",zone="{zone}"}} {value}"#);
        }
    }
    text
}

/// A label's value: backslash, quote and line feed are escaped.
fn escaped(value: &str) -> String {
    value.replace('\\', r"\\").replace('"', r#"\""#).replace('\n', r"\n")
}
