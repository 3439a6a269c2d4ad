//! Lenient fields of configuration documents, so that all problems of a document are reported together rather than one
//! at a time.
//!
//! A form is a struct of [`Field`]s that derives `Deserialize` with `#[serde(default)]`; deserializing it does not fail for
//! a field of the wrong type. The values are then extracted through [`CollectFindings`], which records the path and the
//! problem of each missing or invalid field. Which fields are required, and what their values must satisfy, is left to the
//! crates with the forms.
//!
//! ```
//! use config_fields::{CollectFindings, Field};
//!
//! struct Findings(Vec<String>);
//!
//! impl CollectFindings for Findings {
//!     fn add(&mut self, path: String, problem: impl Into<String>) {
//!         self.0.push(format!("{path} {}", problem.into()));
//!     }
//! }
//!
//! let mut findings = Findings(Vec::new());
//! let zone: Option<String> = findings.required("node", "zone", Field::Absent);
//! assert_eq!(zone, None);
//! assert_eq!(findings.0, ["node.zone is missing"]);
//! ```

mod findings;
mod number;

pub use findings::{CollectFindings, field_path};
pub use number::Number;

use serde::de::{Deserialize, Deserializer};

/// A field of a document, deserialized without failing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Field<T> {
    /// The field is missing or null.
    #[default]
    Absent,
    /// The field has a value of the wrong type, with the deserializer's message.
    Invalid(String),
    /// The field has this value.
    Present(T),
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Field<T> {
    // Only sound for deserializers of values that are already in memory: a failure leaves their position intact.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(match Option::<T>::deserialize(deserializer) {
            Ok(Some(value)) => Self::Present(value),
            Ok(None) => Self::Absent,
            Err(error) => Self::Invalid(error.to_string()),
        })
    }
}
