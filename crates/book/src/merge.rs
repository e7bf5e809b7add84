//! Merges the results of several shards into the greatest records.

/// Size of a record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top` greatest records of `parts` in descending byte order.
/// Duplicates are kept; a trailing partial record is ignored.
///
/// Records are compared as big-endian integers, which gives the same order as
/// comparing bytes, in a single operation.
#[must_use]
pub fn merge_top<'a>(parts: impl IntoIterator<Item = &'a [u8]>, top: usize) -> Vec<u8> {
    let mut records: Vec<u128> = Vec::new();
    for part in parts {
        let chunks = part.chunks_exact(RECORD_BYTES);
        records.extend(chunks.filter_map(|chunk| chunk.try_into().ok().map(u128::from_be_bytes)));
    }
    if top == 0 {
        return Vec::new();
    }
    if records.len() > top {
        records.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
        records.truncate(top);
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.into_iter().flat_map(u128::to_be_bytes).collect()
}
