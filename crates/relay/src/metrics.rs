//! Metrics, in the text form that Prometheus reads.

use std::{
    collections::BTreeMap,
    sync::{Mutex, atomic::AtomicU64},
    time::Duration,
};

use chestnut_flow::lock;
use chestnut_port::{Distance, Flow, Purpose};
use chestnut_route::CallKind;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::Cause;

/// Upper bound of the first latency bucket, in seconds.
const BUCKET_FIRST: f64 = 0.002;
/// Ratio of one bucket's bound to the one before.
const BUCKET_RATIO: f64 = 1.6;
/// Buckets: the last bound is about 9 s.
const BUCKETS: u16 = 19;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RuleLabels {
    rule: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByteLabels {
    purpose: &'static str,
    distance: &'static str,
    flow: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CauseLabels {
    cause: String,
}

/// The metrics of one entry.
pub(crate) struct Metrics {
    registry: Registry,
    latency: Family<RuleLabels, Histogram>,
    outcomes: Family<OutcomeLabels, Counter>,
    calls: Family<KindLabels, Counter>,
    store: Family<KindLabels, Counter>,
    asked: Mutex<BTreeMap<&'static str, u64>>,
    pub(crate) evictions: Counter,
    pub(crate) passed: Counter,
    pub(crate) members: Gauge,
    pub(crate) leafs: Gauge,
    pub(crate) cold: Gauge,
    pub(crate) lease: Gauge,
    pub(crate) evacuated: Gauge,
    pub(crate) evacuated_calls: Gauge,
    pub(crate) book: Gauge,
    behind: Gauge,
    readings: Family<KindLabels, Counter>,
    moves: Family<CauseLabels, Counter>,
    bytes: Family<ByteLabels, Gauge>,
    extra: Family<KindLabels, Gauge<f64, AtomicU64>>,
    cases: Family<KindLabels, Gauge>,
    pub(crate) in_flight: Gauge,
    pub(crate) classes: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let new_histogram =
            || Histogram::new(exponential_buckets(BUCKET_FIRST, BUCKET_RATIO, BUCKETS));
        let mut metrics = Self {
            registry: Registry::with_prefix("chestnut_relay"),
            latency: Family::new_with_constructor(new_histogram),
            outcomes: Family::default(),
            calls: Family::default(),
            store: Family::default(),
            asked: Mutex::default(),
            evictions: Counter::default(),
            passed: Counter::default(),
            members: Gauge::default(),
            leafs: Gauge::default(),
            cold: Gauge::default(),
            lease: Gauge::default(),
            evacuated: Gauge::default(),
            evacuated_calls: Gauge::default(),
            book: Gauge::default(),
            behind: Gauge::default(),
            readings: Family::default(),
            moves: Family::default(),
            bytes: Family::default(),
            extra: Family::default(),
            cases: Family::default(),
            in_flight: Gauge::default(),
            classes: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        let latency = self.latency.clone();
        r.register("latency_seconds", "Time to reply", latency);
        let outcomes = self.outcomes.clone();
        r.register("requests", "Requests by outcome", outcomes);
        r.register("calls", "Calls to leafs by kind", self.calls.clone());
        r.register("store_calls", "Calls to the store", self.store.clone());
        r.register(
            "passed_bytes",
            "Bytes passed on to other entries",
            self.passed.clone(),
        );
        r.register("evictions", "Leafs evicted", self.evictions.clone());
        r.register("members", "Entries that serve", self.members.clone());
        r.register("leafs", "Leafs that are known", self.leafs.clone());
        let cold = "Leafs whose calls are bounded while they are cold";
        r.register("cold_leafs", cold, self.cold.clone());
        let lease = "Lease of cold leafs that is held, -1 if none is";
        r.register("cold_lease", lease, self.lease.clone());
        let evacuated = "Failure domains that are evacuated";
        r.register("evacuated_domains", evacuated, self.evacuated.clone());
        let calls = "Calls under way to leafs of evacuated domains";
        r.register("evacuated_calls", calls, self.evacuated_calls.clone());
        r.register("book_version", "Version in force", self.book.clone());
        let behind = "Milliseconds since a peer told of a newer version, 0 if none has";
        r.register("upstream_moves", "Changes of upstream", self.moves.clone());
        r.register("book_behind_ms", behind, self.behind.clone());
        r.register(
            "readings",
            "Readings of a feed by how they ended",
            self.readings.clone(),
        );
        let bytes = "Bytes so far by purpose, distance and flow";
        r.register("bytes", bytes, self.bytes.clone());
        let extra = "Extra calls so far: earned, lost, spent, withheld";
        r.register("extra_calls", extra, self.extra.clone());
        let cases = "Requests under which leafs ended: known, and refused now";
        r.register("cases", cases, self.cases.clone());
        r.register("in_flight", "Requests that run", self.in_flight.clone());
        r.register("classes", "Classes of calls", self.classes.clone());
    }

    pub(crate) fn observe(&self, rule: &str, outcome: &'static str, span: Duration) {
        let rule = rule.to_owned();
        self.latency
            .get_or_create(&RuleLabels { rule })
            .observe(span.as_secs_f64());
        self.outcomes
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    pub(crate) fn count_call(&self, kind: CallKind) {
        let kind = kind.as_str();
        self.calls.get_or_create(&KindLabels { kind }).inc();
    }

    pub(crate) fn count_store(&self, kind: &'static str) {
        self.store.get_or_create(&KindLabels { kind }).inc();
        *lock(&self.asked).entry(kind).or_default() += 1;
    }

    /// Calls to the store by kind since the last call of this function.
    pub(crate) fn take_asked(&self) -> BTreeMap<&'static str, u64> {
        std::mem::take(&mut *lock(&self.asked))
    }

    /// Sets for how long a newer book has been known of; `None` if none is.
    pub(crate) fn set_behind(&self, span: Option<Duration>) {
        self.behind
            .set(span.map_or(0, |span| span.as_millis() as i64));
    }

    pub(crate) fn count_move(&self, cause: Cause) {
        let cause = format!("{cause:?}").to_lowercase();
        self.moves.get_or_create(&CauseLabels { cause }).inc();
    }

    pub(crate) fn count_reading(&self, kind: &'static str) {
        self.readings.get_or_create(&KindLabels { kind }).inc();
    }

    pub(crate) fn set_bytes(&self, purpose: Purpose, distance: Distance, flow: Flow, bytes: u64) {
        let labels = ByteLabels {
            purpose: purpose.as_str(),
            distance: distance.as_str(),
            flow: flow.as_str(),
        };
        self.bytes.get_or_create(&labels).set(bytes as i64);
    }

    /// Sets how many requests are known under which leafs ended, and are refused.
    pub(crate) fn set_cases(&self, known: usize, refused: usize) {
        for (kind, count) in [("known", known), ("refused", refused)] {
            let cases = self.cases.get_or_create(&KindLabels { kind });
            cases.set(count as i64);
        }
    }

    pub(crate) fn set_extra(&self, kind: &'static str, calls: f64) {
        self.extra.get_or_create(&KindLabels { kind }).set(calls);
    }

    /// All metrics as text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}
