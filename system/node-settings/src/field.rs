//! Fields that are read one by one, so that what is wrong with several of them is told together.

use crate::Finding;
use serde::de::{Deserialize, Deserializer, Error, Unexpected, Visitor};
use std::fmt;

/// A field of the file: absent or null, of a wrong form, or read.
#[derive(Default)]
pub(crate) enum Field<T> {
    #[default]
    Absent,
    Wrong(String),
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

/// A number that is not negative, whole or a fraction.
#[derive(Clone, Copy)]
pub(crate) struct Number(f64);

impl Number {
    pub(crate) fn as_f64(self) -> f64 {
        self.0
    }

    /// As a whole number: fractions are rounded up, what is too large becomes the largest.
    pub(crate) fn rounded_up(self) -> u64 {
        self.0.ceil() as u64
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct NumberVisitor;
        impl Visitor<'_> for NumberVisitor {
            type Value = Number;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("a number of at least 0")
            }

            fn visit_u64<E: Error>(self, number: u64) -> Result<Number, E> {
                Ok(Number(number as f64))
            }

            fn visit_i64<E: Error>(self, number: i64) -> Result<Number, E> {
                let number =
                    u64::try_from(number).map_err(|_| E::invalid_value(Unexpected::Signed(number), &self))?;
                Ok(Number(number as f64))
            }

            fn visit_f64<E: Error>(self, number: f64) -> Result<Number, E> {
                if number >= 0.0 {
                    Ok(Number(number))
                } else {
                    Err(E::invalid_value(Unexpected::Float(number), &self))
                }
            }
        }
        deserializer.deserialize_any(NumberVisitor)
    }
}

/// A place within `base`.
pub(crate) fn within(base: &str, name: &str) -> String {
    if base.is_empty() { name.to_owned() } else { format!("{base}.{name}") }
}

/// What is wrong so far.
#[derive(Default)]
pub(crate) struct Findings(pub(crate) Vec<Finding>);

impl Findings {
    pub(crate) fn add(&mut self, field: String, what: impl Into<String>) {
        self.0.push(Finding { field, what: what.into() });
    }

    /// The field's value, or `None` if it is absent or wrong, the latter with a finding.
    pub(crate) fn optional<T>(&mut self, base: &str, name: &str, field: Field<T>) -> Option<T> {
        match field {
            Field::Read(value) => Some(value),
            Field::Absent => None,
            Field::Wrong(what) => {
                self.add(within(base, name), what);
                None
            }
        }
    }

    /// The field's value, or `None` with a finding.
    pub(crate) fn required<T>(&mut self, base: &str, name: &str, field: Field<T>) -> Option<T> {
        if matches!(field, Field::Absent) {
            self.add(within(base, name), "is missing");
        }
        self.optional(base, name, field)
    }

    /// The values of a list; empty if it is absent.
    pub(crate) fn list<T>(&mut self, base: &str, name: &str, field: Field<Vec<Field<T>>>) -> Vec<T> {
        let items = self.optional(base, name, field).unwrap_or_default();
        let items = items.into_iter().enumerate();
        items.filter_map(|(index, item)| self.required(base, &format!("{name}[{index}]"), item)).collect()
    }
}
