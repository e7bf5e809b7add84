//! Errors in settings files and in objects that operators edit.

use std::path::PathBuf;

use displaydoc::Display;

/// Why a settings file can't be used: it can't be read, does not match the schema, or
/// has an invalid value.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// can't read {path}: {source}. Give an existing file to --config.
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// {path}: {message}
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Line, key and cause, as the TOML parser reports them.
        message: String,
    },
    /// {path}: {key}: {problem}. {fix}
    Value {
        /// Path of the file.
        path: PathBuf,
        /// The dotted key.
        key: &'static str,
        /// What is wrong with its value.
        problem: String,
        /// How to fix it.
        fix: &'static str,
    },
}

impl std::error::Error for SettingsError {}

/// Why an object that an operator wrote is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[displaydoc("{key}: {problem}")]
pub struct ValidationError {
    /// The dotted key in the object.
    pub key: String,
    /// What is wrong and what is allowed.
    pub problem: String,
}

impl ValidationError {
    /// Makes an error for the dotted `key`; `problem` says what is wrong and what is
    /// allowed.
    pub fn new(key: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            problem: problem.into(),
        }
    }
}

impl std::error::Error for ValidationError {}
