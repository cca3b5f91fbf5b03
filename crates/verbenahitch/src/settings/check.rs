//! Checks a parsed document against a [`Shape`] and collects every fault.

use std::net::SocketAddr;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};

use super::shape::{Fallback, Field, Shape};

/// Largest distance in edits at which a known key is named as the nearest.
const NEAREST_EDITS: usize = 3;

/// Longest part of a found value that a fault repeats, in characters.
const FOUND_CHARS: usize = 40;

/// A fault with its place in the text.
#[derive(Debug)]
pub(super) struct Placed {
    pub(super) offset: usize,
    pub(super) path: String,
    pub(super) reason: String,
}

/// All faults of `value`, in the order in which they were found.
pub(super) fn faults(value: &Value<'_>, shape: &Shape) -> Vec<Placed> {
    let mut checker = Checker { faults: Vec::new() };
    checker.value("", value, shape);
    checker.faults
}

/// Byte offset of the value at `path`, or of the nearest object above it.
pub(super) fn offset_of(value: &Value<'_>, path: &str) -> usize {
    let mut at = value;
    let mut rest = path;
    while let Some(object) = at.as_object() {
        let covers = |prop: &&ObjectProp<'_>| {
            let tail = rest.strip_prefix(prop.name.as_str());
            tail.is_some_and(|tail| tail.is_empty() || tail.starts_with('.'))
        };
        let longest = object.properties.iter().filter(covers);
        let Some(prop) = longest.max_by_key(|prop| prop.name.as_str().len()) else {
            break;
        };
        rest = rest[prop.name.as_str().len()..].trim_start_matches('.');
        at = &prop.value;
    }
    at.range().start
}

struct Checker {
    faults: Vec<Placed>,
}

impl Checker {
    fn push(&mut self, range: Range, path: &str, reason: String) {
        self.faults.push(Placed {
            offset: range.start,
            path: path.to_owned(),
            reason,
        });
    }

    fn value(&mut self, path: &str, value: &Value<'_>, shape: &Shape) {
        match (shape, value) {
            (Shape::Object(fields), Value::Object(object)) => self.object(path, object, fields),
            (Shape::Map(inner), Value::Object(object)) => self.map(path, object, inner),
            (Shape::List(inner), Value::Array(array)) => {
                for (index, element) in array.elements.iter().enumerate() {
                    self.value(&format!("{path}[{index}]"), element, inner);
                }
            }
            _ if scalar_fits(shape, value) => {}
            _ => {
                let reason = format!("found {}, allowed is {}", found(value), shape.allowed());
                self.push(value.range(), path, reason);
            }
        }
    }

    fn object(&mut self, path: &str, object: &Object<'_>, fields: &[Field]) {
        self.twice(path, object);
        for prop in &object.properties {
            let key = prop.name.as_str();
            let inner = join(path, key);
            match fields.iter().find(|field| field.key == key) {
                Some(field) => self.value(&inner, &prop.value, &field.shape),
                None => self.push(prop.range, &inner, unknown(key, fields)),
            }
        }
        for field in fields {
            if field.fallback == Fallback::Required && object.get(field.key).is_none() {
                let reason = format!("is missing, allowed is {}", field.shape.allowed());
                self.push(object.range, &join(path, field.key), reason);
            }
        }
    }

    fn map(&mut self, path: &str, object: &Object<'_>, inner: &Shape) {
        self.twice(path, object);
        for prop in &object.properties {
            let key = prop.name.as_str();
            let path = join(path, key);
            if !is_name(key) {
                let reason = format!(
                    "found the key {key:?}, allowed is {}",
                    Shape::Name.allowed()
                );
                self.push(prop.range, &path, reason);
            }
            self.value(&path, &prop.value, inner);
        }
    }

    fn twice(&mut self, path: &str, object: &Object<'_>) {
        for (index, prop) in object.properties.iter().enumerate() {
            let key = prop.name.as_str();
            let earlier = &object.properties[..index];
            if earlier.iter().any(|other| other.name.as_str() == key) {
                self.push(prop.range, &join(path, key), "stands twice".to_owned());
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

/// Whether `text` is a name: lower-case letters, digits and inner hyphens.
pub(super) fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !text.is_empty() && text.bytes().all(allowed) && !text.starts_with('-') && !text.ends_with('-')
}

fn found(value: &Value<'_>) -> String {
    let text = match value {
        Value::StringLit(text) => format!("{:?}", text.value),
        Value::NumberLit(number) => number.value.to_owned(),
        Value::BooleanLit(flag) => flag.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    };
    if text.chars().count() <= FOUND_CHARS {
        return text;
    }
    let start: String = text.chars().take(FOUND_CHARS).collect();
    format!("{start}...")
}

fn unknown(key: &str, fields: &[Field]) -> String {
    let distance = |field: &Field| strsim::damerau_levenshtein(key, field.key);
    let nearest = fields.iter().min_by_key(|field| distance(field));
    match nearest {
        Some(field) if distance(field) <= NEAREST_EDITS => {
            format!("is not a known key, the nearest is {:?}", field.key)
        }
        _ => {
            let known: Vec<&str> = fields.iter().map(|field| field.key).collect();
            format!("is not a known key, known are {}", known.join(", "))
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}
