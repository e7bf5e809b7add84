//! The stage: entries, leafs, links and the platform of one scenario.

mod world;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use chestnut_conf::{ObjectKey, ObjectKind, Settings};
use chestnut_fake::{Store, World, layout_of};
use chestnut_port::{Clock, PeerService, Peers};
use chestnut_tier::{PeerBinder, Ports, QueryRequest, SpawnError, SubmitRequest, Tier};
use chestnut_unit::{CallType, IndexVersion, LeafId, MemberId, OrgName, ServiceName, WallTime};
use displaydoc::Display;
use futures::FutureExt;
use serde_json::json;
use slog::Logger;
use tokio::sync::{Notify, mpsc};
pub(crate) use world::{ORG, organisation};
use world::{SERVICE, edited_objects, world_of};

use crate::{
    command::{LeafFault, PlatformChange, Setup},
    judge::{Told, Verdict},
    leafs::{FakeTargets, Leaf, Leafs},
    links::{FakePeers, FakeProbes, Life, Links, Process, Pulse, lock},
    platform::{self, FakePlatform},
};

/// Datagrams that wait at an entry.
const INBOX: usize = 256;
/// Deadline of queries.
const DEADLINE: Duration = Duration::from_millis(800);
/// Wall time at which every scenario starts.
const START: WallTime = WallTime(1_800_000_000_000);

/// Why a stage can't be set.
#[derive(Debug, Display)]
pub enum StageError {
    /// {0}
    Settings(String),
    /// {0}
    Spawn(SpawnError),
}

impl std::error::Error for StageError {}

/// A running entry of a stage.
pub(crate) struct Running {
    pub(crate) tier: Tier,
    pub(crate) life: Arc<Life>,
}

/// Entries, leafs, links and the platform of one scenario.
pub struct Stage {
    setup: Setup,
    world: World,
    links: Arc<Links>,
    leafs: Leafs,
    platform: Arc<platform::Shared>,
    clock: Clock,
    log: Logger,
    pub(crate) entries: BTreeMap<usize, Running>,
    pub(crate) verdict: Arc<Mutex<Verdict>>,
    numbers: Mutex<u64>,
    lives: u64,
}

impl Stage {
    /// Sets the stage: the platform and the leafs run, no entry does yet.
    ///
    /// # Panics
    ///
    /// Never: the names of a stage are legal.
    #[must_use]
    pub fn set(setup: Setup, log: Logger) -> Self {
        let world = world_of(&setup);
        let clock = Clock::start_at(START);
        let mut store = Store::default();
        for (key, value) in world.objects().into_iter().chain(edited_objects(&setup)) {
            store.put(key, 0, value).expect("a new platform is up");
        }
        store.set_vms(world.vms(), clock.now());
        let leafs = world.leafs().into_iter().map(|spec| {
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
            world,
            links: Arc::default(),
            platform: Arc::new(platform::Shared {
                store: Mutex::new(store),
                changed: Notify::new(),
                cut: Mutex::new(BTreeSet::new()),
                clock,
            }),
            clock,
            log,
            entries: BTreeMap::new(),
            verdict: Arc::default(),
            numbers: Mutex::new(0),
            lives: 0,
        }
    }

    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Its settings are wrong; they are not.
    pub async fn start(&mut self, number: usize) -> Result<(), StageError> {
        self.lives += 1;
        let settings = self.settings(number)?;
        let address = settings.listen.peers;
        let life = Arc::new(Life::new());
        let (inbox, outbox) = mpsc::channel(INBOX);
        let targets = FakeTargets {
            leafs: self.leafs.clone(),
            entry: number,
            life: life.clone(),
            held: Mutex::new(BTreeSet::new()),
        };
        let platform = FakePlatform {
            shared: self.platform.clone(),
            entry: number,
            life: life.clone(),
        };
        let probes = FakeProbes {
            links: self.links.clone(),
            number,
            address,
            life: life.clone(),
            inbox: tokio::sync::Mutex::new(outbox),
        };
        let ports = Ports {
            targets: Arc::new(targets),
            platform: Arc::new(platform),
            probes: Arc::new(probes),
            peers: self.binder(number, address, life.clone(), inbox),
            clock: self.clock,
        };
        let log = self.log.new(slog::o!("entry" => number));
        let tier = Tier::spawn(settings, log, ports, self.lives)
            .await
            .map_err(StageError::Spawn)?;
        lock(&self.verdict).new_life(number);
        self.entries.insert(number, Running { tier, life });
        Ok(())
    }

    fn binder(
        &self,
        number: usize,
        address: SocketAddr,
        life: Arc<Life>,
        inbox: mpsc::Sender<(chestnut_fleet::Message, SocketAddr)>,
    ) -> PeerBinder {
        let links = self.links.clone();
        Box::new(move |service: Arc<dyn PeerService>| {
            let process = Process {
                number,
                life: life.clone(),
                service,
                inbox,
            };
            lock(&links.processes).insert(address, process);
            let peers = FakePeers {
                links,
                number,
                life,
            };
            async move { Ok(Arc::new(peers) as Arc<dyn Peers>) }.boxed()
        })
    }

    fn settings(&self, number: usize) -> Result<Settings, StageError> {
        let spec = &self.world.entry[number];
        let share = self.setup.share;
        let text = format!(
            "{}\n[control]\nttl = \"1s\"\nprobe = \"200ms\"\nshare = {share}\nrecords = \"1s\"\n\
             seeds = [\"{}\"]\n[route]\npool = {}\n",
            self.world.settings_of(spec),
            self.world.entry[0].peers,
            2.min(share),
        );
        Settings::parse(&text, Path::new("scenario"))
            .map_err(|e| StageError::Settings(e.to_string()))
    }

    /// Kills an entry: nothing that it had under way goes on.
    pub fn kill(&mut self, number: usize) {
        let Some(running) = self.entries.remove(&number) else {
            return;
        };
        running.life.set(Pulse::Dead);
        let address = self.world.entry[number].peers;
        lock(&self.links.processes).remove(&address);
        for leaf in lock(&self.leafs).values_mut() {
            leaf.holders.remove(&number);
        }
    }

    /// Stops an entry in the planned way, and waits for its end.
    pub async fn stop(&mut self, number: usize) {
        let Some(running) = self.entries.get(&number) else {
            return;
        };
        let tier = running.tier.clone();
        tier.leave().await;
        tier.stop().await;
        self.kill(number);
    }

    /// Freezes an entry until it is thawed.
    pub fn freeze(&self, number: usize, span: Duration) {
        let Some(running) = self.entries.get(&number) else {
            return;
        };
        running.life.set(Pulse::Frozen);
        let life = running.life.clone();
        tokio::spawn(async move {
            tokio::time::sleep(span).await;
            life.set(Pulse::Runs);
        });
    }

    /// Cuts two entries off from each other, or undoes it.
    pub fn cut(&self, a: usize, b: usize, cut: bool) {
        let pair = (a.min(b), a.max(b));
        let mut cuts = lock(&self.links.cuts);
        if cut {
            cuts.insert(pair);
        } else {
            cuts.remove(&pair);
        }
    }

    /// Cuts an entry off from the platform, or undoes it.
    pub fn cut_platform(&self, entry: usize, cut: bool) {
        let mut cuts = lock(&self.platform.cut);
        if cut {
            cuts.insert(entry);
        } else {
            cuts.remove(&entry);
        }
        drop(cuts);
        self.platform.changed.notify_waiters();
    }

    /// Changes the platform.
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
        }
        drop(store);
        self.platform.changed.notify_waiters();
    }

    /// Changes a leaf.
    ///
    /// # Errors
    ///
    /// There is no such leaf.
    pub fn change_leaf(&self, number: u32, fault: &LeafFault) -> Result<(), String> {
        let specs = self.world.leafs();
        let spec = specs
            .get(number as usize)
            .ok_or_else(|| format!("there is no leaf {number}"))?;
        if *fault == LeafFault::List {
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
                leaf.left = None;
                leaf.slow = 1;
                leaf.lose_answers = false;
                leaf.stray = false;
            }
            LeafFault::Drain => {
                leaf.draining = true;
                leaf.left = Some(now);
            }
            LeafFault::List => leaf.left = Some(now),
            LeafFault::Freeze(span) => leaf.frozen = Some(now + *span),
            LeafFault::Slow(factor) => leaf.slow = *factor,
            LeafFault::Silence => leaf.silenced = Some(now),
            LeafFault::LoseAnswers => leaf.lose_answers = true,
            LeafFault::Repeat => leaf.repeat = true,
            LeafFault::Stray => leaf.stray = true,
        }
        Ok(())
    }

    fn list_leaving(&self, leaf: &LeafId) {
        let mut store = lock(&self.platform.store);
        let mut vms = store.true_vms();
        for vm in &mut vms {
            vm.leaving |= vm.name == leaf.as_str();
        }
        store.set_vms(vms, self.clock.now());
    }

    /// Publishes an index version whose shards start `shift` leafs further on.
    ///
    /// # Panics
    ///
    /// Never: the platform's own writes are of the right form.
    pub fn repartition(&self, version: u64, shift: u32) {
        let spec = &self.world.service[0];
        let version = IndexVersion(version);
        let mut layout = layout_of(spec, version, spec.shards);
        let ids: Vec<LeafId> = self.world.leafs().into_iter().map(|leaf| leaf.id).collect();
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
                let leaf = leafs.get_mut(id).expect("leafs of the world");
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

    /// Leafs drop an index version, and then the platform does.
    pub fn drop_version(&self, version: u64) {
        let version = IndexVersion(version);
        for leaf in lock(&self.leafs).values_mut() {
            leaf.shards.remove(&version);
        }
        self.set_versions(|versions| versions.retain(|v| *v != version));
    }

    fn set_versions(&self, change: impl FnOnce(&mut Vec<IndexVersion>)) {
        let spec = &self.world.service[0];
        let key = ObjectKey {
            kind: ObjectKind::Service,
            name: spec.name.to_string(),
        };
        let revision = lock(&self.platform.store).peek(&key);
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

    /// Writes an object as the platform itself does, whatever its faults.
    fn write(&self, kind: ObjectKind, name: &str, value: serde_json::Value) {
        let key = ObjectKey {
            kind,
            name: name.to_owned(),
        };
        lock(&self.platform.store).write(key, value);
        self.platform.changed.notify_waiters();
    }

    /// A query with a number of its own.
    pub(crate) fn query(&self, call: &str) -> (u64, QueryRequest) {
        let mut numbers = lock(&self.numbers);
        *numbers += 1;
        let number = *numbers;
        let ask = QueryRequest {
            organisation: OrgName::new(ORG).expect("a legal name"),
            service: ServiceName::new(SERVICE).expect("a legal name"),
            call: CallType::new(call).unwrap_or_else(|_| CallType::new("none").expect("legal")),
            deadline: Some(DEADLINE),
            body: Bytes::from(json!({ "number": number }).to_string()),
        };
        (number, ask)
    }

    /// A submission named `body`.
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

    /// Sends one query to a tier and judges the answer.
    pub(crate) async fn ask(
        tier: Tier,
        life: Arc<Life>,
        verdict: Arc<Mutex<Verdict>>,
        number: u64,
        ask: QueryRequest,
    ) -> Told {
        life.gate().await;
        let told = match tier.query(ask).await {
            Ok(answer) => Told::Answer(Box::new(answer)),
            Err(refusal) => Told::Refused(Box::new(refusal)),
        };
        life.gate().await;
        lock(&verdict).judge(number, &told);
        told
    }

    /// The version of the organisation that an entry has in force.
    pub(crate) fn version_at(&self, number: usize) -> u64 {
        let Some(running) = self.entries.get(&number) else {
            return 0;
        };
        let status = running.tier.status();
        let version = status.organisations.get(ORG).copied().unwrap_or(0);
        lock(&self.verdict).in_force(number, version);
        version
    }

    /// How often a submission took effect.
    pub(crate) fn applied(&self, body: &str) -> u64 {
        let leafs = lock(&self.leafs);
        let times = leafs.values().filter_map(|leaf| leaf.applied.get(body));
        times.sum()
    }

    /// Refusals told so far that no record in the platform names.
    pub(crate) fn unrecorded(&self) -> usize {
        let objects = lock(&self.platform.store).peek_all(ObjectKind::Refusal);
        let recorded: BTreeSet<String> = objects
            .iter()
            .flat_map(|object| object.value["records"].as_array().into_iter().flatten())
            .filter_map(|record| record["receipt"].as_str().map(str::to_owned))
            .collect();
        let verdict = lock(&self.verdict);
        verdict.receipts.difference(&recorded).count()
    }

    /// Name of an entry.
    pub(crate) fn member(&self, number: usize) -> &MemberId {
        &self.world.entry[number].member
    }

    /// Judges what shows only at the end: queries told "not run", leafs that
    /// got work after they left, and connections over a leaf's limit.
    pub(crate) fn finish(&self) -> Verdict {
        let mut verdict = lock(&self.verdict).clone();
        let mut ran = BTreeSet::new();
        for (id, leaf) in lock(&self.leafs).iter() {
            ran.extend(&leaf.ran);
            if leaf.late_calls > 0 {
                let text = format!("leaf {id} got {} calls after it left", leaf.late_calls);
                verdict.wrong.push(text);
            }
            if leaf.peak > self.setup.connections as usize {
                let text = format!("leaf {id} had {} connections", leaf.peak);
                verdict.wrong.push(text);
            }
        }
        verdict.judge_ledger(&ran);
        verdict
    }
}
