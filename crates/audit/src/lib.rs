//! Receipts and records of refused requests.
//!
//! A [`Receipt`] encodes a refusal as a short text with a check value (a
//! truncated MAC), which still says why a request was not answered if the
//! entry crashes. A [`Journal`] keeps the records to be written to the
//! platform, in batches and in bounded memory, and counts those that it
//! drops.
//!
//! ```
//! use chestnut_audit::{CheckKey, Receipt};
//!
//! let key = CheckKey::from_secret("the same at every entry");
//! assert!(Receipt::decode("not a receipt", &key).is_err());
//! ```

#![warn(clippy::unwrap_used)]

mod journal;
mod receipt;

pub use journal::{Batch, Copies, Gap, Journal, JournalConfig, Record};
pub use receipt::{CheckKey, Receipt, ReceiptError};
