//! The ports that a tier runs over.

use std::{io, sync::Arc};

use chestnut_conf::Settings;
use chestnut_port::{
    Clock, HttpPlatform, HttpTargets, PeerNet, PeerService, Peers, Platform, ProbeSocket, Probes,
    Targets, TargetsConfig,
};
use futures::{FutureExt, future::BoxFuture};

/// Makes the port to peers once the service that answers them exists.
pub type PeerBinder =
    Box<dyn FnOnce(Arc<dyn PeerService>) -> BoxFuture<'static, io::Result<Arc<dyn Peers>>> + Send>;

/// The ports that a tier runs over, and the clock that they share.
pub struct Ports {
    /// Targets.
    pub targets: Arc<dyn Targets>,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// Probes between entries.
    pub probes: Arc<dyn Probes>,
    /// Calls between entries.
    pub peers: PeerBinder,
    /// The clock.
    pub clock: Clock,
}

impl Ports {
    /// The real adapters, as the settings say.
    ///
    /// # Errors
    ///
    /// The address for peers can't be bound.
    pub async fn open(settings: &Settings) -> io::Result<Self> {
        let clock = Clock::start();
        let config = TargetsConfig {
            answer: settings.limits.answer.0 as usize,
            ..TargetsConfig::default()
        };
        let address = settings.listen.peers;
        let probes = ProbeSocket::bind(address, Arc::default()).await?;
        let binder: PeerBinder = Box::new(move |service| {
            async move {
                let net = PeerNet::bind(address, service).await?;
                Ok(Arc::new(net) as Arc<dyn Peers>)
            }
            .boxed()
        });
        Ok(Self {
            targets: Arc::new(HttpTargets::new(
                config,
                clock,
                settings.route.pool,
                settings.control.share as usize,
            )),
            platform: Arc::new(HttpPlatform::new(&settings.platform)),
            probes: Arc::new(probes),
            peers: binder,
            clock,
        })
    }
}
