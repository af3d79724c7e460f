//! The coordination of a front with the others of its fleet: gossip, leases, health checks and zones behind one engine
//! without I/O, so that any host can drive it. Off unless it is asked for.
//!
//! - `transport`: the addresses of the fronts, and which of them a datagram goes to.
//! - [`crate::health_check`]: which silent servers this front probes, under leases.
//! - `pending_persistence`: messages of a voter wait until its state is on disk.
//! - `zones`: leaving and re-entering a zone as one fleet.
//! - `status`: what an operator reads.

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
/// The servers' activity is looked at this often.
const SERVER_UPDATE_INTERVAL: Span = Span::from_millis(100);
/// The status is written, and logged, this often.
const STATUS_INTERVAL: Span = Span::from_secs(1);

/// An action of the node on behalf of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetAction {
    /// Send a health check now.
    CheckHealth {
        /// The server's id.
        server: String,
        /// The token under which it is sent.
        token: FencingToken,
    },
    /// Note that another front has heard a server.
    NoteHeardByPeer {
        /// The server's id.
        server: String,
        /// When that was.
        heard_at: Moment,
    },
}

/// Who coordinates.
pub struct CoordinationConfig {
    /// Where the datagrams for this front arrive.
    pub local_address: SocketAddr,
    /// The addresses of all fronts, by their numbers.
    pub addresses: Vec<SocketAddr>,
    /// This front's number; by its address where it is not given.
    pub front: Option<u32>,
    /// Who votes on leases.
    pub electorate: Electorate,
    /// Seeds what is drawn at random.
    pub seed: u64,
}

/// One front's part in the coordination.
pub struct FleetCoordination {
    transport: Transport,
    gossip: GossipEngine,
    leases: LeaseEngine,
    health_checks: HealthCheckScheduler,
    zones: Option<Zones>,
    /// It takes no part in leases and does not probe its peers: zones alone.
    is_zones_only: bool,
    persistence: Option<PendingPersistence>,
    actions: VecDeque<FleetAction>,
    /// The servers' activity as of the last update.
    activity: Vec<ServerActivity>,
    next_update_at: Moment,
    next_log_at: Moment,
    next_status_at: Moment,
}

impl FleetCoordination {
    /// This front's part; `None` where it is not among the fronts, or alone.
    pub fn new(config: CoordinationConfig, now: Moment) -> Option<FleetCoordination> {
        let CoordinationConfig { local_address, addresses, front, electorate, seed } = config;
        let fleet_size = u32::try_from(addresses.len()).ok()?;
        let listed = || addresses.iter().position(|address| *address == local_address);
        let front = match front {
            Some(front) => front,
            None => u32::try_from(listed()?).ok()?,
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

    /// Acts with the other fronts of its zone where zones fail. To be called right after the start.
    pub fn enable_zones(&mut self, settings: ZoneSettings, now: Moment) {
        self.transport.set_broadcast_address(settings.broadcast_address);
        self.zones = Some(Zones::new(self.leases.local(), settings, now));
    }

    /// Takes no part in leases and does not probe its peers: zones do not need to know who is alive.
    pub fn set_zones_only(&mut self) {
        self.is_zones_only = true;
        self.gossip.set_passive();
    }

    /// Persists this voter's state from its start on; `stored` is what a former process has left, where it is usable.
    pub fn enable_persistence(&mut self, stored: Option<&PersistedState>, seed: u64, now: Moment) {
        let config = lease_config(self.leases.local(), self.leases.electorate().clone(), seed);
        self.leases = LeaseEngine::new(config, stored, now);
        self.persistence = Some(PendingPersistence::default());
    }

    /// The number of this front.
    pub fn local_front(&self) -> u32 {
        self.leases.local().front
    }

    // ---- Inputs ----

    /// A datagram arrived; one from an address that is not listed is ignored.
    pub fn handle_input(&mut self, now: Moment, sender: SocketAddr, bytes: &[u8]) {
        if let Some(front) = self.transport.front(sender) {
            self.gossip.handle_input(now, front, bytes);
        }
    }

    /// A server refused an act, for it has seen a higher token.
    pub fn on_fenced(&mut self, now: Moment, server: &str, highest: FencingToken) {
        self.leases.on_fenced(now, health_check::task_id(server), highest);
    }

    /// Whether it needs observations.
    pub fn wants_observations(&self) -> bool {
        self.zones.is_some()
    }

    /// The engine observed something at a server.
    pub fn on_observation(&mut self, now: Moment, observation: Observation) {
        if let Some(zones) = &mut self.zones {
            zones.on_observation(now, observation);
        }
    }

    /// A voter state is on disk.
    pub fn on_persisted(&mut self, sequence: u64) {
        if let Some(persistence) = &mut self.persistence {
            persistence.on_persisted(sequence);
        }
    }

    /// Looks at the servers, at most every tenth of a second: `report` is called only when that is due.
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

    /// Leaves service: leases are released, and the other fronts of the zone are notified.
    pub fn leave(&mut self, now: Moment) {
        self.leases.leave(now);
        if let Some(zones) = &mut self.zones {
            zones.leave(now);
        }
    }

    // ---- Progress ----

    /// Does everything that is due.
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

    /// Publishes responses of probed servers, and requests the checks that are due.
    fn check_health(&mut self, now: Moment) {
        for task in self.health_checks.poll_responses(&self.activity) {
            let id = RumorId { topic: health_check::RUMOR_TOPIC, key: task.0 };
            self.gossip.publish_rumor(now, id, Vec::new());
        }
        let live = self.gossip.members().not_dead();
        for check in self.health_checks.process(now, &self.activity, &live, &mut self.leases) {
            // Asked for right before the act.
            if let Some(permit) = self.leases.permit(now, check.task) {
                self.actions
                    .push_back(FleetAction::CheckHealth { server: check.server, token: permit.token });
            }
        }
    }

    /// Another front published that a server has responded to it.
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

    /// Sends messages about leases; where a voter's state is persisted, not before it is.
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
            persistence.hold_back(transmit);
        }
        while let Some(transmit) = persistence.poll_sendable() {
            self.gossip.send_lease_message(transmit.recipient, codec::encode(&transmit.message));
        }
    }

    // ---- Outputs ----

    /// The next datagram to send.
    pub fn poll_output(&mut self) -> Option<OutboundDatagram> {
        self.transport.poll_copy().or_else(|| self.transport.route(self.gossip.poll_output()?))
    }

    /// The next action on behalf of the fleet.
    pub fn poll_action(&mut self) -> Option<FleetAction> {
        self.actions.pop_front()
    }

    /// The voter state to persist next; messages wait until [`FleetCoordination::on_persisted`] reports it.
    pub fn poll_voter_state(&mut self) -> Option<VoterState> {
        let front = self.local_front();
        self.persistence.as_mut()?.poll_state(front)
    }

    /// The shares of the zones that take less than all, where they have changed since the last call.
    pub fn poll_traffic_shares(&mut self, now: Moment) -> Option<Vec<TrafficShare>> {
        self.zones.as_mut()?.poll_traffic_shares(now)
    }

    /// The status and the counters, once a second.
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

    /// The token under which this front may act on a server, if it may.
    pub fn held_token(&self, now: Moment, server: &str) -> Option<FencingToken> {
        self.leases.permit(now, health_check::task_id(server)).map(|permit| permit.token)
    }

    /// The engine of the zones, where they are enabled.
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

/// The milliseconds of the start, which wrap after weeks: no two incarnations of a front are alike. 0 is none.
fn incarnation(now: Moment) -> u32 {
    ((now.micros() / 1_000) as u32).max(1)
}

fn lease_config(local: MemberId, electorate: Electorate, seed: u64) -> LeaseEngineConfig {
    LeaseEngineConfig { local, electorate, lease: LeaseConfig::with_duration(LEASE_DURATION), seed: seed ^ 1 }
}
