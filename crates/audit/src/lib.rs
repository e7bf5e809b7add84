//! Receipts and records of refused requests.
//!
//! A [`Receipt`] encodes a refusal as a short text with a check value (a
//! truncated MAC). Any entry with the key can decode it, even after the entry
//! that refused has crashed. A [`RefusalLog`] keeps the records to be written to the
//! platform, in batches and in bounded memory, and counts those that it
//! drops.
//!
//! ```
//! use chestnut_audit::{MacKey, Receipt};
//!
//! let key = MacKey::from_secret("the same at every entry");
//! assert!(Receipt::decode("not a receipt", &key).is_err());
//! ```

#![warn(clippy::unwrap_used)]

mod receipt;
mod refusal_log;

pub use receipt::{MacKey, Receipt, ReceiptError};
pub use refusal_log::{Batch, Gap, Record, RefusalLog, RefusalLogConfig, ReplicaBatches};
