//! Servers that restart, drain, change their address or are removed from the list.

use ochrelead_front::events::EngineEvent;
use ochrelead_mgcp::message::Verb;
use test_case::test_case;

use crate::helper::{
    Front, SETTINGS, Sent, at, count_commands, final_answers, first_invite, gateway, server,
};

#[test_case("forced", 1; "forced shutdown")]
#[test_case("restart", 1; "restarted on the same address")]
fn server_restart_ends_its_calls_and_retries_open_set_ups(method: &str, retries: usize) {
    let mut front = Front::start(100);
    let (established, _) = front.dial_and_take_invite(0, "a1");
    front.respond_established(20, server(0), established, 5);
    let (open_invite, _) = front.dial_and_take_invite(30, "a2");
    front.receive_command(40, server(0), "RSIP *@s0", &format!("RM: {method}"));
    let sent = front.run(40, 239);
    assert_eq!(first_invite(&sent), None, "the release is awaited");
    let caller_released = sent.iter().any(|sent| {
        matches!(sent, Sent::Command(Verb::DeleteConnection, to, c)
            if *to == gateway() && c.parameters.get("C") == Some("a1"))
    });
    assert!(caller_released, "the caller of the established call gets a DLCX: {sent:?}");
    let retried = front.run(240, 260);
    assert_eq!(
        (count_commands(&retried, Verb::CreateConnection), first_invite(&retried).unwrap().1),
        (retries, server(1))
    );
    // A late answer of the former process gets no final answer for the caller, but its call is released.
    front.respond_established(270, server(0), open_invite, 6);
    let sent = front.process_at(270);
    assert_eq!((count_commands(&sent, Verb::DeleteConnection), final_answers(&sent).len()), (1, 0));
}

#[test]
fn draining_server_gets_no_invite_for_an_attempt_received_before_the_announcement() {
    let mut front = Front::start(100);
    // The host reads all datagrams that wait in the socket before it calls `process`.
    front.dial(10, "a1", "1004711");
    front.receive_command(10, server(0), "RSIP *@s0", "RM: graceful|RD: 5");
    assert_eq!(first_invite(&front.process_at(10)).unwrap().1, server(1));
    front.receive_command(20, server(0), "RSIP *@s0", "RM: cancel-graceful");
    assert_eq!(front.dial_and_take_invite(600, "a2").1, server(0), "back in service");
}

#[test]
fn release_by_the_server_releases_the_caller_side_and_ends_the_session() {
    let mut front = Front::start(100);
    let (transaction, to) = front.dial_and_take_invite(0, "a1");
    front.respond_established(20, to, transaction, 5);
    front.process_at(20);
    front.receive_command(500, server(1), "DLCX trunk/5@s1", "C: a1");
    let Sent::Response(516, _) = front.process_at(500)[0] else {
        panic!("expected 516: the call is not at this server")
    };
    front.receive_command(510, to, "DLCX trunk/5@s0", "C: a1|E: 900");
    let sent = front.process_at(510);
    assert!(matches!(sent[0], Sent::Response(250, _)));
    assert_eq!(
        (
            count_commands(&sent, Verb::DeleteConnection),
            final_answers(&sent).len(),
            front.engine.load().sessions
        ),
        (1, 0, 0)
    );
}

#[test]
fn restart_is_reported_only_if_the_server_itself_announces_it() {
    let mut front = Front::start(100);
    front.events();
    front.receive_command(10, server(1), "RSIP *@s1", "RM: restart");
    let lists: Vec<_> = front
        .events()
        .into_iter()
        .filter_map(
            |event| if let EngineEvent::EndpointsChanged(servers) = event { Some(servers) } else { None },
        )
        .collect();
    assert_eq!(lists[0][1].endpoint.started, Some(at(10)));
    front.receive_command(20, gateway(), "RSIP *@s1", "RM: forced");
    front.process_at(20);
    assert!(
        !front.events().iter().any(|event| matches!(event, EngineEvent::EndpointsChanged(_))),
        "an RSIP from another address must be ignored"
    );
}

#[test]
fn call_is_released_at_its_process_after_servers_exchanged_addresses() {
    let mut front = Front::start(100);
    let (transaction, to) = front.dial_and_take_invite(0, "a1");
    front.respond_established(20, to, transaction, 5);
    front.process_at(20);
    let mut endpoints = ochrelead_config::front_config::parse("test", SETTINGS).unwrap().servers;
    (endpoints[0].address, endpoints[1].address) = (endpoints[1].address, endpoints[0].address);
    front.engine.update_endpoints(at(100), &endpoints);
    front.hang_up(200, "a1");
    let sent = front.process_at(200);
    let Sent::Command(Verb::DeleteConnection, to, release) = &sent[1] else { panic!("{sent:?}") };
    assert_eq!((*to, release.endpoint.to_string().as_str()), (server(0), "trunk/5@s0"));
    // A new call is set up at the new address of its server.
    front.dial(300, "a2", "1004711");
    assert_eq!(first_invite(&front.process_at(300)).unwrap().1, server(1));
}

#[test]
fn session_is_rejected_at_once_if_the_server_list_is_empty() {
    let mut front = Front::start(100);
    front.engine.update_endpoints(at(0), &[]);
    front.dial(10, "a1", "1004711");
    let sent = front.process_at(10);
    assert_eq!((final_answers(&sent), first_invite(&sent)), (vec!["busy"], None));
}

#[test]
fn call_established_shortly_before_a_restart_announcement_is_released() {
    let mut front = Front::start(100);
    let (first, to) = front.dial_and_take_invite(0, "a1");
    front.respond_established(30, to, first, 5);
    front.process_at(30);
    front.run(31, 4_990);
    let (second, to) = front.dial_and_take_invite(5_000, "a2");
    front.respond_established(5_030, to, second, 6);
    front.process_at(5_030);
    front.receive_command(5_100, to, "RSIP *@s0", "RM: restart");
    let sent = front.process_at(5_100);
    let released_at_server: Vec<String> = sent
        .iter()
        .filter_map(|sent| match sent {
            Sent::Command(Verb::DeleteConnection, destination, command) if *destination == to => {
                Some(command.endpoint.to_string())
            }
            _ => None,
        })
        .collect();
    assert_eq!(released_at_server, ["trunk/6@s0"], "the older call ended with the former process: {sent:?}");
}

#[test]
fn send_failure_to_an_old_address_does_not_end_the_invite() {
    let mut front = Front::start(100);
    let mut endpoints = ochrelead_config::front_config::parse("test", SETTINGS).unwrap().servers;
    endpoints[0].address = server(7);
    front.engine.update_endpoints(at(0), &endpoints);
    front.dial(100, "a1", "1004711");
    let (transaction, to) = first_invite(&front.process_at(100)).expect("no INVITE was sent");
    assert_eq!(to, server(7));
    front.engine.on_send_failed(at(110), server(0));
    assert_eq!(final_answers(&front.process_at(110)).len(), 0);
    front.respond_established(120, to, transaction, 5);
    assert_eq!(final_answers(&front.process_at(120)), ["established"]);
}
