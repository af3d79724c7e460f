//! What the engine observes at servers, for the coordination with other fronts, and what that tells it in turn.

use std::collections::VecDeque;

use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::Moment;
use ochrelead_lease::FencingToken;
use ochrelead_zone::{MAX_ZONES, ServerKey, ServerLocation, ZoneId};

use super::Engine;
use crate::server_table::Server;
use crate::sounding::Quiet;

/// The outcome of an INVITE, or a sign of life of a server. An INVITE is identified by its session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// An INVITE was begun at a server.
    Asked(ServerKey, u64),
    /// A server answered an INVITE, by accepting or refusing it.
    Answered(u64),
    /// An INVITE failed without an answer.
    Failed(u64),
    /// An INVITE was cancelled, timed out, or refused.
    CalledOff(u64),
    /// A message arrived from a server, or a connection to it was established.
    Alive(ServerKey),
}

/// A server refused a health check, for it has seen a higher fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SupersededToken {
    /// The server's id.
    pub server: String,
    /// The highest token that it has seen.
    pub highest: FencingToken,
}

/// The share of sessions that the servers of a zone take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficShare {
    /// Which zone.
    pub zone: ZoneId,
    /// The share: 0 for none, 1 for all.
    pub share: f64,
}

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
    /// When each server in service was last heard.
    pub fn server_activity(&self) -> Vec<Quiet> {
        let activity = |server: &Server| Quiet {
            id: server.id.clone(),
            spoke: server.last_unprompted,
            heard: server.last_heard,
        };
        self.servers
            .indices()
            .map(|server| self.servers.get(server))
            .filter(|server| server.is_ready())
            .map(activity)
            .collect()
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
            self.observe(Observation::Alive(self.server_key(server)));
        }
    }

    pub(super) fn observe_invite(&mut self, server: ServerIx, session: SessionIx) {
        if self.fleet.is_enabled {
            self.observe(Observation::Asked(self.server_key(server), session.index() as u64));
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

    /// The servers in service whose zones are known.
    pub fn server_locations(&self) -> Vec<ServerLocation> {
        self.servers
            .indices()
            .filter(|server| self.servers.get(*server).is_ready())
            .filter_map(|server| {
                Some(ServerLocation { server: self.server_key(server), zone: self.zone(server)? })
            })
            .collect()
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
