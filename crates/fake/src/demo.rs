//! Runs a whole deployment in one process, with a simulated platform and leafs.

use std::{io, path::Path};

use chestnut_conf::{ObjectKey, ObjectKind, Settings, StoredSpec};
use chestnut_tier::{HttpServers, Ports, SpawnError, Tier};
use displaydoc::Display;
use slog::Logger;

use crate::{DeploymentSpec, PlatformServer, SpecError, TargetServer};

/// Errors from starting the demo.
#[derive(Debug, Display)]
pub enum DemoError {
    /// {0}
    Spec(SpecError),
    /// {0}
    Settings(String),
    /// can't bind: {0}. Is another demo running?
    Bind(io::Error),
    /// {0}
    Spawn(SpawnError),
    /// {0}: {1}
    Object(String, String),
}

impl std::error::Error for DemoError {}

/// A running entry of the demo.
pub struct DemoEntry {
    /// Tier instance of the entry.
    pub tier: Tier,
    /// HTTP servers for callers and operators.
    pub http: HttpServers,
}

/// A running demo, stopped on drop.
pub struct Demo {
    /// Description of the deployment.
    pub spec: DeploymentSpec,
    /// Simulated platform.
    pub platform: PlatformServer,
    /// Simulated leafs, in the order of [`DeploymentSpec::leafs`].
    pub targets: Vec<TargetServer>,
    /// Entries, in the order of [`DeploymentSpec::entry`].
    pub entries: Vec<DemoEntry>,
}

impl Demo {
    /// Starts the deployment in `folder`: `world.toml`, `templates/*.json` and
    /// `organisations/*.json`.
    ///
    /// # Errors
    ///
    /// A file can't be read, or an address can't be bound.
    pub async fn spawn(folder: &Path, log: &Logger) -> Result<Self, DemoError> {
        let spec = DeploymentSpec::open(&folder.join("world.toml")).map_err(DemoError::Spec)?;
        Self::spawn_spec(spec, folder, log).await
    }

    /// Starts `spec` with the templates and organisations in `folder`.
    ///
    /// # Errors
    ///
    /// See [`Demo::spawn`].
    pub async fn spawn_spec(
        spec: DeploymentSpec,
        folder: &Path,
        log: &Logger,
    ) -> Result<Self, DemoError> {
        let platform = PlatformServer::bind_deployment(&spec)
            .await
            .map_err(DemoError::Bind)?;
        for (key, value) in read_objects(folder)? {
            let name = key.to_string();
            let put = platform.store().put(key, 0, value);
            put.map_err(|e| DemoError::Object(name, e.to_string()))?;
        }
        let mut targets = Vec::new();
        for leaf in spec.leafs() {
            let target = TargetServer::bind_leaf(&leaf).await;
            targets.push(target.map_err(DemoError::Bind)?);
        }
        let mut entries = Vec::new();
        for entry in &spec.entry {
            let text = spec.settings_of(entry);
            entries.push(spawn_entry(&text, log).await?);
        }
        Ok(Self {
            spec,
            platform,
            targets,
            entries,
        })
    }

    /// Waits until every entry is ready to serve, without a timeout.
    pub async fn ready(&self) {
        while !self.entries.iter().all(|entry| entry.tier.is_ready()) {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }
}

/// Starts one entry and its HTTP servers from its settings in TOML.
///
/// # Errors
///
/// The settings are invalid, or an address can't be bound.
pub async fn spawn_entry(text: &str, log: &Logger) -> Result<DemoEntry, DemoError> {
    let settings = Settings::parse(text, Path::new("demo.toml"))
        .map_err(|e| DemoError::Settings(e.to_string()))?;
    let ports = Ports::open(&settings).await.map_err(DemoError::Bind)?;
    let seed = settings.listen.peers.port().into();
    let log = log.new(slog::o!("entry" => settings.entry.member.to_string()));
    let tier = Tier::spawn(settings, log, ports, seed)
        .await
        .map_err(DemoError::Spawn)?;
    let http = HttpServers::bind(&tier).await.map_err(DemoError::Bind)?;
    Ok(DemoEntry { tier, http })
}

/// An object and the key to store it under.
type KeyedObject = (ObjectKey, serde_json::Value);

/// Reads the files in `templates` and `organisations` of a folder as [`StoredSpec`]
/// objects, each named after its file without the extension.
///
/// # Errors
///
/// A file can't be read or is not JSON.
pub fn read_objects(folder: &Path) -> Result<Vec<KeyedObject>, DemoError> {
    let mut objects = Vec::new();
    for (kind, name) in [
        (ObjectKind::Template, "templates"),
        (ObjectKind::Organisation, "organisations"),
    ] {
        let fail = |e: &dyn std::fmt::Display| DemoError::Object(name.to_owned(), e.to_string());
        let mut files: Vec<_> = std::fs::read_dir(folder.join(name))
            .map_err(|e| fail(&e))?
            .filter_map(Result::ok)
            .map(|file| file.path())
            .collect();
        files.sort();
        for path in files {
            let text = std::fs::read_to_string(&path).map_err(|e| fail(&e))?;
            let spec = serde_json::from_str(&text).map_err(|e| fail(&e))?;
            let stem = path.file_stem().unwrap_or_default().to_string_lossy();
            let key = ObjectKey {
                kind,
                name: stem.into_owned(),
            };
            objects.push((key, wrap_spec(spec)));
        }
    }
    Ok(objects)
}

/// Returns the stored form of a template or organisation: a [`StoredSpec`] without edits,
/// as JSON.
fn wrap_spec(spec: serde_json::Value) -> serde_json::Value {
    let stored = StoredSpec {
        spec,
        edits: Vec::new(),
    };
    serde_json::to_value(stored).expect("plain JSON")
}

/// Returns a logger that discards all records.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}
