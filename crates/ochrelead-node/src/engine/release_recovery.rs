//! Recovery of releases that were lost with a connection to a server. The server repeats a release on the next connection
//! that is opened, so the node opens one while calls are established at the server.

use std::hash::{Hash, Hasher};

use fnv::FnvHasher;
use ochrelead_core::index::ServerIx;
use ochrelead_core::time::{Moment, Span};

use super::Engine;
use crate::bounds::protocol;
use crate::io::{ConnectionEnd, ServerConnectionId};
use crate::server_table::{ConnectionState, ReleaseRecovery, ServerConnection};

/// Number of distinct delays within the window of [`Engine::recovery_jitter`].
const JITTER_STEPS: u64 = 1 << 10;
/// The maximum number of times that the retry delay of a recovery is doubled.
const MAX_DOUBLINGS: u32 = 16;

impl Engine {
    /// Plans a new connection after one with which a release may have been lost. An orderly close loses nothing, and a
    /// server that closes connections because it has too many must not get a replacement.
    pub(super) fn recover_releases_after(
        &mut self,
        id: ServerConnectionId,
        connection: &ServerConnection,
        end: ConnectionEnd,
    ) {
        let server = connection.server;
        if connection.state == ConnectionState::Connecting || !self.calls.has_established_at(server) {
            return;
        }
        let ended_early = self.has_ended_early(connection);
        let is_cut_off = connection.partial_since.is_some() || !connection.sessions.is_empty();
        let has_failed = ended_early && connection.recovers_releases;
        if end != ConnectionEnd::Reset && !has_failed && (ended_early || !is_cut_off) {
            return;
        }
        let failures = &mut self.servers.get_mut(server).failed_recoveries;
        *failures = if ended_early { *failures + 1 } else { 0 };
        let due_at = match *failures {
            0 if is_cut_off => self.now,
            0 => self.due_after_idle_reset(server, id),
            failures => self.now + self.recovery_backoff(failures),
        };
        self.plan_recovery(server, due_at);
    }

    /// Plans a recovery. One that is planned already is not put off.
    fn plan_recovery(&mut self, server: ServerIx, due_at: Moment) {
        let last_before = self.servers.last_requested();
        let planned = &mut self.servers.get_mut(server).release_recovery;
        let due_at = planned.map_or(due_at, |planned| planned.due_at.min(due_at));
        *planned = Some(ReleaseRecovery { last_before, due_at });
    }

    /// When a recovery is due after an idle connection was reset. A server that resets idle connections since it has too
    /// many gets at most one in `SILENCE_THRESHOLD`.
    fn due_after_idle_reset(&self, server: ServerIx, id: ServerConnectionId) -> Moment {
        let due_at = self.now + self.recovery_jitter(id);
        let recovered_at = self.servers.get(server).recovered_at;
        recovered_at.map_or(due_at, |recovered_at| due_at.max(recovered_at + protocol::SILENCE_THRESHOLD))
    }

    /// The delay of a recovery after an idle connection was reset. Whatever reset it may have reset those of all fronts;
    /// they do not connect all at once.
    fn recovery_jitter(&self, id: ServerConnectionId) -> Span {
        let mut hasher = FnvHasher::default();
        (self.seed, id).hash(&mut hasher);
        let fraction = (hasher.finish() % JITTER_STEPS) as f64 / JITTER_STEPS as f64;
        self.connect_timeout.scaled(fraction)
    }

    /// The delay of a recovery after `failures` connections ended at once: doubles with each up to `SILENCE_THRESHOLD`.
    fn recovery_backoff(&self, failures: u32) -> Span {
        let doublings = failures.min(MAX_DOUBLINGS);
        (self.retry_delay() * (1 << doublings)).min(protocol::SILENCE_THRESHOLD)
    }

    /// Ends the recovery if the connection that came up was requested after the loss.
    pub(super) fn end_release_recovery(&mut self, id: ServerConnectionId) {
        let Some(server) = self.servers.connection(id).map(|connection| connection.server) else { return };
        let now = self.now;
        let server = self.servers.get_mut(server);
        if server.release_recovery.take_if(|recovery| id > recovery.last_before).is_some() {
            server.recovered_at = Some(now);
            if let Some(connection) = self.servers.connection_mut(id) {
                connection.recovers_releases = true;
            }
        }
    }

    /// Drops the recovery of a server without calls.
    pub(super) fn drop_unneeded_recovery(&mut self, server: ServerIx) {
        if !self.calls.has_established_at(server) {
            self.servers.get_mut(server).release_recovery = None;
        }
    }

    /// Whether a new connection has to be requested now to recover releases.
    pub(super) fn is_recovery_due(&self, server: ServerIx) -> bool {
        let recovery = self.servers.get(server).release_recovery;
        let may_connect = self.servers.get(server).reconnect_at <= self.now;
        recovery.filter(|_| may_connect).is_some_and(|recovery| {
            recovery.due_at <= self.now && !self.servers.is_connecting_after(server, recovery.last_before)
        })
    }

    /// Whether the server may have as many connections as it accepts, since it ended the last one for a recovery at
    /// once, and the node has an idle connection to spare.
    pub(super) fn may_be_full(&self, server: ServerIx, idle: usize) -> bool {
        self.servers.get(server).failed_recoveries > 0
            && self.is_recovery_due(server)
            && idle > self.spare_connections()
    }
}
