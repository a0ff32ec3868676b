//! The gateway's state, one component for each concern.
//!
//! Each component owns its fields, keeps its invariants and does not depend on the others. Steps that need several components
//! are methods of [`Gateway`] in `steps`.

pub(crate) mod admission;
pub(crate) mod backoff;
pub(crate) mod bootstrap;
pub(crate) mod client;
mod client_buffers;
pub(crate) mod clients;
pub(crate) mod cluster;
pub(crate) mod connection;
pub(crate) mod connections;
pub(crate) mod gossip;
pub(crate) mod member_clock;
pub(crate) mod members;
mod pool;
pub(crate) mod requests;
pub(crate) mod router_driver;
pub(crate) mod sessions;
pub(crate) mod shutdown;
pub(crate) mod stall;
pub(crate) mod static_config;
pub(crate) mod watch;

use super::backend::BackendSelection;
use crate::config::Config;
use crate::limits::Limits;
use backoff::InstanceSlot;
use bootstrap::BootstrapCoordination;
use clients::Clients;
use cluster::ClusterMembership;
use connections::Connections;
use gossip::Gossip;
use member_clock::MemberClock;
use members::MemberDirectory;
use requests::Requests;
use router_driver::RouterDriver;
use sessions::SessionCoordination;
use shutdown::Shutdown;
use stackgw_router::api::{Class, SessionTracking};
use stackgw_settings::NameTable;
use stall::StallDetector;
use static_config::StaticConfig;
use watch::EndpointWatch;
use xxhash_rust::xxh3::xxh3_64;

/// All components.
pub(crate) struct Gateway {
    pub(crate) static_config: StaticConfig,
    pub(crate) names: NameTable,
    pub(crate) classes: Vec<Class>,
    /// Seed of the random numbers of the components that are enabled before the start.
    pub(crate) seed: u64,
    pub(crate) router: RouterDriver,
    pub(crate) clients: Clients,
    pub(crate) requests: Requests,
    pub(crate) connections: Connections,
    pub(crate) members: MemberDirectory,
    pub(crate) member_clock: MemberClock,
    pub(crate) watch: EndpointWatch,
    pub(crate) gossip: Gossip,
    pub(crate) shutdown: Shutdown,
    pub(crate) stalls: StallDetector,
    /// Sessions across instances, if the operator's file enables them.
    pub(crate) sessions: Option<Box<SessionCoordination>>,
    /// Membership of the cluster, if the operator's file configures one.
    pub(crate) cluster: Option<Box<ClusterMembership>>,
    /// Bootstrap and polling of the endpoint list, if the operator's file enables it.
    pub(crate) bootstrap: Option<Box<BootstrapCoordination>>,
}

impl Gateway {
    /// Creates the state before [`Input::Start`](super::Input::Start). Returns it with its limits.
    pub(crate) fn new(config: Config) -> (Self, Limits) {
        let static_config = StaticConfig::of(&config);
        // Instances may have the same seed, but their names differ.
        let seed = config.seed ^ xxh3_64(config.name.as_bytes());
        let instance = InstanceSlot {
            index: config.settings.router.instance_index,
            fleet_size: config.settings.router.fleet_size,
            seed,
        };
        let mut settings = config.settings.router;
        if config.session_sharing.is_some() {
            // The gateways look up what a session wrote, so the router gets it with each read.
            settings.session_tracking = SessionTracking::Client;
        }
        // The bootstrap receives the list by a watch, so the router need not poll it.
        settings.polls_endpoint_list &= config.bootstrap.is_none();
        // If the platform has no gossip messages, observations of members are sent with the endpoint list.
        settings.limits.host_gossip =
            config.bootstrap.is_some() && config.cluster.is_some() && !settings.limits.gossip;
        let mut router = RouterDriver::new(settings.clone(), config.seed);
        if !config.limits.clock_is_synchronized {
            router.set_clock_offset(None);
        }
        let gateway = Gateway {
            static_config,
            names: config.settings.names,
            classes: settings.classes.clone(),
            seed: config.seed,
            clients: Clients::new(config.seed),
            requests: Requests::default(),
            connections: Connections::default(),
            member_clock: MemberClock::default(),
            members: MemberDirectory::new(BackendSelection::new(&config.operator)),
            watch: EndpointWatch::new(
                config.discovery,
                !settings.polls_endpoint_list,
                config.initial_endpoints,
                instance,
            ),
            gossip: Gossip::new(
                config.peers,
                config.peers_all,
                settings.instance_index as usize,
            ),
            shutdown: Shutdown::default(),
            stalls: StallDetector::default(),
            sessions: None,
            cluster: None,
            bootstrap: None,
            router,
        };
        (gateway, config.limits)
    }
}
