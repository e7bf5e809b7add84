//! Decodes JSON that others write, with errors that name the field and its value.

use serde::Deserialize;

/// Decodes a JSON text.
///
/// # Errors
///
/// The text can't be read; the error names the field and says why.
pub fn decode<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, String> {
    // Keeping track of fields costs time, and malformed texts are rare: they are read again.
    serde_json::from_str(text).or_else(|error| match at_field(text) {
        Ok(value) => Ok(value),
        Err((field, _)) if field == "." => Err(error.to_string()),
        Err((field, why)) => Err(format!("{field}: {why}")),
    })
}

/// Decodes a JSON text that holds secrets.
///
/// # Errors
///
/// The text can't be read; the error names the field and its place, but quotes nothing.
pub fn decode_secret<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, String> {
    at_field(text).map_err(|(field, why)| {
        let (line, column) = (why.line(), why.column());
        format!("{field}: unreadable at line {line}, column {column}")
    })
}

/// Decodes a JSON text; the error is the path of a field and what is wrong with it.
fn at_field<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, (String, serde_json::Error)> {
    let mut from = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut from).map_err(|error| {
        let field = error.path().to_string();
        (field, error.into_inner())
    })
}
