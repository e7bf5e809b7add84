//! Configuration: the settings of one daemon (TOML) and the templates,
//! organisations and services stored in the platform's object API (JSON).
//!
//! The crate parses and validates configuration and keeps the newest version of
//! each object. It reads files only in [`Settings::open`] and [`read_settings`],
//! and does no network I/O.
//!
//! ```
//! use chestnut_conf::{Applied, Book, Kind, Object, ObjectKey};
//!
//! let key = ObjectKey { kind: Kind::Template, name: "league".to_owned() };
//! let version = |version| Object { key: key.clone(), version, value: version.into() };
//! let mut book = Book::default();
//! assert_eq!(book.apply(version(2)), Applied::New);
//! assert_eq!(book.apply(version(1)), Applied::Old);
//! assert_eq!(book.get(Kind::Template, "league").unwrap().version, 2);
//! ```

#![warn(clippy::unwrap_used)]

mod book;
mod error;
mod evacuation;
mod object;
mod organisation;
mod policy;
mod service;
mod settings;
pub mod span;
mod template;

pub use book::{Applied, Book, BookDigest, Held, Versions};
pub use error::{CheckError, SettingsError};
pub use evacuation::Evacuation;
pub use object::{EDITS_KEPT, Edit, Kind, Object, ObjectKey, Stored};
pub use organisation::{CallParams, Organisation};
pub use policy::{CallPolicy, OrgPolicy, PolicyError};
pub use service::{Leaf, Service};
pub use settings::{
    Control, EntrySettings, Limits, Listen, LogFormat, LogLevel, LogSettings, PlatformSettings,
    ReplicaChoice, RouteSettings, Settings, read_settings,
};
pub use template::{Answer, Call, CallKind, OrgLimits, Template};
