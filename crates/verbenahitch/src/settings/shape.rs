//! Shapes of documents: the allowed keys and values, with their defaults and meanings.

/// Constraint on a value.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// Non-empty text.
    Text,
    /// Name of lower-case letters, digits and hyphens, which must not be at an end.
    Name,
    /// Whole number in a range.
    Integer {
        /// Minimum, inclusive.
        min: u64,
        /// Maximum, inclusive.
        max: u64,
    },
    /// Number in a range.
    Number {
        /// Minimum, inclusive.
        min: f64,
        /// Maximum, inclusive.
        max: f64,
    },
    /// `true` or `false`.
    Flag,
    /// Socket address as `ip:port`.
    Address,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// Object that may have only these keys.
    Object(&'static [Field]),
    /// Object with names as keys and values of one shape.
    Map(&'static Shape),
    /// List of values of one shape.
    List(&'static Shape),
}

/// One key of an object.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Key.
    pub key: &'static str,
    /// Constraint on its value.
    pub shape: Shape,
    /// What applies if the key is absent.
    pub fallback: Fallback,
    /// Meaning, in a short phrase.
    pub meaning: &'static str,
}

/// What applies if a key is absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// The key is required.
    Required,
    /// The key is optional and has no default.
    Unset,
    /// The key is optional; this JSON value is the default.
    Value(&'static str),
}

impl Field {
    /// Creates a required key.
    pub const fn required(key: &'static str, shape: Shape, meaning: &'static str) -> Self {
        Self {
            key,
            shape,
            fallback: Fallback::Required,
            meaning,
        }
    }

    /// Creates an optional key with the JSON value `fallback` as its default.
    pub const fn with_default(
        key: &'static str,
        shape: Shape,
        fallback: &'static str,
        meaning: &'static str,
    ) -> Self {
        Self {
            key,
            shape,
            fallback: Fallback::Value(fallback),
            meaning,
        }
    }

    /// Creates an optional key without a default.
    pub const fn optional(key: &'static str, shape: Shape, meaning: &'static str) -> Self {
        Self {
            key,
            shape,
            fallback: Fallback::Unset,
            meaning,
        }
    }
}

impl Shape {
    /// Text that describes the allowed values.
    pub fn allowed(&self) -> String {
        match self {
            Self::Text => "text that is not empty".to_owned(),
            Self::Name => "a name of lower-case letters, digits and inner hyphens".to_owned(),
            Self::Integer { min, max } => format!("a whole number from {min} to {max}"),
            Self::Number { min, max } => format!("a number from {min:?} to {max:?}"),
            Self::Flag => "true or false".to_owned(),
            Self::Address => "an address as ip:port".to_owned(),
            Self::Choice(words) => format!("one of {}", words.join(", ")),
            Self::Object(_) | Self::Map(_) => "an object".to_owned(),
            Self::List(_) => "a list".to_owned(),
        }
    }
}
