//! The command that tells how logs name a key.

use chestnut_book::KeyDigest;
use serde_json::json;

use crate::client::CliError;

/// Reads a key from standard input and prints the first digits of its digest. Fails if there is
/// no line, or an empty one.
pub(crate) fn print(as_json: bool) -> Result<(), CliError> {
    let mut line = String::new();
    let read = std::io::stdin().read_line(&mut line);
    let key = line.trim();
    if read.is_err() || key.is_empty() {
        return Err(CliError::NoKey);
    }
    let digest = KeyDigest::of(key.as_bytes()).prefix();
    match as_json {
        true => println!("{}", json!({ "digest": digest })),
        false => println!("{digest}"),
    }
    Ok(())
}
