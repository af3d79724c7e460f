//! Races between a node and its peers on their sockets, forced into the critical order: the node is paused, a peer or a
//! signal acts, and the node resumes.

mod scripted;

use std::fs;
use std::io::Write;
use std::process::Command;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use scripted::{Coordinator, MAX_WAIT, TestNode, call_id, set_up_line};
use serde_json::json;
use test_case::test_case;

/// Longer than the 700 ms for which a node accepts set-ups after SIGTERM. Twice this is longer than the time for which
/// it waits for further input.
const LONGER_THAN_SHUTDOWN_GRACE: Duration = Duration::from_millis(800);

// ---- Callers that disconnect ----

#[test_case(false; "closed")]
#[test_case(true; "shut down for writing")]
fn no_invite_is_sent_for_a_set_up_whose_caller_closed_before_it_was_read(half_close: bool) {
    let node = TestNode::start(if half_close { "half-closed" } else { "closed" });
    let mut caller = node.connect();
    node.is_healthy(&mut caller);
    node.pause();
    caller.send_set_up(1);
    if half_close {
        caller.half_close();
        node.resume();
        assert_eq!(
            caller.read_to_end(),
            [("down".to_owned(), call_id(1))],
            "one final answer, then the end of the connection"
        );
    } else {
        drop(caller);
        node.resume();
    }
    node.assert_next_invite_is_for(2);
}

#[test]
fn no_invite_is_sent_for_a_set_up_cancelled_beyond_the_first_read() {
    let node = TestNode::start("cancelled");
    let mut caller = node.connect();
    node.is_healthy(&mut caller);
    node.pause();
    caller.send_set_up(1);
    // More heartbeats than fit into one read, so that the cancel arrives in a later read.
    let heartbeat = format!("{}\n", json!({"t": "hb", "ref": "1", "f": {}, "c": 0}));
    caller.write(&heartbeat.repeat(600));
    caller.send_line(&json!({"t": "down", "ref": call_id(1), "f": {}, "c": 16}));
    node.resume();
    node.assert_next_invite_is_for(2);
}

// ---- Shutdown ----

#[test_case(true, 1; "on an open connection")]
#[test_case(false, 1; "on a connection not yet accepted")]
#[test_case(true, 2; "on an open connection after a long pause")]
#[test_case(false, 2; "on a connection not yet accepted after a long pause")]
fn set_up_received_before_the_end_of_a_shutdown_is_answered(open: bool, grace_periods: u32) {
    let mut node =
        TestNode::start(&format!("ends-{}-{grace_periods}", if open { "open" } else { "waiting" }));
    let mut caller = open.then(|| node.connect());
    if let Some(caller) = &mut caller {
        node.is_healthy(caller);
    }
    node.begin_shutdown();
    node.pause();
    thread::sleep(LONGER_THAN_SHUTDOWN_GRACE * grace_periods);
    let mut caller = caller.unwrap_or_else(|| node.connect());
    caller.send_set_up(1);
    node.resume();
    let invite = node.server.wait_for("INVITE");
    node.server.accept_invite(&invite);
    assert_eq!(caller.read_to_end(), [("up".to_owned(), call_id(1))]);
    assert_eq!(node.wait_for_exit(), Some(0));
}

#[test_case(1; "after a short pause")]
#[test_case(2; "after a long pause")]
fn release_received_before_the_end_of_a_shutdown_reaches_its_caller(grace_periods: u32) {
    let mut node = TestNode::start(&format!("ends-released-{grace_periods}"));
    let mut caller = node.connect();
    caller.send_set_up(1);
    let invite = node.server.wait_for("INVITE");
    node.server.accept_invite(&invite);
    assert_eq!(caller.next_line().unwrap()["t"], "up");
    node.begin_shutdown();
    node.pause();
    thread::sleep(LONGER_THAN_SHUTDOWN_GRACE * grace_periods);
    node.server.send_bye(invite.connection, &call_id(1));
    node.resume();
    assert_eq!(caller.read_to_end(), [("down".to_owned(), call_id(1))]);
    assert_eq!(node.wait_for_exit(), Some(0));
}

#[test]
fn last_answer_before_exit_reaches_a_caller_that_keeps_writing() {
    let mut node = TestNode::start("ends-written");
    let mut caller = node.connect();
    caller.send_set_up(1);
    let invite = node.server.wait_for("INVITE");
    node.begin_shutdown();
    node.pause();
    thread::sleep(LONGER_THAN_SHUTDOWN_GRACE);
    node.server.accept_invite(&invite);
    // Input without effect: if the node closed its socket with this unread, it would reset the connection.
    let acknowledgement = format!("{}\n", json!({"t": "ack", "ref": call_id(9), "f": {}}));
    caller.write(&acknowledgement.repeat(500));
    node.resume();
    assert_eq!(caller.read_to_end(), [("up".to_owned(), call_id(1))]);
    assert_eq!(node.wait_for_exit(), Some(0));
}

// ---- Signals ----

#[test]
fn shutdown_does_not_wait_for_the_reload_of_an_invalid_configuration() {
    let mut node = TestNode::start("no-wait");
    fs::write(&node.config_path, "{").unwrap();
    node.signal(Signal::HUP);
    node.begin_shutdown();
    assert_eq!(node.wait_for_exit(), Some(0));
    let log = node.read_log();
    assert!(log.contains("leaving service"), "{log}");
    assert_eq!(log.matches("configuration not reloaded").count(), 1, "the error is logged once: {log}");
}

#[test]
fn reload_signal_received_during_startup_is_handled_once_serving() {
    let new_coordinator = Coordinator::start();
    // The program blocks on reading its configuration until the test writes to the pipe.
    let node = TestNode::start_process("early-signal", 256, |node| {
        assert!(Command::new("mkfifo").arg(&node.config_path).status().unwrap().success());
    });
    let mut pipe = fs::OpenOptions::new().write(true).open(&node.config_path).unwrap();
    node.signal(Signal::HUP);
    let new_file = node.config_path.with_extension("next");
    fs::write(&new_file, node.configuration_at(new_coordinator.address)).unwrap();
    fs::rename(&new_file, &node.config_path).unwrap();
    pipe.write_all(node.configuration().as_bytes()).unwrap();
    drop(pipe);
    assert_eq!(
        new_coordinator.watch_requests.recv_timeout(MAX_WAIT).expect("a request at the new coordinator"),
        "follow 1\n"
    );
    node.wait_until_serving();
    node.assert_next_invite_is_for(1);
}

// ---- Connections that the node closes ----

#[test]
fn error_reaches_a_caller_with_unread_input() {
    let node = TestNode::start("error-read");
    let mut caller = node.connect();
    node.pause();
    // More than fits into one read: some input is unread when the node closes the connection.
    caller.write(&format!("{{\"t\":\"new\"}}\n{}", "a".repeat(20_000)));
    node.resume();
    assert_eq!(caller.read_to_end(), [("down".to_owned(), String::new())]);
}

#[test]
fn set_up_written_before_its_idle_connection_is_closed_is_answered() {
    let node = TestNode::start("idle-close");
    let mut caller = node.connect();
    node.is_healthy(&mut caller);
    node.pause();
    // The node closes a connection on which no call was established before the time limit for invalid callers, 3 s.
    thread::sleep(Duration::from_secs(3));
    caller.send_set_up(1);
    node.resume();
    let invite = node.server.wait_for("INVITE");
    node.server.accept_invite(&invite);
    assert_eq!(caller.next_line().unwrap()["t"], "up");
}

#[test]
fn idle_callers_do_not_exhaust_the_descriptors() {
    let node = TestNode::start_process("crowd", 64, |node| {
        fs::write(&node.config_path, node.configuration()).unwrap();
    });
    node.wait_until_serving();
    node.pause();
    let idle_callers: Vec<_> = (0..100).map(|_| node.connect()).collect();
    let mut last_caller = node.connect();
    last_caller.send_set_up(1);
    node.resume();
    let invite = node.server.wait_for("INVITE");
    node.server.accept_invite(&invite);
    assert_eq!(last_caller.next_line().unwrap()["t"], "up");
    assert!(node.descriptor_count() <= 64, "{}", node.descriptor_count());
    assert!(!node.read_log().contains("connection not accepted"), "{}", node.read_log());
    drop(idle_callers);
}

// ---- Restarts ----

#[test]
fn release_received_before_its_caller_resumes_the_call_is_delivered() {
    let node = TestNode::start("named-late");
    // The server sends on this connection the release that the node's previous incarnation did not receive.
    node.server.send_bye(0, &call_id(1));
    let confirmation = node.server.wait_for("SIP/2.0");
    assert_eq!(confirmation.call, call_id(1));
    let mut caller = node.connect();
    caller.send_line(&json!({"t": "new", "ref": call_id(1), "f": {"extras": "at:s-0"}}));
    let answer = caller.next_line().unwrap();
    assert_eq!((&answer["t"], &answer["ref"]), (&json!("down"), &json!(call_id(1))));
}

#[test]
fn each_of_a_hundred_withdrawn_set_ups_gets_one_answer() {
    let node = TestNode::start("by-the-hundred");
    let mut caller = node.connect();
    node.is_healthy(&mut caller);
    node.pause();
    caller.write(&(1..=100).map(set_up_line).collect::<String>());
    caller.half_close();
    node.resume();
    let mut answers = caller.read_to_end();
    answers.sort();
    let expected: Vec<_> = (1..=100).map(|call| ("down".to_owned(), call_id(call))).collect();
    assert_eq!(answers, expected);
    node.assert_next_invite_is_for(200);
}
