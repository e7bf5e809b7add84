//! The capacity of services and the use of organisations, from the metrics of several entries.

use std::{collections::BTreeMap, net::SocketAddr};

use serde_json::{Map, Value, json};

use crate::{
    client::{CliError, Client},
    metrics_text::{self, Sample},
    show::{cell_text, print_line, print_table, rounded_cell},
};

/// Prefix of the names of the metrics of forwarding entries.
const PREFIX: &str = "chestnut_relay_";
/// Name of the sum of the services, or organisations, that an entry does not name.
const OTHERS: &str = "other";

/// What the entries reported: the samples of each that answered, and why others have none.
struct Readings {
    samples: BTreeMap<SocketAddr, Vec<Sample>>,
    failures: BTreeMap<SocketAddr, String>,
}

impl Readings {
    /// Reads the metrics of all entries at once. Fails if none of them can be read.
    async fn fetch(client: &Client, addresses: &[SocketAddr]) -> Result<Self, CliError> {
        let task = |address: &SocketAddr| {
            let client = client.for_entry(*address);
            (*address, tokio::spawn(async move { read(&client).await }))
        };
        let tasks: BTreeMap<SocketAddr, _> = addresses.iter().map(task).collect();
        let mut readings = Self {
            samples: BTreeMap::new(),
            failures: BTreeMap::new(),
        };
        for (address, task) in tasks {
            match task.await.unwrap_or_else(|error| Err(error.to_string())) {
                Ok(samples) => drop(readings.samples.insert(address, samples)),
                Err(error) => drop(readings.failures.insert(address, error)),
            }
        }
        if readings.samples.is_empty() {
            return Err(CliError::NoMetrics(readings.failure_text()));
        }
        Ok(readings)
    }

    /// Returns the samples of the metric `name` of all entries, with the entry of each.
    fn of<'a>(&'a self, name: &'a str) -> impl Iterator<Item = (SocketAddr, &'a Sample)> {
        self.samples.iter().flat_map(move |(address, samples)| {
            let named = samples
                .iter()
                .filter(move |sample| sample.name.strip_prefix(PREFIX) == Some(name));
            named.map(|sample| (*address, sample))
        })
    }

    /// Returns the sum over all entries of a metric by one label, by its values.
    fn sums(&self, name: &str, label: &str) -> BTreeMap<String, f64> {
        let mut sums = BTreeMap::new();
        for (_, sample) in self.of(name) {
            *sums.entry(sample.label(label).to_owned()).or_default() += sample.value;
        }
        sums
    }

    /// Names the entries that could not be read, with the reasons.
    fn failure_text(&self) -> String {
        let failures = self.failures.iter();
        let named: Vec<String> = failures
            .map(|(address, reason)| format!("{address} ({reason})"))
            .collect();
        named.join(", ")
    }

    /// Prints which entries could not be read, if any.
    fn print_failures(&self) {
        if !self.failures.is_empty() {
            print_line(format_args!("could not be asked: {}", self.failure_text()));
        }
    }

    /// Returns the entries that could not be read, with the reasons, as JSON.
    fn failures_json(&self) -> Value {
        let failures = self.failures.iter();
        failures
            .map(|(address, reason)| (address.to_string(), json!(reason)))
            .collect::<Map<_, _>>()
            .into()
    }
}

/// Reads the metrics of one entry; the error is the reason for the operator.
async fn read(client: &Client) -> Result<Vec<Sample>, String> {
    let text = client.metrics().await.map_err(|error| error.to_string())?;
    metrics_text::parse(&text).map_err(|error| error.to_string())
}

/// Formats the counts of refusals by reason, such as `limit=3 queue=1`; null without any.
fn by_reason<'a>(samples: impl Iterator<Item = &'a Sample>) -> Value {
    let mut sums: BTreeMap<&str, f64> = BTreeMap::new();
    for sample in samples {
        *sums.entry(sample.label("reason")).or_default() += sample.value;
    }
    let counts: Vec<String> = sums.iter().map(|(why, n)| format!("{why}={n}")).collect();
    match counts.is_empty() {
        true => Value::Null,
        false => json!(counts.join(" ")),
    }
}

/// Prints the places, calls in flight, queue and refusals of each service over the entries, and
/// at which of them its leafs have no free place.
pub(crate) async fn services(
    client: &Client,
    addresses: &[SocketAddr],
    as_json: bool,
) -> Result<(), CliError> {
    let readings = Readings::fetch(client, addresses).await?;
    let services = service_rows(&readings);
    if as_json {
        print_line(json!({ "services": services, "not_asked": readings.failures_json() }));
        return Ok(());
    }
    let headings = [
        "SERVICE",
        "PLACES",
        "FREE",
        "CALLS",
        "QUEUE",
        "LONGEST WAIT MS",
        "REFUSED",
        "TURNS",
        "FULL AT",
    ];
    let keys = [
        "service",
        "places",
        "free",
        "calls",
        "queue",
        "longest_wait_ms",
        "refused",
        "turns",
        "full_at",
    ];
    print_rows(&services, &headings, &keys);
    print_binding(&services);
    let outcomes = readings.sums("requests_total", "outcome");
    let outcomes = outcomes.iter().map(|(name, n)| format!("{name} {n}"));
    let outcomes: Vec<String> = outcomes.collect();
    print_line(format_args!("requests so far: {}", outcomes.join(", ")));
    readings.print_failures();
    Ok(())
}

/// Returns one object for each service. Values that no entry reports are null.
fn service_rows(readings: &Readings) -> Vec<Value> {
    let sums = |name| readings.sums(name, "service");
    let (places, free) = (sums("service_places"), sums("service_free_places"));
    let (calls, queue) = (sums("service_calls"), sums("service_queue"));
    let turns = sums("service_turns_total");
    let row = |service: &String| {
        let of_service = |sample: &Sample| sample.label("service") == service;
        let refusals = readings.of("service_refusals_total");
        let waits = readings.of("service_longest_wait_ms");
        let waits = waits.filter(|(_, sample)| of_service(sample));
        let full: Vec<String> = readings
            .of("service_free_places")
            .filter(|(_, sample)| of_service(sample) && sample.value <= 0.0)
            .map(|(address, _)| address.to_string())
            .collect();
        json!({
            "service": service, "places": places.get(service), "free": free.get(service),
            "calls": calls.get(service), "queue": queue.get(service),
            "longest_wait_ms": waits.map(|(_, sample)| sample.value).reduce(f64::max),
            "refused": by_reason(refusals.map(|(_, sample)| sample).filter(|s| of_service(s))),
            "turns": turns.get(service), "full_at": full,
        })
    };
    places.keys().map(row).collect()
}

/// Prints the services whose leafs have no free place at some entry.
fn print_binding(services: &[Value]) {
    let is_full = |row: &&Value| row["full_at"].as_array().is_some_and(|at| !at.is_empty());
    let names = services.iter().filter(is_full);
    let names: Vec<String> = names.map(|row| cell_text(&row["service"])).collect();
    let text = if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(" ")
    };
    print_line(format_args!("binding shards: {text}"));
}

/// Prints the limit of an organisation and its requests at each entry, and their sum.
pub(crate) async fn organisation(
    client: &Client,
    name: &str,
    addresses: &[SocketAddr],
    as_json: bool,
) -> Result<(), CliError> {
    let readings = Readings::fetch(client, addresses).await?;
    let uses: Vec<OrgUse> = readings
        .samples
        .iter()
        .map(|(address, samples)| OrgUse::read(name, *address, samples))
        .collect();
    let limit = readings
        .of("organisation_limit")
        .find(|(_, sample)| sample.label("organisation") == name);
    let limit = limit.map(|(_, sample)| sample.value);
    let home = readings
        .of("organisation_home")
        .find(|(_, sample)| sample.label("organisation") == name);
    let home = home.map(|(_, sample)| sample.label("home"));
    if as_json {
        let entries: Vec<Value> = uses.iter().map(OrgUse::json).collect();
        print_line(json!({
            "organisation": name, "limit": limit, "home": home, "entries": entries,
            "not_asked": readings.failures_json(),
        }));
        return Ok(());
    }
    let text = |value: Value| rounded_cell(&value);
    print_line(format_args!(
        "{name}: limit {} requests a second over all entries, home {}",
        text(json!(limit)),
        text(json!(home))
    ));
    print_uses(&uses);
    let unnamed: Vec<String> = uses.iter().filter_map(OrgUse::unnamed).collect();
    if !unnamed.is_empty() {
        print_line(format_args!(
            "not among those that ask most, so part of {OTHERS}, at: {}",
            unnamed.join(" ")
        ));
    }
    readings.print_failures();
    Ok(())
}

/// Requests of an organisation at one entry; `None` where the entry doesn't report a number.
struct OrgUse {
    entry: SocketAddr,
    asked: Option<f64>,
    refused: Option<f64>,
    detached: Option<f64>,
    waiting: Option<f64>,
    reasons: Value,
    /// Whether the entry sums other organisations, of which this may be one.
    has_others: bool,
}

impl OrgUse {
    /// Reads the requests of the organisation `name` from the samples of an entry.
    fn read(name: &str, entry: SocketAddr, samples: &[Sample]) -> Self {
        let of = |org: &'static str, metric: &'static str| {
            let org = if org.is_empty() { name } else { org };
            samples.iter().filter(move |sample| {
                sample.name.strip_prefix(PREFIX) == Some(metric)
                    && sample.label("organisation") == org
            })
        };
        let kind = |org, kind: &str| {
            let mut found = of(org, "limited_requests").filter(|s| s.label("kind") == kind);
            found.next().map(|sample| sample.value)
        };
        let waiting = of("", "organisation_waiting").map(|sample| sample.value);
        Self {
            entry,
            asked: kind("", "asked"),
            refused: kind("", "refused"),
            detached: kind("", "detached"),
            waiting: waiting.reduce(|a, b| a + b),
            reasons: by_reason(of("", "organisation_refusals_total")),
            has_others: kind(OTHERS, "asked").is_some_and(|asked| asked > 0.0),
        }
    }

    /// Requests that were not refused over the limit.
    fn admitted(&self) -> Option<f64> {
        Some(self.asked? - self.refused?)
    }

    /// The entry, if its sum of others may hold the organisation.
    fn unnamed(&self) -> Option<String> {
        (self.asked.is_none() && self.has_others).then(|| self.entry.to_string())
    }

    /// The fields of the table as JSON.
    fn json(&self) -> Value {
        json!({
            "entry": self.entry.to_string(), "asked": self.asked, "admitted": self.admitted(),
            "over_limit": self.refused, "refused": self.reasons, "detached": self.detached,
            "waiting": self.waiting,
        })
    }
}

/// Prints the requests at each entry, and their sum.
fn print_uses(uses: &[OrgUse]) {
    let sum = |part: fn(&OrgUse) -> Option<f64>| {
        let numbers = uses.iter().filter_map(part);
        numbers.reduce(|a, b| a + b)
    };
    let total = json!({
        "entry": "all", "asked": sum(|u| u.asked), "admitted": sum(OrgUse::admitted),
        "over_limit": sum(|u| u.refused), "detached": sum(|u| u.detached),
        "waiting": sum(|u| u.waiting),
    });
    let rows: Vec<Value> = uses.iter().map(OrgUse::json).chain([total]).collect();
    let headings = [
        "ENTRY",
        "ASKED",
        "ADMITTED",
        "OVER LIMIT",
        "REFUSED",
        "WITHOUT HOME",
        "WAITING",
    ];
    let keys = [
        "entry",
        "asked",
        "admitted",
        "over_limit",
        "refused",
        "detached",
        "waiting",
    ];
    print_rows(&rows, &headings, &keys);
}

/// Prints JSON objects as a table; lists are joined by spaces.
fn print_rows(list: &[Value], headings: &[&str], keys: &[&str]) {
    let cell = |value: &Value| match value.as_array() {
        Some(list) if list.is_empty() => "-".to_owned(),
        Some(list) => list.iter().map(cell_text).collect::<Vec<_>>().join(" "),
        None => rounded_cell(value),
    };
    let mut rows = vec![headings.iter().map(|text| (*text).to_owned()).collect()];
    rows.extend(
        list.iter()
            .map(|item| keys.iter().map(|key| cell(&item[*key])).collect()),
    );
    print_table(&rows);
}
