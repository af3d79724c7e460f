//! Applies the faults of a scenario when they begin, and reverts them when they end.

use rand::RngExt;

use super::events::Event;
use super::front::{Front, endpoint_update, moment};
use super::scenario::Fault;
use super::server::{MS, Server};
use super::world::World;

/// Range of the time for which a killed front is down.
const MIN_FRONT_DOWN_TIME_US: u64 = 200 * MS;
const MAX_FRONT_DOWN_TIME_US: u64 = 1_500 * MS;
/// Range of the time from a server's restart until the endpoint list shows it.
const MIN_LISTING_DELAY_US: u64 = 200 * MS;
const MAX_LISTING_DELAY_US: u64 = 2_500 * MS;
/// Each front receives a new endpoint list within this time.
const LISTING_SPREAD_US: u64 = 300 * MS;

impl World {
    /// The fronts that are observers. Without coordination there are none: the first front of each zone takes their
    /// place, so that runs with and without coordination lose equally many fronts.
    fn observers(&self) -> Vec<u32> {
        if !self.scenario.is_coordinated {
            return (0..self.scenario.zones).collect();
        }
        (0..self.scenario.fronts).filter(|front| self.fronts[*front as usize].is_observer()).collect()
    }

    fn servers_in(&mut self, zone: u32) -> impl Iterator<Item = &mut Server> {
        self.servers.iter_mut().filter(move |server| server.zone == zone)
    }

    /// Applies a fault. The network and traffic models look up partitions, message loss and surges themselves.
    pub(super) fn begin_fault(&mut self, index: usize) {
        self.active_faults[index] = true;
        match self.scenario.faults[index].fault {
            Fault::ZoneDown { zone } => {
                self.servers_in(zone).for_each(Server::stop);
                self.monitor.on_zone_failed(self.now, zone);
            }
            Fault::SlowServers { zone, factor } => self.set_slow_factor(zone, factor),
            Fault::SilentServers { zone, servers } => {
                self.servers_in(zone).take(servers as usize).for_each(|server| server.is_silent = true);
            }
            Fault::ObserversKilled => {
                for front in self.observers() {
                    self.restart_front(front);
                }
            }
            Fault::ObserversHalted => {
                for front in self.observers() {
                    self.fronts[front as usize].is_halted = true;
                }
            }
            Fault::FrontsRestarted { probability } => {
                for front in 0..self.scenario.fronts {
                    if self.rng.random_bool(probability) {
                        self.restart_front(front);
                    }
                }
            }
            Fault::Partition { .. }
            | Fault::FrontCutOff { .. }
            | Fault::Surge { .. }
            | Fault::MessageLoss { .. } => {}
        }
    }

    /// Reverts a fault. Killed and restarted fronts come back by their own events.
    pub(super) fn end_fault(&mut self, index: usize) {
        self.active_faults[index] = false;
        match self.scenario.faults[index].fault {
            Fault::ZoneDown { zone } => self.restart_zone(zone),
            Fault::SlowServers { zone, .. } => self.set_slow_factor(zone, 1.0),
            Fault::SilentServers { zone, .. } => {
                self.servers_in(zone).for_each(|server| server.is_silent = false);
            }
            Fault::ObserversHalted => self.resume_halted_fronts(),
            _ => {}
        }
    }

    /// Kills a front, which loses its calls, and schedules its restart.
    fn restart_front(&mut self, front: u32) {
        // Other fronts still apply the shares that it announced as an observer since the last check.
        self.monitor.record_observer(self.now, &self.fronts[front as usize]);
        let seed: u64 = self.rng.random();
        let restart_at = self.now + self.rng.random_range(MIN_FRONT_DOWN_TIME_US..MAX_FRONT_DOWN_TIME_US);
        let mut restarted = Front::new(&self.scenario, &self.servers, front, seed, restart_at);
        restarted.is_halted = true;
        // Session indices of the former incarnation are not reused, so that its late events match no new session.
        restarted.session_count = self.fronts[front as usize].session_count;
        self.fronts[front as usize] = restarted;
        self.events.push(restart_at, Event::FrontRestarted { front });
    }

    /// Resumes halted fronts, apart from those that were killed and have not restarted yet.
    fn resume_halted_fronts(&mut self) {
        for front in 0..self.scenario.fronts {
            let state = &mut self.fronts[front as usize];
            if state.is_halted && state.up_since <= self.now {
                state.is_halted = false;
                self.run_front(front);
            }
        }
    }

    /// Sets the slow-down of the servers of one zone, or of all servers.
    fn set_slow_factor(&mut self, zone: Option<u32>, factor: f64) {
        let servers = self.servers.iter_mut().filter(|server| zone.is_none_or(|zone| server.zone == zone));
        servers.for_each(|server| server.slow_factor = factor);
    }

    /// Starts all servers of a zone cold, and schedules when each front learns of each restart.
    fn restart_zone(&mut self, zone: u32) {
        for server in 0..self.scenario.servers {
            if self.servers[server as usize].zone != zone {
                continue;
            }
            self.servers[server as usize].start(self.now);
            let listed_at = self.now + self.rng.random_range(MIN_LISTING_DELAY_US..MAX_LISTING_DELAY_US);
            for front in 0..self.scenario.fronts {
                let spread = self.rng.random_range(0..LISTING_SPREAD_US);
                self.events.push(listed_at + spread, Event::RestartListed { front, server });
            }
        }
        self.monitor.on_zone_returned(self.now, zone);
    }

    pub(super) fn on_restart_listed(&mut self, front: u32, server: u32) {
        let update = endpoint_update(server as usize, &self.servers[server as usize]);
        let controller = &mut self.fronts[front as usize].controller;
        controller.advance_to(moment(self.now));
        controller.on_endpoints(false, &[update]);
    }
}
