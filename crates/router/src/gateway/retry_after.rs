//! Parsing of the header `Retry-After` in the answers of targets.

use std::time::{Duration, SystemTime};

use coordinator::Millis;
use http::{HeaderMap, HeaderValue, header};

/// Longest pause that is kept: an hour. A target that wants no requests for longer leaves, and a
/// value in the wrong unit must not silence a target until its next restart.
pub(super) const MAX_PAUSE_MS: Millis = 3_600_000;

/// Returns the time in milliseconds that the headers ask to wait from the wall-clock time `now` on;
/// `None` if they do not ask for any.
///
/// A value is a decimal number of seconds, rounded up to milliseconds, or an HTTP date. Negative
/// values, signs, exponents and other text are passed to `on_ignored` and count as absent. Zero and
/// dates in the past ask for nothing, and longer times are cut to [`MAX_PAUSE_MS`]. If the header is
/// repeated, each value is read by itself and the longest time counts.
pub(super) fn retry_after(
    headers: &HeaderMap,
    now: SystemTime,
    mut on_ignored: impl FnMut(&HeaderValue),
) -> Option<Millis> {
    let mut longest = 0;
    for value in headers.get_all(header::RETRY_AFTER) {
        let time = value.to_str().ok().and_then(|it| parse(it.trim(), now));
        let Some(time) = time else {
            on_ignored(value);
            continue;
        };
        longest = longest.max(time);
    }
    (longest > 0).then_some(longest)
}

fn parse(text: &str, now: SystemTime) -> Option<Millis> {
    if let Some(time) = parse_seconds(text) {
        return Some(time);
    }
    let date = httpdate::parse_http_date(text).ok()?;
    let left = date.duration_since(now).unwrap_or(Duration::ZERO);
    let left = Millis::try_from(left.as_millis()).unwrap_or(MAX_PAUSE_MS);
    Some(left.min(MAX_PAUSE_MS))
}

/// Parses digits with at most one decimal point among or around them.
fn parse_seconds(text: &str) -> Option<Millis> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    let mut digits = whole.bytes().chain(fraction.bytes());
    if whole.len() + fraction.len() == 0 || !digits.all(|it| it.is_ascii_digit()) {
        return None;
    }
    let mut time: Millis = 0;
    for digit in whole.bytes() {
        time = time.saturating_mul(10).saturating_add(value_of(digit));
    }
    time = time.saturating_mul(1_000);
    let mut unit = 100;
    for digit in fraction.bytes() {
        let rounded_up = Millis::from(unit == 0 && digit != b'0');
        time = time.saturating_add(value_of(digit) * unit + rounded_up);
        if rounded_up > 0 {
            break;
        }
        unit /= 10;
    }
    Some(time.min(MAX_PAUSE_MS))
}

fn value_of(digit: u8) -> Millis {
    Millis::from(digit - b'0')
}

#[cfg(test)]
mod tests;
