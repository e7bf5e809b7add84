//! Configuration: the settings of one daemon (TOML) and the templates,
//! organisations and services stored in the platform's object API (JSON).
//!
//! The crate parses and validates configuration and keeps the newest version of
//! each object. It reads files only in [`Settings::open`] and [`read_settings`],
//! and does no network I/O.
//!
//! ```
//! use chestnut_conf::{Applied, ConfigSet, Object, ObjectKey, ObjectKind};
//!
//! let key = ObjectKey { kind: ObjectKind::Template, name: "league".to_owned() };
//! let version = |version| Object { key: key.clone(), version, value: version.into() };
//! let mut config = ConfigSet::default();
//! assert_eq!(config.apply(version(2)), Applied::New);
//! assert_eq!(config.apply(version(1)), Applied::Stale);
//! assert_eq!(config.get(ObjectKind::Template, "league").unwrap().version, 2);
//! ```

#![warn(clippy::unwrap_used)]

mod config_set;
pub mod duration;
mod error;
mod evacuation;
mod object;
mod organisation;
mod policy;
mod service;
mod settings;
mod template;

pub use config_set::{Applied, ConfigDigest, ConfigSet, ObjectVersion, Versions};
pub use error::{SettingsError, ValidationError};
pub use evacuation::Evacuation;
pub use object::{Edit, MAX_EDITS, Object, ObjectKey, ObjectKind, StoredSpec};
pub use organisation::{CallParams, Organisation};
pub use policy::{CallPolicy, OrgPolicy, PolicyError};
pub use service::{Leaf, Service};
pub use settings::{
    ControlSettings, EntrySettings, LimitSettings, ListenSettings, LogFormat, LogLevel,
    LogSettings, PlatformSettings, ReplicaSelection, RouteSettings, Settings, read_settings,
};
pub use template::{Answer, Call, CallKind, OrgLimits, Template};
