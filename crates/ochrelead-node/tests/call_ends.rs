//! Checks for each way in which an established call ends, combined with each state of its caller's connection, that the
//! caller is notified within the time allowed.

mod helper;

use helper::{EstablishedCalls, Response, TestNode, call_id, endpoint, event};
use ochrelead_node::io::{ConnectionEnd, ServerConnectionId};
use serde_json::{Value, json};
use test_case::test_matrix;

/// The way in which call 7 ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallEnd {
    Released,
    ReleasedOnOtherConnection,
    ReleasedOnHalfClosedConnection,
    ReleaseRepeatedOnNextConnection,
    ServerFails,
    ServerUnreachable,
    ServerUnreachableUnderLoad,
    ServerRemoved,
    ServerRestarts,
    ServerDisplaced,
}

/// What happens to the connection of the caller of call 7.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerCase {
    Open,
    ClosedBefore,
    ClosedUnconfirmed,
    ClosedUnconfirmedTwice,
    AllClosedThenSetUp,
    AllClosedThenLateSetUp,
    IdleTooLong,
    VerifiedLate,
}

/// Ends call 7 and returns the time in ms within which its caller must be notified.
fn end_call(calls: &mut EstablishedCalls, end: CallEnd) -> u64 {
    let EstablishedCalls { node, connection, half_closed } = calls;
    let connection = *connection;
    let connections = node.connections_to_server_1();
    match end {
        CallEnd::Released => {
            let is_open = connections.contains(&connection);
            node.server_releases(if is_open { connection } else { connections[0] }, 7, 16);
        }
        CallEnd::ReleasedOnOtherConnection => {
            let other = *connections.iter().find(|other| **other != connection).unwrap();
            node.server_releases(other, 7, 16);
        }
        CallEnd::ReleasedOnHalfClosedConnection => node.server_releases(*half_closed, 7, 16),
        CallEnd::ReleaseRepeatedOnNextConnection => {
            node.disconnect_server(connection, ConnectionEnd::Closed);
            node.advance(200);
            let next = *node.connections_to_server_1().iter().max().unwrap();
            node.server_releases(next, 7, 16);
            node.server_releases(next, 7, 16);
        }
        CallEnd::ServerFails => kill_server(node, &connections),
        CallEnd::ServerUnreachable => {
            node.connects_succeed = false;
            return 8_000;
        }
        CallEnd::ServerUnreachableUnderLoad => {
            node.connects_succeed = false;
            (40..70).for_each(|call| node.set_up(2, call, 1));
            return 8_000;
        }
        CallEnd::ServerRemoved => {
            remove_server(node, &connections);
            // A removed server may still run: the node waits for a release from it until it is presumed dead.
            return 8_000;
        }
        CallEnd::ServerRestarts => node.coordinator_updates(2, &json!([endpoint(1, 11, "up", node.now_ms)])),
        CallEnd::ServerDisplaced => {
            node.coordinator_updates(2, &json!([endpoint(21, 11, "up", node.now_ms)]));
        }
    }
    1_000
}

fn kill_server(node: &mut TestNode, connections: &[ServerConnectionId]) {
    node.connects_succeed = false;
    connections.iter().for_each(|connection| node.disconnect_server(*connection, ConnectionEnd::Closed));
    node.advance(100);
    let attempts = node.connections_to_server_1();
    node.disconnect_server(*attempts.first().unwrap(), ConnectionEnd::Refused);
}

fn remove_server(node: &mut TestNode, connections: &[ServerConnectionId]) {
    node.coordinator_updates(2, &json!([endpoint(1, 11, "draining", 0)]));
    connections.iter().for_each(|connection| node.disconnect_server(*connection, ConnectionEnd::Closed));
    node.coordinator_sends(&format!("{}\n", event(3, false, &json!([endpoint(1, 11, "removed", 0)]))));
}

/// Brings the callers' connections into the state to be tested, before the call ends.
fn prepare_callers(node: &mut TestNode, end: CallEnd, case: CallerCase) {
    match case {
        CallerCase::ClosedBefore => node.disconnect_caller(1),
        CallerCase::AllClosedThenSetUp | CallerCase::AllClosedThenLateSetUp => {
            (1..=2).for_each(|caller| node.disconnect_caller(caller));
        }
        CallerCase::VerifiedLate => {
            // The connections of both callers have closed, and the set-up of a new caller is pending.
            (1..=2).for_each(|caller| node.disconnect_caller(caller));
            node.connect_caller(3);
            node.set_up(3, 9, 0);
        }
        // The caller sends nothing for longer than callers keep an idle connection open.
        CallerCase::IdleTooLong => {
            node.advance(if end == CallEnd::ReleasedOnHalfClosedConnection { 1_500 } else { 5_100 });
        }
        CallerCase::Open | CallerCase::ClosedUnconfirmed | CallerCase::ClosedUnconfirmedTwice => {}
    }
}

/// A node whose call 7 has ended.
struct EndedCall {
    node: TestNode,
    ended_at_ms: u64,
    /// The time in ms within which the caller must be notified.
    within_ms: u64,
    /// The connection on which the INVITE of a pending set-up was sent.
    pending: Option<ServerConnectionId>,
}

impl EndedCall {
    /// The callers that the release of call 7 was sent to.
    fn notified(&self) -> Vec<u64> {
        let is_release = |line: &Value| line["t"] == "down" && line["ref"] == call_id(7);
        let lines = self.node.sent_to_callers();
        lines.iter().filter(|(_, line)| is_release(line)).map(|(caller, _)| *caller).collect()
    }

    fn remaining_ms(&self) -> u64 {
        self.within_ms.saturating_sub(self.node.now_ms - self.ended_at_ms)
    }

    fn advance_to_deadline(&mut self) {
        self.node.advance(self.remaining_ms());
    }

    /// A new caller connects and sends a set-up.
    fn caller_3_sends_set_up(&mut self) {
        self.node.connect_caller(3);
        self.node.set_up(3, 9, 0);
    }

    fn check(&mut self, case: CallerCase) {
        match case {
            CallerCase::Open | CallerCase::IdleTooLong => {
                self.advance_to_deadline();
                assert_eq!(self.notified(), [1]);
                assert!(
                    !self.node.has_closed(1),
                    "the connection is not closed before the caller can confirm the release"
                );
            }
            CallerCase::ClosedBefore => {
                self.advance_to_deadline();
                assert_eq!(self.notified(), [2]);
            }
            CallerCase::ClosedUnconfirmed => self.check_closed_unconfirmed(),
            CallerCase::ClosedUnconfirmedTwice => {
                self.check_closed_unconfirmed();
                self.node.connect_caller(3);
                self.node.disconnect_caller(2);
                self.node.set_up(3, 9, 0);
                assert_eq!(self.notified(), [1, 2, 3], "the release is sent to the next caller as well");
            }
            CallerCase::AllClosedThenSetUp => {
                self.node.advance(self.remaining_ms().saturating_sub(1));
                self.caller_3_sends_set_up();
                assert_eq!(self.notified(), [3]);
            }
            CallerCase::AllClosedThenLateSetUp => {
                self.node.advance(self.within_ms + 3_000);
                assert!(self.notified().is_empty(), "no caller is connected");
                self.caller_3_sends_set_up();
                assert_eq!(self.notified(), [3]);
            }
            CallerCase::VerifiedLate => {
                // The pending set-up is answered before its deadline.
                self.node.advance(self.remaining_ms().min(900));
                self.node.respond(self.pending.unwrap(), &Response::accepted(9, 1));
                self.advance_to_deadline();
                assert!(self.notified().contains(&3), "{:?}", self.node.sent_to_callers());
            }
        }
    }

    fn check_closed_unconfirmed(&mut self) {
        while self.notified().is_empty() && self.remaining_ms() > 0 {
            self.node.advance(10);
        }
        assert_eq!(self.notified(), [1]);
        self.node.disconnect_caller(1);
        assert_eq!(self.notified(), [1, 2], "the release is sent again on the connection of another caller");
    }
}

#[test_matrix(
    [CallEnd::Released, CallEnd::ReleasedOnOtherConnection, CallEnd::ReleasedOnHalfClosedConnection,
     CallEnd::ReleaseRepeatedOnNextConnection, CallEnd::ServerFails, CallEnd::ServerUnreachable,
     CallEnd::ServerUnreachableUnderLoad, CallEnd::ServerRemoved, CallEnd::ServerRestarts, CallEnd::ServerDisplaced],
    [CallerCase::Open, CallerCase::ClosedBefore, CallerCase::ClosedUnconfirmed, CallerCase::ClosedUnconfirmedTwice,
     CallerCase::AllClosedThenSetUp, CallerCase::AllClosedThenLateSetUp, CallerCase::IdleTooLong,
     CallerCase::VerifiedLate]
)]
fn caller_is_notified_of_the_end_of_its_call(end: CallEnd, case: CallerCase) {
    let mut calls = EstablishedCalls::new();
    prepare_callers(&mut calls.node, end, case);
    let pending = calls.node.sent_to_servers("INVITE").pop().map(|(connection, _)| connection);
    calls.node.outputs.clear();
    let ended_at_ms = calls.node.now_ms;
    let within_ms = end_call(&mut calls, end);
    let mut ended = EndedCall { node: calls.node, ended_at_ms, within_ms, pending };
    ended.check(case);
    let load = ended.node.engine.load();
    assert!(load.calls <= 2, "call 7 is removed: {load:?}");
}
