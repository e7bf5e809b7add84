//! Paths and queries of HTTP calls, with names percent-encoded.
//!
//! Names of objects come from other writers and may hold any character. Put into a path or a
//! query as it is, a name with `&`, `#`, `%` or a blank reads or writes another object, or can't
//! be sent at all.

use percent_encoding::{
    AsciiSet, CONTROLS, NON_ALPHANUMERIC, percent_decode_str, percent_encode, utf8_percent_encode,
};

/// All characters but those that have no meaning anywhere in a URI ("unreserved", RFC 3986).
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// What is encoded of a segment that is only dots, which would lead to another directory.
const DOTS: &AsciiSet = &CONTROLS.add(b'.');

/// Encodes `name` as one segment of a path.
#[must_use]
pub fn path_segment(name: &str) -> String {
    match name {
        "." | ".." => percent_encode(name.as_bytes(), DOTS).to_string(),
        _ => utf8_percent_encode(name, RESERVED).to_string(),
    }
}

/// Encodes `value` as the value of a parameter in a query.
#[must_use]
pub fn query_value(value: &str) -> String {
    utf8_percent_encode(value, RESERVED).to_string()
}

/// Returns the path of the object `name` of a kind, `/objects/KIND/NAME`.
#[must_use]
pub fn object_path(kind: &str, name: &str) -> String {
    format!("/objects/{kind}/{}", path_segment(name))
}

/// Splits the path of a request into its decoded segments, without the empty one at either end;
/// `None` if a segment is no UTF-8.
#[must_use]
pub fn decode_segments(path: &str) -> Option<Vec<String>> {
    let segments = path.trim_matches('/').split('/');
    segments.map(decode).collect()
}

/// Decodes the percent escapes of `text`; `None` if the result is no UTF-8.
fn decode(text: &str) -> Option<String> {
    let decoded = percent_decode_str(text).decode_utf8().ok()?;
    Some(decoded.into_owned())
}
