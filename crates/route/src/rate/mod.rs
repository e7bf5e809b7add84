//! Limits on the request rate of an organisation, over all entries together.
//!
//! Each organisation has a *home*, one entry that keeps its token bucket ([`RateHome`]). The
//! others ask it for tokens as they need them ([`Allowances`]), and each token lets one request
//! run. A bucket that is lost with its entry starts empty, so that the sum over all entries
//! stays within the limit however often entries end.

mod allowance;
mod bucket;
mod granters;
mod home;

use std::time::Duration;

use serde::Deserialize;

pub use allowance::{Allowances, OrgUse, Take, Token};
pub use granters::Granters;
pub use home::{Ask, Grant, RateHome, TokenReply};

/// By how much all entries together may exceed a limit in any window.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RateMargins {
    /// Length of the window, in seconds.
    pub window: f64,
    /// Part of the limit.
    pub over: f64,
    /// Requests beyond that part.
    pub slack: f64,
}

impl Default for RateMargins {
    /// A window of 5 s, with no margin.
    fn default() -> Self {
        Self {
            window: 5.0,
            over: 0.0,
            slack: 0.0,
        }
    }
}

/// Share of `over` for tokens that are used later than granted; the rest is for entries that
/// can't reach the home.
const TERM_SHARE: f64 = 0.5;
/// Share of `slack` that a bucket holds beyond the burst.
const BURST_SHARE: f64 = 0.5;
/// Share of `slack` that a bucket holds at its start, when an organisation changes its home.
const START_SHARE: f64 = 0.0625;
/// Changes of the home in a window whose start tokens the slack covers.
const MAX_STARTS: f64 = 4.0;
/// Share of `slack` for all entries that can't reach the home.
const DETACHED_SHARE: f64 = 0.25;

impl RateMargins {
    /// How long a granted token may be used. Tokens that are used in a window were granted in
    /// it or at most this long before.
    fn term(&self) -> Duration {
        Duration::from_secs_f64((self.window * self.over * TERM_SHARE).max(0.0))
    }
}
