//! Evacuations: failure domains whose leafs (back ends) get no calls.

use bytes::Bytes;
use chestnut_conf::{Evacuation, ObjectKind};
use chestnut_port::object_path;
use chestnut_unit::DomainName;
use hyper::Method;
use serde_json::{Value, json};

use crate::{
    client::{CliError, Client},
    show::{cell_text, print_line, print_table},
};

/// Evacuates a failure domain, or ends its evacuation if `evacuated` is false, and prints
/// the accepted version. `by` is the author of the edit.
pub(crate) async fn set(
    client: &Client,
    domain: &DomainName,
    evacuated: bool,
    by: &str,
    as_json: bool,
) -> Result<(), CliError> {
    let body = json!({ "spec": Evacuation { evacuated }, "by": by });
    let path = object_path(ObjectKind::Evacuation.as_str(), domain.as_str());
    let body = Bytes::from(body.to_string());
    let reply = client.call(Method::PUT, &path, body).await?;
    if as_json {
        print_line(&reply);
        return Ok(());
    }
    let change = if evacuated {
        "is evacuated"
    } else {
        "is refilled"
    };
    print_line(format_args!(
        "domain {domain} {change}: version {} is accepted",
        reply["version"]
    ));
    Ok(())
}

/// Prints the evacuated failure domains and the number of this entry's calls in progress
/// to their leafs.
pub(crate) async fn list(client: &Client, as_json: bool) -> Result<(), CliError> {
    let kind = ObjectKind::Evacuation;
    let names = client.get(&format!("/objects/{kind}")).await?;
    let mut evacuations = Vec::new();
    for name in names
        .as_object()
        .into_iter()
        .flatten()
        .map(|(name, _)| name)
    {
        let object = client.get(&object_path(kind.as_str(), name)).await?;
        if object["spec"]["evacuated"] == true {
            evacuations.push((name.clone(), object));
        }
    }
    let calls = calls_in_progress(&client.get("/targets").await?);
    if as_json {
        let domains: Vec<Value> = evacuations
            .iter()
            .map(|(name, object)| json!({ "domain": name, "version": object["version"] }))
            .collect();
        print_line(json!({ "evacuated": domains, "calls": calls }));
        return Ok(());
    }
    let mut rows = vec![["DOMAIN", "VERSION", "BY"].map(str::to_owned).to_vec()];
    for (name, object) in &evacuations {
        let last = object["edits"].as_array().and_then(|edits| edits.last());
        let by = last.map_or_else(String::new, |edit| cell_text(&edit["by"]));
        rows.push(vec![name.clone(), object["version"].to_string(), by]);
    }
    print_table(&rows);
    print_line(format_args!(
        "{calls} calls in progress to leafs of evacuated domains"
    ));
    Ok(())
}

/// Returns the number of the entry's calls in progress to leafs of evacuated domains;
/// `targets` is the entry's list of back ends.
fn calls_in_progress(targets: &Value) -> u64 {
    let targets = targets.as_array().into_iter().flatten();
    let evacuated = targets.filter(|target| target["state"] == "evacuated");
    evacuated
        .filter_map(|target| target["outstanding"].as_u64())
        .sum()
}
