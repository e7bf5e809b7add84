//! What an entry knows of the back ends of one service.

use std::{collections::BTreeMap, ops::Add, time::Duration};

use chestnut_unit::{IndexVersion, Time};

use crate::{
    Class, Damped, Estimate, Gauge, Profile, Purse, PurseId, Tally, Window,
    backend::{Backend, Guard, Ix, TableConfig},
    cold::Cold,
    failure::{Failure, Refusal},
    faults::{Faults, Verdict},
    handicap::HINT_MAX,
};

/// Calls that a budget saves up, so that a service at rest can hedge or retry
/// a whole fan-out at once.
const BURST: u32 = 64;
/// Points of failure in a row after which a back end is evicted.
const POINTS_MAX: u32 = 9;
/// Points of a call that was lost or could not be sent.
const POINTS_LOST: u32 = 3;
/// Points of a call that was cancelled late: its connection may be at fault,
/// which the pool finds out first.
const POINTS_LATE: u32 = 1;
/// Length of the first eviction; each further one doubles it.
const EVICT_FIRST: Duration = Duration::from_millis(500);
/// Longest eviction.
const EVICT_MAX: Duration = Duration::from_secs(30);
/// How long a leaf that refused a call is passed over. Long enough for a slot
/// to come free, short enough not to idle the leaf.
const REFUSED_REST: Duration = Duration::from_millis(20);
/// Span from one late call to another, with no answer between, that makes a
/// back end dark. A pause of 250 ms makes all its calls late within 250 ms.
const DARK_SPAN: Duration = Duration::from_millis(300);
/// The common unit of calls of several classes.
const UNIT_NANOS: f64 = 1e6;
/// How long a leaf that lacks a snapshot is not asked for it again.
const LACK_REST: Duration = Duration::from_secs(1);

/// An eviction, for the log line that goes with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// The back end.
    pub backend: Backend,
    /// For how long.
    pub span: Duration,
    /// The last of the failures that caused it.
    pub failure: Failure,
}

/// State of one back end.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) backend: Backend,
    pub(crate) slots: u32,
    pub(crate) outstanding: u32,
    pub(crate) estimate: Estimate,
    pub(crate) window: Window,
    points: u32,
    evictions: u32,
    evicted: Option<Time>,
    rest: Time,
    stalled: Time,
    /// When the first and the latest call since its last answer ran late.
    silent: Option<(Time, Time)>,
    pub(crate) faults: Faults,
    leaving: bool,
    barred: bool,
    doubted: bool,
    pub(crate) far: bool,
    pub(crate) since: Time,
    pub(crate) hint: f64,
    lacks: BTreeMap<IndexVersion, Time>,
    /// When it was called last.
    pub(crate) called: Option<Time>,
    pub(crate) cold: Option<Cold>,
}

/// What an entry knows of the back ends of one service, and the budgets and
/// counts of its calls to them.
#[derive(Clone, Debug)]
pub struct Table {
    pub(crate) config: TableConfig,
    pub(crate) states: Vec<State>,
    index: BTreeMap<Backend, Ix>,
    pub(crate) profiles: Vec<Profile>,
    pub(crate) purses: Vec<Purse>,
    pub(crate) gauge: Gauge,
    pub(crate) turn: u64,
    pub(crate) damped: Damped,
    /// Queries that wait for room, by the budget of the shard that lacks it.
    pub(crate) held: BTreeMap<PurseId, u32>,
    evicted: Vec<Eviction>,
}

impl Table {
    /// An empty table.
    #[must_use]
    pub fn new(config: TableConfig) -> Self {
        Self {
            purses: vec![Purse::split(config.hedge_share, config.retry_share, BURST)],
            profiles: vec![Profile::default()],
            config,
            states: Vec::new(),
            index: BTreeMap::new(),
            gauge: Gauge::default(),
            turn: 0,
            damped: Damped::default(),
            held: BTreeMap::new(),
            evicted: Vec::new(),
        }
    }

    /// The number of a back end, which is added if it is new.
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
            evicted: None,
            rest: Time::ZERO,
            stalled: Time::ZERO,
            silent: None,
            faults: Faults::default(),
            leaving: false,
            barred: false,
            doubted: false,
            far: false,
            since: now,
            hint: 1.0,
            lacks: BTreeMap::new(),
            called: None,
            cold: None,
        });
        ix
    }

    /// Ends the life of a back end: the next one under its name gets a number of
    /// its own, and knows nothing of this one's delays, faults or eviction.
    /// Answers and failures of calls that are still under way count for this
    /// one, which is never called again.
    pub fn renew(&mut self, backend: &Backend) {
        if let Some(ix) = self.index.remove(backend) {
            self.states[ix.index()].leaving = true;
        }
    }

    /// The number of a known back end.
    #[must_use]
    pub fn find(&self, backend: &Backend) -> Option<Ix> {
        self.index.get(backend).copied()
    }

    /// The back end with a number.
    #[must_use]
    pub fn backend(&self, ix: Ix) -> &Backend {
        &self.states[ix.index()].backend
    }

    /// Marks a back end as leaving, or as back in a later life.
    pub fn set_leaving(&mut self, ix: Ix, leaving: bool, now: Time) {
        let state = &mut self.states[ix.index()];
        if state.leaving && !leaving {
            state.since = now;
        }
        state.leaving = leaving;
    }

    /// Bars a back end from all calls, or lets it have calls again: its failure domain
    /// is being emptied. What is known of it stays, but for its warmth.
    pub fn set_barred(&mut self, ix: Ix, barred: bool, now: Time) {
        let state = &mut self.states[ix.index()];
        if state.barred && !barred {
            state.since = now;
        }
        state.barred = barred;
    }

    /// Whether the back end is barred.
    #[must_use]
    pub fn is_barred(&self, ix: Ix) -> bool {
        self.states[ix.index()].barred
    }

    /// Takes a hint of the health or load endpoint: the factor, 1 or more, by
    /// which the back end looks worse than its calls tell. A hint only orders
    /// back ends; it never evicts one, because the endpoints lag and lie.
    pub fn set_hint(&mut self, ix: Ix, factor: f64) {
        self.states[ix.index()].hint = factor.clamp(1.0, HINT_MAX);
    }

    /// Marks a back end of which it is not known whether it is still there. It
    /// is called only where no other can be.
    pub fn set_doubt(&mut self, ix: Ix, doubted: bool) {
        self.states[ix.index()].doubted = doubted;
    }

    /// Marks a back end as being in another failure domain. Near ones are
    /// preferred until they are busier: calls between domains take longer, and
    /// the bytes are paid for.
    pub fn set_far(&mut self, ix: Ix, far: bool) {
        self.states[ix.index()].far = far;
    }

    /// Calls that wait for a back end's answer.
    #[must_use]
    pub fn outstanding(&self, ix: Ix) -> u32 {
        self.states[ix.index()].outstanding
    }

    /// Calls that wait for answers of barred back ends.
    #[must_use]
    pub fn outstanding_barred(&self) -> u32 {
        let barred = self.states.iter().filter(|state| state.barred);
        barred.map(|state| state.outstanding).sum()
    }

    /// Whether the back end is leaving.
    #[must_use]
    pub fn is_leaving(&self, ix: Ix) -> bool {
        self.states[ix.index()].leaving
    }

    /// Until when the back end is evicted, if it is.
    #[must_use]
    pub fn evicted_until(&self, ix: Ix, now: Time) -> Option<Time> {
        self.states[ix.index()].evicted.filter(|until| now < *until)
    }

    /// Counts of the calls.
    #[must_use]
    pub fn gauge(&self) -> Gauge {
        self.gauge
    }

    /// Adds a class of calls, with a profile of its own.
    ///
    /// # Panics
    ///
    /// There are 65,536 classes already.
    pub fn add_class(&mut self) -> Class {
        let class = Class(u16::try_from(self.profiles.len()).expect("fewer than 2^16 classes"));
        self.profiles.push(Profile::default());
        class
    }

    /// Forgets what calls of a class took, so that another kind of calls can
    /// have it.
    pub fn reset_class(&mut self, class: Class) {
        self.profiles[class.index()] = Profile::default();
    }

    /// Classes so far.
    #[must_use]
    pub fn classes(&self) -> usize {
        self.profiles.len()
    }

    /// Adds a budget of extra calls that some shards draw on together.
    ///
    /// # Panics
    ///
    /// There are 2^32 budgets already.
    pub fn add_purse(&mut self, purse: Purse) -> PurseId {
        let id = PurseId(u32::try_from(self.purses.len()).expect("fewer than 2^32 budgets"));
        self.purses.push(purse);
        id
    }

    /// Changes a budget.
    pub fn purse(&mut self, id: PurseId) -> &mut Purse {
        &mut self.purses[id.0 as usize]
    }

    /// What became of all budgets so far.
    #[must_use]
    pub fn tally(&self) -> Tally {
        let tallies = self.purses.iter().map(Purse::tally);
        tallies.fold(Tally::default(), Tally::add)
    }

    /// Durations of recent calls of a class.
    #[must_use]
    pub fn profile(&self, class: Class) -> &Profile {
        &self.profiles[class.index()]
    }

    /// Factor from a span of a class to the unit in which calls of all classes
    /// are compared: with one class the nanosecond itself, with more the
    /// class's median, so that a leaf that ran the long calls of one class
    /// doesn't look slower than one that ran the short calls of another.
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

    /// The span of a typical call in the common unit.
    pub(crate) fn typical(&self) -> f64 {
        if self.profiles.len() == 1 {
            self.profiles[0].calls.median().as_nanos() as f64
        } else {
            UNIT_NANOS
        }
    }

    /// Evictions since the last call of this function.
    pub fn take_evictions(&mut self) -> Vec<Eviction> {
        std::mem::take(&mut self.evicted)
    }

    /// All back ends.
    pub fn backends(&self) -> impl Iterator<Item = (Ix, &Backend)> {
        self.index.iter().map(|(backend, ix)| (*ix, backend))
    }

    /// Counts a call that is being sent.
    pub fn sent(&mut self, ix: Ix, now: Time) {
        self.states[ix.index()].outstanding += 1;
        self.note_call(ix, now);
    }

    /// Takes an answer after `span` to a call of the first class.
    pub fn answered(&mut self, ix: Ix, span: Duration, now: Time) {
        self.answered_in(Class::default(), ix, span, now);
    }

    /// Takes an answer after `span` to a call of `class`.
    pub fn answered_in(&mut self, class: Class, ix: Ix, span: Duration, now: Time) {
        let expected = self.expected_span(class, ix, now);
        let profile = &mut self.profiles[class.index()];
        profile.excess.record(span.saturating_sub(expected));
        profile.calls.record(span);
        self.damped.record(ix, span, now);
        self.fit_window(class, ix, span, now);
        let scaled = span.mul_f64(self.scale(class));
        let state = &mut self.states[ix.index()];
        state.outstanding = state.outstanding.saturating_sub(1);
        state.estimate.record(scaled, now);
        state.points = 0;
        state.evictions = 0;
        state.evicted = None;
        state.stalled = Time::ZERO;
        state.silent = None;
        state.faults.record(Verdict::Good, now);
    }

    /// Takes the failure of a call.
    pub fn failed(&mut self, ix: Ix, failure: Failure, now: Time) {
        let state = &mut self.states[ix.index()];
        state.outstanding = state.outstanding.saturating_sub(1);
        if failure.is_fault() {
            state.faults.record(Verdict::Bad, now);
        }
        match failure {
            Failure::Refused(Refusal::Draining) => state.leaving = true,
            Failure::Cut | Failure::Refused(Refusal::NoSnapshot | Refusal::Deadline) => {}
            Failure::Refused(refusal) => {
                state.rest = now + REFUSED_REST;
                if refusal == Refusal::Shed {
                    self.cut_for_refusal(ix, now);
                }
            }
            Failure::NotSent | Failure::Lost | Failure::Failed => {
                self.count(POINTS_LOST, ix, failure, now);
            }
        }
    }

    /// Takes a call that was cancelled unanswered after `span`. A back end
    /// that lets calls run into cancellation one after the other is frozen or
    /// silent, though it never fails a call by itself.
    pub fn cancelled(&mut self, class: Class, ix: Ix, span: Duration, now: Time) {
        let profile = &self.profiles[class.index()];
        let known = profile.calls.count() > 0;
        let usual = profile.calls.median() * 3;
        let late = self.hedge_delay(class, ix, now).unwrap_or(usual);
        let scaled = span.mul_f64(self.scale(class));
        let state = &mut self.states[ix.index()];
        state.outstanding = state.outstanding.saturating_sub(1);
        state.estimate.record_at_least(scaled, now);
        self.cut_if_late(class, ix, span, now);
        if span >= late && known {
            self.count(POINTS_LATE, ix, Failure::Lost, now);
        }
    }

    /// Takes it that a call to `ix` is late enough for a hedge. Until the back
    /// end answers a call, or for a while, others are preferred: a leaf that
    /// pauses keeps every call that it is sent waiting for the whole pause.
    pub fn stalled(&mut self, ix: Ix, now: Time) {
        let rest = self.config.stall;
        let state = &mut self.states[ix.index()];
        state.stalled = now + rest;
        let (first, _) = state.silent.unwrap_or((now, now));
        state.silent = Some((first, now));
    }

    /// Whether a back end has let calls run late over a longer time than a
    /// pause lasts, and answered none since.
    #[must_use]
    pub(crate) fn is_dark(&self, ix: Ix, now: Time) -> bool {
        let state = &self.states[ix.index()];
        let silent = state
            .silent
            .is_some_and(|(first, last)| last.since(first) >= DARK_SPAN);
        let evicted = self.evicted_until(ix, now).is_some();
        state.leaving || state.barred || silent || evicted || self.is_held_back(ix, now)
    }

    /// Marks a back end as lacking a snapshot for a while.
    pub fn lacks(&mut self, ix: Ix, version: IndexVersion, now: Time) {
        let state = &mut self.states[ix.index()];
        state.lacks.retain(|_, until| now < *until);
        state.lacks.insert(version, now + LACK_REST);
    }

    /// Whether a back end may be sent work of `version`, eviction apart.
    #[must_use]
    pub fn is_open(&self, ix: Ix, version: IndexVersion, now: Time) -> bool {
        let state = &self.states[ix.index()];
        let lacking = state.lacks.get(&version).is_some_and(|until| now < *until);
        !state.leaving && !state.barred && !lacking && !self.is_held_back(ix, now)
    }

    /// Whether a back end rests after refusing a call.
    #[must_use]
    pub(crate) fn is_resting(&self, ix: Ix, now: Time) -> bool {
        let state = &self.states[ix.index()];
        self.config.guard == Guard::On && (now < state.rest || now < state.stalled)
    }

    /// Whether it is not known that a back end is still there.
    #[must_use]
    pub(crate) fn is_doubted(&self, ix: Ix) -> bool {
        self.states[ix.index()].doubted
    }

    /// Expected nanoseconds of a call of `class`, from what calls took.
    #[must_use]
    pub fn expected(&self, class: Class, ix: Ix, now: Time) -> f64 {
        let estimate = &self.states[ix.index()].estimate;
        estimate.mean_at(now, self.typical()) / self.scale(class)
    }

    /// [`Table::expected`] as a span.
    #[must_use]
    pub fn expected_span(&self, class: Class, ix: Ix, now: Time) -> Duration {
        Duration::from_nanos(self.expected(class, ix, now) as u64)
    }

    /// Delay from the sending of a call of `class` to `ix` to its hedge.
    #[must_use]
    pub(crate) fn hedge_delay(&self, class: Class, ix: Ix, now: Time) -> Option<Duration> {
        let expected = self.expected_span(class, ix, now);
        let profile = &self.profiles[class.index()];
        let hedge = self.config.hedge;
        hedge.delay(expected, &profile.calls, &profile.excess)
    }

    fn count(&mut self, points: u32, ix: Ix, failure: Failure, now: Time) {
        if self.config.guard == Guard::Off {
            return;
        }
        let state = &mut self.states[ix.index()];
        state.points += points;
        let evicted = state.evicted.is_some_and(|until| now < until);
        if state.points < POINTS_MAX || evicted {
            return;
        }
        let span = (EVICT_FIRST * 2u32.pow(state.evictions.min(8))).min(EVICT_MAX);
        state.evictions += 1;
        state.evicted = Some(now + span);
        self.gauge.evictions += 1;
        self.evicted.push(Eviction {
            backend: state.backend.clone(),
            span,
            failure,
        });
    }
}
