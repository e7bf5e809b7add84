//! Return times: what the reply to a request contributes to them, and what a refusal takes.

use std::time::Duration;

use chestnut_flow::{QueueId, lock};
use chestnut_route::TurnRequest;
use chestnut_unit::Time;
use rand::Rng;

use crate::{
    callers::HONOURED_DIVISOR,
    forward::{DeclineReason, Declined, Reply},
    shared::Shared,
};

/// What a request contributes to the return times of its list of services, and takes of them.
/// Does nothing unless scheduling under overload is enabled.
pub(crate) struct Returns<'a> {
    pub(crate) shared: &'a Shared,
    /// The admission queue, which identifies the list of services.
    pub(crate) queue: QueueId,
    /// When the caller leaves.
    pub(crate) deadline: Time,
    /// Whether the caller has returned already. Callers return once.
    pub(crate) returning: bool,
}

impl Returns<'_> {
    /// Counts a reply in the service rate, or replaces the retry delay of a refusal that says
    /// "not run" by a return time.
    pub(crate) fn settle(&self, reply: Result<Reply, Declined>) -> Result<Reply, Declined> {
        if !self.shared.settings.overload.enabled {
            return reply;
        }
        let mut declined = match reply {
            // A leaf that fails at once would otherwise raise the rate during an incident.
            Ok(reply) if reply.is_failure() => return Ok(reply),
            Ok(reply) => {
                let now = self.shared.now();
                let mut state = lock(&self.shared.cell.state);
                state.extra.turns.record_completed(self.queue, now);
                return Ok(reply);
            }
            Err(declined) => declined,
        };
        // Another entry may have a place at once.
        let elsewhere = declined.reason == DeclineReason::Stopping;
        if declined.retry_after.is_some() && !elsewhere {
            declined.retry_after = self.give_turn().or(declined.retry_after);
        }
        Err(declined)
    }

    /// Returns the delay after which the refused caller may return; `None` if no service rate
    /// is known.
    pub(crate) fn give_turn(&self) -> Option<Duration> {
        let shared = self.shared;
        if !shared.settings.overload.enabled {
            return None;
        }
        let now = shared.now();
        let request = TurnRequest {
            longest: self.deadline.since(now) / HONOURED_DIVISOR,
            reserve: !self.returning,
            draw: shared.runtime.rng().next_u64(),
        };
        let mut state = lock(&shared.cell.state);
        let turn = state.extra.turns.give_turn(self.queue, request, now);
        turn.map(|turn| turn.after)
    }
}

impl Reply {
    /// Returns whether this is a leaf's answer that reports an error of the leaf.
    fn is_failure(&self) -> bool {
        matches!(self, Self::Whole(reply) if reply.response.status().is_server_error())
    }
}
