//! Sessions from the caller's attempt to the final answer, including lost, repeated, reordered and invalid messages.

use ochrelead_front::events::EngineEvent;
use ochrelead_mgcp::message::{Response, Verb};
use test_case::test_case;

use crate::helper::{Front, Sent, count_commands, final_answers, first_invite, gateway, server};

#[test]
fn session_is_established_and_released() {
    let mut front = Front::start(100);
    let (transaction, to) = front.dial_and_take_invite(0, "a1");
    assert_eq!(to, server(0), "the server that the number names");
    front.respond_established(30, to, transaction, 5);
    let sent = front.process_at(30);
    assert_eq!(final_answers(&sent), ["established"]);
    let Sent::Command(_, at_gateway, connect) = &sent[0] else { panic!() };
    assert_eq!((at_gateway, connect.parameters.get("X-Far")), (&gateway(), Some("i5 trunk/5@s0")));
    front.hang_up(2_000, "a1");
    let sent = front.process_at(2_000);
    let Sent::Command(Verb::DeleteConnection, to, release) = &sent[1] else { panic!("{sent:?}") };
    assert_eq!((*to, release.endpoint.to_string().as_str()), (server(0), "trunk/5@s0"));
    let response = Response::new(250, release.transaction).with("X-Lines", "9/10");
    front.respond(2_010, server(0), response);
    assert_eq!((front.process_at(2_010), front.engine.load().sessions), (vec![], 0));
}

#[test_case(409, true; "server overloaded")]
#[test_case(403, true; "no free line")]
#[test_case(410, true; "no free circuit")]
#[test_case(500, false; "server fault")]
#[test_case(401, false; "called line busy")]
fn failed_set_up_is_retried_on_another_server_if_its_code_allows(code: u16, is_retried: bool) {
    let mut front = Front::start(100);
    let (transaction, to) = front.dial_and_take_invite(0, "a1");
    front.respond(20, to, Response::new(code, transaction));
    let sent = front.process_at(20);
    assert_eq!(first_invite(&sent).map(|(_, to)| to), is_retried.then_some(server(1)));
    assert_eq!(final_answers(&sent).len(), usize::from(!is_retried));
}

#[test_case(405; "restarting")]
#[test_case(407; "aborted")]
fn retry_after_a_reset_waits_for_the_release(code: u16) {
    let mut front = Front::start(100);
    let (transaction, to) = front.dial_and_take_invite(0, "a1");
    front.respond(20, to, Response::new(code, transaction));
    assert_eq!(first_invite(&front.run(20, 219)), None);
    assert_eq!(first_invite(&front.run(220, 221)).map(|(_, to)| to), Some(server(1)));
}

#[test]
fn duplicated_answer_connects_the_caller_once() {
    let mut front = Front::start(100);
    let (transaction, to) = front.dial_and_take_invite(0, "a1");
    (0..3).for_each(|index| front.respond_established(30 + index, to, transaction, 5));
    let sent = front.process_at(40);
    assert_eq!(
        (final_answers(&sent), count_commands(&sent, Verb::DeleteConnection)),
        (vec!["established"], 0)
    );
}

#[test]
fn lost_invite_is_retransmitted_under_one_transaction() {
    let mut front = Front::start(100);
    front.dial_and_take_invite(0, "a1");
    assert_eq!(first_invite(&front.run(1, 5_900)), None, "retransmissions only, no second INVITE");
    assert_eq!(front.engine.load().sessions, 1);
}

#[test]
fn redial_within_a_millisecond_opens_a_second_session() {
    let mut front = Front::start(100);
    front.dial_and_take_invite(0, "a1");
    front.hang_up(50, "a1");
    front.dial(50, "a2", "1004711");
    let sent = front.process_at(50);
    assert_eq!((count_commands(&sent, Verb::DeleteConnection), front.engine.load().sessions), (1, 1));
    // The first attempt's call is released, not the second's.
    let calls: Vec<&str> = sent
        .iter()
        .filter_map(|sent| match sent {
            Sent::Command(Verb::DeleteConnection, _, command) => command.parameters.get("C"),
            _ => None,
        })
        .collect();
    assert_eq!(calls, ["a1"]);
}

#[test]
fn hang_up_that_overtakes_its_attempt_opens_no_session() {
    let mut front = Front::start(100);
    front.hang_up(0, "a1");
    front.dial(5, "a1", "1004711");
    let sent = front.process_at(5);
    assert_eq!((first_invite(&sent), final_answers(&sent).len(), front.engine.load().sessions), (None, 0, 0));
}

#[test]
fn session_is_rejected_at_once_if_its_deadline_is_within_the_release_wait() {
    let mut front = Front::start(100);
    front.receive_command(
        0,
        gateway(),
        "NTFY norte/1@g",
        "X-Try: a1|X-Patience: 1000|O: L/hd, D/1, D/0, D/0, D/1",
    );
    let (transaction, to) = first_invite(&front.process_at(0)).unwrap();
    front.respond(850, to, Response::new(405, transaction));
    assert_eq!(final_answers(&front.process_at(850)), ["busy"]);
    assert_eq!(final_answers(&front.run(851, 3_000)).len(), 0);
}

#[test]
fn session_gets_at_most_one_final_answer_after_a_stall() {
    let mut front = Front::start(100);
    front.receive_command(
        0,
        gateway(),
        "NTFY norte/1@g",
        "X-Try: a1|X-Patience: 1000|O: L/hd, D/1, D/0, D/0, D/1",
    );
    let (transaction, to) = first_invite(&front.process_at(0)).unwrap();
    // After a stall of two seconds the answer and the hang-up are read together, and the deadline has passed.
    front.respond_established(2_000, to, transaction, 5);
    front.hang_up(2_000, "a1");
    let sent = front.run(2_000, 2_100);
    assert!(final_answers(&sent).len() <= 1, "{sent:?}");
    assert_eq!(count_commands(&sent, Verb::DeleteConnection), 1, "the call must be released");
}

#[test_case("X-Try: |O: L/hd, D/1", 510, 0; "empty attempt id")]
#[test_case("X-Try: xyz|O: L/hd, D/1", 510, 0; "attempt id that is not hexadecimal")]
#[test_case("X-Try: a1|O: L/hd, D/9", 200, 1; "number outside the numbering plan")]
#[test_case("X-Try: a1|O: L/hf", 200, 0; "event that the front does not use")]
fn invalid_notification_opens_no_session(parameters: &str, code: u16, failed: usize) {
    let mut front = Front::start(100);
    front.receive_command(0, gateway(), "NTFY norte/1@g", parameters);
    let sent = front.process_at(0);
    assert!(matches!(sent[0], Sent::Response(sent_code, _) if sent_code == code), "{sent:?}");
    assert_eq!((final_answers(&sent).len(), front.engine.load().sessions), (failed, 0));
}

#[test_case(&[]; "empty datagram")]
#[test_case(&[b'x'; 65_507]; "longest datagram")]
#[test_case(b"NTFY 1 \xff\xfe@g MGCP 1.0"; "not UTF-8")]
#[test_case(b"NTFY 1 a\0b@g MGCP 1.0"; "NUL in the endpoint")]
fn invalid_datagram_is_ignored_and_reported(bytes: &[u8]) {
    let mut front = Front::start(100);
    front.events();
    front.receive(0, gateway(), bytes);
    assert!(matches!(front.events()[..], [EngineEvent::MessageIgnored { .. }]));
    front.dial_and_take_invite(1, "a1");
}

#[test]
fn datagram_with_too_many_parameter_lines_is_rejected() {
    let mut front = Front::start(100);
    let text = format!("NTFY 9 norte/1@g MGCP 1.0\r\n{}", "X:\n".repeat(4_000));
    front.receive(0, gateway(), text.as_bytes());
    assert_eq!(front.process_at(0), [Sent::Response(510, 9)]);
}

#[test]
fn sessions_beyond_the_limit_are_rejected() {
    let mut front = Front::start(100);
    for index in 0..60 {
        front.dial(index, &format!("a{index}"), "1004711");
    }
    let sent = front.process_at(60);
    assert!(front.engine.load().sessions <= 50 && final_answers(&sent).len() >= 10);
}

#[test_case(2_000, true; "delayed beyond its timer limit: rejected")]
#[test_case(300, false; "delayed less than its timer limit: set up")]
fn stall_counts_towards_the_deadline_of_an_unread_attempt(stall_ms: u64, is_rejected: bool) {
    let mut front = Front::start(100);
    front.process_at(0);
    let now = 100 + stall_ms;
    front.receive_command(
        now,
        gateway(),
        "NTFY norte/1@g",
        "X-Try: a1|X-Patience: 1500|O: L/hd, D/1, D/0, D/0, D/4, D/7, D/1, D/1",
    );
    let sent = front.process_at(now);
    assert_eq!(first_invite(&sent).is_none(), is_rejected, "{sent:?}");
    assert_eq!(final_answers(&sent).len(), usize::from(is_rejected), "{sent:?}");
}

#[test]
fn response_of_another_peer_does_not_end_the_transaction() {
    let mut front = Front::start(100);
    let (transaction, to) = front.dial_and_take_invite(0, "a1");
    front.respond_established(10, server(1), transaction, 7);
    front.respond_established(30, to, transaction, 5);
    let sent = front.process_at(30);
    assert_eq!(final_answers(&sent), ["established"]);
    // The call that the other peer set up under that id belongs to no session.
    assert_eq!(count_commands(&sent, Verb::DeleteConnection), 1, "{sent:?}");
}

/// All INVITEs of a session together have as many retransmissions as one INVITE that stays open until the deadline: two
/// INVITEs with late answers share four. With a limit per INVITE eight datagrams would be sent.
#[test]
fn retransmissions_of_all_invites_of_a_session_are_bounded_together() {
    let mut front = Front::start(100);
    let (first, to) = front.dial_and_take_invite(0, "a1");
    front.run(1, 3_600);
    front.respond(3_600, to, Response::new(405, first));
    let (second, to) = first_invite(&front.run(3_600, 3_900)).unwrap();
    front.run(3_901, 7_600);
    front.respond(7_600, to, Response::new(405, second));
    assert_eq!(final_answers(&front.run(7_600, 9_000)), ["busy"]);
    assert_eq!(front.invite_datagrams, 2 + 4);
}
