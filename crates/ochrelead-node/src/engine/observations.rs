//! The interface between the engine and the coordination with other fronts: the engine reports what it observes at
//! servers, and receives traffic shares of zones and the times at which other fronts heard a server.

use std::collections::VecDeque;

use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::Moment;
use ochrelead_zone::{MAX_ZONES, ServerKey, ServerLocation, ZoneId};

use super::Engine;
use crate::observation::{Observation, ServerActivity, ServerReport, SupersededToken, TrafficShare};
use crate::server_table::Server;

/// Observations queued for the coordination with other fronts, and the traffic shares received from it.
pub(super) struct FleetObservations {
    is_enabled: bool,
    observations: VecDeque<Observation>,
    superseded: VecDeque<SupersededToken>,
    /// The names of the zones; the index is the zone's number.
    zone_names: Vec<String>,
    /// The shares of the zones whose traffic is reduced.
    shares: Vec<TrafficShare>,
}

impl FleetObservations {
    pub(super) fn new(zone_names: Vec<String>) -> FleetObservations {
        FleetObservations {
            is_enabled: false,
            observations: VecDeque::new(),
            superseded: VecDeque::new(),
            zone_names,
            shares: Vec::new(),
        }
    }
}

impl Engine {
    /// Returns when each server in service was last heard, and the zones of those whose zones are known.
    pub fn server_report(&self) -> ServerReport {
        let ready: Vec<ServerIx> =
            self.servers.indices().filter(|server| self.servers.get(*server).is_ready()).collect();
        let activity = |server: &Server| ServerActivity {
            server: server.id.clone(),
            last_unprompted: server.last_unprompted,
            last_heard: server.last_heard,
        };
        let location = |server: ServerIx| {
            Some(ServerLocation { server: self.server_key(server), zone: self.zone(server)? })
        };
        ServerReport {
            activity: ready.iter().map(|server| activity(self.servers.get(*server))).collect(),
            locations: ready.iter().filter_map(|server| location(*server)).collect(),
        }
    }

    /// Starts the collection of observations.
    pub fn enable_observations(&mut self) {
        self.fleet.is_enabled = true;
    }

    /// Removes and returns the oldest queued observation.
    pub fn poll_observation(&mut self) -> Option<Observation> {
        self.fleet.observations.pop_front()
    }

    /// Queues an observation until the host polls it. At most as many are queued as calls are allowed.
    pub(super) fn observe(&mut self, observation: Observation) {
        if self.fleet.is_enabled && self.fleet.observations.len() < self.bounds.calls {
            self.fleet.observations.push_back(observation);
        }
    }

    pub(super) fn observe_alive(&mut self, server: ServerIx) {
        if self.fleet.is_enabled {
            self.observe(Observation::ServerAlive { server: self.server_key(server) });
        }
    }

    pub(super) fn observe_invite(&mut self, server: ServerIx, session: SessionIx) {
        if self.fleet.is_enabled {
            let (server, invite) = (self.server_key(server), invite_id(session));
            self.observe(Observation::InviteSent { server, invite });
        }
    }

    fn server_key(&self, server: ServerIx) -> ServerKey {
        ServerKey::from_name(&self.servers.get(server).id)
    }

    /// The zone of a server; the endpoint list identifies it by name or by number.
    fn zone(&self, server: ServerIx) -> Option<ZoneId> {
        let name = self.servers.get(server).zone.as_ref()?;
        let zone_count = self.fleet.zone_names.len();
        let zone = match self.fleet.zone_names.iter().position(|other| other == name) {
            Some(index) => u32::try_from(index).ok()?,
            None => name.parse().ok()?,
        };
        (zone < MAX_ZONES && (zone as usize) < zone_count).then_some(ZoneId(zone))
    }

    /// Sets the shares of the zones whose traffic is reduced. All other zones take their full traffic.
    pub fn set_traffic_shares(&mut self, shares: Vec<TrafficShare>) {
        self.fleet.shares = shares;
        for server in self.servers.indices() {
            self.apply_zone_share(server);
        }
    }

    pub(super) fn apply_zone_share(&mut self, server: ServerIx) {
        let zone = self.zone(server);
        let reduced = self.fleet.shares.iter().find(|reduced| Some(reduced.zone) == zone);
        self.policy.on_zone_share(server, reduced.map_or(1.0, |reduced| reduced.share));
    }

    /// Records the time at which another front heard a server.
    pub fn on_heard_by_peer(&mut self, server: &str, heard_at: Moment) {
        if let Some(server) = self.servers.find(server) {
            let heard_at = heard_at.min(self.now);
            let last = &mut self.servers.get_mut(server).last_heard_by_peer;
            *last = (*last).max(Some(heard_at));
        }
    }

    /// Removes and returns the oldest queued report of a health check refused because of a higher fencing token.
    pub fn poll_superseded_token(&mut self) -> Option<SupersededToken> {
        self.fleet.superseded.pop_front()
    }

    /// Queues such a report until the host polls it. At most as many are queued as servers are allowed.
    pub(super) fn queue_superseded_token(&mut self, token: SupersededToken) {
        if self.fleet.superseded.len() < self.bounds.servers {
            self.fleet.superseded.push_back(token);
        }
    }
}

/// The number that identifies the INVITE of a session in observations.
pub(super) fn invite_id(session: SessionIx) -> u64 {
    session.index() as u64
}
