//! Finds the line of a value, given by its path, in a text.
//!
//! The YAML library reports line numbers only in errors, so the text is deserialised along the path
//! up to the value, where deserialisation fails on purpose.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

use crate::{Problem, step::Step};

/// Maximum number of bytes read to find lines; each line requires reading the text once.
const READ_LIMIT_BYTES: usize = 8 << 20;

/// Fills in the lines of as many problems as [`READ_LIMIT_BYTES`] allows.
pub(crate) fn fill_lines(text: &str, problems: &mut [Problem]) {
    let max_lines = READ_LIMIT_BYTES / text.len().max(1);
    let missing = problems.iter_mut().filter(|it| it.line.is_none());
    for problem in missing.take(max_lines) {
        problem.line = find_line(text, &Step::parse(&problem.path));
    }
}

/// The line of the value at `path`, or of its innermost existing ancestor.
fn find_line(text: &str, path: &[Step]) -> Option<usize> {
    let error = PathSeed { path }
        .deserialize(serde_yaml_ng::Deserializer::from_str(text))
        .err()?;
    error.location().map(|it| it.line())
}

/// Deserialises along `path` and fails at its end.
#[derive(Clone, Copy, Debug)]
struct PathSeed<'a> {
    path: &'a [Step],
}

impl<'de> DeserializeSeed<'de> for PathSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for PathSeed<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("the end of the path")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let Some((Step::Index(index), path)) = self.path.split_first() else {
            return Err(A::Error::custom("found"));
        };
        for _ in 0..*index {
            if seq.next_element::<IgnoredAny>()?.is_none() {
                return Err(A::Error::custom("absent"));
            }
        }
        seq.next_element_seed(PathSeed { path })?;
        Err(A::Error::custom("absent"))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((Step::Field(name), path)) = self.path.split_first() else {
            return Err(A::Error::custom("found"));
        };
        while let Some(key) = map.next_key::<String>()? {
            if key == *name {
                map.next_value_seed(PathSeed { path })?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Err(A::Error::custom("absent"))
    }
}
