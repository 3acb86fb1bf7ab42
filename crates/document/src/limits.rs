//! Limits on the text, checked before the YAML library reads it.
//!
//! The library keeps all parser events of a text in memory, up to 200 bytes for each byte of the
//! text, and its run time grows with the number of tokens times the depth of open brackets: 4 MiB
//! of `[` took 32 s and 660 MB in a release build. Characters in comments and strings are counted
//! too, because excluding them would require the library's own scanner.

use crate::Problem;

/// Maximum length of a document's text in bytes.
pub const TEXT_LIMIT_BYTES: usize = 4 << 20;

/// Maximum number of line breaks and YAML indicator characters; 4,096 targets need about 90,000.
const INDICATOR_LIMIT: usize = 500_000;

/// Maximum number of brackets open at the same time; a valid document needs at most 5.
const BRACKET_LIMIT: usize = 64;

/// Checks that `text` is within the limits.
///
/// # Errors
///
/// Fails with a problem that concerns the whole text.
pub(crate) fn check(text: &str) -> Result<(), Problem> {
    if text.len() > TEXT_LIMIT_BYTES {
        return Err(Problem::of_text(
            None,
            &format!("must have at most {TEXT_LIMIT_BYTES} bytes"),
            "remove comments or split the deployment",
        ));
    }
    let (mut line, mut open, mut indicators) = (1, 0_usize, 0);
    for byte in text.bytes() {
        match byte {
            b'[' | b'{' => open += 1,
            b']' | b'}' => open = open.saturating_sub(1),
            b'\n' => line += 1,
            b'\r' | b',' | b':' | b'-' | b'?' | b'&' | b'*' | b'!' | b'|' | b'>' | b'%' | b'#' => {}
            _ => continue,
        }
        indicators += 1;
        if open > BRACKET_LIMIT {
            return Err(Problem::of_text(
                Some(line),
                &format!("must have at most {BRACKET_LIMIT} brackets that are not closed"),
                "close the brackets before this line, also those in comments",
            ));
        }
        if indicators > INDICATOR_LIMIT {
            return Err(Problem::of_text(
                Some(line),
                &format!("must have at most {INDICATOR_LIMIT} lines and punctuation characters"),
                "remove comments or split the deployment",
            ));
        }
    }
    Ok(())
}
