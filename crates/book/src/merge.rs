//! The greatest records of several parts.

/// Bytes of a record.
pub const RECORD: usize = 16;

/// The greatest `top` records of `parts`, greatest first, compared byte by
/// byte. Equal records all count, and a remainder shorter than a record is
/// none.
///
/// Records are compared as big-endian numbers, which orders them as their bytes
/// do and costs one comparison instead of up to sixteen.
#[must_use]
pub fn greatest<'a>(parts: impl IntoIterator<Item = &'a [u8]>, top: usize) -> Vec<u8> {
    let mut records: Vec<u128> = Vec::new();
    for part in parts {
        let whole = part.chunks_exact(RECORD);
        records.extend(whole.filter_map(|chunk| chunk.try_into().ok().map(u128::from_be_bytes)));
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
