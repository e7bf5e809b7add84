//! Injected interfaces to the network, the platform and the clock.

use std::{io, sync::Arc};

use chestnut_conf::Settings;
use chestnut_port::{
    Clock, HttpPlatform, HttpTargets, PeerRpc, PeerService, Peers, Platform, ProbeSocket,
    ProbeTransport, Targets, TargetsConfig,
};
use futures::{FutureExt, future::BoxFuture};

/// Binds the port for calls between entries to the service that answers them.
pub type PeerBinder =
    Box<dyn FnOnce(Arc<dyn PeerService>) -> BoxFuture<'static, io::Result<Arc<dyn Peers>>> + Send>;

/// External interfaces of one entry, which tests can replace: targets,
/// platform, probes, peers and clock.
pub struct Ports {
    /// Calls to targets, the back ends that hold the leafs of a service.
    pub targets: Arc<dyn Targets>,
    /// Stored configuration, the list of VMs and refusal records.
    pub platform: Arc<dyn Platform>,
    /// Datagrams of the failure detector between entries.
    pub probes: Arc<dyn ProbeTransport>,
    /// Binder of the port for calls between entries.
    pub peers: PeerBinder,
    /// Source of time for all ports.
    pub clock: Clock,
}

impl Ports {
    /// Opens the network adapters that the settings describe. The port for
    /// calls between entries is bound later, by the binder.
    ///
    /// # Errors
    ///
    /// The address of the probe socket can't be bound.
    pub async fn open(settings: &Settings) -> io::Result<Self> {
        let clock = Clock::start();
        let config = TargetsConfig {
            max_answer: settings.limits.answer.0 as usize,
            ..TargetsConfig::default()
        };
        let address = settings.listen.peers;
        let probes = ProbeSocket::bind(address, Arc::default()).await?;
        let binder: PeerBinder = Box::new(move |service| {
            async move {
                let net = PeerRpc::bind(address, service).await?;
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
