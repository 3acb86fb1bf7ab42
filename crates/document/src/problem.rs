//! Problems found in a document.

use std::fmt;

use serde::Serialize;
use serde_json::Value;

/// Maximum length of a value shown in a problem, in characters.
const VALUE_LIMIT_CHARS: usize = 80;

/// Maximum length of the rule of a problem of the whole text, in characters; such a rule may quote
/// the text.
const RULE_LIMIT_CHARS: usize = 240;

/// A violation of one rule in a document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Path of the value, such as `services[1].targets[3].slots`, or `document` for the whole text.
    pub path: String,
    /// Line in the text, counted from 1; absent if the document was not parsed from a text or the
    /// line was not determined.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    /// The current value as JSON, shortened, or a description such as `absent`; empty for the whole
    /// text.
    pub value: String,
    /// The rule that the value breaks.
    pub rule: String,
    /// How to correct the value.
    pub remedy: String,
}

impl Problem {
    /// A problem of the value at `path`; a null `value` means that it is absent.
    pub(crate) fn new(path: String, value: &Value, rule: &str, remedy: &str) -> Self {
        Self {
            path,
            line: None,
            value: match value {
                Value::Null => "absent".to_owned(),
                Value::Array(list) if list.len() != 1 => format!("a list of {}", list.len()),
                _ => shorten(&value.to_string(), VALUE_LIMIT_CHARS),
            },
            rule: rule.to_owned(),
            remedy: remedy.to_owned(),
        }
    }

    /// A problem of the text as a whole.
    pub(crate) fn of_text(line: Option<usize>, rule: &str, remedy: &str) -> Self {
        Self {
            path: "document".to_owned(),
            line,
            value: String::new(),
            rule: shorten(rule, RULE_LIMIT_CHARS),
            remedy: remedy.to_owned(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.path)?;
        if let Some(line) = self.line {
            write!(f, " (line {line})")?;
        }
        write!(f, ": {}", self.rule)?;
        if !self.value.is_empty() {
            write!(f, ", but is {}", self.value)?;
        }
        write!(f, "; {}", self.remedy)
    }
}

fn shorten(text: &str, limit: usize) -> String {
    if text.chars().count() <= limit {
        return text.to_owned();
    }
    let mut shortened: String = text.chars().take(limit).collect();
    shortened.push('…');
    shortened
}
