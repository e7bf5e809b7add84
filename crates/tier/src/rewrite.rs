//! Writes edits again that the platform lost when it was restored from an older copy.
//!
//! An accepted edit stays in force at the entries, whatever the platform holds. Without it the
//! platform would give its version out again for another edit, which no entry would put in force.

use std::{collections::BTreeMap, sync::Arc};

use chestnut_conf::{ObjectKey, ObjectKind};
use slog::{info, warn};

use crate::shared::{Shared, lock};

/// Versions of an object that are written again, one write each.
const MAX_VERSIONS: u64 = 64;

/// Returns whether operators edit objects of this kind; others are written by the platform.
fn is_edited(kind: ObjectKind) -> bool {
    match kind {
        ObjectKind::Template | ObjectKind::Organisation | ObjectKind::Evacuation => true,
        ObjectKind::Service | ObjectKind::Layout | ObjectKind::Refusal => false,
    }
}

/// Returns whether an edit of an object is in force that the platform, which returned version
/// `stored` (0 if it holds none), has lost or did not return yet.
pub(crate) fn is_lost(shared: &Shared, key: &ObjectKey, stored: u64) -> bool {
    let conf = lock(&shared.conf);
    let known = conf.objects.get(key.kind, &key.name);
    is_edited(key.kind) && known.is_some_and(|known| known.version > stored)
}

/// Writes all objects of a kind again that the restored platform lacks; it holds the versions
/// `stored`, by name.
pub(crate) async fn write_lost(
    shared: &Arc<Shared>,
    kind: ObjectKind,
    stored: &BTreeMap<String, u64>,
) {
    let known: Vec<String> = {
        let conf = lock(&shared.conf);
        let names = conf.objects.list(kind).map(|(name, _)| name.to_owned());
        names.collect()
    };
    for name in known {
        let version = stored.get(&name).copied().unwrap_or(0);
        let key = ObjectKey { kind, name };
        if is_lost(shared, &key, version) {
            write_again(shared, &key, version).await;
        }
    }
}

/// Writes an object that the platform holds at version `stored` until it has the version in
/// force.
///
/// Each write takes effect only at the version before. So it does no harm if `stored` comes
/// from a stale read, or if other entries do the same.
pub(crate) async fn write_again(shared: &Arc<Shared>, key: &ObjectKey, stored: u64) {
    let known = {
        let conf = lock(&shared.conf);
        let known = conf.objects.get(key.kind, &key.name);
        known.map(|known| (known.version, known.value.clone()))
    };
    let Some((version, value)) = known else {
        return;
    };
    if version - stored.min(version) > MAX_VERSIONS {
        warn!(shared.runtime.log, "conf: {key} version {version} can't be written again, too many versions are missing";
            "stored" => stored);
        return;
    }
    for expected in stored..version {
        let written = shared
            .platform
            .put(key.clone(), expected, value.clone())
            .await;
        if let Err(error) = written {
            info!(shared.runtime.log, "conf: {key} version {version} was not written again";
                "stored" => expected, "why" => %error);
            return;
        }
    }
    warn!(shared.runtime.log, "conf: wrote {key} version {version} again, which the platform had lost";
        "stored" => stored);
}
