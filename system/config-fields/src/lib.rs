//! Fields of a document that are read one by one, so that what is wrong with several of them is told together rather
//! than one at a time.
//!
//! A form is a struct of [`Field`]s; deserializing it does not fail for a field of a wrong form. The fields' values are
//! then taken out through [`CollectFindings`], which notes the place of each one that is missing or wrong.

mod findings;
mod number;

pub use findings::{CollectFindings, field_path};
pub use number::Number;

use serde::de::{Deserialize, Deserializer};

/// A field of a document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Field<T> {
    /// It is not there, or null.
    #[default]
    Absent,
    /// It has a wrong form, for this reason.
    Wrong(String),
    /// It was read.
    Read(T),
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Field<T> {
    // Only sound for deserializers of values that are already in memory: a failure leaves their position intact.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(match Option::<T>::deserialize(deserializer) {
            Ok(Some(value)) => Self::Read(value),
            Ok(None) => Self::Absent,
            Err(error) => Self::Wrong(error.to_string()),
        })
    }
}
