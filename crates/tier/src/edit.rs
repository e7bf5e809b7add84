//! Edits of templates, organisations and evacuations.
//!
//! An edit is accepted once the conditional write of the object succeeds. An
//! object lists the ids of its edits, so an attempt whose response was lost can
//! be repeated: it takes effect now, conflicts with another edit, or finds that
//! it already took effect.

use std::{sync::Arc, time::Duration};

use chestnut_conf::{
    Edit, Evacuation, Object, ObjectKey, ObjectKind, Organisation, StoredSpec, Template,
};
use chestnut_port::PlatformError;
use chestnut_unit::DomainName;
use serde::de::DeserializeOwned;
use slog::{info, warn};
use tokio::time::sleep;

use crate::{
    api::{EditError, EditReply},
    propagation, rewrite,
    shared::{Shared, lock},
};

/// Attempts to write an edit before it is given up as unavailable or
/// unconfirmed.
const MAX_ATTEMPTS: u32 = 5;
/// Delay after an attempt that got no answer or a conflict.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// An edit requested by an operator: the object and its new content, the
/// expected version, the edit's id and its author.
#[derive(Clone, Debug)]
pub(crate) struct EditRequest {
    /// The object to edit.
    pub(crate) key: ObjectKey,
    /// The version that the operator read; `None` overwrites any version.
    pub(crate) expected: Option<u64>,
    /// The new content of the object.
    pub(crate) spec: serde_json::Value,
    /// The id of the edit; a request that repeats an id is idempotent.
    pub(crate) edit_id: String,
    /// The operator, for the edit history.
    pub(crate) author: String,
}

/// Validates an edit, writes it to the platform with retries, and applies it
/// here and at some peers, which forward it.
///
/// # Errors
///
/// The edit is invalid or conflicts with another one, or the platform gave no
/// answer in all attempts.
pub(crate) async fn put(
    shared: &Arc<Shared>,
    request: EditRequest,
) -> Result<EditReply, EditError> {
    check(shared, &request)?;
    let mut sent = false;
    for _ in 0..MAX_ATTEMPTS {
        match attempt(shared, &request).await {
            Ok(reply) => return Ok(reply),
            Err(Attempt::Final(error)) => return Err(error),
            Err(Attempt::ReadFailed) => {}
            Err(Attempt::Unknown) => sent = true,
        }
        sleep(RETRY_BACKOFF).await;
    }
    warn!(shared.runtime.log, "conf: gave up on the edit of {}: no answer from the platform",
        request.key; "edit" => &request.edit_id);
    if sent {
        Err(EditError::Unconfirmed {
            id: request.edit_id,
        })
    } else {
        Err(EditError::Unavailable)
    }
}

/// Why an attempt to write an edit did not succeed.
enum Attempt {
    /// The edit failed; it is not retried.
    Final(EditError),
    /// The object could not be read, or only as it was before an edit that is in
    /// force. The edit was not written.
    ReadFailed,
    /// The write conflicted or got no response; it may have taken effect.
    Unknown,
}

/// Reads the object and writes the edit once, unless its history shows that it
/// already took effect; applies the object here and at peers on success. The
/// error says whether to try again.
async fn attempt(shared: &Arc<Shared>, request: &EditRequest) -> Result<EditReply, Attempt> {
    let current = match shared.platform.get(request.key.clone()).await {
        Ok(current) => current,
        Err(PlatformError::Unavailable) => return Err(Attempt::ReadFailed),
        Err(error) => return Err(Attempt::Final(EditError::Invalid(error.to_string()))),
    };
    let version = current.as_ref().map_or(0, |object| object.version);
    if rewrite::is_lost(shared, &request.key, version) {
        // A new edit would get the version of one that is in force.
        rewrite::write_again(shared, &request.key, version).await;
        return Err(Attempt::ReadFailed);
    }
    let stored = current.as_ref().and_then(parse_stored);
    if let Some(applied) = stored.as_ref().and_then(|s| find_edit(s, &request.edit_id)) {
        if let Some(object) = current {
            apply_edit(shared, request, object);
        }
        return Ok(applied);
    }
    if request.expected.is_some_and(|expected| expected != version) {
        return Err(Attempt::Final(EditError::Conflict { current: version }));
    }
    let edit = Edit {
        id: request.edit_id.clone(),
        version: version + 1,
        by: request.author.clone(),
        at: shared.runtime.clock.wall(),
    };
    let next = StoredSpec::with_edit(stored.as_ref(), request.spec.clone(), edit);
    let value = serde_json::to_value(next).expect("stored objects serialize to JSON");
    let written = shared
        .platform
        .put(request.key.clone(), version, value.clone())
        .await;
    match written {
        Ok(version) => {
            let object = Object {
                key: request.key.clone(),
                version,
                value,
            };
            apply_edit(shared, request, object);
            Ok(EditReply {
                version,
                id: request.edit_id.clone(),
            })
        }
        // A conflict comes from another edit or from an earlier attempt of this
        // one; the next read shows which.
        Err(PlatformError::Conflict { .. } | PlatformError::Unavailable) => Err(Attempt::Unknown),
        Err(error) => Err(Attempt::Final(EditError::Invalid(error.to_string()))),
    }
}

/// Logs an accepted edit, applies its object here and sends it to a few peers.
fn apply_edit(shared: &Arc<Shared>, request: &EditRequest, object: Object) {
    info!(shared.runtime.log, "conf: accepted {} version {}", request.key, object.version;
        "edit" => &request.edit_id, "by" => &request.author);
    propagation::apply_and_forward(shared, vec![object], "an edit here");
}

/// Decodes the content and edit history of an object; `None` if it has another
/// form.
fn parse_stored(object: &Object) -> Option<StoredSpec> {
    serde_json::from_value(object.value.clone()).ok()
}

/// Finds an edit by id in the history of an object; `None` if the history
/// doesn't contain it.
fn find_edit(stored: &StoredSpec, id: &str) -> Option<EditReply> {
    stored
        .edits
        .iter()
        .find(|edit| edit.id == id)
        .map(|edit| EditReply {
            version: edit.version,
            id: edit.id.clone(),
        })
}

/// Validates the content of an edit without writing it. An organisation is also
/// checked against its template.
///
/// # Errors
///
/// The content is invalid, the template of an organisation does not exist, or
/// objects of this kind can't be edited.
pub(crate) fn check(shared: &Shared, request: &EditRequest) -> Result<(), EditError> {
    match request.key.kind {
        ObjectKind::Template => {
            let template: Template = parse(&request.spec)?;
            template.check().map_err(check_error)
        }
        ObjectKind::Organisation => {
            let org: Organisation = parse(&request.spec)?;
            let conf = lock(&shared.conf);
            let Some((_, template)) = conf.objects.template(&org.template) else {
                let problem = format!("template: {} does not exist", org.template);
                return Err(EditError::Invalid(problem));
            };
            org.check(&template).map_err(check_error)
        }
        ObjectKind::Evacuation => {
            let _: Evacuation = parse(&request.spec)?;
            let name = DomainName::new(&request.key.name);
            name.map(drop)
                .map_err(|error| EditError::Invalid(error.to_string()))
        }
        kind @ (ObjectKind::Service | ObjectKind::Layout | ObjectKind::Refusal) => {
            let problem = format!("{kind} objects are written by the platform, not edited here");
            Err(EditError::Invalid(problem))
        }
    }
}

/// Deserializes the content of an edit; the error is [`EditError::Invalid`].
fn parse<T: DeserializeOwned>(spec: &serde_json::Value) -> Result<T, EditError> {
    T::deserialize(spec).map_err(|error| EditError::Invalid(error.to_string()))
}

/// Converts a validation error to [`EditError::Invalid`].
fn check_error(error: chestnut_conf::ValidationError) -> EditError {
    EditError::Invalid(error.to_string())
}
