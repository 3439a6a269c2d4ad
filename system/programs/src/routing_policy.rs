//! The file of a trial that switches decision mechanisms off: a JSON object of mechanism names with `true` or `false`.

use request_routing::{RoutingPolicy, UnknownMechanism};
use serde_json::Value;
use std::fmt;
use std::path::{Path, PathBuf};

/// Names the file where the command line does not.
pub const VARIABLE: &str = "SEDGEWOOD_ROUTING_POLICY";

/// Something wrong in the file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PolicyFinding {
    /// No such mechanism.
    #[error(transparent)]
    Unknown(#[from] UnknownMechanism),
    /// Neither `true` nor `false`.
    #[error("{mechanism}: {value} is neither true nor false")]
    NoSwitch {
        /// The mechanism.
        mechanism: String,
        /// What stands there.
        value: String,
    },
}

/// Why a file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PolicyError {
    /// It could not be read.
    #[error("{path}: {source}")]
    Unread {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// It is no JSON object.
    #[error("no JSON object: {0}")]
    NoObject(String),
    /// All that is wrong in it, a line each.
    #[error("{}", Lines(.0))]
    Findings(Vec<PolicyFinding>),
}

struct Lines<'a>(&'a [PolicyFinding]);

impl fmt::Display for Lines<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            let line_end = if index == 0 { "" } else { "\n" };
            write!(formatter, "{line_end}{finding}")?;
        }
        Ok(())
    }
}

/// The policy of the named file, or else of the one that [`VARIABLE`] names, or else what is in service.
///
/// # Errors
///
/// [`PolicyError`] if the file cannot be read or [`parse`] rejects it.
pub fn load(file: Option<&Path>) -> Result<RoutingPolicy, PolicyError> {
    let named = file.map(Path::to_owned).or_else(|| std::env::var_os(VARIABLE).map(PathBuf::from));
    let Some(path) = named else { return Ok(RoutingPolicy::default()) };
    let text = std::fs::read_to_string(&path).map_err(|source| PolicyError::Unread { path, source })?;
    parse(&text)
}

/// The policy that a file's text describes; what it does not name is as in service.
///
/// # Errors
///
/// [`PolicyError::NoObject`] if the text is no JSON object, [`PolicyError::Findings`] with all that is wrong in it.
pub fn parse(text: &str) -> Result<RoutingPolicy, PolicyError> {
    let switches: serde_json::Map<String, Value> =
        serde_json::from_str(text).map_err(|e| PolicyError::NoObject(e.to_string()))?;
    let mut policy = RoutingPolicy::default();
    let mut findings = Vec::new();
    for (mechanism, value) in switches {
        // The name is checked whatever its value is.
        let known = policy.switch(&mechanism, value.as_bool().unwrap_or(true));
        findings.extend(known.err().map(PolicyFinding::from));
        if !value.is_boolean() {
            findings.push(PolicyFinding::NoSwitch { mechanism, value: value.to_string() });
        }
    }
    if findings.is_empty() { Ok(policy) } else { Err(PolicyError::Findings(findings)) }
}
