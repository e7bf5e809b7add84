//! Checks that the shipped examples are valid.

use std::path::{Path, PathBuf};

use chestnut_conf::{ConfigSet, Object, ObjectKind, Organisation, Template};
use chestnut_fake::{DeploymentSpec, demo::read_objects};
use chestnut_unit::OrgName;
use rstest::rstest;

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// Guards against an example that the entries would reject.
#[rstest]
#[case("flipperhouse")]
#[case("pollen")]
fn templates_and_organisations_pass_their_checks(#[case] name: &str) {
    let mut config = ConfigSet::default();
    for (key, value) in read_objects(&folder(name)).unwrap() {
        config.apply(Object {
            key,
            version: 1,
            value,
        });
    }
    let mut checked = 0;
    for template in config.versions(ObjectKind::Template).keys() {
        let (_, template): (u64, Template) =
            config.parse_spec(ObjectKind::Template, template).unwrap();
        template.check().unwrap();
        checked += 1;
    }
    for org in config.versions(ObjectKind::Organisation).keys() {
        let (_, parsed): (u64, Organisation) =
            config.parse_spec(ObjectKind::Organisation, org).unwrap();
        let (_, template) = config.template(&parsed.template).unwrap();
        parsed.check(&template).unwrap();
        assert!(config.policy(&OrgName::new(org).unwrap()).is_some());
        checked += 1;
    }
    assert!(checked >= 4);
}

/// Guards against accidental changes to the size of an example.
#[rstest]
#[case("flipperhouse", 94)]
#[case("pollen", 105)]
fn examples_have_the_expected_sizes(#[case] name: &str, #[case] leafs: usize) {
    let spec = DeploymentSpec::open(&folder(name).join("world.toml")).unwrap();
    assert_eq!(spec.domains.len(), 3);
    assert_eq!(spec.entry.len(), 7);
    assert_eq!(spec.leafs().len(), leafs);
    assert!(spec.leafs().iter().all(|leaf| !leaf.shards.is_empty()));
}
