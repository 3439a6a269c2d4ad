//! Fields that are read one by one, so that what is wrong with several of them is told together.

use crate::{Finding, Findings};
use serde::de::{Deserialize, Deserializer, Error, Unexpected, Visitor};
use std::fmt;

/// A field of a document: absent or null, of a wrong form, or read.
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

/// A number that is not negative; a fraction such as 60.0 is a number like any other.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Number {
    Whole(u64),
    Fraction(f64),
}

impl Number {
    /// As a whole number: fractions are rounded up, what is too large becomes the largest.
    pub(crate) fn rounded_up(self) -> u64 {
        match self {
            Self::Whole(number) => number,
            Self::Fraction(number) => number.ceil() as u64,
        }
    }

    /// As a whole number of 32 bits.
    pub(crate) fn rounded_up_u32(self) -> u32 {
        u32::try_from(self.rounded_up()).unwrap_or(u32::MAX)
    }

    /// As a whole number, if it is exactly one.
    pub(crate) fn exact(self) -> Option<u64> {
        match self {
            Self::Whole(number) => Some(number),
            Self::Fraction(number) if number.fract() == 0.0 && number < 2_f64.powi(64) => Some(number as u64),
            Self::Fraction(_) => None,
        }
    }

    /// As a fraction.
    pub(crate) fn as_f64(self) -> f64 {
        match self {
            Self::Whole(number) => number as f64,
            Self::Fraction(number) => number,
        }
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
                Ok(Number::Whole(number))
            }

            fn visit_i64<E: Error>(self, number: i64) -> Result<Number, E> {
                match u64::try_from(number) {
                    Ok(number) => Ok(Number::Whole(number)),
                    Err(_) => Err(E::invalid_value(Unexpected::Signed(number), &self)),
                }
            }

            fn visit_f64<E: Error>(self, number: f64) -> Result<Number, E> {
                if number >= 0.0 {
                    Ok(Number::Fraction(number))
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

impl Findings {
    /// Adds a finding.
    pub(crate) fn add(&mut self, place: String, what: impl Into<String>) {
        self.0.push(Finding { place, what: what.into() });
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
}
