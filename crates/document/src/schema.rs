//! The JSON Schema of the document.

use std::sync::LazyLock;

use schemars::schema_for;
use serde_json::Value;

use crate::Document;

static SCHEMA: LazyLock<Value> = LazyLock::new(|| schema_for!(Document).to_value());

/// The JSON Schema of the document, with the ranges, lengths and patterns of its fields.
///
/// The other rules, such as those across several fields, are checked only by
/// [`Document::problems`].
///
/// # Panics
///
/// Never panics in practice: every schema can be represented as JSON.
#[must_use]
pub fn schema() -> String {
    serde_json::to_string_pretty(&*SCHEMA).expect("a schema can be represented as JSON")
}

/// A node of the JSON Schema.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SchemaNode(&'static Value);

impl SchemaNode {
    /// The node of the whole document.
    pub(crate) fn root() -> Self {
        Self::resolve(&SCHEMA)
    }

    /// The node of a field, or `None` if there is no such field.
    pub(crate) fn field(self, name: &str) -> Option<Self> {
        self.0["properties"].get(name).map(Self::resolve)
    }

    /// The node of the entries of a list.
    pub(crate) fn item(self) -> Option<Self> {
        self.0.get("items").map(Self::resolve)
    }

    /// Names of all fields.
    pub(crate) fn field_names(self) -> impl Iterator<Item = &'static str> {
        let fields = self.0["properties"].as_object();
        fields.into_iter().flatten().map(|(name, _)| name.as_str())
    }

    /// Names of the fields that must be present.
    pub(crate) fn required_fields(self) -> impl Iterator<Item = &'static str> {
        let names = self.0["required"].as_array();
        names.into_iter().flatten().filter_map(Value::as_str)
    }

    /// Names of the types that the schema allows.
    pub(crate) fn types(self) -> Vec<&'static str> {
        match &self.0["type"] {
            Value::Array(types) => types.iter().filter_map(Value::as_str).collect(),
            single => single.as_str().into_iter().collect(),
        }
    }

    /// The first line of the field's description.
    pub(crate) fn description(self) -> Option<&'static str> {
        let text = self.0["description"].as_str()?;
        text.lines().next()
    }

    /// The rule for the bounds of a number or list, if it has bounds.
    pub(crate) fn bounds(self) -> Option<String> {
        let noun = if self.types().contains(&"integer") {
            "a whole number"
        } else {
            "a number"
        };
        let bound = |key: &str| self.0.get(key).map(format_bound);
        if let (Some(min), Some(max)) = (bound("minimum"), bound("maximum")) {
            return Some(if min == max {
                format!("must be {min}")
            } else {
                format!("must be {noun} from {min} to {max}")
            });
        }
        if let Some(min) = bound("minimum") {
            return Some(format!("must be {noun} of at least {min}"));
        }
        match (bound("minItems"), bound("maxItems")) {
            (Some(min), Some(max)) => Some(format!("must be a list of {min} to {max} entries")),
            (None, Some(max)) => Some(format!("must be a list of at most {max} entries")),
            _ => None,
        }
    }

    /// The largest value of the field's integer type.
    pub(crate) fn max_integer(self) -> u64 {
        match self.0["format"].as_str() {
            Some("uint8") => u64::from(u8::MAX),
            Some("uint32") => u64::from(u32::MAX),
            _ => u64::MAX,
        }
    }

    fn resolve(node: &'static Value) -> Self {
        let Some(name) = node["$ref"].as_str() else {
            return Self(node);
        };
        let name = name.strip_prefix("#/$defs/").unwrap_or(name);
        Self(&SCHEMA["$defs"][name])
    }
}

/// Formats a bound, without a fraction of zero.
fn format_bound(bound: &Value) -> String {
    let text = bound.to_string();
    text.strip_suffix(".0").map_or(text.clone(), str::to_owned)
}
