//! Set-ups, from the line that a caller sends to the answer that it receives.

mod helper;

use helper::{DESCRIPTION, RELEASE_GUARD_MS, Response, TestNode, call_id, endpoint};
use ochrelead_node::io::{CallerId, ConnectionEnd, Input, Output};
use serde_json::json;
use test_case::test_case;

#[test]
fn set_up_answer_and_release_are_forwarded() {
    let mut node = TestNode::with_servers(2);
    node.connect_caller(1);
    node.set_up(1, 7, 1);
    let (connection, invite) = node.sent_to_servers("INVITE").pop().unwrap();
    assert_eq!(node.connections[&connection], "127.0.0.11");
    for part in [
        "INVITE sip:777@net SIP/2.0\r\n",
        &format!("Call-ID: {}\r\n", call_id(7)),
        "X-Cos: voice\r\n",
        "X-Timer-Ms: 1500\r\n",
    ] {
        assert!(invite.contains(part), "{invite}");
    }
    assert!(invite.ends_with(&format!("\r\n\r\n{DESCRIPTION}")));
    node.outputs.clear();
    let answer = "00112233445566aa\r\nc=IN IP4 10.9.9.9\r\nm=audio 4000 RTP/AVP 0\r\n";
    node.respond(connection, &Response { body: answer, ..Response::accepted(7, 1) });
    assert_eq!(node.sent_to_servers("ACK").len(), 1);
    let lines = node.sent_to_callers();
    assert_eq!((lines[0].0, &lines[0].1["t"], &lines[0].1["d"]), (1, &json!("up"), &json!(answer)));
    node.outputs.clear();
    node.server_releases(connection, 7, 16);
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(16))]);
    assert_eq!(node.sent_to_servers("SIP/2.0 200").len(), 1);
    assert_eq!(node.engine.load().calls, 0, "no call is left");
}

#[test_case(500, "", 42; "server error is final")]
#[test_case(486, "X-Diagnosis: user_busy\r\n", 42; "lines of the called number busy")]
#[test_case(480, "", 42; "temporarily unavailable, counted as not sent")]
fn final_refusal_is_answered_at_once(code: u16, head: &str, cause: u64) {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    let (connection, _) = node.sent_to_servers("INVITE").pop().unwrap();
    node.respond(connection, &Response::refused(7, 1, code, head));
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(cause))]);
    assert_eq!(node.sent_to_callers()[0].1["f"]["wait"], "100", "the answer contains a retry time");
    assert_eq!(node.sent_to_servers("ACK").len(), 1);
}

#[test_case(503, 0; "server full, retried at once")]
#[test_case(504, RELEASE_GUARD_MS; "reset, retried after the guard time")]
fn refused_call_is_retried_at_another_server(code: u16, wait: u64) {
    let mut node = TestNode::with_servers(2);
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    let (connection, _) = node.sent_to_servers("INVITE").pop().unwrap();
    node.outputs.clear();
    node.respond(connection, &Response::refused(7, 1, code, ""));
    if wait > 0 {
        node.advance(wait - 1);
        assert_eq!(node.sent_to_servers("INVITE").len(), 0, "the guard time is kept");
        node.advance(1);
    }
    let (again, invite) = node.sent_to_servers("INVITE").pop().unwrap();
    assert_eq!(node.connections[&again], "127.0.0.11");
    assert!(invite.contains("CSeq: 2 INVITE"));
    node.outputs.clear();
    node.respond(connection, &Response::accepted(7, 1));
    assert_eq!(node.answers(), [], "the response to the first INVITE is stale");
    node.respond(again, &Response::accepted(7, 2));
    assert_eq!(node.answers(), [(1, "up".to_owned(), None)]);
}

#[test]
fn call_accepted_after_cancel_is_released() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    let (connection, _) = node.sent_to_servers("INVITE").pop().unwrap();
    node.send_line(1, &json!({"t": "down", "ref": call_id(7), "c": 16, "f": {}}));
    assert_eq!(node.sent_to_servers("CANCEL").len(), 1);
    assert_eq!(node.answers(), [], "a cancelled call gets no answer");
    node.respond(connection, &Response::accepted(7, 1));
    assert_eq!((node.sent_to_servers("BYE").len(), node.answers().len()), (1, 0));
}

#[test]
fn unanswered_set_up_is_rejected_at_its_deadline() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    node.advance(1_499);
    assert_eq!(node.answers(), []);
    node.advance(1);
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(42))]);
    assert_eq!(node.sent_to_servers("CANCEL").len(), 1);
}

#[test_case("close"; "connection closed")]
#[test_case("end"; "connection shut down for writing")]
#[test_case("cancel"; "set-up cancelled")]
fn no_invite_is_sent_if_drained_input_ends_the_set_up(how: &str) {
    let mut node = TestNode::with_servers(1);
    node.drains_input = false;
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    assert!(
        node.outputs.contains(&Output::DrainInput(CallerId(1))),
        "the caller's input is drained before the INVITE is sent"
    );
    assert_eq!(node.sent_to_servers("INVITE").len(), 0);
    match how {
        "close" => node.input(Input::CallerDisconnected(CallerId(1))),
        "end" => node.input(Input::CallerHalfClosed(CallerId(1))),
        _ => node.send_line(1, &json!({"t": "down", "ref": call_id(7), "c": 16, "f": {}})),
    }
    node.input_and_process(Input::InputDrained(CallerId(1)));
    assert_eq!((node.sent_to_servers("INVITE").len(), node.sent_to_servers("CANCEL").len()), (0, 0));
    assert_eq!(node.answers().len(), usize::from(how == "end"));
    assert_eq!(node.engine.load().calls, 0, "no call is left");
}

#[test]
fn held_back_invite_is_not_sent_to_a_draining_server() {
    let mut node = TestNode::with_servers(2);
    node.drains_input = false;
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    node.coordinator_updates(2, &json!([endpoint(0, 10, "draining", 0)]));
    node.drains_input = true;
    node.input_and_process(Input::InputDrained(CallerId(1)));
    assert!(
        node.sent_to_servers("INVITE")
            .iter()
            .all(|(connection, _)| node.connections[connection] != "127.0.0.10")
    );
    node.advance(2_000);
    assert_eq!(node.answers().len(), 1, "{:?}", node.answers());
}

#[test]
fn waiting_invite_is_not_sent_after_its_caller_disconnects() {
    let mut node = TestNode::with_servers(1);
    for connection in node.connections.keys().copied().collect::<Vec<_>>() {
        node.disconnect_server(connection, ConnectionEnd::Closed);
    }
    node.connects_succeed = false;
    node.advance(200);
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    let connection = *node.connections.keys().next().expect("a connection is attempted");
    node.drains_input = false;
    node.input_and_process(Input::ServerConnected(connection));
    node.input(Input::CallerDisconnected(CallerId(1)));
    node.input_and_process(Input::InputDrained(CallerId(1)));
    assert_eq!(node.sent_to_servers("INVITE").len(), 0);
}
