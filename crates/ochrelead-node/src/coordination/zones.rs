//! Connects the zone engine, which takes traffic out of failing zones and returns it step by step, to gossip and
//! status.

use std::net::SocketAddr;

use ochrelead_core::time::Moment;
use ochrelead_gossip::engine::{Engine as GossipEngine, Recipient};
use ochrelead_lease::MemberId;
use ochrelead_zone::engine::{Engine as ZoneEngine, Recipient as ZoneRecipient};
use ochrelead_zone::message::ZoneShare;
use ochrelead_zone::{ServerLocation, ZoneConfig, ZoneId};

use crate::observation::{Observation, TrafficShare};

/// The settings with which a front takes part in the decisions about zones.
pub struct ZoneSettings {
    /// The zone of this front.
    pub local_zone: ZoneId,
    /// The names of the zones, indexed by zone number.
    pub names: Vec<String>,
    /// Thresholds and timing.
    pub config: ZoneConfig,
    /// The address at which one datagram reaches all fronts, if there is one.
    pub broadcast_address: Option<SocketAddr>,
    /// The seed of the random number generator.
    pub seed: u64,
}

pub(super) struct Zones {
    engine: ZoneEngine,
    names: Vec<String>,
    /// The reduced shares at the last call of `poll_traffic_shares`.
    last_shares: Vec<TrafficShare>,
}

impl Zones {
    pub(super) fn new(local: MemberId, settings: ZoneSettings, now: Moment) -> Zones {
        let ZoneSettings { local_zone, names, config, seed, .. } = settings;
        let engine = ZoneEngine::new(local, local_zone, config, seed ^ 2, now);
        Zones { engine, names, last_shares: Vec::new() }
    }

    pub(super) fn engine(&self) -> &ZoneEngine {
        &self.engine
    }

    pub(super) fn on_observation(&mut self, now: Moment, observation: Observation) {
        match observation {
            Observation::InviteSent { server, invite } => self.engine.on_invite_sent(now, server, invite),
            Observation::InviteAnswered { invite } => self.engine.on_answer(now, invite),
            Observation::InviteFailed { invite } => self.engine.on_transport_failure(invite),
            Observation::InviteCancelled { invite } => self.engine.on_invite_cancelled(invite),
            Observation::ServerAlive { server } => self.engine.on_server_alive(now, server),
        }
    }

    pub(super) fn on_server_locations(&mut self, locations: &[ServerLocation]) {
        self.engine.on_server_locations(locations);
    }

    pub(super) fn handle_input(&mut self, now: Moment, sender: MemberId, payload: &[u8]) {
        self.engine.handle_input(now, sender, payload);
    }

    pub(super) fn leave(&mut self, now: Moment) {
        self.engine.leave(now);
    }

    /// Runs what is due in the engine, and passes its messages to gossip.
    pub(super) fn process(&mut self, now: Moment, gossip: &mut GossipEngine) {
        self.engine.process(now);
        while let Some((recipient, message)) = self.engine.poll_output() {
            let recipient = match recipient {
                ZoneRecipient::Front(front) => Recipient::Front(front),
                ZoneRecipient::All => Recipient::All,
            };
            gossip.send_zone_message(recipient, message);
        }
    }

    pub(super) fn poll_timeout(&self) -> Option<Moment> {
        self.engine.poll_timeout()
    }

    /// Returns the traffic shares of the zones whose share is reduced (below 1), if they have changed since the last
    /// call.
    pub(super) fn poll_traffic_shares(&mut self, now: Moment) -> Option<Vec<TrafficShare>> {
        let shares: Vec<TrafficShare> = self
            .engine
            .zones()
            .into_iter()
            .map(|zone| TrafficShare { zone, share: self.engine.zone_share(now, zone) })
            .filter(|reduced| reduced.share < 1.0)
            .collect();
        if shares == self.last_shares {
            return None;
        }
        self.last_shares.clone_from(&shares);
        Some(shares)
    }

    /// The status: which front observes the local zone, and a line for each share that an observer has set.
    pub(super) fn status_lines(&self, now: Moment) -> Vec<String> {
        let local = self.engine.local_zone();
        let name = self.name(local);
        let mut lines = vec![match self.engine.active_verdicts(now, local) {
            _ if self.engine.is_observer() => format!("district {name}: this front observes"),
            Some(verdicts) => format!("district {name}: front {} observes", verdicts.observer),
            None => format!("district {name}: nobody observes, each front acts alone"),
        }];
        for origin in (0..).map(ZoneId).take(self.names.len()) {
            let Some(verdicts) = self.engine.active_verdicts(now, origin) else { continue };
            for ZoneShare { zone, share, reason } in &verdicts.shares {
                let (origin, zone) = (self.name(origin), self.name(*zone));
                let percentage = share * 100.0;
                let reason = reason.description();
                lines.push(format!("from {origin} to {zone}: {percentage:.0} in 100, {reason}"));
            }
        }
        lines
    }

    fn name(&self, zone: ZoneId) -> String {
        let name = self.names.get(zone.0 as usize);
        name.cloned().unwrap_or_else(|| zone.0.to_string())
    }
}
