//! The truthful record of each refusal.
//!
//! A [`Receipt`] is the refusal itself in a short text with a check value: it
//! tells why a request was not answered even if the entry died the next
//! moment. The [`Journal`] keeps records for the platform, in batches and in
//! bounded memory, and records what it had to drop.
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
