//! Versions of configuration objects in a configuration set.

use std::collections::BTreeMap;

use chestnut_conf::{
    Applied, ConfigSet, Edit, MAX_EDITS, Object, ObjectKey, ObjectKind, StoredSpec,
};
use chestnut_unit::WallTime;
use proptest::{prelude::*, test_runner::RngSeed};
use serde_json::json;

fn object(name: u8, version: u64) -> Object {
    Object {
        key: ObjectKey {
            kind: if name.is_multiple_of(2) {
                ObjectKind::Template
            } else {
                ObjectKind::Organisation
            },
            name: format!("o{name}"),
        },
        version,
        value: json!(version),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a late message restoring an old version: in any order of arrival
    /// the newest version stays, and equal sets have equal digests.
    #[test]
    fn newest_version_stays_in_any_order(
        offers in prop::collection::vec((0u8..6, 1u64..8), 0..60),
    ) {
        let mut config = ConfigSet::default();
        let mut expected: BTreeMap<ObjectKey, u64> = BTreeMap::new();
        for (name, version) in &offers {
            let offered = object(*name, *version);
            let newest = expected.get(&offered.key).copied().unwrap_or(0);
            let applied = config.apply(offered.clone());
            prop_assert_eq!(applied == Applied::New, *version > newest);
            expected.insert(offered.key, newest.max(*version));
            prop_assert_eq!(config.keys(), expected.clone());
        }
        let mut other = ConfigSet::default();
        for (name, version) in offers.iter().rev() {
            other.apply(object(*name, *version));
        }
        prop_assert_eq!(config.digest(), other.digest());
        prop_assert!(config.newer_than(&other.keys()).is_empty());
    }
}

/// Guards against an edit history that grows without limit.
#[test]
fn stored_object_keeps_only_its_latest_edits() {
    let mut stored: Option<StoredSpec> = None;
    for version in 1..=100 {
        let edit = Edit {
            id: format!("e{version}"),
            version,
            by: String::new(),
            at: WallTime(version),
        };
        stored = Some(StoredSpec::with_edit(stored.as_ref(), json!({}), edit));
    }
    let edits = stored.unwrap().edits;
    assert_eq!(edits.len(), MAX_EDITS);
    assert_eq!(edits.last().unwrap().version, 100);
}
