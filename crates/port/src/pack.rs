//! The encoding of values between entries: JSON compressed with DEFLATE.

use std::io::{self, Read, Write};

use bytes::Bytes;
use displaydoc::Display;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Serialize, de::DeserializeOwned};

/// Maximum size of an unpacked value, in bytes of JSON: bounds memory use on bad input.
const UNPACKED_MAX: u64 = 64 << 20;

/// Why packing or unpacking a value failed.
#[derive(Debug, Display)]
pub enum PackError {
    /// it is no value of that kind: {0}
    Json(serde_json::Error),
    /// it can't be compressed: {0}
    Deflate(io::Error),
}

impl std::error::Error for PackError {}

/// Encodes a value as compressed JSON, at the fastest level because entries may have
/// little CPU time.
///
/// # Errors
///
/// Fails if the value can't be represented as JSON.
pub fn pack<T: Serialize>(value: &T) -> Result<Bytes, PackError> {
    let json = serde_json::to_vec(value).map_err(PackError::Json)?;
    deflate(&json).map_err(PackError::Deflate)
}

/// Compresses bytes with DEFLATE at the fastest level.
pub(crate) fn deflate(bytes: &[u8]) -> io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses the output of [`deflate`]. Cuts the result off at [`UNPACKED_MAX`] bytes
/// without an error; fails if the input is malformed.
pub(crate) fn inflate(packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(packed)
        .take(UNPACKED_MAX)
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Decodes a value encoded by [`pack`].
///
/// # Errors
///
/// Fails if the bytes are truncated, too large when decompressed, or do not hold a
/// value of this type.
pub fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, PackError> {
    let json = inflate(packed).map_err(PackError::Deflate)?;
    serde_json::from_slice(&json).map_err(PackError::Json)
}
