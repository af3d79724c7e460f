//! Calls that belong to no session are released at their server.

use ochrelead_mgcp::message::{Response, Verb};
use test_case::test_case;

use crate::helper::{Front, Sent, count_commands, final_answers, first_invite, gateway, server};

#[test]
fn call_answered_after_its_caller_hung_up_is_released() {
    let mut front = Front::start(100);
    let (transaction, to) = front.dial_and_take_invite(0, "a1");
    front.hang_up(50, "a1");
    let sent = front.process_at(50);
    assert_eq!(count_commands(&sent, Verb::DeleteConnection), 1, "the hang-up cancels the INVITE");
    front.respond_established(51, to, transaction, 5);
    let sent = front.run(51, 4_000);
    assert_eq!(
        (count_commands(&sent, Verb::DeleteConnection), final_answers(&sent).len()),
        (1, 0),
        "{sent:?}"
    );
    assert_eq!(front.engine.load().sessions, 0);
}

#[test]
fn call_answered_after_the_time_out_is_released_without_a_second_final_answer() {
    let mut front = Front::start(100);
    let (transaction, to) = front.dial_and_take_invite(0, "a1");
    let sent = front.run(1, 9_000);
    assert_eq!(final_answers(&sent), ["busy"], "one final answer before the timer limit");
    assert_eq!(count_commands(&sent, Verb::DeleteConnection), 2, "the INVITE and its retry are cancelled");
    front.respond_established(9_100, to, transaction, 5);
    front.respond_established(9_101, to, transaction, 5);
    let sent = front.run(9_101, 12_000);
    assert_eq!(
        (count_commands(&sent, Verb::DeleteConnection), final_answers(&sent).len()),
        (1, 0),
        "{sent:?}"
    );
}

#[test]
fn restarted_front_releases_calls_of_its_former_process() {
    let mut old = Front::start(100);
    let (transaction, to) = old.dial_and_take_invite(0, "a1");
    let mut new = Front::start(5_000);
    new.respond_established(900, to, transaction, 5);
    let sent = new.process_at(900);
    let Sent::Command(Verb::DeleteConnection, _, release) = &sent[0] else { panic!("{sent:?}") };
    assert_eq!(release.endpoint.to_string(), "trunk/5@s0");
    // A call that was established before the restart: its caller's gateway names the far end.
    new.receive_command(2_000, gateway(), "NTFY norte/1@g", "X-Try: b7|O: L/hu|X-Far: i9 trunk/9@s1");
    let sent = new.process_at(2_000);
    let Sent::Command(Verb::DeleteConnection, to, release) = &sent[1] else { panic!("{sent:?}") };
    assert_eq!((*to, release.parameters.get("I")), (server(1), Some("i9")));
}

#[test]
fn attempt_that_hung_up_at_a_restarted_front_is_not_set_up_again() {
    // The front's former process was killed and its response to the attempt's NTFY was lost, so the gateway repeats
    // the attempt after the hang-up.
    let mut new = Front::start(100);
    new.receive_command(0, gateway(), "NTFY norte/1@g", "X-Try: b7|O: L/hu|X-Far: i9 trunk/9@s1");
    new.process_at(0);
    for repeat in 0..2 {
        new.dial(500 + repeat, "b7", "1004711");
        let sent = new.process_at(500 + repeat);
        assert_eq!(
            (first_invite(&sent), final_answers(&sent).len(), new.engine.load().sessions),
            (None, 0, 0)
        );
    }
}

#[test]
fn unmatched_response_does_not_release_a_circuit_in_use() {
    let mut front = Front::start(100);
    let (transaction, to) = front.dial_and_take_invite(0, "a1");
    front.respond_established(20, to, transaction, 5);
    front.process_at(20);
    front.respond_established(30, to, 77_777, 5);
    assert_eq!(front.process_at(30), []);
}

#[test]
fn call_is_released_if_the_gateway_rejects_its_connection() {
    let mut front = Front::start(100);
    let (transaction, to) = front.dial_and_take_invite(0, "a1");
    front.respond_established(20, to, transaction, 5);
    let Sent::Command(_, _, connect) = front.process_at(20).remove(0) else { panic!() };
    front.respond(30, gateway(), Response::new(516, connect.transaction));
    let sent = front.process_at(30);
    assert_eq!(count_commands(&sent, Verb::DeleteConnection), 1);
}

#[test]
fn unanswered_release_is_sent_again_a_bounded_number_of_times() {
    let mut front = Front::start(100);
    let (transaction, to) = front.dial_and_take_invite(0, "a1");
    front.respond_established(30, to, transaction, 5);
    front.process_at(30);
    front.hang_up(1_000, "a1");
    let sent = front.run(1_000, 200_000);
    let releases: Vec<u32> = sent
        .iter()
        .filter_map(|sent| match sent {
            Sent::Command(Verb::DeleteConnection, _, command) => Some(command.transaction),
            _ => None,
        })
        .collect();
    let mut distinct = releases.clone();
    distinct.dedup();
    assert_eq!(distinct.len(), 3, "three transactions: {releases:?}");
    assert_eq!(front.engine.unconfirmed_releases(), 0);
}

#[test_case(true, 2; "INVITE not answered: cancelled once more")]
#[test_case(false, 1; "INVITE answered after its cancellation: not cancelled again")]
fn cancelled_invite_without_an_answer_is_cancelled_again(is_lost: bool, releases: usize) {
    let mut front = Front::start(100);
    let (transaction, to) = front.dial_and_take_invite(0, "a1");
    front.hang_up(50, "a1");
    let sent = front.process_at(50);
    let cancellation = sent.iter().find_map(|sent| match sent {
        Sent::Command(Verb::DeleteConnection, _, command) => Some(command.transaction),
        _ => None,
    });
    if !is_lost {
        front.respond(55, to, Response::new(407, transaction));
    }
    front.respond(60, to, Response::new(250, cancellation.unwrap()));
    let later = front.run(60, 3_000);
    let mut later_releases: Vec<u32> = later
        .iter()
        .filter_map(|sent| match sent {
            Sent::Command(Verb::DeleteConnection, _, command) => Some(command.transaction),
            _ => None,
        })
        .collect();
    later_releases.dedup();
    assert_eq!(1 + later_releases.len(), releases, "{later:?}");
}
