//! What was met at servers, for what fronts do together, and what that says of them.

use ochrelead_zone::{MAX_ZONES, ServerLocation};

use super::*;
use crate::roster::Server;
use crate::sounding::Quiet;

impl Engine {
    /// How the servers in service stand with this front, for what fronts do together.
    pub fn quiet(&self) -> Vec<Quiet> {
        let ready =
            self.roster.all().map(|server| self.roster.get(server)).filter(|server| server.is_ready());
        let quiet =
            |server: &Server| Quiet { id: server.id.clone(), spoke: server.spoke, heard: server.heard };
        ready.map(quiet).collect()
    }

    /// From now on what was met at servers is told.
    pub fn observe(&mut self) {
        self.observes = true;
    }

    /// What was met next.
    pub fn observation(&mut self) -> Option<Observation> {
        self.observations.pop_front()
    }

    /// For the host's next turn; as many as calls may be held, what comes beyond is dropped.
    pub(super) fn see(&mut self, observation: Observation) {
        if self.observes && self.observations.len() < self.bounds.calls {
            self.observations.push_back(observation);
        }
    }

    pub(super) fn observe_alive(&mut self, server: ServerIx) {
        if self.observes {
            self.see(Observation::Alive(self.key(server)));
        }
    }

    pub(super) fn observe_asked(&mut self, server: ServerIx, session: SessionIx) {
        if self.observes {
            self.see(Observation::Asked(self.key(server), session.index() as u64));
        }
    }

    /// The district of a server, by its number.
    pub(super) fn district(&self, server: ServerIx) -> Option<ZoneId> {
        let name = self.roster.get(server).district.as_ref()?;
        let at = self.districts.iter().position(|own| own == name);
        let at = at.map_or_else(|| name.parse().ok(), |at| u32::try_from(at).ok())?;
        (at < MAX_ZONES && (at as usize) < self.districts.len()).then_some(ZoneId(at))
    }

    pub(super) fn key(&self, server: ServerIx) -> ServerKey {
        ServerKey::from_name(&self.roster.get(server).id)
    }

    /// The servers in service that are in a district.
    pub fn places(&self) -> Vec<ServerLocation> {
        let ready = self.roster.all().filter(|server| self.roster.get(*server).is_ready());
        ready
            .filter_map(|server| {
                Some(ServerLocation { server: self.key(server), zone: self.district(server)? })
            })
            .collect()
    }

    /// What share of the sessions the servers of some districts take from now on; all of them those of the others.
    pub fn ease(&mut self, eased: Vec<(ZoneId, f64)>) {
        self.eased = eased;
        for server in self.roster.all() {
            self.ease_server(server);
        }
    }

    pub(super) fn ease_server(&mut self, server: ServerIx) {
        let district = self.district(server);
        let eased = self.eased.iter().find(|(of, _)| Some(*of) == district);
        self.judge.on_zone_share(server, eased.map_or(1.0, |(_, share)| *share));
    }

    /// Another front heard a server so lately.
    pub fn vouched(&mut self, server: &str, at: Moment) {
        if let Some(server) = self.roster.named(server) {
            let at = at.min(self.now);
            let known = &mut self.roster.get_mut(server).vouched;
            *known = (*known).max(Some(at));
        }
    }

    /// The next server that refused a test, and the highest number that it has seen.
    pub fn outrun(&mut self) -> Option<(String, Number)> {
        self.outrun.pop_front()
    }
}
