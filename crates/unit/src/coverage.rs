//! What an answer covers.

use serde::{Deserialize, Serialize};

use crate::{ShardName, Share};

/// What an answer covers, computed from the parts that were merged and never
/// from the plan of the query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards of the snapshot that the query asked for.
    pub asked: usize,
    /// Shards whose part is in the answer.
    pub answered: usize,
    /// Shards whose part is not in the answer.
    pub missing: Vec<ShardName>,
}

impl Coverage {
    /// Coverage of an answer in which `merged[i]` tells whether the part of
    /// `asked[i]` is in the answer.
    ///
    /// # Panics
    ///
    /// The slices have different lengths.
    #[must_use]
    pub fn from_merged(asked: &[ShardName], merged: &[bool]) -> Self {
        assert_eq!(asked.len(), merged.len(), "one flag for each shard asked");
        let missing: Vec<ShardName> = asked
            .iter()
            .zip(merged)
            .filter(|(_, merged)| !**merged)
            .map(|(name, _)| name.clone())
            .collect();
        Self {
            asked: asked.len(),
            answered: asked.len() - missing.len(),
            missing,
        }
    }

    /// Whether every shard asked is in the answer. An answer that asked for
    /// nothing is not complete: it says nothing about the index.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.asked > 0 && self.missing.is_empty()
    }

    /// Whether the answer covers at least `least` of the shards asked.
    #[must_use]
    pub fn reaches(&self, least: Share) -> bool {
        self.asked > 0 && self.answered as f64 >= least.as_f64() * self.asked as f64
    }
}
