//! Plays every sequence of four events that can end a call, and checks that the call gets one final answer, unless its
//! caller leaves first, and that nothing stays open.

mod helper;

use helper::{Response, TestNode, call_id, endpoint};
use ochrelead_node::io::{CallerId, ConnectionEnd, Input, Output, ServerConnectionId};
use serde_json::json;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Accepted,
    /// The server responds 503.
    Full,
    /// The server responds 504.
    Reset,
    /// The server releases the call.
    Bye,
    CallerCancels,
    CallerCloses,
    ServerCloses,
    ServerResets,
    ServerDrains,
    TimePasses,
}

const EVENTS: [Event; 10] = [
    Event::Accepted,
    Event::Full,
    Event::Reset,
    Event::Bye,
    Event::CallerCancels,
    Event::CallerCloses,
    Event::ServerCloses,
    Event::ServerResets,
    Event::ServerDrains,
    Event::TimePasses,
];

/// An INVITE that was sent, identified by its connection and CSeq number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SentInvite {
    connection: ServerConnectionId,
    sequence: u32,
}

/// One call of one caller, and the state derived from the node's outputs so far.
struct CallRun {
    node: TestNode,
    /// The last INVITE, until its server ends it or the node cancels it.
    in_flight: Option<SentInvite>,
    last_invite: Option<SentInvite>,
    /// The number of outputs that have been checked.
    checked_outputs: usize,
    caller_gone: bool,
    /// Answers and releases sent to the caller.
    notifications: usize,
    is_released: bool,
}

impl CallRun {
    fn start() -> CallRun {
        let mut node = TestNode::with_servers(2);
        node.connect_caller(1);
        node.set_up(1, 7, 0);
        let mut run = CallRun {
            node,
            in_flight: None,
            last_invite: None,
            checked_outputs: 0,
            caller_gone: false,
            notifications: 0,
            is_released: false,
        };
        run.check_outputs();
        run
    }

    /// The last INVITE, if its connection is still open.
    fn open_invite(&self) -> Option<SentInvite> {
        self.last_invite.filter(|invite| self.node.connections.contains_key(&invite.connection))
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Accepted => self.respond(Response::accepted),
            Event::Full => self.respond(|call, sequence| Response::refused(call, sequence, 503, "")),
            Event::Reset => self.respond(|call, sequence| Response::refused(call, sequence, 504, "")),
            Event::Bye => {
                if let Some(invite) = self.open_invite() {
                    self.in_flight = None;
                    self.node.server_releases(invite.connection, 7, 16);
                }
            }
            Event::CallerCancels => {
                self.caller_gone |= self.notifications == 0;
                self.node.send_line(1, &json!({"t": "down", "ref": call_id(7), "c": 16, "f": {}}));
            }
            Event::CallerCloses => {
                self.caller_gone = true;
                self.node.input_and_process(Input::CallerDisconnected(CallerId(1)));
            }
            Event::ServerCloses => self.end_connection(ConnectionEnd::Closed),
            Event::ServerResets => self.end_connection(ConnectionEnd::Reset),
            Event::ServerDrains => {
                let (watch, _) = self.node.watch.clone().unwrap();
                self.node.input_and_process(Input::WatchDisconnected(watch));
                self.node.coordinator_updates(2, &json!([endpoint(0, 10, "draining", 0)]));
            }
            Event::TimePasses => self.node.advance(250),
        }
        self.check_outputs();
    }

    fn end_connection(&mut self, end: ConnectionEnd) {
        if let Some(SentInvite { connection, .. }) = self.open_invite() {
            self.in_flight = self.in_flight.filter(|invite| invite.connection != connection);
            self.node.disconnect_server(connection, end);
        }
    }

    fn respond(&mut self, response: impl Fn(u64, u32) -> Response<'static>) {
        if let Some(SentInvite { connection, sequence }) = self.open_invite() {
            self.in_flight = None;
            self.node.respond(connection, &response(7, sequence));
        }
    }

    /// Checks the node's outputs since the last check.
    fn check_outputs(&mut self) {
        for output in self.node.outputs.split_off(self.checked_outputs) {
            match &output {
                Output::SendToServer(connection, bytes) => self.check_server_message(*connection, bytes),
                Output::SendToCaller(_, bytes) => self.check_caller_line(bytes),
                _ => {}
            }
            self.node.outputs.push(output);
        }
        self.checked_outputs = self.node.outputs.len();
    }

    fn check_server_message(&mut self, connection: ServerConnectionId, bytes: &[u8]) {
        let text = std::str::from_utf8(bytes).unwrap();
        if text.starts_with("INVITE") {
            assert!(!self.caller_gone, "INVITE sent although the caller has cancelled or disconnected");
            assert_eq!(self.notifications, 0, "INVITE sent after the final answer");
            assert_eq!(self.in_flight, None, "two INVITEs in flight");
            let sequence = text.split("CSeq: ").nth(1).unwrap().split(' ').next().unwrap();
            self.in_flight = Some(SentInvite { connection, sequence: sequence.parse().unwrap() });
            self.last_invite = self.in_flight;
        } else if text.starts_with("CANCEL") {
            self.in_flight = None;
        }
    }

    fn check_caller_line(&mut self, bytes: &[u8]) {
        let line: serde_json::Value = serde_json::from_slice(bytes).unwrap();
        match line["t"].as_str().unwrap() {
            "up" => {
                assert!(
                    !self.caller_gone && self.notifications == 0,
                    "answer sent to a caller that does not wait for one"
                );
                self.notifications += 1;
            }
            "down" => {
                assert!(!self.is_released, "call released twice");
                self.notifications += 1;
                self.is_released = true;
            }
            _ => {}
        }
    }

    /// Advances beyond the call's deadline and checks that nothing is open.
    fn finish(&mut self) {
        self.node.advance(4_000);
        self.check_outputs();
        assert_eq!(self.in_flight, None, "an INVITE is still in flight after the deadline");
        assert!(self.caller_gone || self.notifications > 0, "the caller got no final answer");
        assert_eq!(
            self.node.engine.load().unanswered_calls,
            0,
            "a call is still unanswered after the deadline"
        );
    }
}

#[test]
fn every_sequence_of_four_events_ends_with_one_answer_and_nothing_open() {
    let mut sequences = 0;
    for first in EVENTS {
        for second in EVENTS {
            for third in EVENTS {
                for fourth in EVENTS {
                    let events = [first, second, third, fourth];
                    let result = std::panic::catch_unwind(|| {
                        let mut run = CallRun::start();
                        events.into_iter().for_each(|event| run.apply(event));
                        run.finish();
                    });
                    assert!(result.is_ok(), "{events:?}");
                    sequences += 1;
                }
            }
        }
    }
    assert_eq!(sequences, EVENTS.len().pow(4));
}
