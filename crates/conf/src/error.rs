//! Errors of settings and of the objects that operators edit.

use std::path::PathBuf;

use displaydoc::Display;

/// Why a settings file can't be used.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// can't read {path}: {source}. Give an existing file to --config.
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// {path}: {message}
    Parse {
        /// The file.
        path: PathBuf,
        /// Line, key and cause, from the TOML library.
        message: String,
    },
    /// {path}: {key}: {problem}. {mend}
    Value {
        /// The file.
        path: PathBuf,
        /// The dotted key.
        key: &'static str,
        /// What is wrong with its value.
        problem: String,
        /// What to write instead.
        mend: &'static str,
    },
}

impl std::error::Error for SettingsError {}

/// Why an object that an operator wrote is not accepted: {key}: {problem}
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[displaydoc("{key}: {problem}")]
pub struct CheckError {
    /// The dotted key in the object.
    pub key: String,
    /// What is wrong, and what would be right.
    pub problem: String,
}

impl CheckError {
    /// An error at `key`.
    pub fn new(key: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            problem: problem.into(),
        }
    }
}

impl std::error::Error for CheckError {}
