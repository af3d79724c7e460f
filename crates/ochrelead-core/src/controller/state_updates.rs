//! Updates that are entered into the state as they are.

use super::Controller;
use crate::index::{ServerIx, ServiceIx};
use crate::state::mean_hold_time_s;
use crate::types::LineCapacity;

impl Controller {
    /// The numbers of the servers that serve a service from now on; any where none is named.
    pub fn on_service_servers(&mut self, service: ServiceIx, servers: &[i64]) {
        if let Some(service) = self.services.get_mut(service) {
            service.servers = servers.to_vec();
        }
    }

    /// A server reports its lines.
    pub fn on_line_capacity(&mut self, server: ServerIx, lines: LineCapacity) {
        let mean_hold_time_s = mean_hold_time_s(&self.services);
        if let Some(server) = self.servers.get_mut(server) {
            server.update_lines(self.now, lines, mean_hold_time_s);
        }
    }

    /// The share of the sessions that a server admits from now on, the same at all fronts; 1 for all.
    pub fn on_zone_share(&mut self, server: ServerIx, share: f64) {
        if let Some(server) = self.servers.get_mut(server) {
            server.zone_share = share;
        }
    }
}
