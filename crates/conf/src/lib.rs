//! What is configured: the settings of one daemon (TOML) and the templates,
//! organisations and services that live in the platform's object API (JSON).
//!
//! The crate checks and orders configuration. It reads no file of its own
//! accord except in [`Settings::open`], and talks to nobody.

#![warn(clippy::unwrap_used)]

mod book;
mod error;
mod object;
mod organisation;
mod policy;
mod service;
mod settings;
mod span;
mod template;

pub use book::{Applied, Book, BookDigest, Held, Versions};
pub use error::{CheckError, SettingsError};
pub use object::{EDITS_KEPT, Edit, Kind, Object, ObjectKey, Stored};
pub use organisation::{CallParams, Organisation};
pub use policy::{CallPolicy, OrgPolicy, PolicyError};
pub use service::{Leaf, Service};
pub use settings::{
    Control, EntrySettings, Limits, Listen, LogFormat, LogLevel, LogSettings, PlatformSettings,
    RouteSettings, Settings,
};
pub use template::{Answer, Call, CallKind, OrgLimits, Template};
