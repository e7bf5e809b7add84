//! Initial deployment and settings of a scenario, as the platform stores them.

use std::net::{IpAddr, Ipv4Addr};

use chestnut_conf::{ObjectKey, ObjectKind, StoredSpec};
use chestnut_fake::DeploymentSpec;
use serde_json::json;

use crate::command::Setup;

/// Name of the organisation (the customer) in every scenario.
pub(crate) const ORG: &str = "galway";
/// Name of the service in every scenario.
pub(super) const SERVICE: &str = "ladder";

/// Builds the deployment that a setup describes: entries spread over three failure
/// domains, and one service with a leaf for each replica of each shard.
pub(super) fn deployment_spec(setup: &Setup) -> DeploymentSpec {
    let host = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let domains = ["dub-a", "dub-b", "kdr-c"];
    let entries: String = (0..setup.entries)
        .map(|n| {
            let domain = domains[n % domains.len()];
            let (callers, operators, peers) = (9100 + n, 9200 + n, 9300 + n);
            format!(
                "[[entry]]\nmember = \"entry-{n}\"\ndomain = \"{domain}\"\n\
                 callers = \"{host}:{callers}\"\noperators = \"{host}:{operators}\"\n\
                 peers = \"{host}:{peers}\"\n"
            )
        })
        .collect();
    let text = format!(
        "domains = {domains:?}\nplatform = \"{host}:9000\"\n[[service]]\nname = \"{SERVICE}\"\n\
         shards = {}\nreplicas = {}\nleafs = {}\nslots = 5\nconnections = {}\nopen_ms = 6\n\
         median_ms = 4.0\ngroup = {}\nport = 9400\n{entries}",
        setup.shards,
        setup.replicas,
        setup.shards * setup.replicas,
        setup.connections,
        setup.group,
    );
    DeploymentSpec::parse(&text).expect("the text describes a valid deployment")
}

/// Returns the template and the organisation that every scenario starts with, as stored
/// objects. The template has the calls `finals`, `most` (half of the shards) and `score`.
pub(super) fn edited_objects(setup: &Setup) -> Vec<(ObjectKey, serde_json::Value)> {
    let max_unconfirmed = format!("{}ms", setup.max_unconfirmed.as_millis());
    let call = |kind: &str, answer: serde_json::Value| {
        json!({ "kind": kind, "services": [SERVICE], "urgency": "now", "answer": answer,
            "refuse": [], "deadline": "1000ms" })
    };
    let template = json!({
        "services": [SERVICE],
        "calls": {
            "finals": call("query", json!("whole")),
            "most": call("query", json!({ "least": "50%" })),
            "score": call("submit", json!("whole")),
        },
        "limits": { "rate": "100000/s", "flight": 100_000 },
        "unconfirmed": max_unconfirmed,
    });
    vec![
        stored(ObjectKind::Template, "league", template),
        stored(ObjectKind::Organisation, ORG, organisation(1)),
    ]
}

/// Returns the organisation's settings with this rate limit, in requests per
/// second.
pub(crate) fn organisation(rate: u64) -> serde_json::Value {
    json!({
        "template": "league", "services": [SERVICE],
        "limits": { "rate": format!("{rate}/s"), "flight": 100_000 },
    })
}

/// Returns the key and the stored form of an object, without edits.
fn stored(kind: ObjectKind, name: &str, spec: serde_json::Value) -> (ObjectKey, serde_json::Value) {
    let key = ObjectKey {
        kind,
        name: name.to_owned(),
    };
    let stored = StoredSpec {
        spec,
        edits: Vec::new(),
    };
    (key, serde_json::to_value(stored).expect("plain JSON"))
}
