//! Edits of templates and organisations.
//!
//! Accepted means that the conditional update took effect. A write whose
//! answer was lost is settled by repeating it with the same expected version:
//! either it takes effect now, or the conflict shows whether the object
//! already carries this edit's id.

use std::{sync::Arc, time::Duration};

use chestnut_conf::{Edit, Evacuation, Kind, Object, ObjectKey, Organisation, Stored, Template};
use chestnut_port::PlatformError;
use chestnut_unit::DomainName;
use serde::de::DeserializeOwned;
use slog::{info, warn};
use tokio::time::sleep;

use crate::{
    api::{EditError, EditReply},
    shared::{Shared, lock},
    spread,
};

/// Times that a write without an answer is repeated.
const TRIES: u32 = 5;
/// Rest between two tries.
const REST: Duration = Duration::from_millis(200);

/// An edit that an operator asks for.
#[derive(Clone, Debug)]
pub(crate) struct EditRequest {
    pub(crate) key: ObjectKey,
    /// The version that the operator read; `None` edits whatever is there.
    pub(crate) expected: Option<u64>,
    pub(crate) spec: serde_json::Value,
    /// The id of the edit; repeating an id repeats the edit, never doubles it.
    pub(crate) id: String,
    pub(crate) by: String,
}

/// Checks an edit, writes it, and puts it in force here and at the peers.
pub(crate) async fn put(shared: &Arc<Shared>, ask: EditRequest) -> Result<EditReply, EditError> {
    check(shared, &ask)?;
    let mut asked = false;
    for _ in 0..TRIES {
        match try_once(shared, &ask).await {
            Ok(reply) => return Ok(reply),
            Err(Try::Final(error)) => return Err(error),
            Err(Try::Unread) => {}
            Err(Try::Unanswered) => asked = true,
        }
        sleep(REST).await;
    }
    warn!(shared.host.log, "conf: edit of {} got no answer", ask.key; "edit" => &ask.id);
    if asked {
        Err(EditError::Unsettled { id: ask.id })
    } else {
        Err(EditError::Outage)
    }
}

/// Why one try of an edit did not settle it.
enum Try {
    /// It is settled, as an error.
    Final(EditError),
    /// The object could not be read, so nothing was written.
    Unread,
    /// The write got no answer and may have taken effect.
    Unanswered,
}

async fn try_once(shared: &Arc<Shared>, ask: &EditRequest) -> Result<EditReply, Try> {
    let current = match shared.platform.get(ask.key.clone()).await {
        Ok(current) => current,
        Err(PlatformError::Unavailable) => return Err(Try::Unread),
        Err(error) => return Err(Try::Final(EditError::Check(error.to_string()))),
    };
    let version = current.as_ref().map_or(0, |object| object.version);
    let stored = current.as_ref().and_then(stored_of);
    if let Some(done) = stored.as_ref().and_then(|s| find(s, &ask.id)) {
        if let Some(object) = current {
            accept(shared, ask, object);
        }
        return Ok(done);
    }
    if ask.expected.is_some_and(|expected| expected != version) {
        return Err(Try::Final(EditError::Conflict { current: version }));
    }
    let edit = Edit {
        id: ask.id.clone(),
        version: version + 1,
        by: ask.by.clone(),
        at: shared.host.clock.wall(),
    };
    let next = Stored::next(stored.as_ref(), ask.spec.clone(), edit);
    let value = serde_json::to_value(next).expect("stored objects are plain JSON");
    let written = shared
        .platform
        .put(ask.key.clone(), version, value.clone())
        .await;
    match written {
        Ok(version) => {
            let object = Object {
                key: ask.key.clone(),
                version,
                value,
            };
            accept(shared, ask, object);
            Ok(EditReply {
                version,
                id: ask.id.clone(),
            })
        }
        // Somebody else's edit came first, or this one's earlier try did; the
        // next read tells.
        Err(PlatformError::Conflict { .. } | PlatformError::Unavailable) => Err(Try::Unanswered),
        Err(error) => Err(Try::Final(EditError::Check(error.to_string()))),
    }
}

fn accept(shared: &Arc<Shared>, ask: &EditRequest, object: Object) {
    info!(shared.host.log, "conf: accepted {} version {}", ask.key, object.version;
        "edit" => &ask.id, "by" => &ask.by);
    spread::take(shared, vec![object], "an edit here");
}

fn stored_of(object: &Object) -> Option<Stored> {
    serde_json::from_value(object.value.clone()).ok()
}

fn find(stored: &Stored, id: &str) -> Option<EditReply> {
    stored
        .edits
        .iter()
        .find(|edit| edit.id == id)
        .map(|edit| EditReply {
            version: edit.version,
            id: edit.id.clone(),
        })
}

/// Checks the form of an object, and an organisation against its template.
pub(crate) fn check(shared: &Shared, ask: &EditRequest) -> Result<(), EditError> {
    match ask.key.kind {
        Kind::Template => {
            let template: Template = parse(&ask.spec)?;
            template.check().map_err(wrong)
        }
        Kind::Organisation => {
            let org: Organisation = parse(&ask.spec)?;
            let conf = lock(&shared.conf);
            let Some((_, template)) = conf.book.template(&org.template) else {
                let problem = format!("template: {} does not exist", org.template);
                return Err(EditError::Check(problem));
            };
            org.check(&template).map_err(wrong)
        }
        Kind::Evacuation => {
            let _: Evacuation = parse(&ask.spec)?;
            let name = DomainName::new(&ask.key.name);
            name.map(drop)
                .map_err(|error| EditError::Check(error.to_string()))
        }
        kind @ (Kind::Service | Kind::Layout | Kind::Refusal) => {
            let problem = format!("{kind} objects are written by the platform, not edited here");
            Err(EditError::Check(problem))
        }
    }
}

fn parse<T: DeserializeOwned>(spec: &serde_json::Value) -> Result<T, EditError> {
    T::deserialize(spec).map_err(|error| EditError::Check(error.to_string()))
}

fn wrong(error: chestnut_conf::CheckError) -> EditError {
    EditError::Check(error.to_string())
}
