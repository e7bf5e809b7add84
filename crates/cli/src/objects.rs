//! The actions on templates and organisations.

use std::path::Path;

use bytes::Bytes;
use chestnut_conf::ObjectKind;
use chestnut_port::{object_path, path_segment};
use hyper::Method;
use serde_json::{Value, json};

use crate::{
    Action,
    client::{CliError, Client},
    show::{cell_text, pretty, print_line, print_table},
};

/// Runs an action on the objects of one kind and prints the result. Fails if the entry
/// can't be reached or refuses, or a file can't be read.
pub(crate) async fn run(
    client: &Client,
    kind: ObjectKind,
    action: Action,
    as_json: bool,
) -> Result<(), CliError> {
    match action {
        Action::List => list(client, kind, as_json).await,
        Action::Get { name } => get(client, kind, &name, as_json).await,
        Action::Check { name, file } => {
            let body = json!({ "spec": read_json(&file)? });
            let path = format!("/check/{kind}/{}", path_segment(&name));
            let reply = send(client, Method::POST, &path, body).await?;
            print_reply(&reply, as_json, || format!("{}: good", file.display()));
            Ok(())
        }
        Action::Put {
            name,
            file,
            expected,
            edit,
            by,
        } => {
            let body = json!({
                "spec": read_json(&file)?, "expected": expected, "edit": edit, "by": by,
            });
            let path = object_path(kind.as_str(), &name);
            let reply = send(client, Method::PUT, &path, body).await?;
            print_reply(&reply, as_json, || {
                format!("{kind} {name}: version {} is accepted", reply["version"])
            });
            Ok(())
        }
        Action::History { name } => history(client, kind, &name, as_json).await,
    }
}

/// Sends a request with a JSON body; returns the reply or fails as [`Client::call`] does.
async fn send(client: &Client, method: Method, path: &str, body: Value) -> Result<Value, CliError> {
    client
        .call(method, path, Bytes::from(body.to_string()))
        .await
}

/// Prints a reply, as JSON or as `human` formats it.
fn print_reply(reply: &Value, as_json: bool, human: impl Fn() -> String) {
    if as_json {
        print_line(reply);
    } else {
        print_line(human());
    }
}

/// Reads and parses a JSON file; fails with [`CliError::File`].
fn read_json(file: &Path) -> Result<Value, CliError> {
    let fail = |e: &dyn std::fmt::Display| CliError::File(file.to_owned(), e.to_string());
    let content = std::fs::read_to_string(file).map_err(|e| fail(&e))?;
    serde_json::from_str(&content).map_err(|e| fail(&e))
}

/// Prints the names and versions of all objects of a kind.
async fn list(client: &Client, kind: ObjectKind, as_json: bool) -> Result<(), CliError> {
    let reply = client.get(&format!("/objects/{kind}")).await?;
    if as_json {
        print_line(reply);
        return Ok(());
    }
    let mut rows = vec![vec!["NAME".to_owned(), "VERSION".to_owned()]];
    for (name, version) in reply.as_object().into_iter().flatten() {
        rows.push(vec![name.clone(), version.to_string()]);
    }
    print_table(&rows);
    Ok(())
}

/// Prints the specification of an object; its version goes to standard error. With
/// `as_json`, prints the whole reply instead.
async fn get(client: &Client, kind: ObjectKind, name: &str, as_json: bool) -> Result<(), CliError> {
    let reply = client.get(&object_path(kind.as_str(), name)).await?;
    if as_json {
        print_line(reply);
    } else {
        eprintln!("version {}", reply["version"]);
        print_line(pretty(&reply["spec"]));
    }
    Ok(())
}

/// Prints the stored edits of an object: version, time, author and id.
async fn history(
    client: &Client,
    kind: ObjectKind,
    name: &str,
    as_json: bool,
) -> Result<(), CliError> {
    let reply = client.get(&object_path(kind.as_str(), name)).await?;
    if as_json {
        print_line(&reply["edits"]);
        return Ok(());
    }
    let mut rows = vec![
        ["VERSION", "AT (MS SINCE 1970)", "BY", "EDIT"]
            .map(str::to_owned)
            .to_vec(),
    ];
    for edit in reply["edits"].as_array().into_iter().flatten() {
        rows.push(vec![
            edit["version"].to_string(),
            edit["at"].to_string(),
            cell_text(&edit["by"]),
            cell_text(&edit["id"]),
        ]);
    }
    print_table(&rows);
    Ok(())
}
