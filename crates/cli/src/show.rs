//! Commands that show what an entry knows, and how it is printed.

use std::io::Write;

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;

use crate::client::{CliError, Client};

/// Prints a line. A reader that has seen enough and closed the pipe, as `head`
/// does, is no error: the command ends as it would have.
pub(crate) fn line(text: impl std::fmt::Display) {
    let written = writeln!(std::io::stdout(), "{text}");
    if written.is_err() {
        std::process::exit(0);
    }
}

/// Prints rows as columns, the first row as their heads.
pub(crate) fn table(rows: &[Vec<String>]) {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells.map(|(cell, w)| format!("{cell:w$}")).collect();
        line(cells.join("  ").trim_end());
    }
}

/// A JSON value as a cell: strings without their quotes, null as a dash.
pub(crate) fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// JSON over several lines.
pub(crate) fn pretty(value: &Value) -> String {
    format!("{value:#}")
}

/// The entries, from the entry's own view of the members.
pub(crate) async fn entries(client: &Client, as_json: bool) -> Result<(), CliError> {
    let reply = client.get("/entries").await?;
    if as_json {
        line(&reply);
        return Ok(());
    }
    let heads = ["ENTRY", "ADDRESS", "DOMAIN"];
    print_list(&reply["entries"], &heads, &["entry", "address", "domain"]);
    line(format_args!(
        "callers keep this list for {} ms",
        reply["ttl_ms"]
    ));
    Ok(())
}

/// The back ends of the entry.
pub(crate) async fn targets(client: &Client, as_json: bool) -> Result<(), CliError> {
    let reply = client.get("/targets").await?;
    if as_json {
        line(&reply);
        return Ok(());
    }
    let heads = [
        "SERVICE",
        "TARGET",
        "PLACE",
        "STATE",
        "EVICTED MS",
        "CALLS",
        "EXPECTED MS",
        "CONNECTIONS",
    ];
    let keys = [
        "service",
        "target",
        "place",
        "state",
        "evicted_ms",
        "outstanding",
        "expected_ms",
        "connections",
    ];
    print_list(&reply, &heads, &keys);
    Ok(())
}

/// The story of one refusal.
pub(crate) async fn why(client: &Client, receipt: &str, as_json: bool) -> Result<(), CliError> {
    let reply = client.get(&format!("/why/{receipt}")).await?;
    if as_json {
        line(&reply);
        return Ok(());
    }
    line(text(&reply["sentence"]));
    for (label, key) in [
        ("reason", "reason"),
        ("run", "run"),
        ("detail", "detail"),
        ("organisation", "organisation"),
        ("service", "service"),
        ("call type", "call"),
        ("at (ms since 1970)", "at"),
        ("entry", "entry"),
        ("request", "request"),
        ("template version", "template_version"),
        ("organisation version", "org_version"),
        ("record", "record"),
    ] {
        line(format_args!("  {label:20} {}", text(&reply[key])));
    }
    Ok(())
}

/// Asks for a planned stop.
pub(crate) async fn drain(client: &Client, as_json: bool) -> Result<(), CliError> {
    let reply = client.call(Method::POST, "/drain", Bytes::new()).await?;
    if as_json {
        line(&reply);
    } else {
        line(format_args!(
            "the entry is leaving; it ends when nothing needs it any more"
        ));
    }
    Ok(())
}

/// Prints a list of JSON objects as a table.
pub(crate) fn print_list(list: &Value, heads: &[&str], keys: &[&str]) {
    let mut rows = vec![
        heads
            .iter()
            .map(|head| (*head).to_owned())
            .collect::<Vec<_>>(),
    ];
    for item in list.as_array().into_iter().flatten() {
        rows.push(keys.iter().map(|key| cell(&item[*key])).collect());
    }
    table(&rows);
}

/// A cell, with numbers rounded for reading.
fn cell(value: &Value) -> String {
    match value.as_f64() {
        Some(number) if number.fract() != 0.0 => format!("{number:.2}"),
        _ => text(value),
    }
}
