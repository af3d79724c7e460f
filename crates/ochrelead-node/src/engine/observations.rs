//! What the engine observes at servers, for the coordination with other fronts, and what that tells it in turn.

use std::collections::VecDeque;

use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::Moment;
use ochrelead_zone::{MAX_ZONES, ServerKey, ServerLocation, ZoneId};

use super::Engine;
use crate::observation::{Observation, ServerActivity, ServerReport, SupersededToken, TrafficShare};
use crate::server_table::Server;

/// What the engine holds for the coordination with other fronts.
pub(super) struct FleetObservations {
    is_enabled: bool,
    observations: VecDeque<Observation>,
    superseded: VecDeque<SupersededToken>,
    /// The names of the zones, by their numbers.
    zone_names: Vec<String>,
    /// The zones that take less than their full share.
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
    /// The servers in service, as this front sees them.
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

    /// Collects observations from now on.
    pub fn enable_observations(&mut self) {
        self.fleet.is_enabled = true;
    }

    /// The next observation.
    pub fn poll_observation(&mut self) -> Option<Observation> {
        self.fleet.observations.pop_front()
    }

    /// Keeps an observation until the host's next turn; no more than there may be calls.
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

    /// The zone of a server, by the name or the number that the endpoint list gives.
    fn zone(&self, server: ServerIx) -> Option<ZoneId> {
        let name = self.servers.get(server).zone.as_ref()?;
        let zone_count = self.fleet.zone_names.len();
        let zone = match self.fleet.zone_names.iter().position(|other| other == name) {
            Some(index) => u32::try_from(index).ok()?,
            None => name.parse().ok()?,
        };
        (zone < MAX_ZONES && (zone as usize) < zone_count).then_some(ZoneId(zone))
    }

    /// Sets the shares of the zones that take less than all of their sessions; the others take all.
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

    /// Another front heard a server at that moment.
    pub fn on_heard_by_peer(&mut self, server: &str, heard_at: Moment) {
        if let Some(server) = self.servers.find(server) {
            let heard_at = heard_at.min(self.now);
            let last = &mut self.servers.get_mut(server).last_heard_by_peer;
            *last = (*last).max(Some(heard_at));
        }
    }

    /// The next refusal of a health check under a token that a higher one has superseded.
    pub fn poll_superseded_token(&mut self) -> Option<SupersededToken> {
        self.fleet.superseded.pop_front()
    }

    /// Keeps a refusal until the host's next turn; no more than there may be servers.
    pub(super) fn note_superseded(&mut self, token: SupersededToken) {
        if self.fleet.superseded.len() < self.bounds.servers {
            self.fleet.superseded.push_back(token);
        }
    }
}

/// The number of a session's INVITE among observations.
pub(super) fn invite_id(session: SessionIx) -> u64 {
    session.index() as u64
}
