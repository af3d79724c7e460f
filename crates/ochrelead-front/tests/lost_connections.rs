//! How a node on real sockets tells the ends of its connections to servers apart.

mod scripted;

use std::thread;
use std::time::Duration;

use scripted::{Caller, MAX_WAIT, TestNode, call_id};

/// Longer than the connect time-out, within which the node replaces a connection that was reset. Shorter than the time
/// after which it probes a silent server on a new connection.
const LONGER_THAN_RECOVERY: Duration = Duration::from_secs(1);

/// A node with an established call and one connection to its server more than it needs. Returns the caller and the
/// connection of the call.
fn node_with_spare_connection(name: &str) -> (TestNode, Caller, usize) {
    let node = TestNode::start(name);
    let mut caller = node.connect();
    caller.send_set_up(1);
    let invite = node.server.wait_for("INVITE");
    // With the INVITE in flight, the node opens a third connection.
    node.server.accepted.recv_timeout(MAX_WAIT).expect("a third connection");
    node.server.accept_invite(&invite);
    assert_eq!(caller.next_line().unwrap()["t"], "up");
    (node, caller, invite.connection)
}

/// Review case 1 on sockets: a release was lost with an idle connection that was reset, and no other was opened.
#[test]
fn reset_idle_connection_is_replaced_so_that_the_server_repeats_its_release() {
    let (node, mut caller, connection) = node_with_spare_connection("reset-idle");
    node.server.reset(connection);
    let next = node.server.accepted.recv_timeout(LONGER_THAN_RECOVERY).expect("a connection after the reset");
    node.server.send_bye(next, &call_id(1));
    let release = caller.next_line().unwrap();
    assert_eq!((&release["t"], &release["c"]), (&"down".into(), &16.into()));
}

#[test]
fn idle_connection_closed_in_order_is_not_replaced() {
    let (node, _caller, connection) = node_with_spare_connection("closed-idle");
    node.server.close(connection);
    thread::sleep(LONGER_THAN_RECOVERY);
    assert!(node.server.accepted.try_recv().is_err(), "a connection after an orderly close");
}
