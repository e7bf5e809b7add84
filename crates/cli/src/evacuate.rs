//! Failure domains whose leafs get no calls.

use bytes::Bytes;
use chestnut_conf::{Evacuation, Kind};
use chestnut_unit::DomainName;
use hyper::Method;
use serde_json::{Value, json};

use crate::{
    client::{CliError, Client},
    show::{line, table, text},
};

/// Empties a domain, or has its leafs called again.
pub(crate) async fn set(
    client: &Client,
    domain: &DomainName,
    evacuated: bool,
    by: &str,
    as_json: bool,
) -> Result<(), CliError> {
    let body = json!({ "spec": Evacuation { evacuated }, "by": by });
    let path = format!("/objects/{}/{domain}", Kind::Evacuation);
    let body = Bytes::from(body.to_string());
    let reply = client.call(Method::PUT, &path, body).await?;
    if as_json {
        line(&reply);
        return Ok(());
    }
    let word = if evacuated {
        "is evacuated"
    } else {
        "is refilled"
    };
    line(format_args!(
        "domain {domain} {word}: version {} is accepted",
        reply["version"]
    ));
    Ok(())
}

/// Lists evacuated domains.
pub(crate) async fn list(client: &Client, as_json: bool) -> Result<(), CliError> {
    let kind = Kind::Evacuation;
    let names = client.get(&format!("/objects/{kind}")).await?;
    let mut found = Vec::new();
    for name in names
        .as_object()
        .into_iter()
        .flatten()
        .map(|(name, _)| name)
    {
        let object = client.get(&format!("/objects/{kind}/{name}")).await?;
        if object["spec"]["evacuated"] == true {
            found.push((name.clone(), object));
        }
    }
    let calls = under_way(&client.get("/targets").await?);
    if as_json {
        let domains: Vec<Value> = found
            .iter()
            .map(|(name, object)| json!({ "domain": name, "version": object["version"] }))
            .collect();
        line(json!({ "evacuated": domains, "calls": calls }));
        return Ok(());
    }
    let mut rows = vec![["DOMAIN", "VERSION", "BY"].map(str::to_owned).to_vec()];
    for (name, object) in &found {
        let last = object["edits"].as_array().and_then(|edits| edits.last());
        let by = last.map_or_else(String::new, |edit| text(&edit["by"]));
        rows.push(vec![name.clone(), object["version"].to_string(), by]);
    }
    table(&rows);
    line(format_args!("{calls} calls under way to leafs there"));
    Ok(())
}

/// Calls of the entry to leafs of evacuated domains.
fn under_way(targets: &Value) -> u64 {
    let targets = targets.as_array().into_iter().flatten();
    let there = targets.filter(|target| target["state"] == "evacuated");
    there
        .filter_map(|target| target["outstanding"].as_u64())
        .sum()
}
