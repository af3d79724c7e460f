//! A session from the caller's datagram to its final answer, through what goes wrong on the way.

mod helper;

use helper::{Front, Sent, answers, at, count, gateway, invite, server};
use ochrelead_front::events::EngineEvent;
use ochrelead_mgcp::message::{Response, Verb};
use test_case::test_case;

#[test]
fn a_session_stands_and_is_released() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    assert_eq!(to, server(0), "its destination");
    front.stands(30, to, transaction, 5);
    let sent = front.sent(30);
    assert_eq!(answers(&sent), ["stands"]);
    let Sent::Command(_, at_gateway, connect) = &sent[0] else { panic!() };
    assert_eq!((at_gateway, connect.parameters.get("X-Far")), (&gateway(), Some("i5 trunk/5@s0")));
    front.hang_up(2_000, "a1");
    let sent = front.sent(2_000);
    let Sent::Command(Verb::DeleteConnection, to, release) = &sent[1] else { panic!("{sent:?}") };
    assert_eq!((*to, release.endpoint.to_string().as_str()), (server(0), "trunk/5@s0"));
    let response = Response::new(250, release.transaction).with("X-Lines", "9/10");
    front.respond(2_010, server(0), response);
    assert_eq!((front.sent(2_010), front.engine.load().0), (vec![], 0));
}

#[test_case(409, true; "processor full")]
#[test_case(403, true; "no line")]
#[test_case(410, true; "no circuit")]
#[test_case(500, false; "a fault is not sent again")]
#[test_case(401, false; "the called line is busy")]
fn a_refused_set_up(code: u16, again: bool) {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.respond(20, to, Response::new(code, transaction));
    let sent = front.sent(20);
    assert_eq!(invite(&sent).map(|(_, to)| to), again.then_some(server(1)));
    assert_eq!(answers(&sent).len(), usize::from(!again));
}

#[test_case(405; "restarting")]
#[test_case(407; "aborted")]
fn the_release_is_awaited_after(code: u16) {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.respond(20, to, Response::new(code, transaction));
    assert_eq!(invite(&front.run(20, 219)), None);
    assert_eq!(invite(&front.run(220, 221)).map(|(_, to)| to), Some(server(1)));
}

#[test]
fn a_hang_up_that_crosses_the_answer_takes_the_call_down() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.hang_up(50, "a1");
    let sent = front.sent(50);
    assert_eq!(count(&sent, Verb::DeleteConnection), 1, "called off");
    front.stands(51, to, transaction, 5);
    let sent = front.run(51, 4_000);
    assert_eq!((count(&sent, Verb::DeleteConnection), answers(&sent).len()), (1, 0), "{sent:?}");
    assert_eq!(front.engine.load().0, 0);
}

#[test]
fn an_answer_after_the_time_out_takes_the_call_down_and_changes_nothing() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    let sent = front.run(1, 9_000);
    assert_eq!(answers(&sent), ["busy"], "one final answer before the timer limit");
    assert_eq!(count(&sent, Verb::DeleteConnection), 2, "the call is off, there and where it was sent again");
    front.stands(9_100, to, transaction, 5);
    front.stands(9_101, to, transaction, 5);
    let sent = front.run(9_101, 12_000);
    assert_eq!((count(&sent, Verb::DeleteConnection), answers(&sent).len()), (1, 0), "{sent:?}");
}

#[test]
fn a_doubled_answer_connects_once() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    (0..3).for_each(|nth| front.stands(30 + nth, to, transaction, 5));
    let sent = front.sent(40);
    assert_eq!((answers(&sent), count(&sent, Verb::DeleteConnection)), (vec!["stands"], 0));
}

#[test]
fn a_set_up_that_gets_lost_is_repeated_under_one_transaction() {
    let mut front = Front::start(100);
    front.invited(0, "a1");
    assert_eq!(invite(&front.run(1, 5_900)), None, "no second INVITE: only repeats");
    assert_eq!(front.engine.load().0, 1);
}

#[test]
fn a_redial_within_a_millisecond_is_a_session_of_its_own() {
    let mut front = Front::start(100);
    front.invited(0, "a1");
    front.hang_up(50, "a1");
    front.dial(50, "a2", "1004711");
    let sent = front.sent(50);
    assert_eq!((count(&sent, Verb::DeleteConnection), front.engine.load().0), (1, 1));
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
fn a_hang_up_that_overtakes_its_try_takes_no_session() {
    let mut front = Front::start(100);
    front.hang_up(0, "a1");
    front.dial(5, "a1", "1004711");
    let sent = front.sent(5);
    assert_eq!((invite(&sent), answers(&sent).len(), front.engine.load().0), (None, 0, 0));
}

#[test_case("forced", 1; "forced")]
#[test_case("restart", 1; "restarted on the same address")]
fn a_server_that_goes_in_the_middle_of_set_ups(method: &str, redone: usize) {
    let mut front = Front::start(100);
    let (standing, _) = front.invited(0, "a1");
    front.stands(20, server(0), standing, 5);
    let (lost, _) = front.invited(30, "a2");
    front.ask(40, server(0), "RSIP *@s0", &format!("RM: {method}"));
    let sent = front.run(40, 239);
    assert_eq!(invite(&sent), None, "the release is awaited");
    let cut = sent.iter().any(|sent| {
        matches!(sent, Sent::Command(Verb::DeleteConnection, to, c)
            if *to == gateway() && c.parameters.get("C") == Some("a1"))
    });
    assert!(cut, "the caller of the call that stood is told: {sent:?}");
    let again = front.run(240, 260);
    assert_eq!((count(&again, Verb::CreateConnection), invite(&again).unwrap().1), (redone, server(1)));
    // The old process's answer means nothing any more, but what it says is set up is taken down.
    front.stands(270, server(0), lost, 6);
    let sent = front.sent(270);
    assert_eq!((count(&sent, Verb::DeleteConnection), answers(&sent).len()), (1, 0));
}

#[test]
fn nothing_new_goes_to_a_server_that_drains_though_its_try_was_queued_before() {
    let mut front = Front::start(100);
    // Both wait in the socket: the host takes all before it turns.
    front.dial(10, "a1", "1004711");
    front.ask(10, server(0), "RSIP *@s0", "RM: graceful|RD: 5");
    assert_eq!(invite(&front.sent(10)).unwrap().1, server(1));
    front.ask(20, server(0), "RSIP *@s0", "RM: cancel-graceful");
    assert_eq!(front.invited(600, "a2").1, server(0), "back in service");
}

#[test]
fn a_cut_by_the_server_reaches_the_caller_and_frees_the_session() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.stands(20, to, transaction, 5);
    front.sent(20);
    front.ask(500, server(1), "DLCX trunk/5@s1", "C: a1");
    let Sent::Response(516, _) = front.sent(500)[0] else { panic!("not this server's call") };
    front.ask(510, to, "DLCX trunk/5@s0", "C: a1|E: 900");
    let sent = front.sent(510);
    assert!(matches!(sent[0], Sent::Response(250, _)));
    assert_eq!(
        (count(&sent, Verb::DeleteConnection), answers(&sent).len(), front.engine.load().0),
        (1, 0, 0)
    );
}

#[test]
fn a_front_started_anew_takes_down_what_the_old_process_set_up() {
    let mut old = Front::start(100);
    let (transaction, to) = old.invited(0, "a1");
    let mut new = Front::start(5_000);
    new.stands(900, to, transaction, 5);
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
fn a_try_that_hung_up_at_a_front_started_anew_is_not_set_up_again() {
    // The front that took it was killed, and its answer to the try's NTFY had got lost.
    let mut new = Front::start(100);
    new.ask(0, gateway(), "NTFY norte/1@g", "X-Try: b7|O: L/hu|X-Far: i9 trunk/9@s1");
    new.sent(0);
    for repeat in 0..2 {
        new.dial(500 + repeat, "b7", "1004711");
        let sent = new.sent(500 + repeat);
        assert_eq!((invite(&sent), answers(&sent).len(), new.engine.load().0), (None, 0, 0));
    }
}

#[test]
fn a_late_double_does_not_take_down_a_circuit_in_use() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.stands(20, to, transaction, 5);
    front.sent(20);
    front.stands(30, to, 77_777, 5);
    assert_eq!(front.sent(30), []);
}

#[test]
fn the_timer_limit_inside_the_release_wait_ends_the_session_at_once() {
    let mut front = Front::start(100);
    front.ask(0, gateway(), "NTFY norte/1@g", "X-Try: a1|X-Patience: 1000|O: L/hd, D/1, D/0, D/0, D/1");
    let (transaction, to) = invite(&front.sent(0)).unwrap();
    front.respond(850, to, Response::new(405, transaction));
    assert_eq!(answers(&front.sent(850)), ["busy"]);
    assert_eq!(answers(&front.run(851, 3_000)).len(), 0);
}

#[test]
fn a_host_that_stood_still_answers_each_session_once() {
    let mut front = Front::start(100);
    front.ask(0, gateway(), "NTFY norte/1@g", "X-Try: a1|X-Patience: 1000|O: L/hd, D/1, D/0, D/0, D/1");
    let (transaction, to) = invite(&front.sent(0)).unwrap();
    // Two seconds later everything is there at once: the answer, the hang-up and the passed limit.
    front.stands(2_000, to, transaction, 5);
    front.hang_up(2_000, "a1");
    let sent = front.run(2_000, 2_100);
    assert!(answers(&sent).len() <= 1, "{sent:?}");
    assert_eq!(count(&sent, Verb::DeleteConnection), 1, "and nothing is left standing");
}

#[test_case("X-Try: |O: L/hd, D/1", 510, 0; "no id of a try")]
#[test_case("X-Try: xyz|O: L/hd, D/1", 510, 0; "an id that is no hexadecimal")]
#[test_case("X-Try: a1|O: L/hd, D/9", 200, 1; "a number that means nothing")]
#[test_case("X-Try: a1|O: L/hf", 200, 0; "an event that means nothing here")]
fn odd_notifications(parameters: &str, code: u16, failed: usize) {
    let mut front = Front::start(100);
    front.ask(0, gateway(), "NTFY norte/1@g", parameters);
    let sent = front.sent(0);
    assert!(matches!(sent[0], Sent::Response(own, _) if own == code), "{sent:?}");
    assert_eq!((answers(&sent).len(), front.engine.load().0), (failed, 0));
}

#[test_case(&[]; "zero bytes")]
#[test_case(&[b'x'; 65_507]; "64 KiB")]
#[test_case(b"NTFY 1 \xff\xfe@g MGCP 1.0"; "not UTF-8")]
#[test_case(b"NTFY 1 a\0b@g MGCP 1.0"; "nul in the endpoint")]
fn bad_datagrams_are_passed_over_with_a_line(bytes: &[u8]) {
    let mut front = Front::start(100);
    front.notes();
    front.take(0, gateway(), bytes);
    assert!(matches!(front.notes()[..], [EngineEvent::MessageIgnored { .. }]));
    front.invited(1, "a1");
}

#[test]
fn a_datagram_of_ten_thousand_parameter_lines_is_refused_by_its_transaction() {
    let mut front = Front::start(100);
    let text = format!("NTFY 9 norte/1@g MGCP 1.0\r\n{}", "X:\n".repeat(4_000));
    front.take(0, gateway(), text.as_bytes());
    assert_eq!(front.sent(0), [Sent::Response(510, 9)]);
}

#[test]
fn a_drain_refuses_what_is_new_and_answers_what_it_holds() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.engine.drain(at(10));
    front.dial(20, "a2", "1004711");
    let sent = front.sent(20);
    assert_eq!((answers(&sent), invite(&sent)), (vec!["busy"], None));
    assert!(!front.engine.is_drained());
    front.stands(30, to, transaction, 5);
    let sent = front.sent(30);
    assert_eq!(answers(&sent), ["stands"]);
    for transaction in 1..200 {
        front.respond(40, gateway(), Response::new(200, transaction));
    }
    front.sent(40);
    assert!(front.engine.is_drained());
}

#[test]
fn a_drain_has_a_bound() {
    let mut front = Front::start(100);
    front.invited(0, "a1");
    front.engine.drain(at(0));
    let sent = front.run(0, 3_000);
    assert_eq!(answers(&sent), ["failed"]);
    front.run(3_001, 6_001);
    assert!(front.engine.is_drained(), "though no peer has responded");
}

#[test]
fn a_second_request_to_leave_changes_nothing() {
    let mut front = Front::start(100);
    front.invited(0, "a1");
    front.engine.drain(at(0));
    front.run(0, 2_900);
    front.engine.drain(at(2_900));
    assert_eq!(answers(&front.run(2_900, 3_000)), ["failed"], "the bound holds from the first");
    assert!(!front.engine.is_drained(), "its release is still owed");
}

#[test]
fn what_is_held_is_bounded() {
    let mut front = Front::start(100);
    for nth in 0..60 {
        front.dial(nth, &format!("a{nth}"), "1004711");
    }
    let sent = front.sent(60);
    assert!(front.engine.load().0 <= 50 && answers(&sent).len() >= 10);
}

#[test]
fn a_caller_whose_gateway_forgot_it_is_released() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.stands(20, to, transaction, 5);
    let Sent::Command(_, _, connect) = front.sent(20).remove(0) else { panic!() };
    front.respond(30, gateway(), Response::new(516, connect.transaction));
    let sent = front.sent(30);
    assert_eq!(count(&sent, Verb::DeleteConnection), 1);
}

#[test]
fn the_list_is_told_whenever_it_changes() {
    let mut front = Front::start(100);
    front.notes();
    front.ask(10, server(1), "RSIP *@s1", "RM: restart");
    let lists: Vec<_> = front
        .notes()
        .into_iter()
        .filter_map(|note| if let EngineEvent::EndpointsChanged(posts) = note { Some(posts) } else { None })
        .collect();
    assert_eq!(lists[0][1].0.started, Some(at(10)));
    front.ask(20, gateway(), "RSIP *@s1", "RM: forced");
    front.sent(20);
    assert!(
        !front.notes().iter().any(|note| matches!(note, EngineEvent::EndpointsChanged(_))),
        "only the server itself is believed"
    );
}

#[test]
fn a_call_is_released_at_the_process_that_has_it_though_two_servers_swapped_addresses() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.stands(20, to, transaction, 5);
    front.sent(20);
    let mut posts = ochrelead_config::front_config::parse("test", helper::SETTINGS).unwrap().servers;
    (posts[0].address, posts[1].address) = (posts[1].address, posts[0].address);
    front.engine.update_endpoints(at(100), &posts);
    front.hang_up(200, "a1");
    let sent = front.sent(200);
    let Sent::Command(Verb::DeleteConnection, to, release) = &sent[1] else { panic!("{sent:?}") };
    assert_eq!((*to, release.endpoint.to_string().as_str()), (server(0), "trunk/5@s0"));
    // What comes is set up at the new address of its destination.
    front.dial(300, "a2", "1004711");
    assert_eq!(invite(&front.sent(300)).unwrap().1, server(1));
}

#[test]
fn an_empty_list_refuses_every_session_at_once() {
    let mut front = Front::start(100);
    front.engine.update_endpoints(at(0), &[]);
    front.dial(10, "a1", "1004711");
    let sent = front.sent(10);
    assert_eq!((answers(&sent), invite(&sent)), (vec!["busy"], None));
}

#[test]
fn a_release_that_nobody_answers_is_asked_for_again_and_then_no_more() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.stands(30, to, transaction, 5);
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
fn an_invite_that_was_called_off_and_may_still_come(lost: bool, releases: usize) {
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

#[test]
fn a_call_that_was_set_up_just_before_late_news_of_a_restart_is_released_there() {
    let mut front = Front::start(100);
    let (first, to) = front.invited(0, "a1");
    front.stands(30, to, first, 5);
    front.sent(30);
    front.run(31, 4_990);
    let (second, to) = front.invited(5_000, "a2");
    front.stands(5_030, to, second, 6);
    front.sent(5_030);
    front.ask(5_100, to, "RSIP *@s0", "RM: restart");
    let sent = front.sent(5_100);
    let at_server: Vec<String> = sent
        .iter()
        .filter_map(|sent| match sent {
            Sent::Command(Verb::DeleteConnection, whom, command) if *whom == to => {
                Some(command.endpoint.to_string())
            }
            _ => None,
        })
        .collect();
    assert_eq!(at_server, ["trunk/6@s0"], "the older one went with the old process: {sent:?}");
}

#[test_case(2_000, true; "older than its caller waits")]
#[test_case(300, false; "younger than that")]
fn a_try_that_lay_unread_while_the_front_stood_still(still_ms: u64, over: bool) {
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
fn an_answer_of_another_peer_takes_nothing_from_the_one_that_was_asked() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.stands(10, server(1), transaction, 7);
    front.stands(30, to, transaction, 5);
    let sent = front.sent(30);
    assert_eq!(answers(&sent), ["stands"]);
    // What the other peer set up by that id is nobody's.
    assert_eq!(count(&sent, Verb::DeleteConnection), 1, "{sent:?}");
}

#[test]
fn a_datagram_that_could_not_leave_to_a_servers_old_address_ends_nothing_at_its_new_one() {
    let mut front = Front::start(100);
    let mut posts = ochrelead_config::front_config::parse("test", helper::SETTINGS).unwrap().servers;
    posts[0].address = server(7);
    front.engine.update_endpoints(at(0), &posts);
    front.dial(100, "a1", "1004711");
    let (transaction, to) = invite(&front.sent(100)).expect("set up at the new address");
    assert_eq!(to, server(7));
    front.engine.on_send_failed(at(110), server(0));
    assert_eq!(answers(&front.sent(110)).len(), 0);
    front.stands(120, to, transaction, 5);
    assert_eq!(answers(&front.sent(120)), ["stands"]);
}

/// Two INVITEs that are each answered late share the repeats that one would have seen: two and four, not eight.
#[test]
fn the_repeats_of_all_invites_of_a_session_are_bounded_together() {
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
