//! Differences between documents.

use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::Document;

/// A value that differs between two documents.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Path of the value; list entries are identified by name, as in
    /// `services[archive].targets[a01]`.
    pub path: String,
    /// The value in the first document; `None` if absent there.
    pub before: Option<Value>,
    /// The value in the second document; `None` if absent there.
    pub after: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (None, Some(after)) => write!(f, "+ {}: {after}", self.path),
            (Some(before), None) => write!(f, "- {}: {before}", self.path),
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.path),
            (None, None) => write!(f, "= {}", self.path),
        }
    }
}

/// Lists the differences from `before` to `after`.
///
/// In each mapping, and in each list of named entries (regions, data centres, services, targets),
/// changed and removed names come first, then added names, both in alphabetical order. The order
/// in which the documents list named entries is ignored.
///
/// # Panics
///
/// Never panics in practice: every document can be represented as JSON.
#[must_use]
pub fn diff(before: &Document, after: &Document) -> Vec<Difference> {
    let to_json = |it| serde_json::to_value(it).expect("a document can be represented as JSON");
    let mut differences = Vec::new();
    compare("", &to_json(before), &to_json(after), &mut differences);
    differences
}

fn compare(path: &str, before: &Value, after: &Value, found: &mut Vec<Difference>) {
    match (before, after) {
        (Value::Object(before), Value::Object(after)) => compare_fields(path, before, after, found),
        (Value::Array(before), Value::Array(after)) if has_names(before) && has_names(after) => {
            compare_entries(path, before, after, found);
        }
        _ if before == after => {}
        _ => found.push(Difference {
            path: path.to_owned(),
            before: Some(before.clone()),
            after: Some(after.clone()),
        }),
    }
}

fn compare_fields(
    path: &str,
    before: &Map<String, Value>,
    after: &Map<String, Value>,
    found: &mut Vec<Difference>,
) {
    let child_path = |name: &str| match path {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    };
    for (name, value) in before {
        compare_optional(child_path(name), Some(value), after.get(name), found);
    }
    for (name, value) in after {
        if !before.contains_key(name) {
            compare_optional(child_path(name), None, Some(value), found);
        }
    }
}

fn compare_entries(path: &str, before: &[Value], after: &[Value], found: &mut Vec<Difference>) {
    let by_name = |list| -> Map<String, Value> {
        let entries: &[Value] = list;
        let named = entries.iter().filter_map(|it| Some((entry_name(it)?, it)));
        named
            .map(|(name, it)| (name.to_owned(), it.clone()))
            .collect()
    };
    let (before, after) = (by_name(before), by_name(after));
    for (name, value) in &before {
        compare_optional(
            format!("{path}[{name}]"),
            Some(value),
            after.get(name),
            found,
        );
    }
    for (name, value) in &after {
        if !before.contains_key(name) {
            compare_optional(format!("{path}[{name}]"), None, Some(value), found);
        }
    }
}

fn compare_optional(
    path: String,
    before: Option<&Value>,
    after: Option<&Value>,
    found: &mut Vec<Difference>,
) {
    if let (Some(before), Some(after)) = (before, after) {
        compare(&path, before, after, found);
        return;
    }
    found.push(Difference {
        path,
        before: before.cloned(),
        after: after.cloned(),
    });
}

fn has_names(list: &[Value]) -> bool {
    list.iter().all(|it| entry_name(it).is_some())
}

fn entry_name(entry: &Value) -> Option<&str> {
    entry.get("name")?.as_str()
}
