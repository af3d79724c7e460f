//! A front that leaves service.

use ochrelead_mgcp::message::Response;

use crate::helper::{Front, answers, at, gateway, invite};

#[test]
fn drain_rejects_new_sessions_and_answers_held_ones() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.engine.drain(at(10));
    front.dial(20, "a2", "1004711");
    let sent = front.sent(20);
    assert_eq!((answers(&sent), invite(&sent)), (vec!["busy"], None));
    assert!(!front.engine.is_drained());
    front.establish(30, to, transaction, 5);
    let sent = front.sent(30);
    assert_eq!(answers(&sent), ["established"]);
    for transaction in 1..200 {
        front.respond(40, gateway(), Response::new(200, transaction));
    }
    front.sent(40);
    assert!(front.engine.is_drained());
}

#[test]
fn drain_is_bounded() {
    let mut front = Front::start(100);
    front.invited(0, "a1");
    front.engine.drain(at(0));
    let sent = front.run(0, 3_000);
    assert_eq!(answers(&sent), ["failed"]);
    front.run(3_001, 6_001);
    assert!(front.engine.is_drained(), "though no peer has responded");
}

#[test]
fn second_drain_request_changes_nothing() {
    let mut front = Front::start(100);
    front.invited(0, "a1");
    front.engine.drain(at(0));
    front.run(0, 2_900);
    front.engine.drain(at(2_900));
    assert_eq!(answers(&front.run(2_900, 3_000)), ["failed"], "the bound holds from the first");
    assert!(!front.engine.is_drained(), "its release is still owed");
}
