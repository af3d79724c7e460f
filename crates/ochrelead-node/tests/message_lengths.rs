//! Messages that grow on their way through the node: none that it sends exceeds the maximum message length.

mod helper;

use helper::{Response, TestNode, call_id};
use ochrelead_node::io::{CallerId, Output, ServerConnectionId};
use ochrelead_platform::MAX_MESSAGE_LENGTH;
use serde_json::{Value, json};
use test_case::test_case;

/// A session description of at least this length in bytes, of short lines, which take two bytes more each in JSON.
fn description_of_short_lines(length: usize) -> String {
    let lines = (0..).map(|number| format!("a=candidate:{number:04}\r\n"));
    lines
        .scan(0, |total, line| {
            *total += line.len();
            (*total < length + line.len()).then_some(line)
        })
        .collect()
}

/// A set-up of call 7 with a called number of `number_length` digits, whose line has `line_length` bytes.
fn set_up_line_of(line_length: usize, number_length: usize) -> String {
    let mut line = TestNode::set_up_line(7, 0);
    line["f"]["key"] = json!("7".repeat(number_length));
    line["d"] = json!("\r\n");
    let padding = "a".repeat(line_length - line.to_string().len());
    line["d"] = json!(format!("{padding}\r\n"));
    line.to_string()
}

fn longest_message(node: &TestNode) -> usize {
    let lengths = node.outputs.iter().map(|output| match output {
        Output::SendToCaller(_, bytes) | Output::SendToServer(_, bytes) => bytes.len(),
        _ => 0,
    });
    lengths.max().unwrap_or(0)
}

fn inviting_node() -> (TestNode, ServerConnectionId) {
    let mut node = TestNode::with_servers(2);
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    let (connection, _) = node.sent_to_servers("INVITE").pop().unwrap();
    node.outputs.clear();
    (node, connection)
}

/// Review case 8: an answer of almost 16 KiB was passed on in a line that the caller could not read, and the call stood.
#[test]
fn call_is_released_if_its_answer_is_too_long_for_the_caller() {
    let (mut node, connection) = inviting_node();
    let description = description_of_short_lines(16_000);
    node.respond(connection, &Response { body: &description, ..Response::accepted(7, 1) });
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(41))]);
    assert_eq!(node.sent_to_servers("ACK").len(), 1);
    assert_eq!(node.sent_to_servers("BYE").len(), 1);
    node.advance(5_000);
    assert_eq!(node.sent_to_servers("INVITE").len(), 0, "a call that was established is not set up again");
    assert_eq!(node.answers().len(), 1, "a set-up has one answer");
    assert_eq!(node.engine.load().calls, 0);
}

/// The longest answer that fits is passed on unchanged. Each of its line ends takes two bytes more in JSON.
#[test]
fn longest_answer_that_fits_is_forwarded() {
    const LINES: usize = 100;
    let (mut node, connection) = inviting_node();
    let empty_answer = json!({"t": "up", "ref": call_id(7), "f": {}, "d": ""}).to_string().len() + "\n".len();
    let line_ends = "\r\n".repeat(LINES);
    let padding = MAX_MESSAGE_LENGTH - empty_answer - 2 * line_ends.len();
    let description = format!("{}{line_ends}", "a".repeat(padding));
    node.respond(connection, &Response { body: &description, ..Response::accepted(7, 1) });
    let lines = node.sent_to_callers();
    assert_eq!((&lines[0].1["t"], &lines[0].1["d"]), (&json!("up"), &Value::String(description)));
    assert_eq!(longest_message(&node), MAX_MESSAGE_LENGTH);
    assert_eq!(node.engine.load().calls, 1);
}

/// A set-up is forwarded if its INVITE fits, and rejected otherwise. Set-ups of more than 15 KiB used to be rejected though
/// their INVITEs fit.
#[test_case(4_000, 10, true; "usual line")]
#[test_case(MAX_MESSAGE_LENGTH - 200, 10, true; "almost the longest line")]
#[test_case(MAX_MESSAGE_LENGTH - 200, 256, true; "almost the longest line, long called number")]
#[test_case(MAX_MESSAGE_LENGTH, 10, false; "longest line")]
fn set_up_is_forwarded_if_its_invite_fits(line_length: usize, number_length: usize, fits: bool) {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.send_bytes(1, format!("{}\n", set_up_line_of(line_length, number_length)).as_bytes());
    assert_eq!(node.sent_to_servers("INVITE").len(), usize::from(fits));
    assert_eq!(node.answers().len(), usize::from(!fits), "what is not forwarded is answered");
    assert!(longest_message(&node) <= MAX_MESSAGE_LENGTH, "{}", longest_message(&node));
}

/// The answer to a heartbeat repeats its id, and is longer than the heartbeat.
#[test_case(16, true; "usual id")]
#[test_case(MAX_MESSAGE_LENGTH - 30, false; "id as long as a message")]
fn heartbeat_with_too_long_an_id_is_rejected(id_length: usize, is_answered: bool) {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.send_bytes(1, format!("{{\"t\":\"hb\",\"ref\":\"{}\"}}\n", "a".repeat(id_length)).as_bytes());
    assert_eq!(node.sent_to_callers()[0].1["t"] == "hb_ok", is_answered);
    assert_eq!(node.outputs.contains(&Output::CloseCaller(CallerId(1))), !is_answered);
    assert!(longest_message(&node) <= MAX_MESSAGE_LENGTH, "{}", longest_message(&node));
}

/// The response to a request repeats its call id, and is longer than the request.
#[test]
fn request_with_too_long_a_call_id_is_not_answered() {
    let (mut node, connection) = inviting_node();
    let head = format!("OPTIONS x SIP/2.0\r\nCall-ID:{}\r\n", "a".repeat(MAX_MESSAGE_LENGTH - 80));
    node.server_sends(connection, format!("{head}Content-Length:0\r\n\r\n").as_bytes());
    assert_eq!(node.sent_to_servers("SIP/2.0 200").len(), 0);
    node.respond(connection, &Response::accepted(7, 1));
    assert_eq!(node.answers(), [(1, "up".to_owned(), None)], "the connection is kept");
}
