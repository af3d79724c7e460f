//! A session from the caller's attempt to its final answer, through what goes wrong on the way.

use ochrelead_front::events::EngineEvent;
use ochrelead_mgcp::message::{Response, Verb};
use test_case::test_case;

use crate::helper::{Front, Sent, answers, count, gateway, invite, server};

#[test]
fn session_is_established_and_released() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    assert_eq!(to, server(0), "its destination");
    front.establish(30, to, transaction, 5);
    let sent = front.sent(30);
    assert_eq!(answers(&sent), ["established"]);
    let Sent::Command(_, at_gateway, connect) = &sent[0] else { panic!() };
    assert_eq!((at_gateway, connect.parameters.get("X-Far")), (&gateway(), Some("i5 trunk/5@s0")));
    front.hang_up(2_000, "a1");
    let sent = front.sent(2_000);
    let Sent::Command(Verb::DeleteConnection, to, release) = &sent[1] else { panic!("{sent:?}") };
    assert_eq!((*to, release.endpoint.to_string().as_str()), (server(0), "trunk/5@s0"));
    let response = Response::new(250, release.transaction).with("X-Lines", "9/10");
    front.respond(2_010, server(0), response);
    assert_eq!((front.sent(2_010), front.engine.load().sessions), (vec![], 0));
}

#[test_case(409, true; "processor full")]
#[test_case(403, true; "no line")]
#[test_case(410, true; "no circuit")]
#[test_case(500, false; "a fault is not sent again")]
#[test_case(401, false; "the called line is busy")]
fn rejected_set_up_is_retried_elsewhere_where_allowed(code: u16, again: bool) {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.respond(20, to, Response::new(code, transaction));
    let sent = front.sent(20);
    assert_eq!(invite(&sent).map(|(_, to)| to), again.then_some(server(1)));
    assert_eq!(answers(&sent).len(), usize::from(!again));
}

#[test_case(405; "restarting")]
#[test_case(407; "aborted")]
fn retry_waits_for_the_release(code: u16) {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.respond(20, to, Response::new(code, transaction));
    assert_eq!(invite(&front.run(20, 219)), None);
    assert_eq!(invite(&front.run(220, 221)).map(|(_, to)| to), Some(server(1)));
}

#[test]
fn doubled_answer_connects_once() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    (0..3).for_each(|index| front.establish(30 + index, to, transaction, 5));
    let sent = front.sent(40);
    assert_eq!((answers(&sent), count(&sent, Verb::DeleteConnection)), (vec!["established"], 0));
}

#[test]
fn lost_set_up_is_repeated_under_one_transaction() {
    let mut front = Front::start(100);
    front.invited(0, "a1");
    assert_eq!(invite(&front.run(1, 5_900)), None, "no second INVITE: only repeats");
    assert_eq!(front.engine.load().sessions, 1);
}

#[test]
fn redial_within_a_millisecond_is_a_session_of_its_own() {
    let mut front = Front::start(100);
    front.invited(0, "a1");
    front.hang_up(50, "a1");
    front.dial(50, "a2", "1004711");
    let sent = front.sent(50);
    assert_eq!((count(&sent, Verb::DeleteConnection), front.engine.load().sessions), (1, 1));
    // What is taken down is the first try's call, not the second's.
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
    let sent = front.sent(5);
    assert_eq!((invite(&sent), answers(&sent).len(), front.engine.load().sessions), (None, 0, 0));
}

#[test]
fn deadline_inside_the_release_wait_ends_the_session_at_once() {
    let mut front = Front::start(100);
    front.ask(0, gateway(), "NTFY norte/1@g", "X-Try: a1|X-Patience: 1000|O: L/hd, D/1, D/0, D/0, D/1");
    let (transaction, to) = invite(&front.sent(0)).unwrap();
    front.respond(850, to, Response::new(405, transaction));
    assert_eq!(answers(&front.sent(850)), ["busy"]);
    assert_eq!(answers(&front.run(851, 3_000)).len(), 0);
}

#[test]
fn stalled_host_answers_each_session_once() {
    let mut front = Front::start(100);
    front.ask(0, gateway(), "NTFY norte/1@g", "X-Try: a1|X-Patience: 1000|O: L/hd, D/1, D/0, D/0, D/1");
    let (transaction, to) = invite(&front.sent(0)).unwrap();
    // Two seconds later everything is there at once: the answer, the hang-up and the passed limit.
    front.establish(2_000, to, transaction, 5);
    front.hang_up(2_000, "a1");
    let sent = front.run(2_000, 2_100);
    assert!(answers(&sent).len() <= 1, "{sent:?}");
    assert_eq!(count(&sent, Verb::DeleteConnection), 1, "and nothing is left standing");
}

#[test_case("X-Try: |O: L/hd, D/1", 510, 0; "no id of a try")]
#[test_case("X-Try: xyz|O: L/hd, D/1", 510, 0; "an id that is no hexadecimal")]
#[test_case("X-Try: a1|O: L/hd, D/9", 200, 1; "a number that means nothing")]
#[test_case("X-Try: a1|O: L/hf", 200, 0; "an event that means nothing here")]
fn invalid_notification_is_rejected(parameters: &str, code: u16, failed: usize) {
    let mut front = Front::start(100);
    front.ask(0, gateway(), "NTFY norte/1@g", parameters);
    let sent = front.sent(0);
    assert!(matches!(sent[0], Sent::Response(own, _) if own == code), "{sent:?}");
    assert_eq!((answers(&sent).len(), front.engine.load().sessions), (failed, 0));
}

#[test_case(&[]; "zero bytes")]
#[test_case(&[b'x'; 65_507]; "64 KiB")]
#[test_case(b"NTFY 1 \xff\xfe@g MGCP 1.0"; "not UTF-8")]
#[test_case(b"NTFY 1 a\0b@g MGCP 1.0"; "nul in the endpoint")]
fn invalid_datagram_is_ignored_and_reported(bytes: &[u8]) {
    let mut front = Front::start(100);
    front.events();
    front.receive(0, gateway(), bytes);
    assert!(matches!(front.events()[..], [EngineEvent::MessageIgnored { .. }]));
    front.invited(1, "a1");
}

#[test]
fn datagram_with_too_many_parameter_lines_is_rejected() {
    let mut front = Front::start(100);
    let text = format!("NTFY 9 norte/1@g MGCP 1.0\r\n{}", "X:\n".repeat(4_000));
    front.receive(0, gateway(), text.as_bytes());
    assert_eq!(front.sent(0), [Sent::Response(510, 9)]);
}

#[test]
fn held_sessions_are_bounded() {
    let mut front = Front::start(100);
    for index in 0..60 {
        front.dial(index, &format!("a{index}"), "1004711");
    }
    let sent = front.sent(60);
    assert!(front.engine.load().sessions <= 50 && answers(&sent).len() >= 10);
}

#[test_case(2_000, true; "older than its caller waits")]
#[test_case(300, false; "younger than that")]
fn attempt_that_was_unread_during_a_stall_counts_its_age(still_ms: u64, over: bool) {
    let mut front = Front::start(100);
    front.sent(0);
    let now = 100 + still_ms;
    front.ask(
        now,
        gateway(),
        "NTFY norte/1@g",
        "X-Try: a1|X-Patience: 1500|O: L/hd, D/1, D/0, D/0, D/4, D/7, D/1, D/1",
    );
    let sent = front.sent(now);
    assert_eq!(invite(&sent).is_none(), over, "{sent:?}");
    assert_eq!(answers(&sent).len(), usize::from(over), "{sent:?}");
}

#[test]
fn answer_of_another_peer_does_not_end_the_transaction() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.establish(10, server(1), transaction, 7);
    front.establish(30, to, transaction, 5);
    let sent = front.sent(30);
    assert_eq!(answers(&sent), ["established"]);
    // What the other peer set up by that id is nobody's.
    assert_eq!(count(&sent, Verb::DeleteConnection), 1, "{sent:?}");
}

/// Two INVITEs that are each answered late share the repeats that one would have seen: two and four, not eight.
#[test]
fn repeats_of_all_invites_of_a_session_are_bounded_together() {
    let mut front = Front::start(100);
    let (first, to) = front.invited(0, "a1");
    front.run(1, 3_600);
    front.respond(3_600, to, Response::new(405, first));
    let (second, to) = invite(&front.run(3_600, 3_900)).unwrap();
    front.run(3_901, 7_600);
    front.respond(7_600, to, Response::new(405, second));
    assert_eq!(answers(&front.run(7_600, 9_000)), ["busy"]);
    assert_eq!(front.invites, 2 + 4);
}
