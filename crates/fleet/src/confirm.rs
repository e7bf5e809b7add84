//! Since when the settings of an entry are known to be current.

use std::{collections::BTreeMap, time::Duration};

use chestnut_conf::BookDigest;
use chestnut_unit::{MemberId, Time};

use crate::Probe;

/// By whom settings were last confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmed {
    /// Never yet.
    Never,
    /// At this time.
    At(Time),
}

/// How long a word of a peer counts for the rule that nobody has the platform.
const HEARD_KEPT: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Time,
    digest: BookDigest,
    confirmed: Option<Duration>,
}

/// Keeps the time at which this entry's settings were last known to be
/// current.
///
/// Three things confirm them: the platform itself; a peer with the very same
/// settings that were confirmed later than ours; and, in an outage, having
/// heard every member that is present, all with the same settings and none
/// with the platform, since then nothing can have been accepted. An entry that
/// is cut off has none of the three, so its time stands still and requests
/// are refused once it is too old, instead of served on settings that others
/// have replaced.
#[derive(Clone, Debug)]
pub struct Confirm {
    at: Confirmed,
    heard: BTreeMap<MemberId, Heard>,
}

impl Default for Confirm {
    fn default() -> Self {
        Self {
            at: Confirmed::Never,
            heard: BTreeMap::new(),
        }
    }
}

impl Confirm {
    /// The platform gave its current state at `now`.
    pub fn platform(&mut self, now: Time) {
        self.raise(now);
    }

    /// A peer sent a probe while this entry's digest was `own`.
    pub fn peer(&mut self, probe: &Probe, own: BookDigest, now: Time) {
        let heard = Heard {
            at: now,
            digest: probe.digest,
            confirmed: probe.confirmed,
        };
        self.heard.insert(probe.from.id.clone(), heard);
        if probe.digest != own {
            return;
        }
        if let Some(age) = probe.confirmed {
            self.raise(now - age);
        }
    }

    /// Applies the rule for outages: `present` are all other members that are
    /// not known to be gone ([`View::not_known_gone`](crate::View)). One that
    /// only stopped answering counts as present, so an entry on the small side
    /// of a split does not confirm itself.
    pub fn outage<'a>(
        &mut self,
        present: impl Iterator<Item = &'a MemberId>,
        own: BookDigest,
        now: Time,
    ) {
        if self.at == Confirmed::Never {
            return;
        }
        let mut oldest = now;
        let mut others = 0;
        for member in present {
            let Some(heard) = self.heard.get(member) else {
                return;
            };
            let fresh = now.since(heard.at) < HEARD_KEPT;
            if !fresh || heard.digest != own || heard.confirmed.is_none() {
                return;
            }
            oldest = oldest.min(heard.at);
            others += 1;
        }
        if others > 0 {
            self.raise(oldest);
        }
    }

    /// Drops what was heard of members that are gone.
    pub fn forget(&mut self, member: &MemberId) {
        self.heard.remove(member);
    }

    /// The age of the confirmation.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        match self.at {
            Confirmed::Never => None,
            Confirmed::At(at) => Some(now.since(at)),
        }
    }

    fn raise(&mut self, at: Time) {
        let later = match self.at {
            Confirmed::Never => true,
            Confirmed::At(earlier) => at > earlier,
        };
        if later {
            self.at = Confirmed::At(at);
        }
    }
}
