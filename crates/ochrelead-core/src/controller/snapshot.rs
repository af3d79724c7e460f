//! A read-only view of a server's state, for the event log.

use super::Controller;
use crate::index::ServerIx;
use crate::types::ServerSnapshot;

impl Controller {
    /// The present state of a server, for the event log.
    pub fn server_snapshot(&self, server: ServerIx) -> Option<ServerSnapshot> {
        let (server, now, objective) = (self.servers.get(server)?, self.now, self.latency_objective);
        Some(ServerSnapshot {
            in_flight_limit: server.in_flight_limit(now, objective),
            in_flight: u32::try_from(server.waiting(objective).count()).unwrap_or(u32::MAX),
            answer_time: server.answer_time(now, objective),
            ejected: server.is_ejected(),
            warming_up: now < server.warming_up_until,
            last_attempt_failed: server.last_attempt_failed,
            setup_rate: server.setup_rate,
            lines: server.lines,
        })
    }
}
