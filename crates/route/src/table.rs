//! State that an entry keeps of the back ends of one service.
//!
//! A back end is a leaf, which holds shards, or a peer entry that calls leafs.

use std::{collections::BTreeMap, ops::Add, time::Duration};

use chestnut_unit::{IndexVersion, Time};

use crate::{
    BudgetId, BudgetTotals, CallCounts, Class, DampedSplit, Estimate, ExtraBudget, Profile,
    Quantiles, Window,
    backend::{Backend, Guard, Ix, TableConfig},
    capacity::Queued,
    cold::ColdLimit,
    failure::{Failure, Refusal},
    failure_rate::{FailureRate, Outcome},
    penalty::MAX_HINT_FACTOR,
    queue::CapacityQueue,
};

/// Capacity of the default budgets, in calls: enough to hedge or retry a whole fan-out
/// at once.
const BURST: u32 = 64;
/// Failure points without an answer in between at which a back end is evicted.
const EVICT_POINTS: u32 = 9;
/// Points for a call that was lost, could not be sent or was answered with an error.
const POINTS_LOST: u32 = 3;
/// Points for a call that was cancelled late: the fault may be in its connection,
/// which the pool detects first.
const POINTS_LATE: u32 = 1;
/// Duration of the first eviction; each further one without an answer in between
/// doubles it.
const EVICT_FIRST: Duration = Duration::from_millis(500);
/// Maximum duration of an eviction.
const EVICT_MAX: Duration = Duration::from_secs(30);
/// Backoff after a refused call: long enough for a slot to be freed, short enough not
/// to leave the leaf idle.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(20);
/// Time from the first to the latest late call, without an answer in between, from
/// which a back end is unresponsive. Must exceed the effect of a short pause.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(300);
/// Nanoseconds in the common unit to which calls of several classes are scaled.
const UNIT_NANOS: f64 = 1e6;
/// Time for which a leaf that lacks a snapshot is not called for it again.
const SNAPSHOT_BACKOFF: Duration = Duration::from_secs(1);

/// An eviction, to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// The evicted back end.
    pub backend: Backend,
    /// Duration of the eviction.
    pub span: Duration,
    /// The last failure before the eviction.
    pub failure: Failure,
}

/// What the entry knows of one back end: its load, durations and window, failures and
/// evictions, and whether it may be called.
#[derive(Clone, Debug)]
pub(crate) struct State {
    /// The back end.
    pub(crate) backend: Backend,
    /// Calls that the back end runs concurrently.
    pub(crate) slots: u32,
    /// Calls in flight.
    pub(crate) outstanding: u32,
    /// Expected duration of its calls.
    pub(crate) estimate: Estimate,
    /// Its concurrency window.
    pub(crate) window: Window,
    points: u32,
    evictions: u32,
    evicted_until: Option<Time>,
    backoff_until: Time,
    stalled_until: Time,
    /// Times of the first and the latest late call since the last answer.
    unanswered: Option<(Time, Time)>,
    /// Recent failure rate.
    pub(crate) failure_rate: FailureRate,
    leaving: bool,
    excluded: bool,
    suspected: bool,
    /// Whether it is in another failure domain.
    pub(crate) remote: bool,
    /// When it was added or became available again.
    pub(crate) available_since: Time,
    /// Factor of its health or load endpoint, 1 or more.
    pub(crate) hint: f64,
    missing: BTreeMap<IndexVersion, Time>,
    /// Time of the last call to it.
    pub(crate) last_call: Option<Time>,
    /// Limit on its calls while it is cold.
    pub(crate) cold: Option<ColdLimit>,
}

/// The back ends of one service as seen by one entry, with the budgets and counters of
/// the entry's calls to them.
#[derive(Clone, Debug)]
pub struct Table {
    /// Parameters.
    pub(crate) config: TableConfig,
    /// States of the back ends, by [`Ix`].
    pub(crate) states: Vec<State>,
    index: BTreeMap<Backend, Ix>,
    /// Call durations, by [`Class`].
    pub(crate) profiles: Vec<Profile>,
    /// Budgets, by [`BudgetId`].
    pub(crate) budgets: Vec<ExtraBudget>,
    /// Counters of the calls.
    pub(crate) counts: CallCounts,
    /// Counter for round-robin choice.
    pub(crate) round_robin: u64,
    /// State of the damped choice.
    pub(crate) damped: DampedSplit,
    /// Number of queries that poll for capacity, by the budget of the shard that
    /// lacks it.
    pub(crate) queued: BTreeMap<BudgetId, Queued>,
    /// The ordered queue of queries that lack capacity.
    pub(crate) queue: CapacityQueue,
    new_evictions: Vec<Eviction>,
}

impl Table {
    /// Creates a table without back ends, with the default budget and class.
    #[must_use]
    pub fn new(config: TableConfig) -> Self {
        Self {
            budgets: vec![ExtraBudget::split(
                config.hedge_share,
                config.retry_share,
                BURST,
            )],
            profiles: vec![Profile::default()],
            config,
            states: Vec::new(),
            index: BTreeMap::new(),
            counts: CallCounts::default(),
            round_robin: 0,
            damped: DampedSplit::default(),
            queued: BTreeMap::new(),
            queue: CapacityQueue::default(),
            new_evictions: Vec::new(),
        }
    }

    /// Returns the index of a back end. A new one is added as available since `now`;
    /// of a known one only `slots`, the calls that it runs concurrently, is updated.
    pub fn add(&mut self, backend: Backend, slots: u32, now: Time) -> Ix {
        if let Some(ix) = self.index.get(&backend) {
            self.states[ix.index()].slots = slots;
            return *ix;
        }
        let ix = Ix(u32::try_from(self.states.len()).expect("fewer than 2^32 back ends"));
        self.index.insert(backend.clone(), ix);
        self.states.push(State {
            backend,
            slots,
            outstanding: 0,
            estimate: Estimate::default(),
            window: Window::default(),
            points: 0,
            evictions: 0,
            evicted_until: None,
            backoff_until: Time::ZERO,
            stalled_until: Time::ZERO,
            unanswered: None,
            failure_rate: FailureRate::default(),
            leaving: false,
            excluded: false,
            suspected: false,
            remote: false,
            available_since: now,
            hint: 1.0,
            missing: BTreeMap::new(),
            last_call: None,
            cold: None,
        });
        ix
    }

    /// Ends the incarnation of a back end: the next one with the same name gets an
    /// index and state of its own. Results of calls in flight still count for the old
    /// one, which gets no more calls.
    pub fn retire(&mut self, backend: &Backend) {
        if let Some(ix) = self.index.remove(backend) {
            self.states[ix.index()].leaving = true;
            self.backend_changed(ix);
        }
    }

    /// Returns the index of a back end, or `None` if it is unknown or retired.
    #[must_use]
    pub fn find(&self, backend: &Backend) -> Option<Ix> {
        self.index.get(backend).copied()
    }

    /// Returns the back end at an index.
    #[must_use]
    pub fn backend(&self, ix: Ix) -> &Backend {
        &self.states[ix.index()].backend
    }

    /// Marks a back end as leaving, so that it gets no calls, or as available again
    /// after a restart, with a new slow start at `now`.
    pub fn set_leaving(&mut self, ix: Ix, leaving: bool, now: Time) {
        let state = &mut self.states[ix.index()];
        if state.leaving && !leaving {
            state.available_since = now;
        }
        let changed = state.leaving != leaving;
        state.leaving = leaving;
        if changed {
            self.backend_changed(ix);
        }
    }

    /// Excludes a back end from all calls while its failure domain is evacuated, or
    /// readmits it. Its state is kept, but slow start begins again once readmitted.
    pub fn set_excluded(&mut self, ix: Ix, excluded: bool, now: Time) {
        let state = &mut self.states[ix.index()];
        if state.excluded && !excluded {
            state.available_since = now;
        }
        let changed = state.excluded != excluded;
        state.excluded = excluded;
        if changed {
            self.backend_changed(ix);
        }
    }

    /// Returns whether the back end is excluded.
    #[must_use]
    pub fn is_excluded(&self, ix: Ix) -> bool {
        self.states[ix.index()].excluded
    }

    /// Sets the factor by which the health or load endpoint rates the back end worse
    /// than its calls do, limited to 1 to 2. It affects only the order of back ends;
    /// it never evicts one, because endpoints lag and can be wrong.
    pub fn set_hint(&mut self, ix: Ix, factor: f64) {
        self.states[ix.index()].hint = factor.clamp(1.0, MAX_HINT_FACTOR);
    }

    /// Marks a back end as suspected to be gone, or clears the mark. A suspected back
    /// end is called only if no other can be.
    pub fn set_suspected(&mut self, ix: Ix, suspected: bool) {
        self.states[ix.index()].suspected = suspected;
        self.capacity_freed(ix, self.queue.latest_time());
    }

    /// Marks a back end as remote, that is, in another failure domain. Local ones are
    /// preferred until they are busier, because calls between domains take longer and
    /// their traffic is billed.
    pub fn set_remote(&mut self, ix: Ix, remote: bool) {
        self.states[ix.index()].remote = remote;
    }

    /// Returns the number of calls in flight at a back end.
    #[must_use]
    pub fn outstanding(&self, ix: Ix) -> u32 {
        self.states[ix.index()].outstanding
    }

    /// Returns the number of calls in flight at excluded back ends.
    #[must_use]
    pub fn outstanding_excluded(&self) -> u32 {
        let excluded = self.states.iter().filter(|state| state.excluded);
        excluded.map(|state| state.outstanding).sum()
    }

    /// Returns whether the back end is leaving.
    #[must_use]
    pub fn is_leaving(&self, ix: Ix) -> bool {
        self.states[ix.index()].leaving
    }

    /// Returns the end of the back end's eviction, if it is evicted.
    #[must_use]
    pub fn evicted_until(&self, ix: Ix, now: Time) -> Option<Time> {
        self.states[ix.index()]
            .evicted_until
            .filter(|until| now < *until)
    }

    /// Returns the counters of the calls.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Adds a class of calls with a profile of its own.
    ///
    /// # Panics
    ///
    /// Panics if there are 65,536 classes already.
    pub fn add_class(&mut self) -> Class {
        let class = Class(u16::try_from(self.profiles.len()).expect("fewer than 2^16 classes"));
        self.profiles.push(Profile::default());
        class
    }

    /// Resets the profile of a class so that other calls can use it.
    pub fn reset_class(&mut self, class: Class) {
        self.profiles[class.index()] = Profile::default();
    }

    /// Returns the number of classes.
    #[must_use]
    pub fn classes(&self) -> usize {
        self.profiles.len()
    }

    /// Adds a budget of extra calls shared by a group of shards.
    ///
    /// # Panics
    ///
    /// Panics if there are 2^32 budgets already.
    pub fn add_budget(&mut self, budget: ExtraBudget) -> BudgetId {
        let id = BudgetId(u32::try_from(self.budgets.len()).expect("fewer than 2^32 budgets"));
        self.budgets.push(budget);
        id
    }

    /// Returns a budget for modification.
    pub fn budget_mut(&mut self, id: BudgetId) -> &mut ExtraBudget {
        &mut self.budgets[id.0 as usize]
    }

    /// Returns the totals of all budgets.
    #[must_use]
    pub fn budget_totals(&self) -> BudgetTotals {
        let totals = self.budgets.iter().map(ExtraBudget::totals);
        totals.fold(BudgetTotals::default(), BudgetTotals::add)
    }

    /// Returns the profile of a class: durations of its recent calls, and its
    /// objective.
    #[must_use]
    pub fn profile(&self, class: Class) -> &Profile {
        &self.profiles[class.index()]
    }

    /// Records the duration of a query of `class`.
    pub(crate) fn record_query(&mut self, class: Class, span: Duration) {
        self.profiles[class.index()].queries.record(span);
    }

    /// Returns the shortest time in which the queries of some class are expected to end; `None`
    /// if none of any class has ended.
    #[must_use]
    pub fn shortest_query_time(&self) -> Option<Duration> {
        let known = self.profiles.iter().map(|profile| &profile.queries);
        let known = known.filter(|queries| queries.count() > 0);
        known.map(Quantiles::high).min()
    }

    /// Returns the factor that scales a duration of `class` to the common unit: 1 with
    /// a single class, otherwise based on the class's median. Without it, a leaf that
    /// ran long calls of one class would look slower than one that ran short calls of
    /// another.
    fn scale(&self, class: Class) -> f64 {
        if self.profiles.len() == 1 {
            return 1.0;
        }
        let median = self.profiles[class.index()].calls.median().as_nanos() as f64;
        if median > 0.0 {
            UNIT_NANOS / median
        } else {
            1.0
        }
    }

    /// Returns the duration of a typical call in nanoseconds of the common unit: the
    /// median of a single class, otherwise a constant.
    pub(crate) fn typical_nanos(&self) -> f64 {
        if self.profiles.len() == 1 {
            self.profiles[0].calls.median().as_nanos() as f64
        } else {
            UNIT_NANOS
        }
    }

    /// Returns and clears the evictions since the last call of this function.
    pub fn take_evictions(&mut self) -> Vec<Eviction> {
        std::mem::take(&mut self.new_evictions)
    }

    /// Returns all back ends except retired ones.
    pub fn backends(&self) -> impl Iterator<Item = (Ix, &Backend)> {
        self.index.iter().map(|(backend, ix)| (*ix, backend))
    }

    /// Records that a call is sent to a back end at `now`: counts it as in flight, and
    /// against the rate limit if the back end is cold.
    pub fn sent(&mut self, ix: Ix, now: Time) {
        self.states[ix.index()].outstanding += 1;
        self.record_call_time(ix, now);
    }

    /// Records an answer after `span` to a call of the first class.
    pub fn answered(&mut self, ix: Ix, span: Duration, now: Time) {
        self.answered_in(Class::default(), ix, span, now);
    }

    /// Records an answer after `span` to a call of `class`: updates the durations, the
    /// window and the failure rate, and clears the back end's failure points, eviction
    /// and stall.
    pub fn answered_in(&mut self, class: Class, ix: Ix, span: Duration, now: Time) {
        let expected = self.expected_span(class, ix, now);
        let profile = &mut self.profiles[class.index()];
        profile.excess.record(span.saturating_sub(expected));
        profile.calls.record(span);
        self.damped.record(ix, span, now);
        self.adjust_window(class, ix, span, now);
        let scaled = span.mul_f64(self.scale(class));
        let state = &mut self.states[ix.index()];
        state.outstanding = state.outstanding.saturating_sub(1);
        state.estimate.record(scaled, now);
        state.points = 0;
        state.evictions = 0;
        state.evicted_until = None;
        state.stalled_until = Time::ZERO;
        state.unanswered = None;
        state.failure_rate.record(Outcome::Success, now);
        self.capacity_freed(ix, now);
    }

    /// Records the failure of a call. Faults of the target raise its failure rate;
    /// lost, unsent and failed calls add failure points and may evict it. A lack of
    /// capacity starts a short backoff, shedding also shrinks the window, and draining
    /// marks it as leaving.
    pub fn failed(&mut self, ix: Ix, failure: Failure, now: Time) {
        let state = &mut self.states[ix.index()];
        state.outstanding = state.outstanding.saturating_sub(1);
        if failure.is_target_fault() {
            state.failure_rate.record(Outcome::Failure, now);
        }
        match failure {
            Failure::Refused(Refusal::Draining) => {
                state.leaving = true;
                self.backend_changed(ix);
            }
            Failure::ConnectionSilent
            | Failure::Refused(Refusal::NoSnapshot | Refusal::Deadline) => {}
            Failure::Refused(refusal) => {
                state.backoff_until = now + REFUSAL_BACKOFF;
                if refusal == Refusal::Shed {
                    self.shrink_for_refusal(ix, now);
                }
            }
            Failure::NotSent | Failure::Lost | Failure::Failed => {
                self.add_points(POINTS_LOST, ix, failure, now);
            }
        }
        self.capacity_freed(ix, now);
    }

    /// Records a call that was cancelled unanswered after `span`, in the estimate and
    /// the window. If it was late enough for a hedge (without hedges, three medians)
    /// and calls of `class` are known, it adds failure points: a frozen or silent back
    /// end never fails a call by itself.
    pub fn cancelled(&mut self, class: Class, ix: Ix, span: Duration, now: Time) {
        let profile = &self.profiles[class.index()];
        let known = profile.calls.count() > 0;
        let usual = profile.calls.median() * 3;
        let late = self.hedge_delay(class, ix, now).unwrap_or(usual);
        let scaled = span.mul_f64(self.scale(class));
        let state = &mut self.states[ix.index()];
        state.outstanding = state.outstanding.saturating_sub(1);
        state.estimate.record_at_least(scaled, now);
        self.shrink_if_late(class, ix, span, now);
        if span >= late && known {
            self.add_points(POINTS_LATE, ix, Failure::Lost, now);
        }
        self.capacity_freed(ix, now);
    }

    /// Records that a call to `ix` is late enough for a hedge. Other back ends are
    /// preferred until this one answers or the configured time passes: a paused leaf
    /// delays all its calls until the pause ends.
    pub fn stalled(&mut self, ix: Ix, now: Time) {
        let backoff = self.config.stall_backoff;
        let state = &mut self.states[ix.index()];
        state.stalled_until = now + backoff;
        let (first, _) = state.unanswered.unwrap_or((now, now));
        state.unanswered = Some((first, now));
        self.capacity_freed(ix, now);
    }

    /// Returns whether a back end is unavailable (leaving, excluded, evicted or at its
    /// cold limit), or has let calls run late for longer than a pause without
    /// answering any.
    #[must_use]
    pub(crate) fn is_unresponsive(&self, ix: Ix, now: Time) -> bool {
        let state = &self.states[ix.index()];
        let unanswered = state
            .unanswered
            .is_some_and(|(first, last)| last.since(first) >= UNRESPONSIVE_AFTER);
        let evicted = self.evicted_until(ix, now).is_some();
        state.leaving || state.excluded || unanswered || evicted || self.is_rate_limited(ix, now)
    }

    /// Marks a back end as lacking the snapshot `version`, so that it isn't called for
    /// it during the next second.
    pub fn mark_missing(&mut self, ix: Ix, version: IndexVersion, now: Time) {
        let state = &mut self.states[ix.index()];
        state.missing.retain(|_, until| now < *until);
        state.missing.insert(version, now + SNAPSHOT_BACKOFF);
        self.backend_changed(ix);
    }

    /// Returns whether a back end may be called for `version`: it isn't leaving,
    /// excluded, at its cold limit or known to lack the snapshot. Evictions, backoffs
    /// and capacity don't count.
    #[must_use]
    pub fn is_open(&self, ix: Ix, version: IndexVersion, now: Time) -> bool {
        let state = &self.states[ix.index()];
        let lacking = state
            .missing
            .get(&version)
            .is_some_and(|until| now < *until);
        !state.leaving && !state.excluded && !lacking && !self.is_rate_limited(ix, now)
    }

    /// Returns whether a back end is in backoff after a refused or late call; never
    /// with the guard off.
    #[must_use]
    pub(crate) fn in_backoff(&self, ix: Ix, now: Time) -> bool {
        let state = &self.states[ix.index()];
        self.config.guard == Guard::On && (now < state.backoff_until || now < state.stalled_until)
    }

    /// Returns when the first of the back end's backoffs, its eviction, its cold limit or its
    /// lack of the snapshot `version` ends; `None` if there is none.
    pub(crate) fn cooldown_end(&self, ix: Ix, version: IndexVersion, now: Time) -> Option<Time> {
        let state = &self.states[ix.index()];
        let ends = [
            Some(state.backoff_until),
            Some(state.stalled_until),
            state.evicted_until,
            state.missing.get(&version).copied(),
            self.cold_limit_end(ix, now),
        ];
        ends.into_iter().flatten().filter(|end| now < *end).min()
    }

    /// Returns whether a back end is suspected to be gone.
    #[must_use]
    pub(crate) fn is_suspected(&self, ix: Ix) -> bool {
        self.states[ix.index()].suspected
    }

    /// Returns the expected duration of a call of `class` in nanoseconds; the typical
    /// one if no call to the back end was recorded.
    #[must_use]
    pub fn expected_nanos(&self, class: Class, ix: Ix, now: Time) -> f64 {
        let estimate = &self.states[ix.index()].estimate;
        estimate.mean_at(now, self.typical_nanos()) / self.scale(class)
    }

    /// Returns [`Table::expected_nanos`] as a duration.
    #[must_use]
    pub fn expected_span(&self, class: Class, ix: Ix, now: Time) -> Duration {
        Duration::from_nanos(self.expected_nanos(class, ix, now) as u64)
    }

    /// Returns the delay between sending a call of `class` to `ix` and its hedge, or
    /// `None` if the policy makes no hedges.
    #[must_use]
    pub(crate) fn hedge_delay(&self, class: Class, ix: Ix, now: Time) -> Option<Duration> {
        let expected = self.expected_span(class, ix, now);
        let profile = &self.profiles[class.index()];
        let hedge = self.config.hedge;
        hedge.delay(expected, &profile.calls, &profile.excess)
    }

    /// Adds failure points to a back end. At [`EVICT_POINTS`] evicts it, unless it
    /// already is, and records the eviction for [`Table::take_evictions`]. Does
    /// nothing with the guard off.
    fn add_points(&mut self, points: u32, ix: Ix, failure: Failure, now: Time) {
        if self.config.guard == Guard::Off {
            return;
        }
        let state = &mut self.states[ix.index()];
        state.points += points;
        let evicted = state.evicted_until.is_some_and(|until| now < until);
        if state.points < EVICT_POINTS || evicted {
            return;
        }
        let span = (EVICT_FIRST * 2u32.pow(state.evictions.min(8))).min(EVICT_MAX);
        state.evictions += 1;
        state.evicted_until = Some(now + span);
        self.counts.evictions += 1;
        self.new_evictions.push(Eviction {
            backend: state.backend.clone(),
            span,
            failure,
        });
    }
}
