//! Open-loop load generator.
//!
//! Requests are sent on schedule whether or not earlier ones have been answered,
//! so a slow system can't reduce the offered load (coordinated omission).

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use chestnut_port::{HttpClient, HttpError};
use hdrhistogram::Histogram;
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::{Series, plot_lines};

/// Configures a load run: the caller, the rate and length of the load, and its requests.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Entry that is asked for the list of entries at first.
    pub seed_entry: SocketAddr,
    /// Failure domain of the caller, if known.
    pub domain: Option<String>,
    /// Mean request rate, per second.
    pub rate: f64,
    /// Duration of the load.
    pub span: Duration,
    /// Organisation of the requests.
    pub organisation: String,
    /// Service that is queried.
    pub service: String,
    /// Call types, chosen uniformly.
    pub call_types: Vec<String>,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Seed of the arrival times and call types.
    pub seed: u64,
    /// Operator addresses of the entries, to read their call counters.
    pub operators: Vec<SocketAddr>,
}

/// Results of a load run: counts by outcome, coverage and latencies.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Answers that cover all shards.
    pub whole: u64,
    /// Answers that cover only some of the shards.
    pub partial: u64,
    /// Refused requests by reason.
    pub refused: BTreeMap<String, u64>,
    /// Requests without a valid HTTP response.
    pub failed: u64,
    /// Mean fraction of shards covered by answers.
    pub coverage: f64,
    /// Latency quantiles of complete answers, in milliseconds.
    pub whole_ms: BTreeMap<String, f64>,
    /// 99th percentile of the latency of refusals, in milliseconds.
    pub refused_p99_ms: f64,
    /// Extra calls (hedges and retries) per shard asked, from the entries'
    /// metrics; absent if no operator addresses were given.
    pub extra: Option<f64>,
}

/// Reported quantiles by name.
const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p99.9", 0.999)];
/// Largest latency recorded, in microseconds; longer ones count as this.
const MAX_US: u64 = 120_000_000;
/// Time after its deadline at which a request counts as failed.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);

/// Accumulates the outcomes of requests: the report, and histograms in microseconds.
struct Tally {
    report: LoadReport,
    whole: Histogram<u64>,
    refused: Histogram<u64>,
    coverage_sum: f64,
    answers: u64,
}

impl Tally {
    fn new() -> Self {
        let empty = Histogram::new_with_max(MAX_US, 3).expect("constant bounds");
        Self {
            report: LoadReport::default(),
            whole: empty.clone(),
            refused: empty,
            coverage_sum: 0.0,
            answers: 0,
        }
    }

    /// Records the outcome of one request that took `span`: answer, refusal or failure.
    fn record(&mut self, reply: Result<chestnut_port::HttpReply, HttpError>, span: Duration) {
        self.report.sent += 1;
        let Ok(reply) = reply else {
            self.report.failed += 1;
            return;
        };
        let us = (span.as_micros() as u64).clamp(1, MAX_US);
        let body = reply.json();
        if let Some(reason) = body["reason"].as_str() {
            *self.report.refused.entry(reason.to_owned()).or_default() += 1;
            self.refused.saturating_record(us);
            return;
        }
        let coverage = &body["coverage"];
        let (Some(asked), Some(answered)) =
            (coverage["asked"].as_f64(), coverage["answered"].as_f64())
        else {
            self.report.failed += 1;
            return;
        };
        self.answers += 1;
        self.coverage_sum += answered / asked.max(1.0);
        if coverage["complete"] == true {
            self.report.whole += 1;
            self.whole.saturating_record(us);
        } else {
            self.report.partial += 1;
        }
    }

    /// Returns the report with its quantiles and mean coverage, and the latencies of
    /// complete answers in microseconds.
    fn finish(mut self) -> (LoadReport, Histogram<u64>) {
        self.report.coverage = self.coverage_sum / self.answers.max(1) as f64;
        for (name, quantile) in QUANTILES {
            let ms = self.whole.value_at_quantile(quantile) as f64 / 1e3;
            self.report.whole_ms.insert(name.to_owned(), ms);
        }
        self.report.refused_p99_ms = self.refused.value_at_quantile(0.99) as f64 / 1e3;
        (self.report, self.whole)
    }
}

/// Client state of a caller: its cached list of entries and when it expires.
struct Caller {
    client: HttpClient,
    seed_entry: SocketAddr,
    domain: Option<String>,
    known: Vec<SocketAddr>,
    expires: Instant,
}

impl Caller {
    /// Returns the preferred entry, after refreshing the list if it has expired.
    async fn entry(&mut self) -> SocketAddr {
        if Instant::now() >= self.expires {
            self.refresh().await;
        }
        self.known.first().copied().unwrap_or(self.seed_entry)
    }

    /// Fetches the list from the first entry that answers: those known, then `seed_entry`.
    /// Keeps the old list if none does.
    async fn refresh(&mut self) {
        let path = match &self.domain {
            Some(domain) => format!("/v1/entries?domain={domain}"),
            None => "/v1/entries".to_owned(),
        };
        let mut candidates = self.known.clone();
        candidates.push(self.seed_entry);
        for address in candidates {
            let timeout = Duration::from_secs(1);
            let call = self
                .client
                .call(Method::GET, address, &path, Bytes::new(), timeout);
            let Ok(reply) = call.await else {
                continue;
            };
            let body = reply.json();
            let entries = body["entries"].as_array().cloned().unwrap_or_default();
            let parse = |e: &serde_json::Value| e["address"].as_str()?.parse().ok();
            let known: Vec<SocketAddr> = entries.iter().filter_map(parse).collect();
            if known.is_empty() {
                continue;
            }
            self.known = known;
            let ttl = body["ttl_ms"].as_u64().unwrap_or(1000);
            self.expires = Instant::now() + Duration::from_millis(ttl);
            return;
        }
    }
}

/// Returns the extra calls and the shards asked, summed over the entries' metrics;
/// skips entries that don't answer.
async fn call_counts(client: &HttpClient, operators: &[SocketAddr]) -> (f64, f64) {
    let timeout = Duration::from_secs(2);
    let (mut extra, mut shards) = (0.0, 0.0);
    for address in operators {
        let call = client.call(Method::GET, *address, "/metrics", Bytes::new(), timeout);
        let Ok(reply) = call.await else {
            continue;
        };
        for line in String::from_utf8_lossy(&reply.body).lines() {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let value: f64 = value.parse().unwrap_or(0.0);
            if name == "chestnut_shards_asked_total" {
                shards += value;
            } else if name.starts_with("chestnut_calls_total") && !name.contains("\"first\"") {
                extra += value;
            }
        }
    }
    (extra, shards)
}

/// Sends the load and returns its results. With `plot`, also writes the latency
/// distribution as SVG.
///
/// # Errors
///
/// The plot can't be written.
pub async fn run(config: LoadConfig, plot: Option<&Path>) -> Result<LoadReport, String> {
    let tally = Arc::new(Mutex::new(Tally::new()));
    let client = HttpClient::default();
    let mut caller = Caller {
        client: client.clone(),
        seed_entry: config.seed_entry,
        domain: config.domain.clone(),
        known: Vec::new(),
        expires: Instant::now(),
    };
    let before = call_counts(&client, &config.operators).await;
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
    let start = Instant::now();
    let mut due = start;
    let mut requests = JoinSet::new();
    while due < start + config.span {
        sleep_until(due).await;
        let entry = caller.entry().await;
        let body = query_body(&config, &mut rng);
        let (client, tally) = (client.clone(), tally.clone());
        let timeout = config.deadline + DEADLINE_GRACE;
        requests.spawn(async move {
            let sent = Instant::now();
            let reply = client
                .call(Method::POST, entry, "/v1/query", body, timeout)
                .await;
            let span = sent.elapsed();
            tally
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .record(reply, span);
        });
        while requests.try_join_next().is_some() {}
        let uniform = (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        due += Duration::from_secs_f64(-(1.0 - uniform).ln() / config.rate);
    }
    while requests.join_next().await.is_some() {}
    let tally = Arc::into_inner(tally).expect("every request has ended");
    let (mut report, whole) = tally
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner)
        .finish();
    if !config.operators.is_empty() {
        let after = call_counts(&client, &config.operators).await;
        report.extra = Some((after.0 - before.0) / (after.1 - before.1).max(1.0));
    }
    if let Some(path) = plot {
        plot_latency(path, &whole)?;
    }
    Ok(report)
}

/// Builds the JSON body of a query with a random call type.
fn query_body(config: &LoadConfig, rng: &mut ChaCha8Rng) -> Bytes {
    let call = &config.call_types[rng.next_u64() as usize % config.call_types.len()];
    let body = json!({
        "organisation": config.organisation,
        "service": config.service,
        "call": call,
        "deadline_ms": config.deadline.as_millis() as u64,
        "query": { "q": "all" },
    });
    Bytes::from(body.to_string())
}

/// Plots the latency of complete answers by quantile as SVG; fails if the file can't
/// be written.
fn plot_latency(path: &Path, whole: &Histogram<u64>) -> Result<(), String> {
    let point = |permille: u32| {
        let share = f64::from(permille) / 1000.0;
        let ms = whole.value_at_quantile(share) as f64 / 1e3;
        (share * 100.0, ms)
    };
    let series = Series {
        name: "whole answers".to_owned(),
        points: (0..=999).map(point).collect(),
    };
    plot_lines(
        path,
        "Latency by quantile",
        ("percent of answers", "ms"),
        &[series],
    )
}
