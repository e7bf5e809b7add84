//! Upper bound on what any routing policy could serve, from a flow model.
//!
//! Models an oracle that always knows the state of each leaf and has the same slots and
//! budget for extra calls (hedges and retries). Queueing and the cost of learning the
//! state of leafs are ignored, so no real policy reaches the bound.

use std::{fmt, path::Path};

use displaydoc::Display;
use serde::Deserialize;

/// Flow model of a deployment, and the time spans to evaluate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowModel {
    /// Budget for extra calls of each shard, as a fraction of its requests.
    pub part: f64,
    /// Budget for extra calls of each shard beyond that, per second.
    pub slack: f64,
    /// Classes of requests; each request goes to all shards.
    pub classes: Vec<RequestClass>,
    /// Time spans, each evaluated by itself.
    pub spans: Vec<Span>,
}

/// Describes a class of requests that go to all shards.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Requests per second.
    pub rate: f64,
    /// Service time of a call, in milliseconds.
    pub work: f64,
    /// Latency objective, in milliseconds.
    pub goal: f64,
    /// Minimum coverage: the smallest fraction of shards in a valid answer.
    pub least: f64,
    /// Weight of an answer relative to other classes.
    pub worth: f64,
}

/// Describes a time span with constant load and leaf states.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// Name in the report.
    pub name: String,
    /// Length in seconds.
    pub length: f64,
    /// Seconds of the span in which no entry runs.
    #[serde(default)]
    pub dark: f64,
    /// Factor on the request rates.
    #[serde(default = "one")]
    pub load: f64,
    /// Shards, grouped by the state of their leafs.
    pub shards: Vec<ShardGroup>,
}

/// Default of the factors on rates and service times.
fn one() -> f64 {
    1.0
}

/// Describes a group of shards whose leafs are in the same state.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardGroup {
    /// Number of shards.
    pub count: u32,
    /// Calls that a leaf runs concurrently.
    pub slots: f64,
    /// Healthy leafs per shard.
    #[serde(default)]
    pub sound: f64,
    /// Leafs per shard that refuse or lose calls at random.
    #[serde(default)]
    pub faulty: f64,
    /// Fraction of calls that faulty leafs refuse or lose.
    #[serde(default)]
    pub fails: f64,
    /// Leafs per shard whose calls take longer.
    #[serde(default)]
    pub slow: f64,
    /// Factor on the service time of slow leafs.
    #[serde(default = "one")]
    pub times: f64,
}

/// Errors from reading a flow model: the file is unreadable or not valid.
#[derive(Debug, Display)]
pub enum BoundError {
    /// can't read {0}: {1}
    Read(String, std::io::Error),
    /// {0} is not a valid deployment: {1}
    Parse(String, toml::de::Error),
}

impl std::error::Error for BoundError {}

impl FlowModel {
    /// Reads a flow model from a TOML file.
    ///
    /// # Errors
    ///
    /// The file can't be read or is not a valid flow model.
    pub fn open(path: &Path) -> Result<Self, BoundError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| BoundError::Read(name.clone(), error))?;
        toml::from_str(&text).map_err(|error| BoundError::Parse(name, error))
    }

    /// Returns the bound of each span, in order; each is a share of the total weight.
    #[must_use]
    pub fn bounds(&self) -> Vec<SpanBound> {
        let row = |span: &Span| SpanBound {
            span: span.name.clone(),
            bound: self.bound(span),
        };
        self.spans.iter().map(row).collect()
    }

    /// Returns the largest share of the total weight that a span can earn, from 0 to 1;
    /// nothing is earned in its time without entries.
    fn bound(&self, span: &Span) -> f64 {
        let weight = |class: &RequestClass| class.rate * class.worth;
        let all: f64 = self.classes.iter().map(weight).sum();
        let classes = self.classes.iter();
        let earned: f64 = classes.map(|c| weight(c) * self.mean_credit(c, span)).sum();
        let uptime = 1.0 - (span.dark / span.length).clamp(0.0, 1.0);
        uptime * earned / all
    }

    /// Returns the largest mean credit of a class while entries run: a complete answer
    /// earns 1, one of minimum coverage the square of that coverage.
    fn mean_credit(&self, class: &RequestClass, span: &Span) -> f64 {
        /// Steps of the search over the fraction of requests that are answered.
        const STEPS: u32 = 400;
        let rate = class.rate * span.load;
        let shards: Vec<(u32, f64)> = span
            .shards
            .iter()
            .map(|group| (group.count, self.shard_rate(class, group, span.load)))
            .collect();
        let count: u32 = shards.iter().map(|(count, _)| count).sum();
        let count = f64::from(count);
        let least = (class.least * count).ceil();
        let credit = |step: u32| {
            let answered = rate * f64::from(step) / f64::from(STEPS);
            let parts = shards
                .iter()
                .map(|(n, most)| f64::from(*n) * most.min(answered));
            let each = parts.sum::<f64>() / answered;
            let least_worth = (least / count).powi(2);
            if each + 1e-9 < least {
                return 0.0;
            }
            // The best mix has complete answers and answers of minimum coverage.
            let whole = if least < count {
                (each - least) / (count - least)
            } else {
                1.0
            };
            (least_worth + (1.0 - least_worth) * whole.min(1.0)) * answered / rate
        };
        (1..=STEPS).map(credit).fold(0.0, f64::max)
    }

    /// Returns the requests per second of a class that one shard can answer: at healthy and
    /// slow leafs first, then at faulty ones within the budget for extra calls.
    fn shard_rate(&self, class: &RequestClass, group: &ShardGroup, load: f64) -> f64 {
        let all: f64 = self.classes.iter().map(|class| class.rate).sum();
        let busy: f64 = self
            .classes
            .iter()
            .map(|class| class.rate * class.work)
            .sum();
        let share = class.rate / all;
        // Calls per second of this class that one leaf can run.
        let leaf_rate = group.slots * 1e3 / (busy / all) * share;
        let rate = class.rate * load;
        let in_time = class.work * group.times <= class.goal;
        let slow = if in_time {
            group.slow / group.times
        } else {
            0.0
        };
        let healthy = rate.min((group.sound + slow) * leaf_rate);
        let spare = rate * (1.0 + self.part) + self.slack * share - healthy;
        let accepted = (spare * (1.0 - group.fails)).min(group.faulty * leaf_rate);
        rate.min(healthy + accepted.max(0.0))
    }
}

/// Holds the name and the bound of one span.
#[derive(Clone, Debug, PartialEq)]
pub struct SpanBound {
    /// Name of the span.
    pub span: String,
    /// Largest fraction of the total weight that can be earned, from 0 to 1.
    pub bound: f64,
}

impl fmt::Display for SpanBound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "| {} | {:.2} |", self.span, self.bound)
    }
}
