//! What is wrong with a settings file.

use crate::Finding;
use config_fields::CollectFindings;

/// What is wrong so far.
#[derive(Default)]
pub(crate) struct Findings(pub(crate) Vec<Finding>);

impl CollectFindings for Findings {
    fn add(&mut self, field: String, what: impl Into<String>) {
        self.0.push(Finding { field, what: what.into() });
    }
}
