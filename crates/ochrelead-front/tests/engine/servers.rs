//! Servers that restart, drain, move or leave the list.

use ochrelead_front::events::EngineEvent;
use ochrelead_mgcp::message::Verb;
use test_case::test_case;

use crate::helper::{Front, SETTINGS, Sent, answers, at, count, gateway, invite, server};

#[test_case("forced", 1; "forced")]
#[test_case("restart", 1; "restarted on the same address")]
fn server_restart_in_the_middle_of_set_ups_ends_its_calls(method: &str, redone: usize) {
    let mut front = Front::start(100);
    let (standing, _) = front.invited(0, "a1");
    front.establish(20, server(0), standing, 5);
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
    front.establish(270, server(0), lost, 6);
    let sent = front.sent(270);
    assert_eq!((count(&sent, Verb::DeleteConnection), answers(&sent).len()), (1, 0));
}

#[test]
fn draining_server_gets_no_invite_for_an_attempt_queued_before() {
    let mut front = Front::start(100);
    // Both wait in the socket: the host takes all before it turns.
    front.dial(10, "a1", "1004711");
    front.ask(10, server(0), "RSIP *@s0", "RM: graceful|RD: 5");
    assert_eq!(invite(&front.sent(10)).unwrap().1, server(1));
    front.ask(20, server(0), "RSIP *@s0", "RM: cancel-graceful");
    assert_eq!(front.invited(600, "a2").1, server(0), "back in service");
}

#[test]
fn release_by_the_server_reaches_the_caller_and_frees_the_session() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.establish(20, to, transaction, 5);
    front.sent(20);
    front.ask(500, server(1), "DLCX trunk/5@s1", "C: a1");
    let Sent::Response(516, _) = front.sent(500)[0] else { panic!("not this server's call") };
    front.ask(510, to, "DLCX trunk/5@s0", "C: a1|E: 900");
    let sent = front.sent(510);
    assert!(matches!(sent[0], Sent::Response(250, _)));
    assert_eq!(
        (count(&sent, Verb::DeleteConnection), answers(&sent).len(), front.engine.load().sessions),
        (1, 0, 0)
    );
}

#[test]
fn endpoint_change_is_reported() {
    let mut front = Front::start(100);
    front.events();
    front.ask(10, server(1), "RSIP *@s1", "RM: restart");
    let lists: Vec<_> = front
        .events()
        .into_iter()
        .filter_map(
            |event| if let EngineEvent::EndpointsChanged(servers) = event { Some(servers) } else { None },
        )
        .collect();
    assert_eq!(lists[0][1].endpoint.started, Some(at(10)));
    front.ask(20, gateway(), "RSIP *@s1", "RM: forced");
    front.sent(20);
    assert!(
        !front.events().iter().any(|event| matches!(event, EngineEvent::EndpointsChanged(_))),
        "only the server itself is believed"
    );
}

#[test]
fn call_is_released_at_its_process_after_servers_swapped_addresses() {
    let mut front = Front::start(100);
    let (transaction, to) = front.invited(0, "a1");
    front.establish(20, to, transaction, 5);
    front.sent(20);
    let mut posts = ochrelead_config::front_config::parse("test", SETTINGS).unwrap().servers;
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
fn empty_list_rejects_every_session_at_once() {
    let mut front = Front::start(100);
    front.engine.update_endpoints(at(0), &[]);
    front.dial(10, "a1", "1004711");
    let sent = front.sent(10);
    assert_eq!((answers(&sent), invite(&sent)), (vec!["busy"], None));
}

#[test]
fn call_established_just_before_a_late_restart_is_released() {
    let mut front = Front::start(100);
    let (first, to) = front.invited(0, "a1");
    front.establish(30, to, first, 5);
    front.sent(30);
    front.run(31, 4_990);
    let (second, to) = front.invited(5_000, "a2");
    front.establish(5_030, to, second, 6);
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

#[test]
fn send_failure_to_an_old_address_does_not_end_the_invite() {
    let mut front = Front::start(100);
    let mut posts = ochrelead_config::front_config::parse("test", SETTINGS).unwrap().servers;
    posts[0].address = server(7);
    front.engine.update_endpoints(at(0), &posts);
    front.dial(100, "a1", "1004711");
    let (transaction, to) = invite(&front.sent(100)).expect("set up at the new address");
    assert_eq!(to, server(7));
    front.engine.on_send_failed(at(110), server(0));
    assert_eq!(answers(&front.sent(110)).len(), 0);
    front.establish(120, to, transaction, 5);
    assert_eq!(answers(&front.sent(120)), ["established"]);
}
