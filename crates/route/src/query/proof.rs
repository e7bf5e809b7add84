//! Queries whose request may end the back ends that run it.

use chestnut_unit::Time;

use super::{CallKind, Context, End, Life, Query, Trust, wait::Later};

/// Calls that may be lost before the others of a query that no back end has answered wait
/// until one does. A search of ten shards that ends its leafs ended ten, and two more of
/// each shard with the calls that made those good, before its caller was told.
const LOST_MAX: usize = 3;

impl<P> Query<P> {
    /// Whether the query waits for a first answer before it calls any more back ends.
    pub(super) fn is_trial(&self) -> bool {
        let doubted = self.config.trust == Trust::Trial || self.lost >= LOST_MAX;
        doubted && !self.proven
    }

    /// Has shards wait for a first answer to the query.
    pub(super) fn wait_for_proof(&mut self, positions: &[usize], kind: CallKind) {
        for position in positions {
            let at = Time::MAX;
            self.shards[*position].later = Some(Later { at, kind });
        }
    }

    /// Takes it that a back end has answered: the request doesn't end those that run it,
    /// and what waited for that is called.
    pub(super) fn prove(&mut self, cx: &mut Context<'_>) {
        if self.proven || self.end.is_some() {
            return;
        }
        let doubted = self.is_trial();
        self.proven = true;
        if !doubted {
            return;
        }
        for shard in &mut self.shards {
            if let Some(later) = shard.later.as_mut().filter(|later| later.at == Time::MAX) {
                later.at = cx.now;
            }
        }
        self.call_waiting(cx);
        self.look = self.look.min(self.next_due(cx.now));
    }

    /// When a shard that waits for something else than proof is to be called.
    pub(super) fn next_later(&self) -> Time {
        let waiting = self.shards.iter().filter_map(|shard| shard.later);
        waiting.map(|later| later.at).min().unwrap_or(Time::MAX)
    }

    /// Goes on with a query that waits for a first answer when no call is left that could
    /// bring it: with the next shard if nothing has run, or with its end.
    pub(super) fn try_next(&mut self, cx: &mut Context<'_>) {
        let waits = |later: Option<Later>| later.is_some_and(|later| later.at == Time::MAX);
        let next = self.shards.iter().position(|shard| waits(shard.later));
        let Some(next) = next.filter(|_| self.is_trial()) else {
            return;
        };
        let live = self.calls.iter().any(|c| matches!(c.life, Life::Live(_)));
        if live || self.next_later() < Time::MAX {
            return;
        }
        if self.lost > 0 {
            let give = self.why(&[next], cx);
            self.finish(End::Partial(give), cx);
            return;
        }
        if let Some(later) = self.shards[next].later.take() {
            self.call(&[next], later.kind, cx);
        }
        self.stuck = true;
        self.settle(cx);
    }
}
