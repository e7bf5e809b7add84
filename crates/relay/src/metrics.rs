//! The metrics of an entry, encoded in the Prometheus text format.

use std::{
    collections::BTreeMap,
    sync::{Mutex, atomic::AtomicU64},
    time::Duration,
};

use chestnut_flow::lock;
use chestnut_port::{Direction, Distance, Purpose};
use chestnut_route::{CallKind, OrgUse};
use chestnut_unit::{Epoch, OrgName, ServiceName};
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
const FIRST_BUCKET: f64 = 0.002;
/// Ratio of the upper bounds of successive latency buckets.
const BUCKET_RATIO: f64 = 1.6;
/// Number of latency buckets; the last bound is about 9 s.
const BUCKETS: u16 = 19;

/// Label of request counters: the outcome.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

/// Labels of refusals: the reason, and whether the request waited before.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RefusalLabels {
    reason: &'static str,
    waited: &'static str,
}

/// Label of latencies: the name of the rule, `-` if none matched.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RuleLabels {
    rule: String,
}

/// Label of metrics by kind, such as of calls or of feed reads.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

/// Labels of byte counts: purpose, distance and flow.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByteLabels {
    purpose: &'static str,
    distance: &'static str,
    flow: &'static str,
}

/// Label of upstream changes: the cause.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CauseLabels {
    cause: String,
}

/// Label of metrics by service: its name, or [`OTHERS`] for the sum of those beyond the most that
/// are named.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// Label of the limit of an organisation.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct LimitLabels {
    organisation: String,
}

/// Labels of counts by organisation: its name, or [`OTHERS`] for all but a few, and the kind.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OrgLabels {
    organisation: String,
    kind: &'static str,
}

/// Label of the sum of the organisations, or services, that have no label of their own.
const OTHERS: &str = "other";

/// Capacity of the leafs of a service for the calls of this entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ServiceRoom {
    /// Sum of the concurrency windows of the leafs that may be called.
    pub(crate) places: u64,
    /// Places without a call in flight.
    pub(crate) free: u64,
    /// Calls in flight to all leafs.
    pub(crate) calls: u64,
}

impl ServiceRoom {
    /// Adds another capacity to this one.
    pub(crate) fn add(&mut self, other: Self) {
        self.places += other.places;
        self.free += other.free;
        self.calls += other.calls;
    }
}

/// The metrics of one entry, and their registry.
pub(crate) struct Metrics {
    /// Names and help texts of all metrics, for encoding.
    registry: Registry,
    /// Time to reply in seconds, by rule.
    latency: Family<RuleLabels, Histogram>,
    /// Requests by outcome.
    outcomes: Family<OutcomeLabels, Counter>,
    /// Refusals of requests that were not run, by reason and whether they waited.
    refusals: Family<RefusalLabels, Counter>,
    /// Calls to leafs by kind: first call, hedge or retry.
    calls: Family<KindLabels, Counter>,
    /// Calls to the store, and heartbeats of peers, by kind.
    store_calls: Family<KindLabels, Counter>,
    /// Store calls by kind since they were logged last.
    unlogged_store_calls: Mutex<BTreeMap<&'static str, u64>>,
    /// Leafs evicted by outlier ejection.
    pub(crate) evictions: Counter,
    /// Bytes of book updates sent to other entries.
    pub(crate) passed_bytes: Counter,
    /// Entries that are present, this one and those that don't serve included.
    pub(crate) members: Gauge,
    /// Leafs that are known, as of the last answer of the feed of leafs.
    pub(crate) leafs: Gauge,
    /// Cold leafs, whose call rate is bounded after their start.
    pub(crate) cold_leafs: Gauge,
    /// Id of the lease of cold leafs that this entry holds; -1 if it holds none.
    pub(crate) cold_lease: Gauge,
    /// Failure domains that are being evacuated.
    pub(crate) evacuated: Gauge,
    /// Calls in flight to leafs of evacuated failure domains.
    pub(crate) evacuated_calls: Gauge,
    /// Version of the route book in force.
    pub(crate) book_version: Gauge,
    /// 1 while the newest configuration that was read from the store is unreadable, else 0.
    pub(crate) book_unreadable: Gauge,
    /// Milliseconds since a newer book was first reported; 0 if the book is current.
    book_behind: Gauge,
    /// Restores of the store from an older copy that this entry noticed.
    pub(crate) restores: Counter,
    /// Epoch of the store; -1 if it tells none.
    epoch: Gauge,
    /// Reads of feeds by result.
    feed_reads: Family<KindLabels, Counter>,
    /// Changes of the upstream by cause.
    upstream_moves: Family<CauseLabels, Counter>,
    /// Total bytes by purpose, distance and flow.
    bytes: Family<ByteLabels, Gauge>,
    /// Totals of the extra-call budget and of calls that it affected, by kind.
    extra_calls: Family<KindLabels, Gauge<f64, AtomicU64>>,
    /// Requests with a quarantine record, and those refused now.
    quarantine_records: Family<KindLabels, Gauge>,
    /// Bytes that are held for callers: bodies, and answers until they are read.
    pub(crate) client_bytes: Gauge,
    /// Connections of callers that were closed or turned away for others, by reason.
    client_losses: Family<KindLabels, Gauge>,
    /// Requests under limits by organisation, the few that ask most and the rest, and by kind.
    organisations: Family<OrgLabels, Gauge>,
    /// Limits of the organisations that ask most, in requests a second.
    organisation_limits: Family<LimitLabels, Gauge<f64, AtomicU64>>,
    /// Places of the leafs by service, those of them that are free, and the calls in flight.
    service_places: Family<ServiceLabels, Gauge>,
    service_free: Family<ServiceLabels, Gauge>,
    service_calls: Family<ServiceLabels, Gauge>,
    /// Requests being handled.
    pub(crate) in_flight: Gauge,
    /// Classes of calls in the routing table.
    pub(crate) classes: Gauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let new_histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET, BUCKET_RATIO, BUCKETS));
        let mut metrics = Self {
            registry: Registry::with_prefix("chestnut_relay"),
            latency: Family::new_with_constructor(new_histogram),
            outcomes: Family::default(),
            refusals: Family::default(),
            calls: Family::default(),
            store_calls: Family::default(),
            unlogged_store_calls: Mutex::default(),
            evictions: Counter::default(),
            passed_bytes: Counter::default(),
            members: Gauge::default(),
            leafs: Gauge::default(),
            cold_leafs: Gauge::default(),
            cold_lease: Gauge::default(),
            evacuated: Gauge::default(),
            evacuated_calls: Gauge::default(),
            book_version: Gauge::default(),
            book_unreadable: Gauge::default(),
            book_behind: Gauge::default(),
            restores: Counter::default(),
            epoch: Gauge::default(),
            feed_reads: Family::default(),
            upstream_moves: Family::default(),
            bytes: Family::default(),
            extra_calls: Family::default(),
            client_bytes: Gauge::default(),
            client_losses: Family::default(),
            quarantine_records: Family::default(),
            organisations: Family::default(),
            organisation_limits: Family::default(),
            service_places: Family::default(),
            service_free: Family::default(),
            service_calls: Family::default(),
            in_flight: Gauge::default(),
            classes: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Registers all metrics with their names and help texts.
    fn register(&mut self) {
        let r = &mut self.registry;
        let latency = self.latency.clone();
        r.register("latency_seconds", "Time to reply", latency);
        let outcomes = self.outcomes.clone();
        r.register("requests", "Requests by outcome", outcomes);
        let refusals = "Requests refused as not run, by reason and whether they waited";
        r.register("refusals", refusals, self.refusals.clone());
        r.register("calls", "Calls to leafs by kind", self.calls.clone());
        r.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        r.register(
            "passed_bytes",
            "Bytes passed on to other entries",
            self.passed_bytes.clone(),
        );
        r.register("evictions", "Leafs evicted", self.evictions.clone());
        r.register("members", "Entries that serve", self.members.clone());
        r.register("leafs", "Leafs that are known", self.leafs.clone());
        let cold = "Leafs whose calls are bounded while they are cold";
        r.register("cold_leafs", cold, self.cold_leafs.clone());
        let lease = "Lease of cold leafs that is held, -1 if none is";
        r.register("cold_lease", lease, self.cold_lease.clone());
        let evacuated = "Failure domains that are evacuated";
        r.register("evacuated_domains", evacuated, self.evacuated.clone());
        let calls = "Calls under way to leafs of evacuated domains";
        r.register("evacuated_calls", calls, self.evacuated_calls.clone());
        r.register(
            "book_version",
            "Version in force",
            self.book_version.clone(),
        );
        let unreadable =
            "1 while the store's newest book can't be read, at entries that read it there";
        r.register("book_unreadable", unreadable, self.book_unreadable.clone());
        let behind = "Milliseconds since a peer told of a newer version, 0 if none has";
        r.register(
            "upstream_moves",
            "Changes of upstream",
            self.upstream_moves.clone(),
        );
        r.register("book_behind_ms", behind, self.book_behind.clone());
        r.register(
            "readings",
            "Readings of a feed by how they ended",
            self.feed_reads.clone(),
        );
        let restores = "Restores of the store from an older copy";
        r.register("store_restores", restores, self.restores.clone());
        let epoch = "How often the store was restored, as it tells; -1 if it tells nothing";
        r.register("store_epoch", epoch, self.epoch.clone());
        let bytes = "Bytes so far by purpose, distance and flow";
        r.register("bytes", bytes, self.bytes.clone());
        let extra = "Extra calls so far: earned, lost, spent, withheld";
        r.register("extra_calls", extra, self.extra_calls.clone());
        let held = "Bytes held for callers";
        r.register("client_bytes", held, self.client_bytes.clone());
        let losses = "Connections of callers that were closed or turned away for others";
        r.register("client_losses", losses, self.client_losses.clone());
        let cases = "Requests under which leafs ended: known, and refused now";
        r.register("cases", cases, self.quarantine_records.clone());
        let limited =
            "Requests under the limits of organisations: asked, refused, without the home";
        r.register("limited_requests", limited, self.organisations.clone());
        let limits = "Limit of an organisation over all entries, in requests a second";
        let family = self.organisation_limits.clone();
        r.register("organisation_limit", limits, family);
        let places = "Calls that this entry may have in flight to the leafs of a service";
        r.register("service_places", places, self.service_places.clone());
        let free = "Places of a service that are free";
        r.register("service_free_places", free, self.service_free.clone());
        let calls = "Calls in flight to the leafs of a service";
        r.register("service_calls", calls, self.service_calls.clone());
        r.register("in_flight", "Requests that run", self.in_flight.clone());
        r.register("classes", "Classes of calls", self.classes.clone());
    }

    /// Records the outcome and the latency of a request under its rule.
    pub(crate) fn observe(&self, rule: &str, outcome: &'static str, latency: Duration) {
        let rule = rule.to_owned();
        self.latency
            .get_or_create(&RuleLabels { rule })
            .observe(latency.as_secs_f64());
        self.outcomes
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a request that was refused as not run, and whether it waited before.
    pub(crate) fn count_refusal(&self, reason: &'static str, waited: bool) {
        let waited = if waited { "yes" } else { "no" };
        let labels = RefusalLabels { reason, waited };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts a call to a leaf: first call, hedge or retry.
    pub(crate) fn count_call(&self, kind: CallKind) {
        let kind = kind.as_str();
        self.calls.get_or_create(&KindLabels { kind }).inc();
    }

    /// Counts a call to the store, or a heartbeat of a peer, by its kind; also for the next log
    /// line.
    pub(crate) fn count_store_call(&self, kind: &'static str) {
        self.store_calls.get_or_create(&KindLabels { kind }).inc();
        *lock(&self.unlogged_store_calls).entry(kind).or_default() += 1;
    }

    /// Takes the number of store calls by kind since the last take.
    pub(crate) fn take_store_calls(&self) -> BTreeMap<&'static str, u64> {
        std::mem::take(&mut *lock(&self.unlogged_store_calls))
    }

    /// Sets how long a newer book version has been known; `None`, for a current book, sets 0.
    pub(crate) fn set_book_behind(&self, delay: Option<Duration>) {
        self.book_behind
            .set(delay.map_or(0, |delay| delay.as_millis() as i64));
    }

    /// Counts a change of upstream by its cause; the label is the variant name in lower case.
    pub(crate) fn count_upstream_move(&self, cause: Cause) {
        let cause = format!("{cause:?}").to_lowercase();
        self.upstream_moves
            .get_or_create(&CauseLabels { cause })
            .inc();
    }

    /// Counts a read of a feed by its result.
    pub(crate) fn count_feed_read(&self, kind: &'static str) {
        self.feed_reads.get_or_create(&KindLabels { kind }).inc();
    }

    /// Sets the epoch of the store.
    pub(crate) fn set_epoch(&self, epoch: Epoch) {
        let number = epoch.0.and_then(|number| i64::try_from(number).ok());
        self.epoch.set(number.unwrap_or(-1));
    }

    /// Sets the total bytes of one purpose, distance and direction.
    pub(crate) fn set_bytes(
        &self,
        purpose: Purpose,
        distance: Distance,
        direction: Direction,
        bytes: u64,
    ) {
        let labels = ByteLabels {
            purpose: purpose.as_str(),
            distance: distance.as_str(),
            flow: direction.as_str(),
        };
        self.bytes.get_or_create(&labels).set(bytes as i64);
    }

    /// Sets the total number of callers that lost their connection to others for a reason.
    pub(crate) fn set_client_losses(&self, kind: &'static str, count: u64) {
        let gauge = self.client_losses.get_or_create(&KindLabels { kind });
        gauge.set(count as i64);
    }

    /// Sets the number of requests with a quarantine record, and of those refused now.
    pub(crate) fn set_quarantine_records(&self, known: usize, refused: usize) {
        for (kind, count) in [("known", known), ("refused", refused)] {
            let gauge = self.quarantine_records.get_or_create(&KindLabels { kind });
            gauge.set(count as i64);
        }
    }

    /// Sets the requests under limits of the organisations that ask most, and of the rest.
    pub(crate) fn set_organisations(&self, largest: &[(OrgName, OrgUse)], rest: OrgUse) {
        self.organisations.clear();
        let named = largest.iter().map(|(org, usage)| (org.as_str(), *usage));
        for (org, usage) in named.chain([(OTHERS, rest)]) {
            let kinds = [
                ("asked", usage.asked),
                ("refused", usage.refused),
                ("detached", usage.detached),
            ];
            for (kind, count) in kinds {
                let organisation = org.to_owned();
                let labels = OrgLabels { organisation, kind };
                self.organisations.get_or_create(&labels).set(count as i64);
            }
        }
    }

    /// Sets the limits of organisations, in requests a second.
    pub(crate) fn set_organisation_limits<'a>(
        &self,
        limits: impl Iterator<Item = (&'a OrgName, f64)>,
    ) {
        self.organisation_limits.clear();
        for (org, rate) in limits {
            let organisation = org.as_str().to_owned();
            let labels = LimitLabels { organisation };
            self.organisation_limits.get_or_create(&labels).set(rate);
        }
    }

    /// Sets the capacity of services; those beyond the first `most` by name are summed, so that
    /// all entries name the same ones.
    pub(crate) fn set_services(&self, rooms: &BTreeMap<ServiceName, ServiceRoom>, most: usize) {
        for family in [
            &self.service_places,
            &self.service_free,
            &self.service_calls,
        ] {
            family.clear();
        }
        for (service, room) in rooms.iter().take(most) {
            self.set_service(service.as_str(), *room);
        }
        if rooms.len() > most {
            let mut sum = ServiceRoom::default();
            rooms.values().skip(most).for_each(|room| sum.add(*room));
            self.set_service(OTHERS, sum);
        }
    }

    /// Sets the capacity of one service.
    fn set_service(&self, service: &str, room: ServiceRoom) {
        let values = [
            (&self.service_places, room.places),
            (&self.service_free, room.free),
            (&self.service_calls, room.calls),
        ];
        for (family, value) in values {
            let service = service.to_owned();
            let gauge = family.get_or_create(&ServiceLabels { service });
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
    }

    /// Sets the total of one kind of the extra-call accounts, such as earned, spent or unpaid.
    pub(crate) fn set_extra_calls(&self, kind: &'static str, calls: f64) {
        self.extra_calls
            .get_or_create(&KindLabels { kind })
            .set(calls);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}
