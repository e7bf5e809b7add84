//! Tracks when an entry's settings were last known to be current.

use std::{collections::BTreeMap, time::Duration};

use chestnut_conf::ConfigDigest;
use chestnut_unit::{MemberId, Time};

use crate::Message;

/// When settings were last confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastConfirmed {
    /// Not confirmed since the process started.
    Never,
    /// At this time.
    At(Time),
}

/// How long a peer's report counts for confirmation during an outage of the
/// platform.
const REPORT_EXPIRY: Duration = Duration::from_secs(30);

/// The last report of a peer: when it arrived, the digest of the peer's
/// settings, and the time from their last confirmation to the report (`None` if
/// they were never confirmed).
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    at: Time,
    digest: ConfigDigest,
    confirmed: Option<Duration>,
}

/// Tracks when this entry's settings were last known to be current.
///
/// Three events confirm them: the platform sends its state; a peer with the
/// same settings reports a later confirmation; or, during an outage of the
/// platform, every present member reports the same settings, so that no edit
/// can have been accepted since. An entry that is cut off sees none of these,
/// and refuses requests once its confirmation is too old instead of serving
/// outdated settings.
#[derive(Clone, Debug)]
pub struct Confirmation {
    at: LastConfirmed,
    reports: BTreeMap<MemberId, PeerReport>,
}

impl Default for Confirmation {
    /// Settings that were never confirmed, without reports of peers.
    fn default() -> Self {
        Self {
            at: LastConfirmed::Never,
            reports: BTreeMap::new(),
        }
    }
}

impl Confirmation {
    /// Records that the platform sent its current state at `now`.
    pub fn platform_synced(&mut self, now: Time) {
        self.advance(now);
    }

    /// Stores the report in a peer's message, received while this entry's digest
    /// was `own`. If both digests are equal, the peer's confirmation counts for
    /// this entry too, dated by its age.
    pub fn peer_reported(&mut self, message: &Message, own: ConfigDigest, now: Time) {
        let report = PeerReport {
            at: now,
            digest: message.digest,
            confirmed: message.confirmed,
        };
        self.reports.insert(message.from.id.clone(), report);
        if message.digest != own {
            return;
        }
        if let Some(age) = message.confirmed {
            self.advance(now - age);
        }
    }

    /// Confirms the settings during an outage of the platform, as of the oldest
    /// report, if all members in `present` recently reported the digest `own`
    /// and had it confirmed before. Does nothing if these settings were never
    /// confirmed here or `present` is empty.
    ///
    /// `present` lists all other members not confirmed gone
    /// ([`View::not_confirmed_gone`](crate::View)). A member that only stopped
    /// answering counts as present, so that the minority side of a partition
    /// does not confirm itself.
    pub fn confirm_in_outage<'a>(
        &mut self,
        present: impl Iterator<Item = &'a MemberId>,
        own: ConfigDigest,
        now: Time,
    ) {
        if self.at == LastConfirmed::Never {
            return;
        }
        let mut oldest = now;
        let mut confirming = 0;
        for member in present {
            let Some(report) = self.reports.get(member) else {
                return;
            };
            let fresh = now.since(report.at) < REPORT_EXPIRY;
            if !fresh || report.digest != own || report.confirmed.is_none() {
                return;
            }
            oldest = oldest.min(report.at);
            confirming += 1;
        }
        if confirming > 0 {
            self.advance(oldest);
        }
    }

    /// Removes the report of a member that is gone.
    pub fn remove_peer(&mut self, member: &MemberId) {
        self.reports.remove(member);
    }

    /// Returns the time since the last confirmation, or `None` if there was
    /// none.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        match self.at {
            LastConfirmed::Never => None,
            LastConfirmed::At(at) => Some(now.since(at)),
        }
    }

    /// Moves the last confirmation forward to `at`; an earlier time changes
    /// nothing.
    fn advance(&mut self, at: Time) {
        let later = match self.at {
            LastConfirmed::Never => true,
            LastConfirmed::At(earlier) => at > earlier,
        };
        if later {
            self.at = LastConfirmed::At(at);
        }
    }
}
