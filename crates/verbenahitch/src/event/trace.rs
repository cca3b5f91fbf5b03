//! Log lines about one job or task, collected from the logs of several processes.

use serde_json::{Map, Value};

use super::Kind;
use crate::domain::Millis;

/// Numbers of the events about ownership, the store and permits, the 300s of [`Kind`].
/// They can affect any job and are shown with it if they fall between its first and last
/// line.
const CONTEXT_EVENTS: std::ops::Range<u16> = 300..400;

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
struct Line {
    /// Wall-clock time, Unix milliseconds.
    time: Millis,
    /// Process that wrote the line.
    process: String,
    /// Fields of an event, empty for free text.
    fields: Map<String, Value>,
    /// Free text, empty for an event.
    text: String,
}

impl Line {
    /// Parses a line; text before the first brace is ignored.
    ///
    /// Returns `None` if it is not a log line.
    fn parse(text: &str) -> Option<Self> {
        let brace = text.find('{')?;
        let value: Value = serde_json::from_str(text[brace..].trim_end()).ok()?;
        let string_field = |name: &str| value[name].as_str().unwrap_or_default().to_owned();
        Some(Self {
            time: value["time"].as_u64()?,
            process: string_field("process"),
            fields: value["entry"].as_object().cloned().unwrap_or_default(),
            text: string_field("text"),
        })
    }

    /// Returns whether a field or the text contains `id` or, for a job, the name of one of
    /// its tasks.
    fn mentions(&self, id: &str) -> bool {
        let fields = self.fields.values().filter_map(Value::as_str);
        let mut texts = fields.chain([self.text.as_str()]);
        texts.any(|text| {
            text.split(|c| !is_id_char(c))
                .any(|word| belongs_to(word, id))
        })
    }

    fn is_context(&self) -> bool {
        let number = self.fields.get("event").and_then(Value::as_u64);
        number
            .is_some_and(|number| u16::try_from(number).is_ok_and(|n| CONTEXT_EVENTS.contains(&n)))
    }

    /// The line as text, with the time since `start`.
    fn describe(&self, start: Millis) -> String {
        let name = self.fields.get("name").and_then(Value::as_str);
        let kind = Kind::ALL.iter().find(|kind| Some(kind.name()) == name);
        let summary = kind.map_or(self.text.as_str(), |kind| kind.summary());
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
            "{since:>8} ms  {}  {summary}  {}",
            self.process,
            fields.join(" ")
        );
        line.trim_end().to_owned()
    }
}

/// Returns whether `c` may occur in a job ID or a task name.
fn is_id_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '-' || c == '.'
}

/// Returns whether `word` is `id`, or `id` followed by a dot and more, as in a task name.
fn belongs_to(word: &str, id: &str) -> bool {
    let rest = word.strip_prefix(id);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

/// Log lines about one job or task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogTrace {
    /// The lines about the job or task, formatted and ordered by time, together with the
    /// events about ownership, the store and permits between its first and last line.
    pub lines: Vec<String>,
    /// Number of non-blank lines that could not be parsed.
    pub unparsed: usize,
}

/// Collects the lines about `id`, a job or a task, from the logs.
pub fn trace<'a>(id: &str, logs: impl Iterator<Item = &'a str>) -> LogTrace {
    let mut unparsed = 0;
    let mut lines: Vec<Line> = Vec::new();
    for text in logs.filter(|text| !text.trim().is_empty()) {
        match Line::parse(text) {
            Some(line) if line.is_context() || line.mentions(id) => lines.push(line),
            Some(_) => {}
            None => unparsed += 1,
        }
    }
    lines.sort_by_key(|line| line.time);
    let first = lines.iter().position(|line| line.mentions(id));
    let last = lines.iter().rposition(|line| line.mentions(id));
    let found = match (first, last) {
        (Some(first), Some(last)) => &lines[first..=last],
        _ => &[],
    };
    let start = found.first().map_or(0, |line| line.time);
    LogTrace {
        lines: found.iter().map(|line| line.describe(start)).collect(),
        unparsed,
    }
}
