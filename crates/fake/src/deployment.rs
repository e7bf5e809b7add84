//! Description of a deployment, as the simulators, the demo and tests use it.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    time::Duration,
};

use chestnut_conf::{Leaf, ObjectKey, ObjectKind, Service};
use chestnut_port::{Vm, VmRole};
use chestnut_unit::{
    DomainName, IndexVersion, Layout, LayoutShard, LeafId, MemberId, ServiceName, ShardName,
    Snapshot,
};
use displaydoc::Display;
use serde::Deserialize;

/// Errors from reading a deployment description.
#[derive(Debug, Display)]
pub enum SpecError {
    /// can't read {0}: {1}
    Read(String, std::io::Error),
    /// {0}: {1}
    Parse(String, String),
}

impl std::error::Error for SpecError {}

/// Describes a service and its leafs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Shards of its first index version.
    pub shards: u32,
    /// Leafs that hold a copy of each shard.
    pub replicas: u32,
    /// Number of leafs. Leaf `n` is in domain `n % domains`, and shard
    /// `s` is on leafs `(s * replicas + r) % leafs` for each replica `r`.
    pub leafs: u32,
    /// Requests that a leaf runs concurrently.
    pub slots: u32,
    /// Maximum connections of a leaf.
    pub connections: u32,
    /// Time to open a connection, in milliseconds.
    pub open_ms: u64,
    /// Median service time of a call, in milliseconds.
    pub median_ms: f64,
    /// Leafs per group; must be a multiple of `replicas`.
    pub group: u32,
    /// Port of the first leaf; the others follow in order.
    pub port: u16,
}

/// Describes an entry: a process of the tier that callers connect to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySpec {
    /// Name of the entry in the membership.
    pub member: MemberId,
    /// Failure domain.
    pub domain: DomainName,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators.
    pub operators: SocketAddr,
    /// Listen address for peers.
    pub peers: SocketAddr,
}

/// Describes a deployment: failure domains, platform, services with their leafs, entries.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentSpec {
    /// Failure domains.
    pub domains: Vec<DomainName>,
    /// Listen address of the leafs.
    #[serde(default = "loopback")]
    pub host: IpAddr,
    /// Listen address of the platform.
    pub platform: SocketAddr,
    /// Services.
    pub service: Vec<ServiceSpec>,
    /// Entries.
    pub entry: Vec<EntrySpec>,
}

/// Default of [`DeploymentSpec::host`]: the IPv4 loopback address.
fn loopback() -> IpAddr {
    IpAddr::V4(Ipv4Addr::LOCALHOST)
}

/// Describes a leaf: a back-end process that answers queries for its shards.
#[derive(Clone, Debug)]
pub struct LeafSpec {
    /// Name of the leaf.
    pub id: LeafId,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Listen address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Maximum connections.
    pub connections: u32,
    /// Time to open a connection.
    pub open: Duration,
    /// Median service time of a call.
    pub median: Duration,
    /// Shards that it holds of index version 1.
    pub shards: Vec<ShardName>,
}

impl DeploymentSpec {
    /// Reads a deployment description from a TOML file.
    ///
    /// # Errors
    ///
    /// The file can't be read or is not a valid description.
    pub fn open(path: &Path) -> Result<Self, SpecError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| SpecError::Read(name.clone(), e))?;
        Self::parse(&text).map_err(|e| SpecError::Parse(name, e))
    }

    /// Parses a deployment description in TOML.
    ///
    /// # Errors
    ///
    /// The text is not a valid description.
    pub fn parse(text: &str) -> Result<Self, String> {
        toml::from_str(text).map_err(|e| e.to_string())
    }

    /// Returns the leafs of all services, in the order of the services and of their numbers.
    #[must_use]
    pub fn leafs(&self) -> Vec<LeafSpec> {
        self.service.iter().flat_map(|s| self.leafs_of(s)).collect()
    }

    /// Returns the leafs of a service by number, with their shards of index version 1.
    fn leafs_of(&self, spec: &ServiceSpec) -> Vec<LeafSpec> {
        let layout = layout(spec, IndexVersion(1), spec.shards);
        (0..spec.leafs)
            .map(|n| {
                let id = leaf_id(spec, n);
                let holds = |s: &&LayoutShard| s.leafs.contains(&id);
                LeafSpec {
                    service: spec.name.clone(),
                    address: SocketAddr::new(self.host, spec.port + n as u16),
                    domain: self.domains[n as usize % self.domains.len()].clone(),
                    slots: spec.slots,
                    connections: spec.connections,
                    open: Duration::from_millis(spec.open_ms),
                    median: Duration::from_secs_f64(spec.median_ms / 1e3),
                    shards: layout
                        .shards
                        .iter()
                        .filter(holds)
                        .map(|s| s.name.clone())
                        .collect(),
                    id,
                }
            })
            .collect()
    }

    /// Returns the initial objects of the platform: each service and its layout of index
    /// version 1.
    #[must_use]
    pub fn objects(&self) -> Vec<(ObjectKey, serde_json::Value)> {
        let mut objects = Vec::new();
        for spec in &self.service {
            let versions = vec![IndexVersion(1)];
            let service = self.service_object(spec, versions);
            objects.push(keyed(ObjectKind::Service, spec.name.as_str(), &service));
            let layout = layout(spec, IndexVersion(1), spec.shards);
            objects.push(keyed(
                ObjectKind::Layout,
                &format!("{}.1", spec.name),
                &layout,
            ));
        }
        objects
    }

    /// Returns the service object: its leafs with their groups, and the given index versions.
    #[must_use]
    pub fn service_object(&self, spec: &ServiceSpec, versions: Vec<IndexVersion>) -> Service {
        let mut leafs = BTreeMap::new();
        for (n, leaf) in (0..).zip(self.leafs_of(spec)) {
            let entry = Leaf {
                address: leaf.address,
                domain: leaf.domain,
                slots: leaf.slots,
                connections: leaf.connections,
                group: n / spec.group.max(1),
            };
            leafs.insert(leaf.id, entry);
        }
        Service { leafs, versions }
    }

    /// Returns the platform's list of VMs, with all entries and leafs running.
    #[must_use]
    pub fn vms(&self) -> Vec<Vm> {
        let entries = self.entry.iter().map(|entry| Vm {
            name: entry.member.to_string(),
            role: VmRole::Entry,
            domain: entry.domain.clone(),
            leaving: false,
            addresses: Some([entry.callers, entry.operators, entry.peers]),
        });
        let leafs = self.leafs().into_iter().map(|leaf| Vm {
            name: leaf.id.to_string(),
            role: VmRole::Leaf,
            domain: leaf.domain,
            leaving: false,
            addresses: None,
        });
        entries.chain(leafs).collect()
    }

    /// Returns the settings of an entry in TOML: its name, domain and addresses, and the
    /// address of the platform.
    #[must_use]
    pub fn settings_of(&self, entry: &EntrySpec) -> String {
        format!(
            "[entry]\nmember = \"{}\"\ndomain = \"{}\"\n\n\
             [listen]\ncallers = \"{}\"\noperators = \"{}\"\npeers = \"{}\"\n\n\
             [platform]\naddress = \"{}\"\n",
            entry.member, entry.domain, entry.callers, entry.operators, entry.peers, self.platform,
        )
    }
}

/// Returns the layout of an index version: which leafs hold each of `shards` shards.
#[must_use]
pub fn layout(spec: &ServiceSpec, version: IndexVersion, shards: u32) -> Layout {
    let shard = |s: u32| LayoutShard {
        name: ShardName::new(format!("{}-s{s:03}", spec.name)).expect("a legal name"),
        leafs: (0..spec.replicas)
            .map(|r| leaf_id(spec, (s * spec.replicas + r) % spec.leafs))
            .collect(),
    };
    Layout {
        snapshot: Snapshot {
            service: spec.name.clone(),
            version,
        },
        shards: (0..shards).map(shard).collect(),
    }
}

/// Returns the name of leaf `n` of a service.
fn leaf_id(spec: &ServiceSpec, n: u32) -> LeafId {
    LeafId::new(format!("{}-l{n:03}", spec.name)).expect("a legal name")
}

/// Returns the key and the JSON value of an object.
fn keyed<T: serde::Serialize>(
    kind: ObjectKind,
    name: &str,
    value: &T,
) -> (ObjectKey, serde_json::Value) {
    let key = ObjectKey {
        kind,
        name: name.to_owned(),
    };
    (key, serde_json::to_value(value).expect("plain JSON"))
}
