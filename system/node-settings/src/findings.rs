//! Collector of the findings in a settings file.

use crate::Finding;
use config_fields::CollectFindings;

/// The findings so far.
#[derive(Default)]
pub(crate) struct Findings(pub(crate) Vec<Finding>);

impl CollectFindings for Findings {
    fn add(&mut self, field: String, problem: impl Into<String>) {
        self.0.push(Finding { field, problem: problem.into() });
    }
}
