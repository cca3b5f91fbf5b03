//! The way of one request or task through the logs of several processes.

use serde_json::{Map, Value};

use super::Kind;
use crate::domain::Millis;

/// First and last number of the events about owners and the store, which explain
/// what happens to any request.
const CONTEXT: std::ops::Range<u16> = 300..400;

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
struct Line {
    /// Wall-clock time, Unix milliseconds.
    time: Millis,
    /// Process that wrote it.
    process: String,
    /// Fields of an event, none for free text.
    fields: Map<String, Value>,
    /// Free text, empty for an event.
    text: String,
}

impl Line {
    /// Reads a line; what stands before its first brace is left out.
    ///
    /// None is returned for what is not a line of a log.
    fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let value: Value = serde_json::from_str(text[start..].trim_end()).ok()?;
        let text = |name: &str| value[name].as_str().unwrap_or_default().to_owned();
        Some(Self {
            time: value["time"].as_u64()?,
            process: text("process"),
            fields: value["entry"].as_object().cloned().unwrap_or_default(),
            text: text("text"),
        })
    }

    /// Whether it names `id`, or something that belongs to it.
    fn names(&self, id: &str) -> bool {
        let fields = self.fields.values().filter_map(Value::as_str);
        let mut texts = fields.chain([self.text.as_str()]);
        texts.any(|text| text.split(|c| !is_part(c)).any(|word| belongs(word, id)))
    }

    fn is_context(&self) -> bool {
        let number = self.fields.get("event").and_then(Value::as_u64);
        number.is_some_and(|number| u16::try_from(number).is_ok_and(|n| CONTEXT.contains(&n)))
    }

    /// In words, with the time since `start`.
    fn describe(&self, start: Millis) -> String {
        let name = self.fields.get("name").and_then(Value::as_str);
        let kind = Kind::ALL.iter().find(|kind| Some(kind.name()) == name);
        let words = kind.map_or(self.text.as_str(), |kind| kind.summary());
        let fields = self
            .fields
            .iter()
            .filter(|(key, value)| !matches!(key.as_str(), "event" | "name") && !value.is_null());
        let fields: Vec<String> = fields
            .map(|(key, value)| match value {
                Value::String(text) => format!("{key}={text}"),
                other => format!("{key}={other}"),
            })
            .collect();
        let since = self.time.saturating_sub(start);
        let line = format!(
            "{since:>8} ms  {}  {words}  {}",
            self.process,
            fields.join(" ")
        );
        line.trim_end().to_owned()
    }
}

/// Characters of identifiers and of what stands behind them in a task's name.
fn is_part(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '-' || c == '.'
}

fn belongs(word: &str, id: &str) -> bool {
    let rest = word.strip_prefix(id);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

/// What was found of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// Its lines in order of time, in words, with those about owners and the store
    /// meanwhile.
    pub lines: Vec<String>,
    /// Lines that are not lines of a log.
    pub foreign: usize,
}

/// Finds the lines about `id`, a job or a task, in the logs.
pub fn trace<'a>(id: &str, logs: impl Iterator<Item = &'a str>) -> Trace {
    let mut foreign = 0;
    let mut lines: Vec<Line> = Vec::new();
    for text in logs.filter(|text| !text.trim().is_empty()) {
        match Line::parse(text) {
            Some(line) if line.is_context() || line.names(id) => lines.push(line),
            Some(_) => {}
            None => foreign += 1,
        }
    }
    lines.sort_by_key(|line| line.time);
    let first = lines.iter().position(|line| line.names(id));
    let last = lines.iter().rposition(|line| line.names(id));
    let found = match (first, last) {
        (Some(first), Some(last)) => &lines[first..=last],
        _ => &[],
    };
    let start = found.first().map_or(0, |line| line.time);
    Trace {
        lines: found.iter().map(|line| line.describe(start)).collect(),
        foreign,
    }
}
