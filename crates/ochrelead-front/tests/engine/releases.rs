//! Calls that nobody holds any more are released at their server.

use ochrelead_mgcp::message::{Response, Verb};
use test_case::test_case;

use crate::helper::{Front, Sent, answers, count, gateway, invite, server};

#[test]
fn hang_up_that_crosses_the_answer_releases_the_call() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.hang_up(50, "a1");
    let sent = front.sent(50);
    assert_eq!(count(&sent, Verb::DeleteConnection), 1, "called off");
    front.establish(51, to, transaction, 5);
    let sent = front.run(51, 4_000);
    assert_eq!((count(&sent, Verb::DeleteConnection), answers(&sent).len()), (1, 0), "{sent:?}");
    assert_eq!(front.engine.load().sessions, 0);
}

#[test]
fn answer_after_the_time_out_is_released_and_changes_nothing() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    let sent = front.run(1, 9_000);
    assert_eq!(answers(&sent), ["busy"], "one final answer before the timer limit");
    assert_eq!(count(&sent, Verb::DeleteConnection), 2, "the call is off, there and where it was sent again");
    front.establish(9_100, to, transaction, 5);
    front.establish(9_101, to, transaction, 5);
    let sent = front.run(9_101, 12_000);
    assert_eq!((count(&sent, Verb::DeleteConnection), answers(&sent).len()), (1, 0), "{sent:?}");
}

#[test]
fn restarted_front_releases_calls_of_its_former_process() {
    let mut old = Front::start(100);
    let (transaction, to) = old.invited(0, "a1");
    let mut new = Front::start(5_000);
    new.establish(900, to, transaction, 5);
    let sent = new.sent(900);
    let Sent::Command(Verb::DeleteConnection, _, release) = &sent[0] else { panic!("{sent:?}") };
    assert_eq!(release.endpoint.to_string(), "trunk/5@s0");
    // A call that stood before: its caller's gateway knows the far end.
    new.ask(2_000, gateway(), "NTFY norte/1@g", "X-Try: b7|O: L/hu|X-Far: i9 trunk/9@s1");
    let sent = new.sent(2_000);
    let Sent::Command(Verb::DeleteConnection, to, release) = &sent[1] else { panic!("{sent:?}") };
    assert_eq!((*to, release.parameters.get("I")), (server(1), Some("i9")));
}

#[test]
fn attempt_that_hung_up_at_a_restarted_front_is_not_set_up_again() {
    // The front that took it was killed, and its answer to the try's NTFY had got lost.
    let mut new = Front::start(100);
    new.ask(0, gateway(), "NTFY norte/1@g", "X-Try: b7|O: L/hu|X-Far: i9 trunk/9@s1");
    new.sent(0);
    for repeat in 0..2 {
        new.dial(500 + repeat, "b7", "1004711");
        let sent = new.sent(500 + repeat);
        assert_eq!((invite(&sent), answers(&sent).len(), new.engine.load().sessions), (None, 0, 0));
    }
}

#[test]
fn late_duplicate_does_not_release_a_circuit_in_use() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.establish(20, to, transaction, 5);
    front.sent(20);
    front.establish(30, to, 77_777, 5);
    assert_eq!(front.sent(30), []);
}

#[test]
fn call_of_a_caller_whose_gateway_forgot_it_is_released() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.establish(20, to, transaction, 5);
    let Sent::Command(_, _, connect) = front.sent(20).remove(0) else { panic!() };
    front.respond(30, gateway(), Response::new(516, connect.transaction));
    let sent = front.sent(30);
    assert_eq!(count(&sent, Verb::DeleteConnection), 1);
}

#[test]
fn unanswered_release_is_sent_again_a_bounded_number_of_times() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.establish(30, to, transaction, 5);
    front.sent(30);
    front.hang_up(1_000, "a1");
    let sent = front.run(1_000, 200_000);
    let releases: Vec<u32> = sent
        .iter()
        .filter_map(|sent| match sent {
            Sent::Command(Verb::DeleteConnection, _, command) => Some(command.transaction),
            _ => None,
        })
        .collect();
    let mut asked = releases.clone();
    asked.dedup();
    assert_eq!(asked.len(), 3, "three transactions: {releases:?}");
    assert_eq!(front.engine.unconfirmed_releases(), 0);
}

#[test_case(true, 2; "called off once more")]
#[test_case(false, 1; "answered after its end")]
fn cancelled_invite_that_may_still_arrive_is_cancelled_again(lost: bool, releases: usize) {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.hang_up(50, "a1");
    let sent = front.sent(50);
    let off = sent.iter().find_map(|sent| match sent {
        Sent::Command(Verb::DeleteConnection, _, command) => Some(command.transaction),
        _ => None,
    });
    if !lost {
        front.respond(55, to, Response::new(407, transaction));
    }
    front.respond(60, to, Response::new(250, off.unwrap()));
    let later = front.run(60, 3_000);
    let mut asked: Vec<u32> = later
        .iter()
        .filter_map(|sent| match sent {
            Sent::Command(Verb::DeleteConnection, _, command) => Some(command.transaction),
            _ => None,
        })
        .collect();
    asked.dedup();
    assert_eq!(1 + asked.len(), releases, "{later:?}");
}
