//! Differences between two revisions of the declarations.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::Value;

use super::Declarations;

/// One key whose value differs.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Path of the key, such as `profiles.quote.worth`.
    pub path: String,
    /// Value before the change; `None` if the key was absent.
    pub before: Option<Value>,
    /// Value after the change; `None` if the key is absent.
    pub after: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {path}: {before} -> {after}"),
            (Some(before), None) => write!(f, "- {path}: {before}"),
            (None, Some(after)) => write!(f, "+ {path}: {after}"),
            (None, None) => write!(f, "  {path}"),
        }
    }
}

/// Keys whose values differ between `before` and `after`, except the revision and the write ID.
pub fn diff(before: &Declarations, after: &Declarations) -> Vec<Change> {
    let (before, after) = (leaves(before), leaves(after));
    let mut paths: Vec<&String> = before.keys().chain(after.keys()).collect();
    paths.sort_unstable();
    paths.dedup();
    paths
        .into_iter()
        .filter(|path| before.get(*path) != after.get(*path))
        .map(|path| Change {
            path: path.clone(),
            before: before.get(path).cloned(),
            after: after.get(path).cloned(),
        })
        .collect()
}

fn leaves(declarations: &Declarations) -> BTreeMap<String, Value> {
    let value = serde_json::to_value(declarations).unwrap_or(Value::Null);
    let mut leaves = BTreeMap::new();
    collect_leaves("", &value, &mut leaves);
    leaves.remove("revision");
    leaves.remove("write-id");
    leaves
}

fn collect_leaves(path: &str, value: &Value, leaves: &mut BTreeMap<String, Value>) {
    let Value::Object(object) = value else {
        leaves.insert(path.to_owned(), value.clone());
        return;
    };
    for (key, inner) in object {
        let path = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        collect_leaves(&path, inner, leaves);
    }
}
