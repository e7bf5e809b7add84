//! Failure domains whose leafs get no calls.

use serde::{Deserialize, Serialize};

/// What an operator wants of a failure domain, which names the object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {
    /// Whether its leafs get no calls.
    pub evacuated: bool,
}
