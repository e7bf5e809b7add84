//! Evacuation: taking all traffic away from the leafs of a failure domain.

use serde::{Deserialize, Serialize};

/// Whether a failure domain is evacuated. The object's name is the domain's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {
    /// If true, the domain's leafs get no calls.
    pub evacuated: bool,
}
