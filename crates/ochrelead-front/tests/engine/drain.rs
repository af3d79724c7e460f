//! The drain of a front.

use ochrelead_mgcp::message::Response;

use crate::helper::{Front, at, final_answers, first_invite, gateway};

#[test]
fn drain_rejects_new_sessions_and_answers_held_ones() {
    let mut front = Front::start(100);
    let (transaction, to) = front.dial_and_take_invite(0, "a1");
    front.engine.drain(at(10));
    front.dial(20, "a2", "1004711");
    let sent = front.process_at(20);
    assert_eq!((final_answers(&sent), first_invite(&sent)), (vec!["busy"], None));
    assert!(!front.engine.is_drained());
    front.respond_established(30, to, transaction, 5);
    let sent = front.process_at(30);
    assert_eq!(final_answers(&sent), ["established"]);
    for transaction in 1..200 {
        front.respond(40, gateway(), Response::new(200, transaction));
    }
    front.process_at(40);
    assert!(front.engine.is_drained());
}

#[test]
fn drain_ends_after_its_bound_although_no_peer_responds() {
    let mut front = Front::start(100);
    front.dial_and_take_invite(0, "a1");
    front.engine.drain(at(0));
    let sent = front.run(0, 3_000);
    assert_eq!(final_answers(&sent), ["failed"]);
    front.run(3_001, 6_001);
    assert!(front.engine.is_drained(), "drain must end although no peer has responded");
}

#[test]
fn second_drain_request_does_not_extend_the_bound() {
    let mut front = Front::start(100);
    front.dial_and_take_invite(0, "a1");
    front.engine.drain(at(0));
    front.run(0, 2_900);
    front.engine.drain(at(2_900));
    assert_eq!(final_answers(&front.run(2_900, 3_000)), ["failed"], "the bound runs from the first request");
    assert!(!front.engine.is_drained(), "the release of the cancelled INVITE is not confirmed");
}
