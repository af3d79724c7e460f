//! Coordination of a front with its peers: gossip, leases, health checks and zones behind one engine without I/O, so
//! that any host can drive it. Optional: a node without it runs alone.
//!
//! - `transport`: maps the recipient of a message to the addresses of fronts.
//! - [`crate::health_check`]: decides which silent servers this front probes, under leases.
//! - `pending_persistence`: holds a voter's messages back until its state is on disk.
//! - `zones`: takes traffic out of a failing zone and returns it, in agreement with the other fronts.
//! - `status`: formats the status and the metrics for operators.

mod pending_persistence;
mod status;
mod transport;
mod zones;

use std::collections::VecDeque;
use std::net::SocketAddr;

use ochrelead_core::time::{Moment, Span};
use ochrelead_gossip::engine::{Engine as GossipEngine, EngineConfig as GossipEngineConfig};
use ochrelead_gossip::{GossipConfig, RumorId};
use ochrelead_lease::electorate::Electorate;
use ochrelead_lease::engine::{Engine as LeaseEngine, EngineConfig as LeaseEngineConfig};
use ochrelead_lease::persistence::PersistedState;
use ochrelead_lease::{FencingToken, LeaseConfig, MemberId, TaskId, codec};
use ochrelead_zone::engine::Engine as ZoneEngine;
use tracing::{Level, debug};

use crate::health_check::{self, HealthCheckScheduler};
use crate::observation::{Observation, ServerActivity, ServerReport, TrafficShare};
use crate::persistence::{StatusReport, VoterState};
use pending_persistence::PendingPersistence;
use status::StatusSource;
use transport::Transport;
use zones::Zones;

pub use transport::OutboundDatagram;
pub use zones::ZoneSettings;

const LEASE_DURATION: Span = Span::from_secs(4);
/// How often the servers' activity is read.
const SERVER_UPDATE_INTERVAL: Span = Span::from_millis(100);
/// How often the status is written and logged.
const STATUS_INTERVAL: Span = Span::from_secs(1);

/// An action that the node performs on behalf of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetAction {
    /// Send a health check to a server now.
    CheckHealth {
        /// The server's id.
        server: String,
        /// The fencing token that the health check carries.
        token: FencingToken,
    },
    /// Record that a peer has received a message from a server.
    NoteHeardByPeer {
        /// The server's id.
        server: String,
        /// When the peer received it.
        heard_at: Moment,
    },
}

/// The fronts that coordinate, and the identity of this one.
pub struct CoordinationConfig {
    /// The address at which this front receives datagrams.
    pub local_address: SocketAddr,
    /// The addresses of all fronts, indexed by front number.
    pub addresses: Vec<SocketAddr>,
    /// This front's number; if `None`, the index of `local_address` in `addresses`.
    pub front: Option<u32>,
    /// The fronts that vote on leases.
    pub electorate: Electorate,
    /// The seed of the random number generators.
    pub seed: u64,
}

/// The coordination engine of one front.
pub struct FleetCoordination {
    transport: Transport,
    gossip: GossipEngine,
    leases: LeaseEngine,
    health_checks: HealthCheckScheduler,
    zones: Option<Zones>,
    /// Only the zones are active: no leases, and no gossip probes of peers.
    is_zones_only: bool,
    persistence: Option<PendingPersistence>,
    actions: VecDeque<FleetAction>,
    /// The servers' activity at the last update.
    activity: Vec<ServerActivity>,
    next_update_at: Moment,
    next_log_at: Moment,
    next_status_at: Moment,
}

impl FleetCoordination {
    /// Creates the engine. Returns `None` if this front is not among the listed fronts, or is the only one.
    pub fn new(config: CoordinationConfig, now: Moment) -> Option<FleetCoordination> {
        let CoordinationConfig { local_address, addresses, front, electorate, seed } = config;
        let fleet_size = u32::try_from(addresses.len()).ok()?;
        let listed_index = || addresses.iter().position(|address| *address == local_address);
        let front = match front {
            Some(front) => front,
            None => u32::try_from(listed_index()?).ok()?,
        };
        if front >= fleet_size || fleet_size < 2 {
            return None;
        }
        let local = MemberId { front, incarnation: incarnation(now) };
        let gossip =
            GossipEngineConfig { local, fleet_size, zone: None, gossip: GossipConfig::DEFAULT, seed };
        let leases = lease_config(local, electorate, seed);
        Some(FleetCoordination {
            transport: Transport::new(front, addresses),
            gossip: GossipEngine::new(gossip, now),
            leases: LeaseEngine::new(leases, None, now),
            health_checks: HealthCheckScheduler::default(),
            zones: None,
            is_zones_only: false,
            persistence: None,
            actions: VecDeque::new(),
            activity: Vec::new(),
            next_update_at: now,
            next_log_at: now,
            next_status_at: now,
        })
    }

    /// Enables zones: this front reacts to a failing zone together with the other fronts of its own zone. Must be
    /// called before the first input.
    pub fn enable_zones(&mut self, settings: ZoneSettings, now: Moment) {
        self.transport.set_broadcast_address(settings.broadcast_address);
        self.zones = Some(Zones::new(self.leases.local(), settings, now));
    }

    /// Disables leases and gossip probes of peers. Zones do not need to know which peers are alive.
    pub fn set_zones_only(&mut self) {
        self.is_zones_only = true;
        self.gossip.set_passive();
    }

    /// Persists this voter's state. `stored` is the state that a previous process has written, if it is readable. Must
    /// be called before the first input, because it replaces the lease engine.
    pub fn enable_persistence(&mut self, stored: Option<&PersistedState>, seed: u64, now: Moment) {
        let config = lease_config(self.leases.local(), self.leases.electorate().clone(), seed);
        self.leases = LeaseEngine::new(config, stored, now);
        self.persistence = Some(PendingPersistence::default());
    }

    /// This front's number.
    pub fn local_front(&self) -> u32 {
        self.leases.local().front
    }

    // ---- Inputs ----

    /// Handles a received datagram. Datagrams from addresses that are not listed are ignored.
    pub fn handle_input(&mut self, now: Moment, sender: SocketAddr, bytes: &[u8]) {
        if let Some(front) = self.transport.front(sender) {
            self.gossip.handle_input(now, front, bytes);
        }
    }

    /// Handles a server's refusal of an operation because it has seen a higher fencing token.
    pub fn on_fenced(&mut self, now: Moment, server: &str, highest: FencingToken) {
        self.leases.on_fenced(now, health_check::task_id(server), highest);
    }

    /// Whether [`FleetCoordination::on_observation`] has to be called: only if zones are enabled.
    pub fn wants_observations(&self) -> bool {
        self.zones.is_some()
    }

    /// Handles an observation that the call engine made of a server.
    pub fn on_observation(&mut self, now: Moment, observation: Observation) {
        if let Some(zones) = &mut self.zones {
            zones.on_observation(now, observation);
        }
    }

    /// Records that the voter state with this sequence number, and all earlier ones, are on disk.
    pub fn on_persisted(&mut self, sequence: u64) {
        if let Some(persistence) = &mut self.persistence {
            persistence.on_persisted(sequence);
        }
    }

    /// Updates the servers' activity and locations, at most once per `SERVER_UPDATE_INTERVAL`. `report` is called only
    /// if an update is due.
    pub fn update_servers(&mut self, now: Moment, report: impl FnOnce() -> ServerReport) {
        if now < self.next_update_at {
            return;
        }
        self.next_update_at = now + SERVER_UPDATE_INTERVAL;
        let ServerReport { activity, locations } = report();
        self.activity = activity;
        if let Some(zones) = &mut self.zones {
            zones.on_server_locations(&locations);
        }
        if !self.is_zones_only {
            self.check_health(now);
        }
    }

    /// Takes this front out of service: releases its leases and notifies the other fronts of its zone.
    pub fn leave(&mut self, now: Moment) {
        self.leases.leave(now);
        if let Some(zones) = &mut self.zones {
            zones.leave(now);
        }
    }

    // ---- Processing ----

    /// Delivers received messages to the engines and runs everything that is due.
    pub fn process(&mut self, now: Moment) {
        while let Some(received) = self.gossip.poll_lease_message() {
            if let Some(message) = codec::decode(&received.payload) {
                self.leases.handle_input(now, received.sender, &message);
            }
        }
        while let Some(rumor) = self.gossip.poll_rumor() {
            if rumor.topic == health_check::RUMOR_TOPIC {
                self.on_response_rumor(now, rumor);
            }
        }
        while let Some(received) = self.gossip.poll_zone_message() {
            if let Some(zones) = &mut self.zones {
                zones.handle_input(now, received.sender, &received.payload);
            }
        }
        if let Some(zones) = &mut self.zones {
            zones.process(now, &mut self.gossip);
        }
        if !self.is_zones_only {
            self.leases.process(now);
            self.send_lease_messages();
        }
        self.gossip.process(now);
        self.log_status(now);
    }

    /// Publishes that probed servers have responded, and queues the health checks that are due.
    fn check_health(&mut self, now: Moment) {
        for task in self.health_checks.poll_responses(&self.activity) {
            let id = RumorId { topic: health_check::RUMOR_TOPIC, key: task.0 };
            self.gossip.publish_rumor(now, id, Vec::new());
        }
        let live = self.gossip.members().not_dead();
        for check in self.health_checks.process(now, &self.activity, &live, &mut self.leases) {
            // The lease is checked immediately before it is used.
            if let Some(permit) = self.leases.permit(now, check.task) {
                self.actions
                    .push_back(FleetAction::CheckHealth { server: check.server, token: permit.token });
            }
        }
    }

    /// Handles a rumor that a server has responded to another front's health check.
    fn on_response_rumor(&mut self, now: Moment, id: RumorId) {
        let Some(rumor) = self.gossip.rumor(now, id) else { return };
        let heard_at = Moment::from_micros(now.micros().saturating_sub(rumor.age.micros()));
        let task = TaskId(id.key);
        let server = self.activity.iter().find(|server| health_check::task_id(&server.server) == task);
        if let Some(server) = server {
            let server = server.server.clone();
            self.actions.push_back(FleetAction::NoteHeardByPeer { server, heard_at });
        }
    }

    /// Sends lease messages. If the voter's state is persisted, a message is sent only once that state is on disk.
    fn send_lease_messages(&mut self) {
        let Some(persistence) = &mut self.persistence else {
            while let Some(transmit) = self.leases.poll_output() {
                self.gossip.send_lease_message(transmit.recipient, codec::encode(&transmit.message));
            }
            return;
        };
        if let Some(voter) = self.leases.voter() {
            persistence.update(voter.persisted_state());
        }
        while let Some(transmit) = self.leases.poll_output() {
            persistence.enqueue(transmit);
        }
        while let Some(transmit) = persistence.poll_sendable() {
            self.gossip.send_lease_message(transmit.recipient, codec::encode(&transmit.message));
        }
    }

    // ---- Outputs ----

    /// Returns the next datagram to send.
    pub fn poll_output(&mut self) -> Option<OutboundDatagram> {
        self.transport.poll_copy().or_else(|| self.transport.route(self.gossip.poll_output()?))
    }

    /// Returns the next action on behalf of the fleet.
    pub fn poll_action(&mut self) -> Option<FleetAction> {
        self.actions.pop_front()
    }

    /// Returns the voter state to persist next. Messages that depend on it wait until
    /// [`FleetCoordination::on_persisted`] is called with its sequence number.
    pub fn poll_voter_state(&mut self) -> Option<VoterState> {
        let front = self.local_front();
        self.persistence.as_mut()?.poll_state(front)
    }

    /// Returns the traffic shares of the zones whose share is reduced (below 1), if they have changed since the last
    /// call.
    pub fn poll_traffic_shares(&mut self, now: Moment) -> Option<Vec<TrafficShare>> {
        self.zones.as_mut()?.poll_traffic_shares(now)
    }

    /// Returns the status and the metrics, at most once per `STATUS_INTERVAL`.
    pub fn poll_status(&mut self, now: Moment) -> Option<StatusReport> {
        if now < self.next_status_at {
            return None;
        }
        self.next_status_at = now + STATUS_INTERVAL;
        Some(self.status_source().report(now))
    }

    /// When [`FleetCoordination::process`] is due even if nothing arrives.
    pub fn poll_timeout(&self) -> Option<Moment> {
        let zones = self.zones.as_ref().and_then(Zones::poll_timeout);
        let leases = self.leases.poll_timeout().filter(|_| !self.is_zones_only);
        let timeouts = [self.gossip.poll_timeout(), leases, zones, Some(self.next_update_at)];
        timeouts.into_iter().flatten().min()
    }

    /// The fencing token of this front's lease on a server; `None` if it holds none.
    pub fn held_token(&self, now: Moment, server: &str) -> Option<FencingToken> {
        self.leases.permit(now, health_check::task_id(server)).map(|permit| permit.token)
    }

    /// The zone engine; `None` if zones are not enabled.
    pub fn zone_engine(&self) -> Option<&ZoneEngine> {
        self.zones.as_ref().map(Zones::engine)
    }

    fn status_source(&self) -> StatusSource<'_> {
        StatusSource {
            gossip: &self.gossip,
            leases: &self.leases,
            zones: self.zones.as_ref(),
            is_zones_only: self.is_zones_only,
            activity: &self.activity,
        }
    }

    fn log_status(&mut self, now: Moment) {
        if !tracing::enabled!(Level::DEBUG) || now < self.next_log_at {
            return;
        }
        self.next_log_at = now + STATUS_INTERVAL;
        for line in self.status_source().lines(now) {
            debug!("{line}");
        }
    }
}

/// The start time in milliseconds, truncated to 32 bits, so that successive incarnations of a front differ. It wraps
/// after about seven weeks. 0 is reserved for "none".
fn incarnation(now: Moment) -> u32 {
    ((now.micros() / 1_000) as u32).max(1)
}

fn lease_config(local: MemberId, electorate: Electorate, seed: u64) -> LeaseEngineConfig {
    LeaseEngineConfig { local, electorate, lease: LeaseConfig::with_duration(LEASE_DURATION), seed: seed ^ 1 }
}
