//! The state of the whole fleet, as each entry tells it.

use std::{collections::BTreeMap, net::SocketAddr};

use serde_json::{Value, json};

use crate::{
    client::{CliError, Client},
    show::{line, table, text},
};

/// Asks the entry for its members and then each of them for itself.
pub(crate) async fn run(client: &Client, as_json: bool) -> Result<(), CliError> {
    let first = client.get("/status").await?;
    let mut asked = BTreeMap::new();
    for member in first["members"].as_array().into_iter().flatten() {
        let name = text(&member["member"]);
        asked.insert(name, ask(client, member).await);
    }
    if as_json {
        line(json!({ "members": first["members"], "asked": asked }));
        return Ok(());
    }
    print_members(&first, &asked);
    line("");
    print_versions(&asked);
    Ok(())
}

async fn ask(client: &Client, member: &Value) -> Value {
    let address: Option<SocketAddr> = member["operators"].as_str().and_then(|a| a.parse().ok());
    match address {
        Some(address) if member["liveness"] != "gone" => client
            .at(address)
            .get("/status")
            .await
            .unwrap_or(Value::Null),
        _ => Value::Null,
    }
}

fn print_members(first: &Value, asked: &BTreeMap<String, Value>) {
    let heads = [
        "MEMBER",
        "DOMAIN",
        "SEEN AS",
        "SAYS",
        "CONFIRMED MS AGO",
        "IN FLIGHT",
        "TICKETS",
    ];
    let mut rows = vec![heads.map(str::to_owned).to_vec()];
    for member in first["members"].as_array().into_iter().flatten() {
        let name = text(&member["member"]);
        let own = &asked[&name];
        let says = if own.is_null() {
            "could not be asked".to_owned()
        } else {
            text(&own["phase"])
        };
        rows.push(vec![
            name,
            text(&member["domain"]),
            text(&member["liveness"]),
            says,
            text(&own["confirmed_ms"]),
            text(&own["in_flight"]),
            text(&own["tickets"]),
        ]);
    }
    table(&rows);
}

/// Each object with the entries that have each of its versions in force.
fn print_versions(asked: &BTreeMap<String, Value>) {
    let mut rows = vec![
        ["OBJECT", "VERSION", "IN FORCE AT"]
            .map(str::to_owned)
            .to_vec(),
    ];
    for (label, key) in [("template", "templates"), ("organisation", "organisations")] {
        let mut found: BTreeMap<(String, u64), Vec<&str>> = BTreeMap::new();
        for (entry, status) in asked {
            for (name, version) in status[key].as_object().into_iter().flatten() {
                let version = version.as_u64().unwrap_or(0);
                found
                    .entry((name.clone(), version))
                    .or_default()
                    .push(entry);
            }
        }
        for ((name, version), entries) in found {
            rows.push(vec![
                format!("{label} {name}"),
                version.to_string(),
                entries.join(" "),
            ]);
        }
    }
    table(&rows);
    let silent: Vec<&str> = asked
        .iter()
        .filter(|(_, status)| status.is_null())
        .map(|(entry, _)| entry.as_str())
        .collect();
    if !silent.is_empty() {
        line(format_args!("could not be asked: {}", silent.join(" ")));
    }
}
