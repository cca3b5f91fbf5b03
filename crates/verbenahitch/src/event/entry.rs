//! One log entry.

use serde::ser::{Serialize, SerializeMap, Serializer};
use serde_json::Value;

use super::Kind;

/// Number of fields of most entries, with the number and the name of the kind.
const FIELDS: usize = 12;

/// An event with its fields, written to the log or returned to the caller.
#[derive(Clone, Debug, PartialEq)]
#[must_use = "an entry is lost unless it is emitted or returned"]
pub struct Entry {
    kind: Kind,
    /// Sorted by name.
    fields: Vec<(&'static str, Value)>,
}

impl Serialize for Entry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(self.fields.len()))?;
        for (name, value) in &self.fields {
            map.serialize_entry(name, value)?;
        }
        map.end()
    }
}

impl Entry {
    /// Creates an entry with the number and the name of its kind as the only fields.
    pub fn new(kind: Kind) -> Self {
        let fields = Vec::with_capacity(FIELDS);
        let entry = Self { kind, fields };
        entry.with("event", kind.number()).with("name", kind.name())
    }

    /// Adds a field; a value that has no JSON form is written as null.
    pub fn with(mut self, name: &'static str, value: impl Serialize) -> Self {
        let value = serde_json::to_value(value).unwrap_or(Value::Null);
        match self.fields.binary_search_by_key(&name, |(other, _)| other) {
            Ok(at) => self.fields[at].1 = value,
            Err(at) => self.fields.insert(at, (name, value)),
        }
        self
    }

    /// Adds a field with the text that `Display` gives.
    pub fn with_text(self, name: &'static str, value: impl ToString) -> Self {
        self.with(name, value.to_string())
    }

    /// Kind of the event.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Value of a field.
    pub fn field(&self, name: &str) -> Option<&Value> {
        let found = self.fields.iter().find(|(other, _)| *other == name);
        found.map(|(_, value)| value)
    }

    /// Entry as one line of JSON, without the time.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("JSON values can be written")
    }

    /// Writes the entry to the log, if its level is enabled.
    pub fn emit(&self) {
        if log::log_enabled!(target: "event", self.kind.level()) {
            log::log!(target: "event", self.kind.level(), "{}", self.to_json());
        }
    }
}
