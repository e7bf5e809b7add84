//! The status of all entries, each queried directly.

use std::{collections::BTreeMap, net::SocketAddr};

use serde_json::{Value, json};

use crate::{
    client::{CliError, Client},
    show::{cell_text, print_line, print_table},
};

/// Prints the members that the entry knows, with the status that each of them reports.
pub(crate) async fn run(client: &Client, as_json: bool) -> Result<(), CliError> {
    let first = client.get("/status").await?;
    let mut statuses = BTreeMap::new();
    for member in first["members"].as_array().into_iter().flatten() {
        let name = cell_text(&member["member"]);
        statuses.insert(name, fetch_status(client, member).await);
    }
    if as_json {
        print_line(json!({ "members": first["members"], "asked": statuses }));
        return Ok(());
    }
    print_members(&first, &statuses);
    print_line("");
    print_versions(&statuses);
    Ok(())
}

/// Queries a member for its status; null if it is gone, has no valid operators' address or
/// the query fails.
async fn fetch_status(client: &Client, member: &Value) -> Value {
    let address: Option<SocketAddr> = member["operators"].as_str().and_then(|a| a.parse().ok());
    match address {
        Some(address) if member["liveness"] != "gone" => client
            .for_entry(address)
            .get("/status")
            .await
            .unwrap_or(Value::Null),
        _ => Value::Null,
    }
}

/// Prints the members as `first` lists them, beside the status of each.
fn print_members(first: &Value, statuses: &BTreeMap<String, Value>) {
    let headings = [
        "MEMBER",
        "DOMAIN",
        "SEEN AS",
        "SAYS",
        "CONFIRMED MS AGO",
        "IN FLIGHT",
        "TICKETS",
    ];
    let mut rows = vec![headings.map(str::to_owned).to_vec()];
    for member in first["members"].as_array().into_iter().flatten() {
        let name = cell_text(&member["member"]);
        let status = &statuses[&name];
        let phase = if status.is_null() {
            "could not be asked".to_owned()
        } else {
            cell_text(&status["phase"])
        };
        rows.push(vec![
            name,
            cell_text(&member["domain"]),
            cell_text(&member["liveness"]),
            phase,
            cell_text(&status["confirmed_ms"]),
            cell_text(&status["in_flight"]),
            cell_text(&status["tickets"]),
        ]);
    }
    print_table(&rows);
}

/// Prints the versions of each template and organisation, with the entries where each is
/// in force, and the entries that gave no status.
fn print_versions(statuses: &BTreeMap<String, Value>) {
    let mut rows = vec![
        ["OBJECT", "VERSION", "IN FORCE AT"]
            .map(str::to_owned)
            .to_vec(),
    ];
    for (label, key) in [("template", "templates"), ("organisation", "organisations")] {
        let mut found: BTreeMap<(String, u64), Vec<&str>> = BTreeMap::new();
        for (entry, status) in statuses {
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
    print_table(&rows);
    let unknown: Vec<&str> = statuses
        .iter()
        .filter(|(_, status)| status.is_null())
        .map(|(entry, _)| entry.as_str())
        .collect();
    if !unknown.is_empty() {
        print_line(format_args!("could not be asked: {}", unknown.join(" ")));
    }
}
