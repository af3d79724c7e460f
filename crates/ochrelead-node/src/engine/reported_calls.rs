//! Calls that callers report as established (`at`): another node or a former incarnation of this one set them up. The node
//! takes them over, so that it can send their releases to the callers.
//!
//! The report does not tell when the call was established. If its server restarted while no node held the call, the call
//! has ended, and the server sends no release for it.

use std::mem;

use ochrelead_core::config::ControllerConfig;
use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_platform::caller_messages::{self, CallId, cause};
use tracing::debug;

use super::{CALL_END_LOG, Engine};
use crate::bounds::protocol;
use crate::call_table::{Call, Phase};
use crate::caller_table::CallerTrust;
use crate::io::{CallerId, Output};
use crate::reported_call_table::ReportAdmission;
use crate::server_table::Bye;

/// The part of `SILENT_FAILURE_DEADLINE` that is left for sending the release.
const RELEASE_MARGIN: Span = Span::from_secs(1);

/// A reported call that its server may have established before or after it restarted.
#[derive(Clone, Copy, Debug)]
pub(super) struct DoubtfulCall {
    call: CallId,
    /// When the call is released unless its server has released it.
    release_at: Moment,
}

impl Engine {
    /// Takes over a call that a caller reports as established at a server. Answers with a release if the call has ended, or
    /// if it can't be taken over.
    pub(super) fn on_established_elsewhere(&mut self, id: CallerId, call: CallId, server: &str) {
        debug!(target: CALL_END_LOG, ?call, server, caller = id.0, "caller reports an established call");
        if let Some(session) = self.calls.find(call) {
            return self.on_known_call_reported(id, session);
        }
        if let Some(release) = self.pending_releases.take(call) {
            return self.send_release(id, release);
        }
        let server = self.servers.find(server).filter(|server| !self.servers.get(*server).is_gone());
        // A server that released the call before the caller reported it does not send the release again.
        let server = server.filter(|_| !self.ended_calls.contains(&call));
        let Some(server) = server.filter(|_| self.make_room_for_report(id)) else {
            self.outputs
                .push_back(Output::SendToCaller(id, caller_messages::encode_down(call, cause::FAILED, None)));
            return;
        };
        let since = self.now - protocol::LONGEST_REPORT_DELAY;
        let session = self.calls.insert(Call {
            id: call,
            caller: id,
            class: 0,
            called_number: String::new(),
            description: String::new(),
            deadline: self.now,
            invite_count: 0,
            phase: Phase::Established { server, connection: None, since },
        });
        self.reported_calls.insert(call, id, self.now);
        if let Some(caller) = self.callers.get_mut(id) {
            caller.established_calls += 1;
        }
        self.policy.on_call_established(session);
        self.doubt_after_restart(server, call);
    }

    /// Whether one more reported call can be taken over. At the bound, one of the connection that has reported most is
    /// released to its caller. Its server is not told: the call may be made up, and the servers must not pay for that.
    fn make_room_for_report(&mut self, reporter: CallerId) -> bool {
        if self.calls.len() >= self.bounds.calls {
            return false;
        }
        match self.reported_calls.admit(reporter) {
            ReportAdmission::Accepted => true,
            ReportAdmission::AcceptedInPlaceOf(call) => {
                debug!(target: CALL_END_LOG, ?call, "reported call given up at the bound");
                if let Some(session) = self.calls.find(call) {
                    self.end_reported_call(session);
                }
                true
            }
            ReportAdmission::Refused => false,
        }
    }

    /// Releases the reported calls that are older than any call should be: no server may know them.
    pub(super) fn release_overdue_reports(&mut self) {
        let Some(max_age) = self.max_reported_age else { return };
        for call in self.reported_calls.reported_until(self.now - max_age) {
            if let Some(session) = self.calls.find(call) {
                self.release_reported_call(session);
            }
        }
    }

    /// Handles the report of a call that the node holds. Its release is sent to the reporting caller if the connection on
    /// which it was set up or reported before has closed.
    fn on_known_call_reported(&mut self, id: CallerId, session: SessionIx) {
        let Some(call) = self.calls.get(session) else { return };
        let Phase::Established { connection, .. } = call.phase else { return };
        if self.callers.get(call.caller).is_none() {
            self.calls.set_caller(session, id);
            if let Some(caller) = self.callers.get_mut(id) {
                caller.established_calls += 1;
            }
        }
        if connection.is_some() {
            self.raise_trust(id, CallerTrust::Verified);
        }
    }

    /// Verifies the caller that has reported a call: its server has shown that it knows the call.
    pub(super) fn verify_reporter(&mut self, session: SessionIx) {
        if let Some(caller) = self.calls.get(session).map(|call| call.caller) {
            self.raise_trust(caller, CallerTrust::Verified);
        }
    }

    /// Doubts a reported call if its server may have restarted shortly before the report. Whether the call was established
    /// before or after the restart is not known. It is released as late as a release without a message from the server may
    /// come.
    fn doubt_after_restart(&mut self, server: ServerIx, call: CallId) {
        let Some(restarted) = self.servers.get(server).restarted else { return };
        if self.now.since(restarted) >= protocol::SILENT_FAILURE_DEADLINE {
            return;
        }
        debug!(target: CALL_END_LOG, ?call, "its server restarted shortly before the report");
        if self.doubtful_calls.len() >= self.bounds.calls {
            self.doubtful_calls.retain(|doubtful| self.calls.find(doubtful.call).is_some());
        }
        let release_at = restarted + (protocol::SILENT_FAILURE_DEADLINE - RELEASE_MARGIN);
        self.doubtful_calls.push(DoubtfulCall { call, release_at });
    }

    /// Releases the doubtful calls that are due, towards their callers and towards their servers.
    pub(super) fn release_doubtful_calls(&mut self) {
        let now = self.now;
        let (due, remaining): (Vec<_>, Vec<_>) =
            mem::take(&mut self.doubtful_calls).into_iter().partition(|doubtful| doubtful.release_at <= now);
        self.doubtful_calls = remaining;
        for doubtful in due {
            if let Some(session) = self.calls.find(doubtful.call) {
                self.release_reported_call(session);
            }
        }
    }

    /// Ends the calls that were established before their server restarted.
    pub(super) fn on_server_restarted(&mut self, server: ServerIx, started: Moment) {
        let reported = self.established_until(server, started).into_iter().filter(|session| {
            matches!(self.calls.phase(*session), Some(Phase::Established { connection: None, .. }))
        });
        for session in reported.collect::<Vec<_>>() {
            self.release_reported_call(session);
        }
        self.end_calls(server, started);
    }

    /// Releases a reported call that has probably ended without a release by its server. The server is told too: the call
    /// may be established there after all.
    fn release_reported_call(&mut self, session: SessionIx) {
        let Some(Phase::Established { server, connection: None, .. }) = self.calls.phase(session) else {
            return;
        };
        let Some(call) = self.calls.get(session).map(|call| call.id) else { return };
        debug!(
            target: CALL_END_LOG,
            ?call,
            server = self.servers.get(server).id,
            "reported call released without a release by its server"
        );
        let bye = Bye { call, cause: cause::FAILED, requested_at: self.now, requested_by: None };
        self.send_bye(server, None, bye);
        self.end_reported_call(session);
    }

    /// Ends a reported call. The controller does not know its session, and must not take the end for one of its server's
    /// failures. If the connection of the report has closed and many releases wait already, the call is forgotten: it must
    /// not displace the release of a call that was not made up.
    fn end_reported_call(&mut self, session: SessionIx) {
        let Some(call) = self.calls.get(session) else { return };
        let may_wait = self.pending_releases.len() < self.bounds.pending_releases / 2;
        if may_wait || self.callers.get(call.caller).is_some() {
            self.release(session, cause::FAILED);
        } else {
            self.remove_established(session);
        }
    }
}

/// The longest time for which a reported call is kept; `None` if the settings name no holding times.
pub(super) fn max_reported_age(config: &ControllerConfig) -> Option<Span> {
    let longest_mean = config.services.iter().map(|service| service.mean_hold_time).max()?;
    (longest_mean > Span::ZERO).then(|| longest_mean * protocol::REPORTED_CALL_HOLD_TIMES)
}
