//! Shapes of documents: which keys there are and what each may hold.

/// What a value may be.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// Text that is not empty.
    Text,
    /// A lower-case name: letters, digits and inner hyphens.
    Name,
    /// Whole number in a range.
    Integer {
        /// Least value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// Number in a range.
    Number {
        /// Least value.
        min: f64,
        /// Largest value.
        max: f64,
    },
    /// `true` or `false`.
    Flag,
    /// `ip:port`.
    Address,
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// Object with known keys.
    Object(&'static [Field]),
    /// Object whose keys are names.
    Map(&'static Shape),
    /// List.
    List(&'static Shape),
}

/// One key of an object.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Key.
    pub key: &'static str,
    /// What it may hold.
    pub shape: Shape,
    /// Value in JSON if the key is absent.
    pub fallback: Fallback,
    /// Meaning, in a short phrase.
    pub meaning: &'static str,
}

/// What holds if a key is absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// The key may not be absent.
    Required,
    /// Nothing is set.
    Unset,
    /// This JSON value.
    Value(&'static str),
}

impl Field {
    /// Creates a key that may not be absent.
    pub const fn required(key: &'static str, shape: Shape, meaning: &'static str) -> Self {
        Self {
            key,
            shape,
            fallback: Fallback::Required,
            meaning,
        }
    }

    /// Creates a key that may be absent; `fallback` is the JSON value that holds then.
    pub const fn or(
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

    /// Creates a key that may be absent and then sets nothing.
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
    /// What is allowed, in words.
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
