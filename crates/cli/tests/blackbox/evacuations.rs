//! Tests of failure domains that an operator evacuates with `chestnut`.

use serde_json::Value;

use crate::cluster::Cluster;

/// Returns the number of queries that the leafs in a domain have run.
async fn queries_run(cluster: &Cluster, domain: &str) -> u64 {
    let mut count = 0;
    for leaf in cluster.spec.leafs() {
        if leaf.domain.as_str() == domain {
            let counts = cluster.get(leaf.address, "/control/ledger").await.unwrap();
            count += counts["queries"].as_u64().unwrap();
        }
    }
    count
}

/// Whether an entry has this version of the evacuation of a domain.
async fn has_version(cluster: &Cluster, entry: usize, domain: &str, version: u64) -> bool {
    let list = cluster
        .get(cluster.operators(entry), "/objects/evacuation")
        .await;
    list.is_some_and(|list| list[domain] == version)
}

/// Guards against an entry that calls leafs of a domain evacuated through another entry,
/// and against one that does not call them after the domain is refilled.
#[tokio::test]
async fn an_evacuated_domain_gets_no_calls_from_any_entry() {
    let cluster = Cluster::start().await;
    let domain = cluster.spec.domains[0].to_string();
    let (status, text) = cluster
        .chestnut(0, &["evacuate", &domain, "--by", "aoife"])
        .await;
    assert_eq!(status, 0, "{text}");
    for entry in 0..3 {
        let known = async |c: &Cluster| has_version(c, entry, &domain, 1).await;
        cluster.eventually("the evacuation is known", known).await;
        let (_, text) = cluster.chestnut(entry, &["evacuations"]).await;
        assert!(text.contains(&domain) && text.contains("aoife"), "{text}");
    }
    let before = queries_run(&cluster, &domain).await;
    for n in 0..12 {
        let reply = cluster.query(n % 3, "finals").await;
        assert_eq!(reply.status, 200, "{}", reply.json());
    }
    assert_eq!(queries_run(&cluster, &domain).await, before);
    let (status, text) = cluster.chestnut(1, &["refill", &domain]).await;
    assert_eq!(status, 0, "{text}");
    cluster
        .eventually("its leafs are called again", async |c: &Cluster| {
            c.query(0, "finals").await;
            queries_run(c, &domain).await > before
        })
        .await;
    let (_, text) = cluster.chestnut(2, &["--json", "evacuations"]).await;
    let list: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(list["calls"], 0, "{text}");
}

/// Guards against a query that stays queued, or is reported as run, though no leaf may be
/// called.
#[tokio::test]
async fn with_every_domain_evacuated_a_query_is_refused_as_not_run() {
    let cluster = Cluster::start().await;
    for domain in &cluster.spec.domains {
        let (status, text) = cluster.chestnut(0, &["evacuate", domain.as_str()]).await;
        assert_eq!(status, 0, "{text}");
    }
    cluster
        .eventually("every query is refused", async |c: &Cluster| {
            c.query(2, "finals").await.status == 503
        })
        .await;
    let reply = cluster.query(2, "finals").await;
    let body = reply.json();
    assert_eq!(body["run"], "not_run", "{body}");
    assert!(reply.headers.contains_key("retry-after"));
}

/// Guards against an evacuation that can't be set, shown or ended, as the name of its domain has
/// characters that separate the parts of a path.
#[tokio::test]
async fn domains_are_evacuated_whatever_their_name() {
    let cluster = Cluster::start().await;
    for domain in ["row/7", "../row", "..", "a:b"] {
        let (status, text) = cluster.chestnut(0, &["evacuate", domain]).await;
        assert_eq!(status, 0, "{domain}: {text}");
        let (status, text) = cluster.chestnut(0, &["--json", "evacuations"]).await;
        assert_eq!(status, 0, "{domain}: {text}");
        let list: Value = serde_json::from_str(&text).unwrap();
        assert_eq!(list["evacuated"][0]["domain"], domain, "{text}");
        let (status, text) = cluster.chestnut(0, &["refill", domain]).await;
        assert_eq!(status, 0, "{domain}: {text}");
    }
}

/// Guards against an invalid domain name or evacuation that reaches the store.
#[tokio::test]
async fn an_invalid_domain_name_is_refused() {
    let cluster = Cluster::start().await;
    let (status, _) = cluster.chestnut(0, &["evacuate", "no domain"]).await;
    assert_eq!(status, 2);
    let body = serde_json::json!({ "spec": { "evacuated": "yes" } });
    let path = "/objects/evacuation/dub-a";
    let reply = cluster.put(cluster.operators(0), path, body).await;
    assert_eq!(reply.status, 422, "{}", reply.json());
}
