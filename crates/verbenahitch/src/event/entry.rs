//! One log entry.

use serde::Serialize;
use serde_json::{Map, Value};

use super::Kind;

/// An event with its fields, written to the log or returned to the caller.
#[derive(Clone, Debug, PartialEq)]
#[must_use = "an entry is lost unless it is emitted or returned"]
pub struct Entry {
    kind: Kind,
    fields: Map<String, Value>,
}

impl Entry {
    /// Creates an entry without fields.
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            fields: Map::new(),
        }
    }

    /// Adds a field; a value that has no JSON form is written as null.
    pub fn with(mut self, name: &str, value: impl Serialize) -> Self {
        let value = serde_json::to_value(value).unwrap_or(Value::Null);
        self.fields.insert(name.to_owned(), value);
        self
    }

    /// Adds a field with the text that `Display` gives.
    pub fn with_text(self, name: &str, value: impl ToString) -> Self {
        self.with(name, value.to_string())
    }

    /// Kind of the event.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Value of a field.
    pub fn field(&self, name: &str) -> Option<&Value> {
        self.fields.get(name)
    }

    /// Entry as one line of JSON, without the time.
    pub fn to_json(&self) -> String {
        let mut line = Map::new();
        line.insert("event".to_owned(), self.kind.number().into());
        line.insert("name".to_owned(), self.kind.name().into());
        line.extend(self.fields.clone());
        Value::Object(line).to_string()
    }

    /// Writes the entry to the log, if its level is enabled.
    pub fn emit(&self) {
        if log::log_enabled!(target: "event", self.kind.level()) {
            log::log!(target: "event", self.kind.level(), "{}", self.to_json());
        }
    }
}
