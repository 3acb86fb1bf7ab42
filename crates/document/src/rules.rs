//! Rules of single fields other than numeric ranges.
//!
//! The functions are garde validators. Their error messages consist of the rule and the remedy,
//! separated by a line break; [`split`] separates them again.

use std::{net::SocketAddr, sync::Arc};

use garde::Error;

/// Pattern of names in the JSON Schema.
pub(crate) const NAME_PATTERN: &str = "^[a-z0-9-]{1,40}$";

/// Pattern of path prefixes in the JSON Schema.
pub(crate) const PREFIX_PATTERN: &str = "^/([A-Za-z0-9._~-]+(/[A-Za-z0-9._~-]+)*)?$";

/// Pattern of header names in the JSON Schema.
pub(crate) const HEADER_PATTERN: &str = "^[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}$";

/// Pattern of methods in the JSON Schema.
pub(crate) const METHOD_PATTERN: &str = "^[A-Z][A-Z0-9-]{0,19}$";

/// Pattern of fingerprints in the JSON Schema.
pub(crate) const FINGERPRINT_PATTERN: &str = "^[0-9a-f]{16}$";

/// Headers of a single connection, which are not forwarded, in lower case.
pub const CONNECTION_HEADERS: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Other headers whose value at the gateway may differ from the one at the entry host, so that the
/// gateway would not find the same key.
const CHANGED_HEADERS: [&str; 2] = ["host", "idempotency-key"];

/// Maximum length of a path prefix in bytes.
const PREFIX_LIMIT_BYTES: usize = 200;

/// Turns a rule for strings into a garde validator.
pub(crate) fn text(rule: fn(&str) -> garde::Result) -> impl Fn(&Arc<str>, &()) -> garde::Result {
    move |value, ()| rule(value)
}

/// The rule that a number is finite. Range rules alone accept NaN.
pub(crate) fn finite() -> impl Fn(&f64, &()) -> garde::Result {
    |value, ()| {
        check(
            value.is_finite(),
            "must be a finite number",
            "write a plain decimal number",
        )
    }
}

/// Checks a name.
pub(crate) fn name(value: &str) -> garde::Result {
    let is_allowed = |it: u8| it.is_ascii_lowercase() || it.is_ascii_digit() || it == b'-';
    check(
        (1..=40).contains(&value.len()) && value.bytes().all(is_allowed),
        "must be 1 to 40 characters of a-z, 0-9 and -",
        "choose a name of lower-case letters, digits and hyphens",
    )
}

/// Checks a path prefix.
pub(crate) fn prefix(value: &str) -> garde::Result {
    let is_allowed = |it: u8| it.is_ascii_alphanumeric() || b"-._~".contains(&it);
    let is_valid_segment = |it: &str| !matches!(it, "" | "." | "..") && it.bytes().all(is_allowed);
    let valid = match value.strip_prefix('/') {
        Some("") => true,
        Some(rest) => rest.split('/').all(is_valid_segment),
        None => false,
    };
    check(
        valid && value.len() <= PREFIX_LIMIT_BYTES,
        "must be a path of at most 200 characters that starts with /, has no empty, . or .. segments \
         and contains only ASCII letters, digits, /, -, ., _ and ~",
        "write a path such as /archive, without a slash at its end",
    )
}

/// Checks the name of the header that contains the key.
pub(crate) fn header(value: &str) -> garde::Result {
    let is_allowed = |it: u8| it.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&it);
    check(
        (1..=64).contains(&value.len()) && value.bytes().all(is_allowed),
        "must be an HTTP header name of 1 to 64 characters",
        "write a header name such as x-horse",
    )?;
    let lower_case = value.to_ascii_lowercase();
    check(
        !lower_case.starts_with("sassafras-")
            && !CONNECTION_HEADERS.contains(&&*lower_case)
            && !CHANGED_HEADERS.contains(&&*lower_case),
        "must be a header that reaches the gateway unchanged",
        "choose a header of the service, such as x-horse",
    )
}

/// Checks an HTTP method.
pub(crate) fn method(value: &str) -> garde::Result {
    let is_allowed = |it: u8| it.is_ascii_uppercase() || it.is_ascii_digit() || it == b'-';
    check(
        (1..=20).contains(&value.len())
            && value.as_bytes()[0].is_ascii_uppercase()
            && value.bytes().all(is_allowed),
        "must be an HTTP method of 1 to 20 characters in upper case",
        "write a method such as GET",
    )
}

/// Checks the fingerprint of a quarantined request.
pub(crate) fn fingerprint(value: &str) -> garde::Result {
    let is_allowed = |it: u8| matches!(it, b'0'..=b'9' | b'a'..=b'f');
    check(
        value.len() == 16 && value.bytes().all(is_allowed),
        "must be a fingerprint of 16 lower-case hex digits",
        "copy the fingerprint as the hosts log it, in quotes",
    )
}

/// Checks the address of a target.
pub(crate) fn address(value: &str) -> garde::Result {
    let valid = value
        .parse::<SocketAddr>()
        .is_ok_and(|it| it.port() != 0 && !it.ip().is_unspecified());
    check(
        valid,
        "must be an IP address (not 0.0.0.0 or ::) and a port (not 0)",
        "write the address as in 192.0.2.7:8080; host names are not resolved",
    )
}

/// Splits an error message of this module into the rule and the remedy.
pub(crate) fn split(message: &str) -> Option<(&str, &str)> {
    message.split_once('\n')
}

fn check(valid: bool, rule: &str, remedy: &str) -> garde::Result {
    if valid {
        return Ok(());
    }
    Err(Error::new(format!("{rule}\n{remedy}")))
}
