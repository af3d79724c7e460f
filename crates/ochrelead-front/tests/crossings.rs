//! What can cross on a node's sockets, forced: the other side is held still until the crossing has happened.

mod scripted;

use std::fs;
use std::io::Write;
use std::process::Command;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use scripted::{Coordinator, Rig, SHORT, id, set_up};
use serde_json::json;
use test_case::test_case;

/// A node that leaves still takes what comes for so long; some more, so that this is over.
const STILL_COMING: Duration = Duration::from_millis(800);

// ---- Callers that leave ----

#[test_case(false; "closed")]
#[test_case(true; "shut down for writing")]
fn caller_that_left_unread_gets_no_invite(half: bool) {
    let rig = Rig::start(if half { "half-closed" } else { "closed" });
    let mut caller = rig.connect();
    rig.is_tested(&mut caller);
    rig.stop();
    caller.ask(1);
    if half {
        caller.half_close();
        rig.go_on();
        assert_eq!(caller.all(), [("down".to_owned(), id(1))], "one final answer, then the end");
    } else {
        drop(caller);
        rig.go_on();
    }
    rig.only_sets_up(2);
}

#[test]
fn set_up_cancelled_behind_much_input_gets_no_invite() {
    let rig = Rig::start("cancelled");
    let mut caller = rig.connect();
    rig.is_tested(&mut caller);
    rig.stop();
    caller.ask(1);
    // More than one read takes, so that the cancel is in another.
    let test = format!("{}\n", json!({"t": "hb", "ref": "1", "f": {}, "c": 0}));
    caller.write(&test.repeat(600));
    caller.say(&json!({"t": "down", "ref": id(1), "f": {}, "c": 16}));
    rig.go_on();
    rig.only_sets_up(2);
}

// ---- Leaving service ----

#[test_case(true, 1; "on an open connection")]
#[test_case(false, 1; "on one that waits to be taken")]
#[test_case(true, 2; "on an open connection of one that stood still for long")]
#[test_case(false, 2; "on one that waits to be taken by one that stood still for long")]
fn request_received_before_shutdown_ends_is_answered(open: bool, times: u32) {
    let mut rig = Rig::start(&format!("ends-{}-{times}", if open { "open" } else { "waiting" }));
    let mut caller = open.then(|| rig.connect());
    if let Some(caller) = &mut caller {
        rig.is_tested(caller);
    }
    rig.leave();
    rig.stop();
    thread::sleep(STILL_COMING * times);
    let mut caller = caller.unwrap_or_else(|| rig.connect());
    caller.ask(1);
    rig.go_on();
    let invite = rig.server.next("INVITE");
    rig.server.answer(&invite);
    assert_eq!(caller.all(), [("up".to_owned(), id(1))]);
    assert_eq!(rig.ended(), Some(0));
}

#[test_case(1; "at once")]
#[test_case(2; "of one that stood still for long")]
fn release_received_before_shutdown_ends_reaches_its_caller(times: u32) {
    let mut rig = Rig::start(&format!("ends-released-{times}"));
    let mut caller = rig.connect();
    caller.ask(1);
    let invite = rig.server.next("INVITE");
    rig.server.answer(&invite);
    assert_eq!(caller.next().unwrap()["t"], "up");
    rig.leave();
    rig.stop();
    thread::sleep(STILL_COMING * times);
    rig.server.bye(invite.connection, &id(1));
    rig.go_on();
    assert_eq!(caller.all(), [("down".to_owned(), id(1))]);
    assert_eq!(rig.ended(), Some(0));
}

#[test]
fn last_answer_reaches_a_caller_that_keeps_writing() {
    let mut rig = Rig::start("ends-written");
    let mut caller = rig.connect();
    caller.ask(1);
    let invite = rig.server.next("INVITE");
    rig.leave();
    rig.stop();
    thread::sleep(STILL_COMING);
    rig.server.answer(&invite);
    // Confirmations of what was heard long ago: unread at the end they would reset the connection.
    let heard = format!("{}\n", json!({"t": "ack", "ref": id(9), "f": {}}));
    caller.write(&heard.repeat(500));
    rig.go_on();
    assert_eq!(caller.all(), [("up".to_owned(), id(1))]);
    assert_eq!(rig.ended(), Some(0));
}

// ---- Signals ----

#[test]
fn shutdown_does_not_wait_for_an_unreadable_configuration() {
    let mut rig = Rig::start("no-wait");
    fs::write(&rig.file, "{").unwrap();
    rig.signal(Signal::HUP);
    rig.leave();
    assert_eq!(rig.ended(), Some(0));
    let log = rig.logged();
    assert!(log.contains("leaving service"), "{log}");
    assert_eq!(log.matches("configuration not reloaded").count(), 1, "the error is logged once: {log}");
}

#[test]
fn signal_received_before_service_is_handled_in_service() {
    let other = Coordinator::start();
    // The program waits at its configuration until the test writes it.
    let rig = Rig::begin("early-signal", 256, |rig| {
        assert!(Command::new("mkfifo").arg(&rig.file).status().unwrap().success());
    });
    let mut pipe = fs::OpenOptions::new().write(true).open(&rig.file).unwrap();
    rig.signal(Signal::HUP);
    let next = rig.file.with_extension("next");
    fs::write(&next, rig.configuration_at(other.address)).unwrap();
    fs::rename(&next, &rig.file).unwrap();
    pipe.write_all(rig.configuration().as_bytes()).unwrap();
    drop(pipe);
    assert_eq!(other.asked.recv_timeout(SHORT).expect("the new one is asked"), "follow 1\n");
    rig.serves();
    rig.only_sets_up(1);
}

// ---- Connections that the node closes ----

#[test]
fn error_reaches_a_caller_that_had_written_more() {
    let rig = Rig::start("error-read");
    let mut caller = rig.connect();
    rig.stop();
    // More than one read takes: the rest is unread as the node closes.
    caller.write(&format!("{{\"t\":\"new\"}}\n{}", "a".repeat(20_000)));
    rig.go_on();
    assert_eq!(caller.all(), [("down".to_owned(), String::new())]);
}

#[test]
fn set_up_written_before_an_idle_close_is_answered() {
    let rig = Rig::start("idle-close");
    let mut caller = rig.connect();
    rig.is_tested(&mut caller);
    rig.stop();
    // One that was never of use is closed within the 3 s in which something is owed to it.
    thread::sleep(Duration::from_secs(3));
    caller.ask(1);
    rig.go_on();
    let invite = rig.server.next("INVITE");
    rig.server.answer(&invite);
    assert_eq!(caller.next().unwrap()["t"], "up");
}

#[test]
fn idle_callers_take_no_descriptor_that_the_node_needs() {
    let rig = Rig::begin("crowd", 64, |rig| fs::write(&rig.file, rig.configuration()).unwrap());
    rig.serves();
    rig.stop();
    let crowd: Vec<_> = (0..100).map(|_| rig.connect()).collect();
    let mut last = rig.connect();
    last.ask(1);
    rig.go_on();
    let invite = rig.server.next("INVITE");
    rig.server.answer(&invite);
    assert_eq!(last.next().unwrap()["t"], "up");
    assert!(rig.descriptors() <= 64, "{}", rig.descriptors());
    assert!(!rig.logged().contains("connection not accepted"), "{}", rig.logged());
    drop(crowd);
}

// ---- Restarts ----

#[test]
fn release_received_before_its_caller_names_the_call_is_delivered() {
    let rig = Rig::start("named-late");
    // The server says on the next connection what it could not say to the former life.
    rig.server.bye(0, &id(1));
    let confirmed = rig.server.next("SIP/2.0");
    assert_eq!(confirmed.call, id(1));
    let mut caller = rig.connect();
    caller.say(&json!({"t": "new", "ref": id(1), "f": {"extras": "at:s-0"}}));
    let told = caller.next().unwrap();
    assert_eq!((&told["t"], &told["ref"]), (&json!("down"), &json!(id(1))));
}

#[test]
fn hundreds_of_withdrawn_requests_get_one_answer_each() {
    let rig = Rig::start("by-the-hundred");
    let mut caller = rig.connect();
    rig.is_tested(&mut caller);
    rig.stop();
    caller.write(&(1..=100).map(set_up).collect::<String>());
    caller.half_close();
    rig.go_on();
    let mut all = caller.all();
    all.sort();
    let expected: Vec<_> = (1..=100).map(|nth| ("down".to_owned(), id(nth))).collect();
    assert_eq!(all, expected);
    rig.only_sets_up(200);
}
