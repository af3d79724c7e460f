//! What befalls the fleet.

use super::*;

impl World {
    /// Those who observe; where nobody does, as many others, so that both kinds of day lose the same.
    pub(super) fn observers(&self) -> Vec<u32> {
        if !self.day.together {
            return (0..self.day.districts).collect();
        }
        let observes = |front: &Front| {
            let districts = front.together.as_ref().and_then(FleetCoordination::zone_engine);
            districts.is_some_and(|districts| districts.is_observer())
        };
        (0..self.day.fronts).filter(|front| observes(&self.fronts[*front as usize])).collect()
    }

    pub(super) fn begins(&mut self, nth: usize) {
        self.on[nth] = true;
        let trouble = self.day.troubles[nth];
        match trouble.kind {
            Kind::Dead { district } => {
                let own = self.servers.iter_mut().filter(|server| server.district == district);
                own.for_each(Server::end);
                self.watch.ended(self.now, district);
            }
            Kind::Slow { district, times } => self.slow(district, times),
            Kind::Silent { district, servers } => {
                let own = self.servers.iter_mut().filter(|server| server.district == district);
                own.take(servers as usize).for_each(|server| server.silent = true);
            }
            Kind::ObserversKilled => {
                for front in self.observers() {
                    self.restart(front);
                }
            }
            Kind::ObserversHalted => {
                for front in self.observers() {
                    self.fronts[front as usize].halted = true;
                }
            }
            Kind::Restart { part } => {
                for front in 0..self.day.fronts {
                    if self.chance.random_bool(part) {
                        self.restart(front);
                    }
                }
            }
            Kind::Cut { .. } | Kind::OwnLink { .. } | Kind::Surge { .. } | Kind::Peers { .. } => {}
        }
    }

    /// Killed, and back after a while; what it held is lost.
    pub(super) fn restart(&mut self, front: u32) {
        // What it said as an observer since the last look is still heeded.
        self.watch.hear(self.now, &self.fronts[front as usize]);
        let seed: u64 = self.chance.random();
        let back = self.chance.random_range(200 * MS..1_500 * MS);
        let now = self.now;
        self.now += back;
        let mut made = self.make(front, seed);
        self.now = now;
        made.halted = true;
        // Asks of the former life are known by their numbers and find nobody.
        let former = std::mem::replace(&mut self.fronts[front as usize], made);
        let state = &mut self.fronts[front as usize];
        (state.count, state.last_invite) = (former.count, former.last_invite);
        self.at(now + back, What::Back(front));
    }

    pub(super) fn slow(&mut self, district: Option<u32>, times: f64) {
        let own = |server: &&mut Server| district.is_none_or(|district| server.district == district);
        self.servers.iter_mut().filter(own).for_each(|server| server.slow = times);
    }

    pub(super) fn ends(&mut self, nth: usize) {
        self.on[nth] = false;
        match self.day.troubles[nth].kind {
            Kind::Dead { district } => {
                for server in 0..self.day.servers {
                    if self.servers[server as usize].district != district {
                        continue;
                    }
                    self.servers[server as usize].start(self.now);
                    let listed = self.now + self.chance.random_range(200 * MS..LISTED);
                    for front in 0..self.day.fronts {
                        let spread = self.chance.random_range(0..300 * MS);
                        self.at(listed + spread, What::Listed(front, server));
                    }
                }
                self.watch.returned(self.now, district);
            }
            Kind::Slow { district, .. } => self.slow(district, 1.0),
            Kind::Silent { district, .. } => {
                let own = self.servers.iter_mut().filter(|server| server.district == district);
                own.for_each(|server| server.silent = false);
            }
            Kind::ObserversHalted => {
                for front in 0..self.day.fronts {
                    if self.fronts[front as usize].halted && self.fronts[front as usize].up_since <= self.now
                    {
                        self.fronts[front as usize].halted = false;
                        self.turn(front);
                    }
                }
            }
            _ => {}
        }
    }
}
