//! Non-negative numbers that may be written as an integer or with a fraction.

use serde::de::{Deserialize, Deserializer, Error, Unexpected, Visitor};
use std::fmt;

/// A non-negative number. Documents may write an integer as a float, such as 60.0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Number {
    /// Written as an integer.
    Integer(u64),
    /// Written as a float.
    Float(f64),
}

impl Number {
    /// The number as an integer: fractions are rounded up, values that are too large saturate.
    pub fn rounded_up(self) -> u64 {
        match self {
            Self::Integer(number) => number,
            Self::Float(number) => number.ceil() as u64,
        }
    }

    /// Like [`Number::rounded_up`], with 32 bits.
    pub fn rounded_up_u32(self) -> u32 {
        u32::try_from(self.rounded_up()).unwrap_or(u32::MAX)
    }

    /// The number as an integer, if it is exactly one.
    pub fn exact(self) -> Option<u64> {
        match self {
            Self::Integer(number) => Some(number),
            Self::Float(number) if number.fract() == 0.0 && number < 2_f64.powi(64) => Some(number as u64),
            Self::Float(_) => None,
        }
    }

    /// The number as a float; integers above 2^53 lose precision.
    pub fn as_f64(self) -> f64 {
        match self {
            Self::Integer(number) => number as f64,
            Self::Float(number) => number,
        }
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NumberVisitor)
    }
}

struct NumberVisitor;

impl Visitor<'_> for NumberVisitor {
    type Value = Number;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number of at least 0")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Number, E> {
        Ok(Number::Integer(number))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<Number, E> {
        match u64::try_from(number) {
            Ok(number) => Ok(Number::Integer(number)),
            Err(_) => Err(E::invalid_value(Unexpected::Signed(number), &self)),
        }
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<Number, E> {
        if number >= 0.0 {
            Ok(Number::Float(number))
        } else {
            Err(E::invalid_value(Unexpected::Float(number), &self))
        }
    }
}
