//! Validates a parsed document against a [`Shape`] and collects every fault.

use std::net::SocketAddr;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};

use super::shape::{Fallback, Field, Shape};

/// Maximum edit distance at which a fault suggests a known key for an unknown one.
const MAX_EDIT_DISTANCE: usize = 3;

/// Maximum length of a found value in a fault, in characters; the rest is cut off.
const MAX_FOUND_CHARS: usize = 40;

/// A fault with its byte offset in the text.
#[derive(Debug)]
pub(super) struct OffsetFault {
    pub(super) offset: usize,
    pub(super) path: String,
    pub(super) reason: String,
}

/// All faults in `value`, in the order in which they were found.
pub(super) fn faults(value: &Value<'_>, shape: &Shape) -> Vec<OffsetFault> {
    let mut checker = Checker { faults: Vec::new() };
    checker.check_value("", value, shape);
    checker.faults
}

/// Byte offset of the value at `path`, or of its innermost enclosing object that exists.
pub(super) fn offset_of(value: &Value<'_>, path: &str) -> usize {
    let mut at = value;
    let mut rest = path;
    while let Some(object) = at.as_object() {
        let is_prefix = |prop: &&ObjectProp<'_>| {
            let tail = rest.strip_prefix(prop.name.as_str());
            tail.is_some_and(|tail| tail.is_empty() || tail.starts_with('.'))
        };
        let matching = object.properties.iter().filter(is_prefix);
        let Some(prop) = matching.max_by_key(|prop| prop.name.as_str().len()) else {
            break;
        };
        rest = rest[prop.name.as_str().len()..].trim_start_matches('.');
        at = &prop.value;
    }
    at.range().start
}

struct Checker {
    faults: Vec<OffsetFault>,
}

impl Checker {
    fn push(&mut self, range: Range, path: &str, reason: String) {
        self.faults.push(OffsetFault {
            offset: range.start,
            path: path.to_owned(),
            reason,
        });
    }

    fn check_value(&mut self, path: &str, value: &Value<'_>, shape: &Shape) {
        match (shape, value) {
            (Shape::Object(fields), Value::Object(object)) => {
                self.check_object(path, object, fields)
            }
            (Shape::Map(inner), Value::Object(object)) => self.check_map(path, object, inner),
            (Shape::List(inner), Value::Array(array)) => {
                for (index, element) in array.elements.iter().enumerate() {
                    self.check_value(&format!("{path}[{index}]"), element, inner);
                }
            }
            _ if scalar_fits(shape, value) => {}
            _ => {
                let reason = format!("found {}, allowed is {}", describe(value), shape.allowed());
                self.push(value.range(), path, reason);
            }
        }
    }

    fn check_object(&mut self, path: &str, object: &Object<'_>, fields: &[Field]) {
        self.check_duplicates(path, object);
        for prop in &object.properties {
            let key = prop.name.as_str();
            let inner = join_path(path, key);
            match fields.iter().find(|field| field.key == key) {
                Some(field) => self.check_value(&inner, &prop.value, &field.shape),
                None => self.push(prop.range, &inner, unknown_key(key, fields)),
            }
        }
        for field in fields {
            if field.fallback == Fallback::Required && object.get(field.key).is_none() {
                let reason = format!("is missing, allowed is {}", field.shape.allowed());
                self.push(object.range, &join_path(path, field.key), reason);
            }
        }
    }

    fn check_map(&mut self, path: &str, object: &Object<'_>, inner: &Shape) {
        self.check_duplicates(path, object);
        for prop in &object.properties {
            let key = prop.name.as_str();
            let path = join_path(path, key);
            if !is_name(key) {
                let reason = format!(
                    "found the key {key:?}, allowed is {}",
                    Shape::Name.allowed()
                );
                self.push(prop.range, &path, reason);
            }
            self.check_value(&path, &prop.value, inner);
        }
    }

    fn check_duplicates(&mut self, path: &str, object: &Object<'_>) {
        for (index, prop) in object.properties.iter().enumerate() {
            let key = prop.name.as_str();
            let earlier = &object.properties[..index];
            if earlier.iter().any(|other| other.name.as_str() == key) {
                self.push(prop.range, &join_path(path, key), "stands twice".to_owned());
            }
        }
    }
}

fn scalar_fits(shape: &Shape, value: &Value<'_>) -> bool {
    match (shape, value) {
        (Shape::Text, Value::StringLit(text)) => !text.value.is_empty(),
        (Shape::Name, Value::StringLit(text)) => is_name(&text.value),
        (Shape::Address, Value::StringLit(text)) => text.value.parse::<SocketAddr>().is_ok(),
        (Shape::Choice(words), Value::StringLit(text)) => words.contains(&text.value.as_ref()),
        (Shape::Flag, Value::BooleanLit(_)) => true,
        (Shape::Integer { min, max }, Value::NumberLit(number)) => number
            .value
            .parse::<u64>()
            .is_ok_and(|number| (*min..=*max).contains(&number)),
        (Shape::Number { min, max }, Value::NumberLit(number)) => number
            .value
            .parse::<f64>()
            .is_ok_and(|number| (*min..=*max).contains(&number)),
        _ => false,
    }
}

/// True if `text` is a name: lower-case letters, digits and hyphens, which must not be at an end.
pub(super) fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !text.is_empty() && text.bytes().all(allowed) && !text.starts_with('-') && !text.ends_with('-')
}

fn describe(value: &Value<'_>) -> String {
    let text = match value {
        Value::StringLit(text) => format!("{:?}", text.value),
        Value::NumberLit(number) => number.value.to_owned(),
        Value::BooleanLit(flag) => flag.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    };
    if text.chars().count() <= MAX_FOUND_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_FOUND_CHARS).collect();
    format!("{start}...")
}

fn unknown_key(key: &str, fields: &[Field]) -> String {
    let distance = |field: &Field| strsim::damerau_levenshtein(key, field.key);
    let nearest = fields.iter().min_by_key(|field| distance(field));
    match nearest {
        Some(field) if distance(field) <= MAX_EDIT_DISTANCE => {
            format!("is not a known key, the nearest is {:?}", field.key)
        }
        _ => {
            let known: Vec<&str> = fields.iter().map(|field| field.key).collect();
            format!("is not a known key, known are {}", known.join(", "))
        }
    }
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}
