//! Paths of values in a document.

use std::fmt::Write;

use serde_json::Value;

/// One step of a path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// Into a field of a mapping.
    Field(String),
    /// Into an entry of a list.
    Index(usize),
}

impl Step {
    /// Writes a path in the form `services[1].targets[3].slots`.
    ///
    /// Field names that are empty, longer than 64 bytes or contain characters other than ASCII
    /// letters, digits, `_` and `-` are quoted; the empty path is `document`.
    pub(crate) fn render(path: &[Self]) -> String {
        let mut text = String::new();
        for step in path {
            match step {
                Self::Index(index) => write!(text, "[{index}]"),
                Self::Field(name) if !is_plain(name) => write!(text, "[{name:?}]"),
                Self::Field(name) if text.is_empty() => write!(text, "{name}"),
                Self::Field(name) => write!(text, ".{name}"),
            }
            .expect("writing to a string succeeds");
        }
        if text.is_empty() {
            text.push_str("document");
        }
        text
    }

    /// Parses a path of unquoted field names and indices.
    pub(crate) fn parse(path: &str) -> Vec<Self> {
        let mut steps = Vec::new();
        for part in path.split(['.', '[']) {
            let index = part.strip_suffix(']').and_then(|it| it.parse().ok());
            match index {
                Some(index) => steps.push(Self::Index(index)),
                None if part.is_empty() => {}
                None => steps.push(Self::Field(part.to_owned())),
            }
        }
        steps
    }

    /// The value at a path, or null if it does not exist.
    pub(crate) fn lookup<'a>(root: &'a Value, path: &[Self]) -> &'a Value {
        let mut value = root;
        for step in path {
            value = match step {
                Self::Field(name) => &value[name.as_str()],
                Self::Index(index) => &value[index],
            };
        }
        value
    }
}

fn is_plain(name: &str) -> bool {
    let is_allowed = |it: u8| it.is_ascii_alphanumeric() || b"_-".contains(&it);
    !name.is_empty() && name.len() <= 64 && name.bytes().all(is_allowed)
}
