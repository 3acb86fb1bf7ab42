//! Reads documents from files.

use std::{
    fs::File,
    io::{self, Read},
};

use document::{Document, TEXT_LIMIT_BYTES};

use crate::failure::Failure;

/// Reads and validates the document in `file`; `-` is standard input.
///
/// # Errors
///
/// Fails if the file cannot be read or is not a valid document.
pub(crate) fn read(file: &str) -> Result<(String, Document), Failure> {
    let text = read_text(file).map_err(|err| Failure::File {
        file: file.to_owned(),
        reason: err.to_string(),
    })?;
    match document::parse(&text) {
        Ok(document) => Ok((text, document)),
        Err(problems) => Err(Failure::Document {
            file: file.to_owned(),
            problems,
        }),
    }
}

/// Reads at most one byte more than the limit, so that validation reports texts that are too long.
fn read_text(file: &str) -> io::Result<String> {
    let limit = TEXT_LIMIT_BYTES as u64 + 1;
    let mut text = String::new();
    if file == "-" {
        io::stdin().lock().take(limit).read_to_string(&mut text)?;
    } else {
        File::open(file)?.take(limit).read_to_string(&mut text)?;
    }
    Ok(text)
}
