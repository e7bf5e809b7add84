//! Identifies the organisation that sends a request, by its key.

use std::{sync::Arc, time::Duration};

use chestnut_book::{KeyDigest, Organisation, RouteBook, Rule};
use chestnut_flow::lock;

use crate::{forward::DeclineReason, shared::Shared};

/// The key that came with a request, as the front end read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// It was not read, as no organisations were known; the request is forwarded as it came.
    Unread,
    /// There is none.
    Missing,
    /// It can't be read: of another form, or more than one.
    Malformed,
    /// A key of this digest. The key itself has been removed from the request.
    Key(KeyDigest),
}

impl Credential {
    /// The first digits of the key's digest, for logs; empty without a key.
    pub(crate) fn prefix(self) -> String {
        match self {
            Self::Unread | Self::Missing | Self::Malformed => String::new(),
            Self::Key(digest) => digest.prefix(),
        }
    }
}

/// Why a key does not identify an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyFault {
    /// The request carries none, and its rule is not public.
    Missing,
    /// It can't be read, or the request carries several.
    Malformed,
    /// No organisation of the book in force holds it.
    Unknown,
}

impl KeyFault {
    /// The name used in logs and metric labels.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "key missing",
            Self::Malformed => "key malformed",
            Self::Unknown => "key unknown",
        }
    }
}

/// Retry delay while this entry can't tell whether a key is valid; about the time in which it
/// reads a newer book.
const RETRY_AFTER_DOUBT: Duration = Duration::from_millis(200);

/// Returns the organisation that sends a request, or `None` if `book` has none, or if the rule
/// is public and the request carries no valid key. The error gives the reason for a refusal,
/// and the delay after which to retry if the book that is needed to decide is not there.
pub(crate) fn authorise(
    shared: &Shared,
    book: &RouteBook,
    rule: &Rule,
    credential: Credential,
) -> Result<Option<Arc<Organisation>>, (DeclineReason, Option<Duration>)> {
    let Some(organisations) = book.organisations() else {
        return Ok(None);
    };
    if !is_confirmed(shared) {
        return Err((DeclineReason::NotReady, Some(RETRY_AFTER_DOUBT)));
    }
    let found = match credential {
        // The organisations became known while the request was read.
        Credential::Unread => return Err((DeclineReason::NotReady, Some(Duration::ZERO))),
        Credential::Missing => Err(KeyFault::Missing),
        Credential::Malformed => Err(KeyFault::Malformed),
        Credential::Key(key) => organisations.find(&key).ok_or(KeyFault::Unknown),
    };
    match found {
        Ok(organisation) => Ok(Some(organisation.clone())),
        Err(_) if rule.public => Ok(None),
        // A version that this entry has not read may hold the key: it must not be refused
        // for good on knowledge that is known to be outdated.
        Err(KeyFault::Unknown) if is_outdated(shared) => {
            Err((DeclineReason::NotReady, Some(RETRY_AFTER_DOUBT)))
        }
        Err(fault) => Err((DeclineReason::Unauthorised(fault), None)),
    }
}

/// Returns whether a newer book than the one in force is known to exist.
fn is_outdated(shared: &Shared) -> bool {
    lock(&shared.propagation).lag(shared.now()).is_some()
}

/// Returns whether keys may be accepted by the book in force: always, unless the settings are
/// strict and the store has confirmed nothing for too long.
fn is_confirmed(shared: &Shared) -> bool {
    let keys = lock(&shared.cell.state).extra.keys;
    let lost_for = shared.store_status.borrow().lost_for(shared.now());
    !keys.strict || lost_for.is_none_or(|span| span < keys.patience())
}
