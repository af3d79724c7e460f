//! Whatever ends an established call, and whatever becomes of its caller's connection: the caller is notified in time.

mod helper;

use helper::{EstablishedCalls, Response, TestNode, call_id, endpoint, event};
use ochrelead_node::io::ServerConnectionId;
use serde_json::{Value, json};
use test_case::test_matrix;

/// How call 7 ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallEnd {
    Released,
    ReleasedElsewhere,
    ReleasedOnHalfClosed,
    ReleasedAgainOnNext,
    ServerDies,
    ServerVanishes,
    ServerVanishesWhileBusy,
    ServerRemoved,
    ServerRestarts,
    ServerDisplaced,
}

/// What becomes of the connection of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerFate {
    Open,
    ClosedBefore,
    ClosedUnconfirmed,
    ResetUnconfirmedTwice,
    AllClosedNewOneAsks,
    AllClosedNewOneAsksLater,
    Overdue,
    SlowToVerify,
}

/// Ends call 7; the time in ms within which its caller is to be notified.
fn end_call(calls: &mut EstablishedCalls, end: CallEnd) -> u64 {
    let EstablishedCalls { node, connection, half_closed } = calls;
    let connection = *connection;
    let connections = node.connections_to_server_1();
    match end {
        CallEnd::Released => {
            let is_open = connections.contains(&connection);
            node.server_releases(if is_open { connection } else { connections[0] }, 7, 16);
        }
        CallEnd::ReleasedElsewhere => {
            let other = *connections.iter().find(|other| **other != connection).unwrap();
            node.server_releases(other, 7, 16);
        }
        CallEnd::ReleasedOnHalfClosed => node.server_releases(*half_closed, 7, 16),
        CallEnd::ReleasedAgainOnNext => {
            node.disconnect_server(connection, false);
            node.advance(200);
            let next = *node.connections_to_server_1().iter().max().unwrap();
            node.server_releases(next, 7, 16);
            node.server_releases(next, 7, 16);
        }
        CallEnd::ServerDies => kill_server(node, &connections),
        CallEnd::ServerVanishes => {
            node.connects_succeed = false;
            return 8_000;
        }
        CallEnd::ServerVanishesWhileBusy => {
            node.connects_succeed = false;
            (40..70).for_each(|call| node.set_up(2, call, 1));
            return 8_000;
        }
        CallEnd::ServerRemoved => {
            remove_server(node, &connections);
            // It may be there still: a release from it is awaited for a while.
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
    connections.iter().for_each(|connection| node.disconnect_server(*connection, false));
    node.advance(100);
    let attempts = node.connections_to_server_1();
    node.disconnect_server(*attempts.first().unwrap(), true);
}

fn remove_server(node: &mut TestNode, connections: &[ServerConnectionId]) {
    node.coordinator_updates(2, &json!([endpoint(1, 11, "draining", 0)]));
    connections.iter().for_each(|connection| node.disconnect_server(*connection, false));
    node.coordinator_sends(&format!("{}\n", event(3, false, &json!([endpoint(1, 11, "removed", 0)]))));
}

/// What becomes of the callers' connections before the call ends.
fn prepare_callers(node: &mut TestNode, end: CallEnd, fate: CallerFate) {
    match fate {
        CallerFate::ClosedBefore => node.disconnect_caller(1),
        CallerFate::AllClosedNewOneAsks | CallerFate::AllClosedNewOneAsksLater => {
            (1..=2).for_each(|caller| node.disconnect_caller(caller));
        }
        CallerFate::SlowToVerify => {
            // Both callers' connections have closed; the next one's set-up is pending.
            (1..=2).for_each(|caller| node.disconnect_caller(caller));
            node.connect_caller(3);
            node.set_up(3, 9, 0);
        }
        // It sends nothing for longer than callers leave an idle connection open.
        CallerFate::Overdue => node.advance(if end == CallEnd::ReleasedOnHalfClosed { 1_500 } else { 5_100 }),
        CallerFate::Open | CallerFate::ClosedUnconfirmed | CallerFate::ResetUnconfirmedTwice => {}
    }
}

/// A node whose call 7 has ended.
struct EndedCall {
    node: TestNode,
    ended_at_ms: u64,
    /// The time within which the caller is to be notified.
    within_ms: u64,
    /// Where the INVITE of a pending set-up was sent.
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

    /// A new caller connects and asks.
    fn caller_3_asks(&mut self) {
        self.node.connect_caller(3);
        self.node.set_up(3, 9, 0);
    }

    fn check(&mut self, fate: CallerFate) {
        match fate {
            CallerFate::Open | CallerFate::Overdue => {
                self.advance_to_deadline();
                assert_eq!(self.notified(), [1]);
                assert!(!self.node.has_closed(1), "not closed before it could confirm");
            }
            CallerFate::ClosedBefore => {
                self.advance_to_deadline();
                assert_eq!(self.notified(), [2]);
            }
            CallerFate::ClosedUnconfirmed => self.check_closed_unconfirmed(),
            CallerFate::ResetUnconfirmedTwice => {
                self.check_closed_unconfirmed();
                self.node.connect_caller(3);
                self.node.disconnect_caller(2);
                self.node.set_up(3, 9, 0);
                assert_eq!(self.notified(), [1, 2, 3], "and on the next one's");
            }
            CallerFate::AllClosedNewOneAsks => {
                self.node.advance(self.remaining_ms().saturating_sub(1));
                self.caller_3_asks();
                assert_eq!(self.notified(), [3]);
            }
            CallerFate::AllClosedNewOneAsksLater => {
                self.node.advance(self.within_ms + 3_000);
                assert!(self.notified().is_empty(), "there is nobody");
                self.caller_3_asks();
                assert_eq!(self.notified(), [3]);
            }
            CallerFate::SlowToVerify => {
                // Its set-up is answered before its own deadline.
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
        assert_eq!(self.notified(), [1, 2], "once more on another's");
    }
}

#[test_matrix(
    [CallEnd::Released, CallEnd::ReleasedElsewhere, CallEnd::ReleasedOnHalfClosed, CallEnd::ReleasedAgainOnNext,
     CallEnd::ServerDies, CallEnd::ServerVanishes, CallEnd::ServerVanishesWhileBusy, CallEnd::ServerRemoved,
     CallEnd::ServerRestarts, CallEnd::ServerDisplaced],
    [CallerFate::Open, CallerFate::ClosedBefore, CallerFate::ClosedUnconfirmed, CallerFate::ResetUnconfirmedTwice,
     CallerFate::AllClosedNewOneAsks, CallerFate::AllClosedNewOneAsksLater, CallerFate::Overdue,
     CallerFate::SlowToVerify]
)]
fn ended_call_is_released_towards_its_caller(end: CallEnd, fate: CallerFate) {
    let mut calls = EstablishedCalls::new();
    prepare_callers(&mut calls.node, end, fate);
    let pending = calls.node.sent_to_servers("INVITE").pop().map(|(connection, _)| connection);
    calls.node.outputs.clear();
    let ended_at_ms = calls.node.now_ms;
    let within_ms = end_call(&mut calls, end);
    let mut ended = EndedCall { node: calls.node, ended_at_ms, within_ms, pending };
    ended.check(fate);
    let load = ended.node.engine.load();
    assert!(load.calls <= 2, "call 7 is removed: {load:?}");
}
