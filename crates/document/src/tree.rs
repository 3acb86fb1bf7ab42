//! Parses YAML into a value of bounded size.
//!
//! Aliases are expanded while parsing, so a short text can produce a very large value. All values
//! of a document share a budget, so that parsing fails before it exhausts the memory.

use std::{cell::RefCell, fmt};

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

use crate::{Problem, step::Step};

/// Maximum number of values in a document; 4,096 targets have about 40,000.
const NODE_LIMIT: usize = 250_000;

/// Maximum total length of all strings of a document in bytes.
const STRING_LIMIT_BYTES: usize = 8 << 20;

/// Maximum nesting depth; a valid document has at most 5 levels.
const DEPTH_LIMIT: usize = 16;

/// Parses `text` and adds repeated fields to `problems`.
///
/// # Errors
///
/// Fails with a problem that concerns the whole text if it is not YAML or exceeds a limit.
pub(crate) fn read(text: &str, problems: &mut Vec<Problem>) -> Result<Value, Problem> {
    let budget = RefCell::new(Budget::default());
    let seed = ValueSeed {
        budget: &budget,
        path: &[],
    };
    let value = seed
        .deserialize(serde_yaml_ng::Deserializer::from_str(text))
        .map_err(|err| {
            let line = err.location().map(|it| it.line());
            Problem::of_text(
                line,
                &format!("must be readable YAML: {err}"),
                "correct the text at this line",
            )
        })?;
    problems.append(&mut budget.borrow_mut().repeated);
    Ok(value)
}

/// Remaining numbers of values and string bytes, and the repeated fields found so far.
#[derive(Debug)]
struct Budget {
    nodes: usize,
    bytes: usize,
    repeated: Vec<Problem>,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            nodes: NODE_LIMIT,
            bytes: STRING_LIMIT_BYTES,
            repeated: Vec::new(),
        }
    }
}

/// Deserialises the value at `path`.
#[derive(Clone, Copy, Debug)]
struct ValueSeed<'a> {
    budget: &'a RefCell<Budget>,
    path: &'a [Step],
}

impl ValueSeed<'_> {
    /// Creates a string value, whose length counts towards [`STRING_LIMIT_BYTES`].
    fn string<E: Error>(self, text: &str) -> Result<Value, E> {
        let mut budget = self.budget.borrow_mut();
        match budget.bytes.checked_sub(text.len()) {
            Some(bytes) => budget.bytes = bytes,
            None => {
                return Err(E::custom(format_args!(
                    "the strings exceed {STRING_LIMIT_BYTES} bytes"
                )));
            }
        }
        Ok(Value::from(text))
    }
}

impl<'de> DeserializeSeed<'de> for ValueSeed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        let mut budget = self.budget.borrow_mut();
        match budget.nodes.checked_sub(1) {
            Some(nodes) => budget.nodes = nodes,
            None => {
                return Err(D::Error::custom(format_args!(
                    "the document has more than {NODE_LIMIT} values"
                )));
            }
        }
        drop(budget);
        if self.path.len() > DEPTH_LIMIT {
            return Err(D::Error::custom(format_args!(
                "the nesting is deeper than {DEPTH_LIMIT} levels"
            )));
        }
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a plain value without a tag")
    }

    fn visit_none<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    // Numbers that JSON cannot represent become strings, which numeric fields reject.

    fn visit_i128<E: Error>(self, value: i128) -> Result<Value, E> {
        Ok(Value::from(value.to_string()))
    }

    fn visit_u128<E: Error>(self, value: u128) -> Result<Value, E> {
        Ok(Value::from(value.to_string()))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or_else(|| Value::from(value.to_string()), Value::Number))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Value, E> {
        self.string(value)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        let mut path = self.path.to_vec();
        path.push(Step::Index(0));
        while let Some(value) = seq.next_element_seed(ValueSeed {
            path: &path,
            ..self
        })? {
            list.push(value);
            path[self.path.len()] = Step::Index(list.len());
        }
        Ok(Value::Array(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut fields = Map::new();
        let mut path = self.path.to_vec();
        path.push(Step::Index(0));
        while let Some(key) = map.next_key_seed(self)? {
            let key = match key {
                Value::String(key) => key,
                other => other.to_string(),
            };
            path[self.path.len()] = Step::Field(key.clone());
            let value = map.next_value_seed(ValueSeed {
                path: &path,
                ..self
            })?;
            if let Some(value) = fields.insert(key, value) {
                self.budget.borrow_mut().repeated.push(Problem::new(
                    Step::render(&path),
                    &value,
                    "must be given only once",
                    "remove one of the two occurrences",
                ));
            }
        }
        Ok(Value::Object(fields))
    }
}
