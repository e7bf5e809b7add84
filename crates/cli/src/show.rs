//! Commands that print an entry's state, and functions for printing.

use std::io::Write;

use bytes::Bytes;
use chestnut_port::path_segment;
use hyper::Method;
use serde_json::Value;

use crate::client::{CliError, Client};

/// Prints a line. Exits with status 0 if the write fails: a reader that closes the
/// pipe early, such as `head`, is no error.
pub(crate) fn print_line(text: impl std::fmt::Display) {
    let written = writeln!(std::io::stdout(), "{text}");
    if written.is_err() {
        std::process::exit(0);
    }
}

/// Prints rows as aligned columns; the first row holds the column headings.
pub(crate) fn print_table(rows: &[Vec<String>]) {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells.map(|(cell, w)| format!("{cell:w$}")).collect();
        print_line(cells.join("  ").trim_end());
    }
}

/// Formats a JSON value as a table cell: strings without quotes, null as a dash.
pub(crate) fn cell_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Formats JSON over several lines.
pub(crate) fn pretty(value: &Value) -> String {
    format!("{value:#}")
}

/// Prints the list of entries that callers receive, and how long they keep it.
pub(crate) async fn entries(client: &Client, as_json: bool) -> Result<(), CliError> {
    let reply = client.get("/entries").await?;
    if as_json {
        print_line(&reply);
        return Ok(());
    }
    let headings = ["ENTRY", "ADDRESS", "DOMAIN"];
    print_objects(
        &reply["entries"],
        &headings,
        &["entry", "address", "domain"],
    );
    print_line(format_args!(
        "callers keep this list for {} ms",
        reply["ttl_ms"]
    ));
    Ok(())
}

/// Prints the back ends of the entry: place, state, calls, latency and connections.
pub(crate) async fn targets(client: &Client, as_json: bool) -> Result<(), CliError> {
    let reply = client.get("/targets").await?;
    if as_json {
        print_line(&reply);
        return Ok(());
    }
    let headings = [
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
    print_objects(&reply, &headings, &keys);
    Ok(())
}

/// Prints the explanation of the refusal with this receipt: a sentence, then its details.
pub(crate) async fn why(client: &Client, receipt: &str, as_json: bool) -> Result<(), CliError> {
    let reply = client
        .get(&format!("/why/{}", path_segment(receipt)))
        .await?;
    if as_json {
        print_line(&reply);
        return Ok(());
    }
    print_line(cell_text(&reply["sentence"]));
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
        print_line(format_args!("  {label:20} {}", cell_text(&reply[key])));
    }
    Ok(())
}

/// Starts a planned stop of the entry and prints a confirmation, without waiting for its
/// end.
pub(crate) async fn drain(client: &Client, as_json: bool) -> Result<(), CliError> {
    let reply = client.call(Method::POST, "/drain", Bytes::new()).await?;
    if as_json {
        print_line(&reply);
    } else {
        print_line(format_args!(
            "the entry is leaving; it exits when no caller or request depends on it"
        ));
    }
    Ok(())
}

/// Prints a list of JSON objects as a table; `keys` names the field of each column.
pub(crate) fn print_objects(list: &Value, headings: &[&str], keys: &[&str]) {
    let mut rows = vec![
        headings
            .iter()
            .map(|heading| (*heading).to_owned())
            .collect::<Vec<_>>(),
    ];
    for item in list.as_array().into_iter().flatten() {
        rows.push(keys.iter().map(|key| rounded_cell(&item[*key])).collect());
    }
    print_table(&rows);
}

/// Formats a JSON value as a table cell, with fractions rounded to two digits.
pub(crate) fn rounded_cell(value: &Value) -> String {
    match value.as_f64() {
        Some(number) if number.fract() != 0.0 => format!("{number:.2}"),
        Some(number) if value.is_f64() => format!("{number:.0}"),
        _ => cell_text(value),
    }
}
