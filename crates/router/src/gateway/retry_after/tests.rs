use std::time::UNIX_EPOCH;

use http::HeaderValue;

use super::*;

/// 1994-11-06T08:49:37Z.
const NOW_S: u64 = 784_111_777;

struct Case {
    values: &'static [&'static str],
    pause: Option<Millis>,
    ignored: usize,
}

fn check(case: &Case) {
    let mut headers = HeaderMap::new();
    for value in case.values {
        headers.append(header::RETRY_AFTER, HeaderValue::from_static(value));
    }
    let now = UNIX_EPOCH + Duration::from_secs(NOW_S);
    let mut ignored = 0;
    let pause = retry_after(&headers, now, |_| ignored += 1);
    let expected = (case.pause, case.ignored);
    assert_eq!((pause, ignored), expected, "{:?}", case.values);
}

/// Guards against values that are misread, overflow, or silence a target for ever.
#[test]
fn values_of_retry_after() {
    let case = |values, pause| Case {
        values,
        pause,
        ignored: 0,
    };
    let unusable = |values, pause| Case {
        values,
        pause,
        ignored: 1,
    };
    let cases = [
        case(&[], None),
        case(&["2"], Some(2_000)),
        case(&["1.5"], Some(1_500)),
        case(&[".5"], Some(500)),
        case(&["1."], Some(1_000)),
        case(&[" 1.5 "], Some(1_500)),
        case(&["0.0001"], Some(1)),
        case(&["1.50011"], Some(1_501)),
        case(&["1.5000"], Some(1_500)),
        case(&["0.9999"], Some(1_000)),
        case(&["0"], None),
        case(&["0.000"], None),
        unusable(&["-1"], None),
        unusable(&["-0"], None),
        unusable(&["+1"], None),
        unusable(&["1e3"], None),
        unusable(&["NaN"], None),
        unusable(&["inf"], None),
        unusable(&["1.2.3"], None),
        unusable(&["1, 2"], None),
        unusable(&["."], None),
        unusable(&[""], None),
        unusable(&["soon"], None),
        case(&["3600"], Some(MAX_PAUSE_MS)),
        case(&["3600.1"], Some(MAX_PAUSE_MS)),
        case(&["99999999999999999999999999999"], Some(MAX_PAUSE_MS)),
        case(&["18446744073709551615.9"], Some(MAX_PAUSE_MS)),
        case(&["Sun, 06 Nov 1994 08:49:40 GMT"], Some(3_000)),
        case(&["Sunday, 06-Nov-94 08:49:40 GMT"], Some(3_000)),
        case(&["Sun Nov  6 08:49:40 1994"], Some(3_000)),
        case(&["Sun, 06 Nov 1994 08:49:37 GMT"], None),
        case(&["Sun, 06 Nov 1994 08:49:00 GMT"], None),
        case(&["Fri, 31 Dec 9999 23:59:59 GMT"], Some(MAX_PAUSE_MS)),
        unusable(&["Sun, 41 Nov 1994 08:49:40 GMT"], None),
        case(&["1", "2"], Some(2_000)),
        case(&["2", "1"], Some(2_000)),
        unusable(&["soon", "1"], Some(1_000)),
        unusable(&["1", "-5"], Some(1_000)),
    ];
    for case in &cases {
        check(case);
    }
}

/// Guards against panics on bytes that are not text.
#[test]
fn bytes_that_are_no_text_are_ignored() {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_bytes(&[0xff, b'1']).expect("obs-text is valid in a header");
    headers.insert(header::RETRY_AFTER, value);
    let mut ignored = 0;
    assert_eq!(retry_after(&headers, UNIX_EPOCH, |_| ignored += 1), None);
    assert_eq!(ignored, 1);
}
