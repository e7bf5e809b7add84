//! Reloads the settings of a running entry from its file.

use std::path::{Path, PathBuf};

use slog::{info, warn};

use crate::{Relay, RelaySettings};

/// Why the settings file is read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reload {
    /// An operator asked for it; the settings are applied also if the file is the same.
    Asked,
    /// To see whether the file has changed.
    IfChanged,
}

/// The settings file of a running entry, as it was read last.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    last_read: Vec<u8>,
}

impl SettingsFile {
    /// Reads the file that an entry has been started with.
    #[must_use]
    pub fn open(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            last_read: std::fs::read(path).unwrap_or_default(),
        }
    }

    /// Reads the file again and applies what may change while the entry runs. If the file is
    /// invalid, the previous settings stay in force. The outcome is logged.
    pub fn reload(&mut self, relay: &Relay, cause: Reload) {
        let log = relay.log();
        let read = match std::fs::read(&self.path) {
            Ok(read) => read,
            Err(error) => {
                warn!(log, "fleet: can't read the settings file"; "why" => %error);
                return;
            }
        };
        let changed = read != self.last_read;
        if !changed && cause == Reload::IfChanged {
            return;
        }
        let cause = match cause {
            Reload::Asked => "SIGHUP",
            Reload::IfChanged => "change",
        };
        match RelaySettings::parse(&String::from_utf8_lossy(&read), &self.path) {
            Ok(settings) => {
                relay.reload(&settings);
                info!(log, "fleet: settings reloaded"; "cause" => cause, "changed" => changed);
            }
            Err(error) => {
                warn!(log, "fleet: invalid settings, the previous ones stay in force";
                    "cause" => cause, "why" => %error);
            }
        }
        self.last_read = read;
    }
}
