//! Request paths.

use std::borrow::Cow;

use percent_encoding::{AsciiSet, CONTROLS, percent_decode_str, percent_encode};

/// ASCII characters that are percent-encoded in keys.
const ESCAPED: &AsciiSet = &CONTROLS.add(b' ').add(b'%');

/// Whether `path` is `prefix` or lies below it.
pub(crate) fn has_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

/// Number of segments of a prefix.
pub(crate) fn depth(prefix: &str) -> usize {
    prefix.split('/').filter(|it| !it.is_empty()).count()
}

/// Whether every server resolves `path` to exactly the path that is written.
///
/// Servers differ in how they handle empty segments, dot segments, escaped separators, doubly
/// escaped characters, parameters after `;`, and bytes that are not UTF-8.
pub(crate) fn is_resolved(path: &str) -> bool {
    let Some(path) = path.strip_prefix('/') else {
        return false;
    };
    let path = path.strip_suffix('/').unwrap_or(path);
    path.split('/').all(|it| {
        let Ok(segment) = percent_decode_str(it).decode_utf8() else {
            return false;
        };
        let is_plain = |it: char| !it.is_control() && !"/\\;%".contains(it);
        !matches!(&*segment, "" | "." | "..") && segment.chars().all(is_plain)
    })
}

/// The normalised segment of `path` at `index`, or `None` if it is absent, empty or a dot segment.
pub(crate) fn segment(path: &str, index: usize) -> Option<Cow<'_, str>> {
    let segment = path.strip_prefix('/')?.split('/').nth(index)?;
    let segment = normalise(segment);
    (!matches!(&*segment, "" | "." | "..")).then_some(segment)
}

/// Decodes percent-encoded printable ASCII other than `%`, and encodes everything else with
/// upper-case hex digits.
fn normalise(segment: &str) -> Cow<'_, str> {
    if segment
        .bytes()
        .all(|it| it.is_ascii_graphic() && it != b'%')
    {
        return Cow::Borrowed(segment);
    }
    let bytes: Vec<u8> = percent_decode_str(segment).collect();
    Cow::Owned(percent_encode(&bytes, ESCAPED).to_string())
}
