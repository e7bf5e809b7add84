//! Which shards an answer covers.

use serde::{Deserialize, Serialize};

use crate::{ShardName, Share};

/// Which of the requested shards contributed to an answer: how many were requested
/// and answered, and the names of the missing ones. Computed from the
/// parts that were merged, never from the query plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Number of shards that the query requested.
    pub asked: usize,
    /// Number of shards whose results are in the answer.
    pub answered: usize,
    /// Shards whose results are not in the answer.
    pub missing: Vec<ShardName>,
}

impl Coverage {
    /// Computes the coverage of an answer, where `merged[i]` is true if the
    /// results of `asked[i]` are in it.
    ///
    /// # Panics
    ///
    /// The slices have different lengths.
    #[must_use]
    pub fn from_merged(asked: &[ShardName], merged: &[bool]) -> Self {
        assert_eq!(
            asked.len(),
            merged.len(),
            "one flag for each requested shard"
        );
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

    /// Returns whether the answer covers every requested shard. False if none
    /// was requested, as such an answer says nothing about the index.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.asked > 0 && self.missing.is_empty()
    }

    /// Returns whether the answer covers at least the share `minimum` of the
    /// requested shards. False if none was requested.
    #[must_use]
    pub fn meets(&self, minimum: Share) -> bool {
        self.asked > 0 && self.answered as f64 >= minimum.as_f64() * self.asked as f64
    }
}
