//! Counters and gauges, in the text exposition format.

use super::{Origin, View};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;

/// What a figure is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// It rises as long as the process lives.
    Counter,
    /// It goes up and down.
    Gauge,
}

/// A figure of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Its name.
    pub name: String,
    /// What it is.
    pub kind: Kind,
    /// Its value.
    pub value: f64,
}

/// All figures of a process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Each figure once.
    pub figures: Vec<Figure>,
}

impl Figures {
    /// Adds what only rises; its name gets the usual ending.
    pub fn counter(&mut self, name: &str, value: u64) {
        self.put(format!("{name}_total"), Kind::Counter, value as f64);
    }

    /// Adds what goes up and down.
    pub fn gauge(&mut self, name: &str, value: f64) {
        self.put(name.to_owned(), Kind::Gauge, value);
    }

    fn put(&mut self, name: String, kind: Kind, value: f64) {
        self.figures.push(Figure { name, kind, value });
    }
}

/// The figures of several processes as one text: a family's lines stand together, under one `# TYPE`.
pub fn exposition(views: &[View<Figures>]) -> String {
    let mut families: BTreeMap<(&str, Kind), Vec<(&Origin, f64)>> = BTreeMap::new();
    for view in views {
        for figure in &view.says.figures {
            families.entry((&figure.name, figure.kind)).or_default().push((&view.origin, figure.value));
        }
    }
    let mut text = String::new();
    for ((name, kind), lines) in families {
        let kind = match kind {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
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
