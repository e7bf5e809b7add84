//! Failure domains that an operator empties with `chestnut`.

use serde_json::Value;

use crate::bench::Bench;

/// Calls that the leafs in a domain have run.
async fn runs(bench: &Bench, domain: &str) -> u64 {
    let mut runs = 0;
    for leaf in bench.world.leafs() {
        if leaf.domain.as_str() == domain {
            let counts = bench.get(leaf.address, "/control/ledger").await.unwrap();
            runs += counts["queries"].as_u64().unwrap();
        }
    }
    runs
}

async fn knows(bench: &Bench, entry: usize, domain: &str, version: u64) -> bool {
    let list = bench
        .get(bench.operators(entry), "/objects/evacuation")
        .await;
    list.is_some_and(|list| list[domain] == version)
}

/// Guards against an entry that goes on calling leafs of a domain which an operator
/// emptied by way of another entry, and against one that does not call them again.
#[tokio::test]
async fn an_evacuated_domain_gets_no_calls_from_any_entry() {
    let bench = Bench::start().await;
    let domain = bench.world.domains[0].to_string();
    let (status, text) = bench
        .chestnut(0, &["evacuate", &domain, "--by", "aoife"])
        .await;
    assert_eq!(status, 0, "{text}");
    for entry in 0..3 {
        let heard = async |b: &Bench| knows(b, entry, &domain, 1).await;
        bench.eventually("the evacuation is known", heard).await;
        let (_, text) = bench.chestnut(entry, &["evacuations"]).await;
        assert!(text.contains(&domain) && text.contains("aoife"), "{text}");
    }
    let before = runs(&bench, &domain).await;
    for n in 0..12 {
        let reply = bench.query(n % 3, "finals").await;
        assert_eq!(reply.status, 200, "{}", reply.json());
    }
    assert_eq!(runs(&bench, &domain).await, before);
    let (status, text) = bench.chestnut(1, &["refill", &domain]).await;
    assert_eq!(status, 0, "{text}");
    bench
        .eventually("its leafs are called again", async |b: &Bench| {
            b.query(0, "finals").await;
            runs(b, &domain).await > before
        })
        .await;
    let (_, text) = bench.chestnut(2, &["--json", "evacuations"]).await;
    let list: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(list["calls"], 0, "{text}");
}

/// Guards against a query that is held, or told as run, though no leaf may be called.
#[tokio::test]
async fn without_any_leaf_to_call_a_query_is_refused_as_not_run() {
    let bench = Bench::start().await;
    for domain in &bench.world.domains {
        let (status, text) = bench.chestnut(0, &["evacuate", domain.as_str()]).await;
        assert_eq!(status, 0, "{text}");
    }
    bench
        .eventually("every query is refused", async |b: &Bench| {
            b.query(2, "finals").await.status == 503
        })
        .await;
    let reply = bench.query(2, "finals").await;
    let body = reply.json();
    assert_eq!(body["run"], "not_run", "{body}");
    assert!(reply.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn a_domain_that_is_no_name_is_refused() {
    let bench = Bench::start().await;
    let (status, _) = bench.chestnut(0, &["evacuate", "no domain"]).await;
    assert_eq!(status, 2);
    let body = serde_json::json!({ "spec": { "evacuated": "yes" } });
    let path = "/objects/evacuation/dub-a";
    let reply = bench.put(bench.operators(0), path, body).await;
    assert_eq!(reply.status, 422, "{}", reply.json());
}
