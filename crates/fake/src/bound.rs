//! The most that any policy could serve, by flow.
//!
//! What an oracle would serve that knows each leaf's state at each moment and has the
//! same slots and extra calls. Queues are left out, and that calls start where nobody
//! knows anything yet, so the bound is above what can be reached.

use std::{fmt, path::Path};

use displaydoc::Display;
use serde::Deserialize;

/// A deployment, and spans of its days.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Extra calls of each shard, as a part of its requests.
    pub part: f64,
    /// Extra calls of each shard beyond that, a second.
    pub slack: f64,
    /// Kinds of requests over all shards.
    pub classes: Vec<ClassShape>,
    /// Spans of time.
    pub spans: Vec<Span>,
}

/// A kind of requests over all shards.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassShape {
    /// Requests a second.
    pub rate: f64,
    /// Time of a call, in milliseconds.
    pub work: f64,
    /// Time within which the answer is wanted, in milliseconds.
    pub goal: f64,
    /// Least share of shards in an answer.
    pub least: f64,
    /// Worth of an answer.
    pub worth: f64,
}

/// A span of time in which nothing changes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// Its name in the report.
    pub name: String,
    /// Its length in seconds.
    pub length: f64,
    /// Seconds of it in which no entry runs.
    #[serde(default)]
    pub dark: f64,
    /// Factor on the rates.
    #[serde(default = "one")]
    pub load: f64,
    /// The shards.
    pub shards: Vec<Shards>,
}

fn one() -> f64 {
    1.0
}

/// Shards whose leafs are in the same state.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shards {
    /// How many.
    pub count: u32,
    /// Calls that a leaf runs at once.
    pub slots: f64,
    /// Leafs that are sound, of each shard.
    #[serde(default)]
    pub sound: f64,
    /// Leafs that refuse or lose calls at random.
    #[serde(default)]
    pub faulty: f64,
    /// Part of the calls that those refuse or lose.
    #[serde(default)]
    pub fails: f64,
    /// Leafs whose calls take longer.
    #[serde(default)]
    pub slow: f64,
    /// How many times as long.
    #[serde(default = "one")]
    pub times: f64,
}

/// Why a file of spans can't be used.
#[derive(Debug, Display)]
pub enum BoundError {
    /// {0} can't be read: {1}
    Read(String, std::io::Error),
    /// {0} is no list of spans: {1}
    Parse(String, toml::de::Error),
}

impl std::error::Error for BoundError {}

impl Deployment {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// It can't be read, or is not TOML of this form.
    pub fn open(path: &Path) -> Result<Self, BoundError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| BoundError::Read(name.clone(), error))?;
        toml::from_str(&text).map_err(|error| BoundError::Parse(name, error))
    }

    /// The bound of each span.
    #[must_use]
    pub fn bounds(&self) -> Vec<Row> {
        let row = |span: &Span| Row {
            span: span.name.clone(),
            bound: self.bound(span),
        };
        self.spans.iter().map(row).collect()
    }

    /// The part of its worth that requests of a span can get.
    fn bound(&self, span: &Span) -> f64 {
        let weight = |class: &ClassShape| class.rate * class.worth;
        let all: f64 = self.classes.iter().map(weight).sum();
        let classes = self.classes.iter();
        let got: f64 = classes.map(|c| weight(c) * self.served(c, span)).sum();
        let lit = 1.0 - (span.dark / span.length).clamp(0.0, 1.0);
        lit * got / all
    }

    /// The mean credit of the requests of a class while entries run.
    fn served(&self, class: &ClassShape, span: &Span) -> f64 {
        /// Numbers of answered requests that are tried, as parts of all.
        const STEPS: u32 = 400;
        let rate = class.rate * span.load;
        let shards: Vec<(u32, f64)> = span
            .shards
            .iter()
            .map(|shards| (shards.count, self.parts(class, shards, span.load)))
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
            // Some answers may be whole and the others cover the least share.
            let whole = if least < count {
                (each - least) / (count - least)
            } else {
                1.0
            };
            (least_worth + (1.0 - least_worth) * whole.min(1.0)) * answered / rate
        };
        (1..=STEPS).map(credit).fold(0.0, f64::max)
    }

    /// Parts of a class that a shard can bring a second.
    fn parts(&self, class: &ClassShape, shards: &Shards, load: f64) -> f64 {
        let all: f64 = self.classes.iter().map(|class| class.rate).sum();
        let busy: f64 = self
            .classes
            .iter()
            .map(|class| class.rate * class.work)
            .sum();
        let share = class.rate / all;
        // Calls a second of this class that one leaf can run.
        let leaf = shards.slots * 1e3 / (busy / all) * share;
        let rate = class.rate * load;
        let in_time = class.work * shards.times <= class.goal;
        let slow = if in_time {
            shards.slow / shards.times
        } else {
            0.0
        };
        let sound = rate.min((shards.sound + slow) * leaf);
        let calls = rate * (1.0 + self.part) + self.slack * share - sound;
        let lucky = (calls * (1.0 - shards.fails)).min(shards.faulty * leaf);
        rate.min(sound + lucky.max(0.0))
    }
}

/// The bound of one span.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The span's name.
    pub span: String,
    /// The part of its worth that requests can get, from 0 to 1.
    pub bound: f64,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "| {} | {:.2} |", self.span, self.bound)
    }
}
