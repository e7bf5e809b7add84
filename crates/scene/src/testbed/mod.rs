//! Test bed of a scenario: its entries, leafs, links and platform.

mod deployment;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use chestnut_conf::{ObjectKey, ObjectKind, Settings};
use chestnut_fake::{DeploymentSpec, Store, layout};
use chestnut_port::{Clock, PeerService, Peers};
use chestnut_tier::{PeerBinder, Ports, QueryRequest, SpawnError, SubmitRequest, Tier};
use chestnut_unit::{CallType, IndexVersion, LeafId, MemberId, OrgName, ServiceName, WallTime};
pub(crate) use deployment::{ORG, organisation};
use deployment::{SERVICE, deployment_spec, edited_objects};
use displaydoc::Display;
use futures::FutureExt;
use serde_json::json;
use slog::Logger;
use tokio::sync::{Notify, mpsc};

use crate::{
    command::{LeafFault, PlatformChange, Setup},
    invariants::{CheckReport, Reply},
    leafs::{FakeTargets, Leaf, Leafs},
    links::{FakePeers, FakeProbes, Links, Process, ProcessGate, RunState, lock},
    platform::{self, FakePlatform},
};

/// Datagrams that an entry's inbox holds; further ones are dropped.
const INBOX_CAPACITY: usize = 256;
/// Deadline of queries and submissions.
const DEADLINE: Duration = Duration::from_millis(800);
/// Wall-clock time at which every scenario starts.
const START: WallTime = WallTime(1_800_000_000_000);

/// Why an entry can't be started.
#[derive(Debug, Display)]
pub enum StartError {
    /// {0}
    Settings(String),
    /// {0}
    Spawn(SpawnError),
}

impl std::error::Error for StartError {}

/// A running entry: its service and the gate that suspends its process.
pub(crate) struct RunningEntry {
    /// The entry's service.
    pub(crate) tier: Tier,
    /// State of its process.
    pub(crate) gate: Arc<ProcessGate>,
}

/// Simulated deployment of one scenario: entries, leafs, links and platform.
pub struct Testbed {
    setup: Setup,
    deployment: DeploymentSpec,
    links: Arc<Links>,
    leafs: Leafs,
    platform: Arc<platform::Shared>,
    clock: Clock,
    log: Logger,
    /// Running entries by number.
    pub(crate) entries: BTreeMap<usize, RunningEntry>,
    /// Invariants, checked on every answer.
    pub(crate) report: Arc<Mutex<CheckReport>>,
    /// Number of the last query.
    last_query: Mutex<u64>,
    /// Number of starts of all entries; seeds each new incarnation.
    starts: u64,
}

impl Testbed {
    /// Creates a deployment whose platform and leafs run; no entry runs yet.
    ///
    /// # Panics
    ///
    /// Never: the names in a scenario's deployment are valid.
    #[must_use]
    pub fn new(setup: Setup, log: Logger) -> Self {
        let deployment = deployment_spec(&setup);
        let clock = Clock::start_at(START);
        let mut store = Store::default();
        for (key, value) in deployment
            .objects()
            .into_iter()
            .chain(edited_objects(&setup))
        {
            store.put(key, 0, value).expect("a new platform is up");
        }
        store.set_vms(deployment.vms(), clock.now());
        let leafs = deployment.leafs().into_iter().map(|spec| {
            let shards = spec.shards.into_iter().collect();
            let leaf = Leaf {
                shards: BTreeMap::from([(IndexVersion(1), shards)]),
                ..Leaf::default()
            };
            (spec.id, leaf)
        });
        Self {
            leafs: Arc::new(Mutex::new(leafs.collect())),
            setup,
            deployment,
            links: Arc::default(),
            platform: Arc::new(platform::Shared {
                store: Mutex::new(store),
                changed: Notify::new(),
                unreachable: Mutex::new(BTreeSet::new()),
                clock,
            }),
            clock,
            log,
            entries: BTreeMap::new(),
            report: Arc::default(),
            last_query: Mutex::new(0),
            starts: 0,
        }
    }

    /// Starts an entry, in a new incarnation.
    ///
    /// # Errors
    ///
    /// The entry's settings are not valid, or it fails to start.
    pub async fn start(&mut self, number: usize) -> Result<(), StartError> {
        self.starts += 1;
        let settings = self.settings(number)?;
        let address = settings.listen.peers;
        let gate = Arc::new(ProcessGate::new());
        let (inbox, outbox) = mpsc::channel(INBOX_CAPACITY);
        let targets = FakeTargets {
            leafs: self.leafs.clone(),
            entry: number,
            gate: gate.clone(),
            connected: Mutex::new(BTreeSet::new()),
        };
        let platform = FakePlatform {
            shared: self.platform.clone(),
            entry: number,
            gate: gate.clone(),
        };
        let probes = FakeProbes {
            links: self.links.clone(),
            number,
            address,
            gate: gate.clone(),
            inbox: tokio::sync::Mutex::new(outbox),
        };
        let ports = Ports {
            targets: Arc::new(targets),
            platform: Arc::new(platform),
            probes: Arc::new(probes),
            peers: self.binder(number, address, gate.clone(), inbox),
            clock: self.clock,
        };
        let log = self.log.new(slog::o!("entry" => number));
        let tier = Tier::spawn(settings, log, ports, self.starts)
            .await
            .map_err(StartError::Spawn)?;
        lock(&self.report).forget_version(number);
        self.entries.insert(number, RunningEntry { tier, gate });
        Ok(())
    }

    /// Returns the function that registers an entry's process in the links under `address`
    /// and creates its [`Peers`] port.
    fn binder(
        &self,
        number: usize,
        address: SocketAddr,
        gate: Arc<ProcessGate>,
        inbox: mpsc::Sender<(chestnut_fleet::Message, SocketAddr)>,
    ) -> PeerBinder {
        let links = self.links.clone();
        Box::new(move |service: Arc<dyn PeerService>| {
            let process = Process {
                number,
                gate: gate.clone(),
                service,
                inbox,
            };
            lock(&links.processes).insert(address, process);
            let peers = FakePeers {
                links,
                number,
                gate,
            };
            async move { Ok(Arc::new(peers) as Arc<dyn Peers>) }.boxed()
        })
    }

    /// Builds the settings of an entry; fails if they are not valid.
    fn settings(&self, number: usize) -> Result<Settings, StartError> {
        let spec = &self.deployment.entry[number];
        let share = self.setup.share;
        let text = format!(
            "{}\n[control]\nttl = \"1s\"\nprobe = \"200ms\"\nshare = {share}\nrecords = \"1s\"\n\
             seeds = [\"{}\"]\n[route]\npool = {}\n",
            self.deployment.settings_of(spec),
            self.deployment.entry[0].peers,
            2.min(share),
        );
        Settings::parse(&text, Path::new("scenario"))
            .map_err(|e| StartError::Settings(e.to_string()))
    }

    /// Kills an entry: none of its pending work continues, and its connections to the
    /// leafs end. Does nothing if it is not running.
    pub fn kill(&mut self, number: usize) {
        let Some(running) = self.entries.remove(&number) else {
            return;
        };
        running.gate.set(RunState::Killed);
        let address = self.deployment.entry[number].peers;
        lock(&self.links.processes).remove(&address);
        for leaf in lock(&self.leafs).values_mut() {
            leaf.connections.remove(&number);
        }
    }

    /// Shuts an entry down gracefully and waits until it has stopped. Does nothing if it
    /// is not running.
    pub async fn stop(&mut self, number: usize) {
        let Some(running) = self.entries.get(&number) else {
            return;
        };
        let tier = running.tier.clone();
        tier.leave(std::future::pending()).await;
        tier.stop().await;
        self.kill(number);
    }

    /// Suspends an entry's process for `span`, without waiting for its end. Does nothing
    /// if it is not running.
    pub fn freeze(&self, number: usize, span: Duration) {
        let Some(running) = self.entries.get(&number) else {
            return;
        };
        running.gate.set(RunState::Frozen);
        let gate = running.gate.clone();
        tokio::spawn(async move {
            tokio::time::sleep(span).await;
            gate.set(RunState::Running);
        });
    }

    /// Cuts the network between two entries, or restores it.
    pub fn cut(&self, a: usize, b: usize, cut: bool) {
        let pair = (a.min(b), a.max(b));
        let mut cuts = lock(&self.links.cuts);
        if cut {
            cuts.insert(pair);
        } else {
            cuts.remove(&pair);
        }
    }

    /// Cuts the network between an entry and the platform, or restores it.
    pub fn cut_platform(&self, entry: usize, cut: bool) {
        let mut cuts = lock(&self.platform.unreachable);
        if cut {
            cuts.insert(entry);
        } else {
            cuts.remove(&entry);
        }
        drop(cuts);
        self.platform.changed.notify_waiters();
    }

    /// Sets or ends a fault of the platform, and wakes the waiting watches.
    pub fn change_platform(&self, change: &PlatformChange) {
        let mut store = lock(&self.platform.store);
        let fault = &mut store.fault;
        match change {
            PlatformChange::Down => fault.down = true,
            PlatformChange::Up => *fault = chestnut_fake::PlatformFault::default(),
            PlatformChange::Slow(span) => fault.slow_ms = span.as_millis() as u64,
            PlatformChange::LoseAnswers(times) => fault.lose_answers = *times,
            PlatformChange::Stale(revisions) => fault.stale = *revisions,
            PlatformChange::Lag(span) => fault.lag_ms = span.as_millis() as u64,
            PlatformChange::Restore(writes) => store.restore(*writes),
        }
        drop(store);
        self.platform.changed.notify_waiters();
    }

    /// Sets or ends a fault of a leaf.
    ///
    /// # Errors
    ///
    /// There is no such leaf.
    pub fn change_leaf(&self, number: u32, fault: &LeafFault) -> Result<(), String> {
        let specs = self.deployment.leafs();
        let spec = specs
            .get(number as usize)
            .ok_or_else(|| format!("there is no leaf {number}"))?;
        if *fault == LeafFault::ListLeaving {
            self.list_leaving(&spec.id);
        }
        let mut leafs = lock(&self.leafs);
        let leaf = leafs.get_mut(&spec.id).expect("leafs are never removed");
        let now = tokio::time::Instant::now();
        match fault {
            LeafFault::Kill => leaf.dead = true,
            LeafFault::Revive => {
                leaf.dead = false;
                leaf.draining = false;
                leaf.leaving_since = None;
                leaf.slow = 1;
                leaf.lose_answers = false;
                leaf.wrong_version = false;
            }
            LeafFault::Drain => {
                leaf.draining = true;
                leaf.leaving_since = Some(now);
            }
            LeafFault::ListLeaving => leaf.leaving_since = Some(now),
            LeafFault::Freeze(span) => leaf.frozen_until = Some(now + *span),
            LeafFault::Slow(factor) => leaf.slow = *factor,
            LeafFault::Silence => leaf.silent_since = Some(now),
            LeafFault::LoseAnswers => leaf.lose_answers = true,
            LeafFault::Repeat => leaf.repeat = true,
            LeafFault::WrongVersion => leaf.wrong_version = true,
        }
        Ok(())
    }

    /// Marks a leaf as leaving in the platform's list of VMs.
    fn list_leaving(&self, leaf: &LeafId) {
        let mut store = lock(&self.platform.store);
        let mut vms = store.last_vms();
        for vm in &mut vms {
            vm.leaving |= vm.name == leaf.as_str();
        }
        store.set_vms(vms, self.clock.now());
    }

    /// Publishes index version `version` with its shards shifted by `shift` leafs: loads them
    /// at the leafs, then stores the layout and adds the version to the service.
    ///
    /// # Panics
    ///
    /// Never: the objects serialise, and all leafs exist.
    pub fn repartition(&self, version: u64, shift: u32) {
        let spec = &self.deployment.service[0];
        let version = IndexVersion(version);
        let mut layout = layout(spec, version, spec.shards);
        let ids: Vec<LeafId> = self
            .deployment
            .leafs()
            .into_iter()
            .map(|leaf| leaf.id)
            .collect();
        let moved = |id: &LeafId| {
            let at = ids.iter().position(|other| other == id).unwrap_or(0);
            ids[(at + shift as usize) % ids.len()].clone()
        };
        for shard in &mut layout.shards {
            shard.leafs = shard.leafs.iter().map(moved).collect();
        }
        let mut leafs = lock(&self.leafs);
        for shard in &layout.shards {
            for id in &shard.leafs {
                let leaf = leafs.get_mut(id).expect("leafs of the deployment");
                leaf.shards
                    .entry(version)
                    .or_default()
                    .insert(shard.name.clone());
            }
        }
        drop(leafs);
        let value = serde_json::to_value(&layout).expect("plain JSON");
        self.write(
            ObjectKind::Layout,
            &format!("{}.{}", spec.name, version.0),
            value,
        );
        self.set_versions(|versions| versions.push(version));
    }

    /// Removes an index version from the leafs, then from the service's versions.
    pub fn drop_version(&self, version: u64) {
        let version = IndexVersion(version);
        for leaf in lock(&self.leafs).values_mut() {
            leaf.shards.remove(&version);
        }
        self.set_versions(|versions| versions.retain(|v| *v != version));
    }

    /// Edits the index versions in the stored service object; does nothing if it is
    /// missing or invalid.
    fn set_versions(&self, change: impl FnOnce(&mut Vec<IndexVersion>)) {
        let spec = &self.deployment.service[0];
        let key = ObjectKey {
            kind: ObjectKind::Service,
            name: spec.name.to_string(),
        };
        let revision = lock(&self.platform.store).get_unfaulted(&key);
        let Some(object) = revision else {
            return;
        };
        let Ok(mut service) = serde_json::from_value::<chestnut_conf::Service>(object.value) else {
            return;
        };
        change(&mut service.versions);
        let value = serde_json::to_value(&service).expect("plain JSON");
        self.write(ObjectKind::Service, spec.name.as_str(), value);
    }

    /// Writes an object unconditionally, regardless of the platform's faults, and wakes
    /// the watches.
    fn write(&self, kind: ObjectKind, name: &str, value: serde_json::Value) {
        let key = ObjectKey {
            kind,
            name: name.to_owned(),
        };
        lock(&self.platform.store).put_unfaulted(key, value);
        self.platform.changed.notify_waiters();
    }

    /// Creates a query of the call type `call`; returns it with its unique number, which
    /// the leafs put into their rows.
    pub(crate) fn query(&self, call: &str) -> (u64, QueryRequest) {
        let mut last = lock(&self.last_query);
        *last += 1;
        let number = *last;
        let ask = QueryRequest {
            organisation: OrgName::new(ORG).expect("a legal name"),
            service: ServiceName::new(SERVICE).expect("a legal name"),
            call: CallType::new(call).unwrap_or_else(|_| CallType::new("none").expect("legal")),
            deadline: Some(DEADLINE),
            body: Bytes::from(json!({ "number": number }).to_string()),
        };
        (number, ask)
    }

    /// Creates a submission with the identifier `body`; a ticket that can't be parsed
    /// is left out.
    pub(crate) fn submission(&self, ticket: Option<&str>, body: &str) -> SubmitRequest {
        SubmitRequest {
            ticket: ticket.and_then(|text| text.parse().ok()),
            organisation: OrgName::new(ORG).expect("a legal name"),
            service: ServiceName::new(SERVICE).expect("a legal name"),
            call: CallType::new("score").expect("a legal name"),
            deadline: Some(DEADLINE),
            body: Bytes::from(json!({ "id": body }).to_string()),
        }
    }

    /// Sends query `number` to an entry, checks the invariants on its outcome and returns
    /// it. Never returns if the entry is killed.
    pub(crate) async fn ask(
        tier: Tier,
        gate: Arc<ProcessGate>,
        report: Arc<Mutex<CheckReport>>,
        number: u64,
        ask: QueryRequest,
    ) -> Reply {
        gate.wait_running().await;
        let reply = match tier.query(ask).await {
            Ok(answer) => Reply::Answer(Box::new(answer)),
            Err(refusal) => Reply::Refused(Box::new(refusal)),
        };
        gate.wait_running().await;
        lock(&report).check(number, &reply);
        reply
    }

    /// Returns the version of the organisation's settings that an entry serves, 0 if it
    /// has none or is not running; a decrease is added to the report as a violation.
    pub(crate) fn version_at(&self, number: usize) -> u64 {
        let Some(running) = self.entries.get(&number) else {
            return 0;
        };
        let status = running.tier.status();
        let version = status.organisations.get(ORG).copied().unwrap_or(0);
        lock(&self.report).check_version(number, version);
        version
    }

    /// Returns how many times a submission took effect, summed over the leafs.
    pub(crate) fn applied(&self, body: &str) -> u64 {
        let leafs = lock(&self.leafs);
        let times = leafs.values().filter_map(|leaf| leaf.applied.get(body));
        times.sum()
    }

    /// Returns the number of refusals without a record in the platform.
    pub(crate) fn unrecorded(&self) -> usize {
        let objects = lock(&self.platform.store).list_unfaulted(ObjectKind::Refusal);
        let recorded: BTreeSet<String> = objects
            .iter()
            .flat_map(|object| object.value["records"].as_array().into_iter().flatten())
            .filter_map(|record| record["receipt"].as_str().map(str::to_owned))
            .collect();
        let report = lock(&self.report);
        report.receipts.difference(&recorded).count()
    }

    /// Returns the member name of an entry.
    pub(crate) fn member(&self, number: usize) -> &MemberId {
        &self.deployment.entry[number].member
    }

    /// Returns the report with the violations that show only at the end: queries refused as
    /// "not run" that ran, calls to leafs that had left, and connections over a leaf's limit.
    pub(crate) fn finish(&self) -> CheckReport {
        let mut report = lock(&self.report).clone();
        let mut ran = BTreeSet::new();
        for (id, leaf) in lock(&self.leafs).iter() {
            ran.extend(&leaf.ran);
            if leaf.late_calls > 0 {
                let text = format!("leaf {id} received {} calls after it left", leaf.late_calls);
                report.violations.push(text);
            }
            if leaf.peak > self.setup.connections as usize {
                let text = format!("leaf {id} had {} connections, over its limit", leaf.peak);
                report.violations.push(text);
            }
        }
        report.check_not_run(&ran);
        report
    }
}
