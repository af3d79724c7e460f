//! Emulated servers, callers and network behave as configured by a scenario.

use std::net::SocketAddr;

use ochrelead_config::scenario::{self, Scenario};
use ochrelead_core::time::{Moment, Span};
use ochrelead_emulator::Peer;
use ochrelead_emulator::callers::Callers;
use ochrelead_emulator::network::{LinkFault, Network};
use ochrelead_emulator::server::{Server, ServerConfig};
use ochrelead_mgcp::message::{Command, Message, Response, Verb, code, parameter};
use ochrelead_mgcp::{parse, write};
use test_case::test_case;

const SCENARIO: &str = r#"seed: 1 length_ms: 20000 fronts: 1
front { release_wait_ms: 200
  service { name: "check" dialled: "1" value: 1 post_dial_target_ms: 1500 timer_limit_ms: 9000 usual_hold_ms: 1000 }
}
stand_in { sessions_per_s: 10 lines: 8 queue_ms: 1000 cold_share: 0.3 warm_ms: 10000 told_ms: 60000 look: 0.1 reject: 0.1 repeat: 0.5 follow: 0.5 }
callers { sessions_per_s: 5 service_share: 1 redials: 1 back_off_ms: 500 honour: 1 patience: 0.2 }
"#;

fn at(ms: u64) -> Moment {
    Moment::from_micros(1_000_000 + ms * 1_000)
}

fn front() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

fn scenario_with(extra_fields: &str) -> Scenario {
    scenario::parse("day", &format!("{SCENARIO}{extra_fields}")).unwrap()
}

/// Runs a peer from one time to another, in steps of 1 ms. Returns the messages that it sent, with their times in ms.
fn run(peer: &mut impl Peer, from: u64, to: u64) -> Vec<(u64, Message)> {
    let mut sent = Vec::new();
    for ms in from..=to {
        peer.process(at(ms));
        while let Some((_, bytes)) = peer.poll_datagram() {
            sent.extend(parse::datagram(&bytes).unwrap().into_iter().map(|message| (ms, message.unwrap())));
        }
    }
    sent
}

fn server(extra_fields: &str, is_cold: bool) -> Server {
    server_of(&scenario_with(extra_fields), is_cold)
}

fn server_of(scenario: &Scenario, is_cold: bool) -> Server {
    let config = ServerConfig {
        scenario,
        index: 0,
        name: "s0".to_owned(),
        fronts: vec![front()],
        scenario_start: at(0),
        is_cold,
    };
    Server::new(config, at(0))
}

fn send_command(peer: &mut impl Peer, ms: u64, verb: Verb, id: u32, call: &str) {
    let command = Command::new(verb, id, "trunk/*@s0".parse().unwrap())
        .with(parameter::CALL_ID, call)
        .with(parameter::CALLED_NUMBER, format!("100{call}"));
    peer.handle_datagram(at(ms), front(), &write::datagram(&[Message::Command(command)]));
}

/// Returns the codes of the responses, with their times in ms.
fn codes(sent: &[(u64, Message)]) -> Vec<(u64, u16)> {
    let code = |(ms, message): &(u64, Message)| match message {
        Message::Response(response) => Some((*ms, response.code)),
        Message::Command(_) => None,
    };
    sent.iter().filter_map(code).collect()
}

#[test]
fn set_ups_and_answers_are_processed_in_queue_order() {
    // The server carries 10 sessions per second, and an answer or a release has half the work of a set-up: a set-up
    // takes 50 ms, an answer 25 ms and a release 25 ms.
    let mut server = server("", false);
    send_command(&mut server, 0, Verb::CreateConnection, 1, "a");
    send_command(&mut server, 0, Verb::CreateConnection, 2, "b");
    assert_eq!(
        codes(&run(&mut server, 0, 400)),
        [(125, 200), (150, 200)],
        "answers are queued behind set-ups"
    );
    assert_eq!(server.established_calls(), 2);
    send_command(&mut server, 500, Verb::DeleteConnection, 3, "a");
    assert_eq!(codes(&run(&mut server, 500, 900)), [(525, 250)]);
    assert_eq!(server.established_calls(), 1);
}

#[test]
fn retransmission_costs_work_and_takes_no_second_circuit() {
    let mut server = server("", false);
    for ms in [0, 10, 20] {
        send_command(&mut server, ms, Verb::CreateConnection, 1, "a");
    }
    assert_eq!(
        codes(&run(&mut server, 20, 400)),
        [(145, 200)],
        "two retransmissions, at half the work of a set-up each, are processed before the answer"
    );
    send_command(&mut server, 500, Verb::CreateConnection, 1, "a");
    assert_eq!(
        (codes(&run(&mut server, 500, 900)), server.established_calls()),
        (vec![(500, 200)], 1),
        "answered at once from the history"
    );
}

#[test_case(40, code::OVERLOAD; "queue delay above its limit")]
#[test_case(9, code::NO_ENDPOINT; "no free line")]
fn set_up_beyond_queue_or_line_limit_is_rejected(set_ups: u32, code: u16) {
    let mut server = server("", false);
    let gap = if code == code::OVERLOAD { 0 } else { 300 };
    let mut seen = Vec::new();
    for index in 0..set_ups {
        let ms = u64::from(index) * gap;
        send_command(&mut server, ms, Verb::CreateConnection, index + 1, &format!("{index}"));
        seen.extend(codes(&run(&mut server, ms, ms + gap)));
    }
    assert!(seen.iter().any(|(_, seen)| *seen == code), "{seen:?}");
}

#[test_case("", 130; "processed in full")]
#[test_case("cancel_drops: true", 85; "discarded")]
fn cancelled_set_up_is_aborted(server_field: &str, answered_at: u64) {
    let text = SCENARIO.replace("queue_ms", &format!("{server_field} queue_ms"));
    let mut server = server_of(&scenario::parse("day", &text).unwrap(), false);
    send_command(&mut server, 0, Verb::CreateConnection, 1, "a");
    send_command(&mut server, 0, Verb::CreateConnection, 2, "b");
    run(&mut server, 0, 0);
    send_command(&mut server, 1, Verb::DeleteConnection, 3, "b");
    let seen = codes(&run(&mut server, 1, 1_000));
    assert!(seen.iter().any(|(_, code)| *code == 407), "{seen:?}");
    let first = seen.iter().find(|(_, code)| *code == 200).unwrap().0;
    assert_eq!((first, server.established_calls()), (answered_at, 1), "{seen:?}");
}

#[test_case(5, false; "work within the overload limit")]
#[test_case(100, true; "work beyond the overload limit")]
fn cold_server_crashes_when_overloaded(set_ups: u32, crashes: bool) {
    let mut server = server("", true);
    let started = run(&mut server, 0, 0);
    assert!(matches!(&started[0].1, Message::Command(c) if c.parameters.get("RM") == Some("restart")));
    for index in 0..set_ups {
        let ms = 100 + u64::from(index) * 5;
        send_command(&mut server, ms, Verb::CreateConnection, index + 1, &format!("{index}"));
        run(&mut server, ms, ms);
    }
    assert_eq!(server.has_crashed(), crashes);
}

#[test_case("silent", 0; "silent")]
#[test_case("vanish", 0; "vanished")]
#[test_case("slow", 1; "slow")]
fn faulty_server_answers_late_or_not_at_all(kind: &str, answers: usize) {
    let mut server =
        server(&format!("trouble {{ kind: \"{kind}\" at_ms: 0 length_ms: 5000 which: 0 size: 4 }}"), false);
    run(&mut server, 0, 1);
    send_command(&mut server, 1, Verb::CreateConnection, 1, "a");
    let seen = codes(&run(&mut server, 2, 900));
    assert_eq!(seen.len(), answers, "{seen:?}");
    assert!(seen.iter().all(|(ms, _)| *ms >= 300), "four times slower: {seen:?}");
}

#[test]
fn drain_is_announced_and_calls_of_the_replaced_process_are_cut() {
    let mut server = server("trouble { kind: \"replaced\" at_ms: 500 length_ms: 1000 which: 0 }", false);
    send_command(&mut server, 0, Verb::CreateConnection, 1, "a");
    let sent = run(&mut server, 0, 1_600);
    let commands: Vec<(u64, Verb)> = sent
        .iter()
        .filter_map(|(ms, message)| match message {
            Message::Command(command) if *ms >= 500 => Some((*ms, command.verb)),
            _ => None,
        })
        .collect();
    assert_eq!(commands[0], (500, Verb::RestartInProgress));
    assert!(
        commands.contains(&(1_500, Verb::DeleteConnection))
            && commands.contains(&(1_500, Verb::RestartInProgress))
    );
    assert_eq!(server.established_calls(), 0);
}

#[test]
fn rejected_caller_redials_after_the_retry_after_and_is_connected() {
    let mut callers = Callers::new(scenario_with(""), vec![front()], at(0), at(0));
    let mut attempts = Vec::new();
    let mut answered = 0;
    for ms in 0..19_000 {
        for (_, message) in run(&mut callers, ms, ms) {
            let Message::Command(command) = message else { continue };
            let response = Response::new(200, command.transaction);
            callers.handle_datagram(at(ms), front(), &write::datagram(&[Message::Response(response)]));
            let attempt = command.parameters.get(parameter::ATTEMPT).unwrap().to_owned();
            if !command.parameters.get(parameter::OBSERVED_EVENTS).unwrap().contains("hd")
                || attempts.iter().any(|(known, _)| *known == attempt)
            {
                continue;
            }
            attempts.push((attempt.clone(), ms));
            answered += 1;
            let line = command.endpoint.clone();
            let answer = if attempt.ends_with("01") {
                Command::new(Verb::NotificationRequest, answered, line)
                    .with("S", "L/bz")
                    .with("X-Come-Back", 300)
            } else {
                Command::new(Verb::ModifyConnection, answered, line).with("M", "sendrecv")
            };
            let bytes = write::datagram(&[Message::Command(answer.with(parameter::ATTEMPT, &attempt))]);
            callers.handle_datagram(at(ms), front(), &bytes);
        }
    }
    let redials: Vec<_> = attempts.iter().filter(|(attempt, _)| attempt.ends_with("02")).collect();
    assert!(redials.len() > 40, "{}", redials.len());
    for (attempt, ms) in redials {
        let first = attempts.iter().find(|(known, _)| known[..8] == attempt[..8]).unwrap().1;
        assert!((300..=301).contains(&(ms - first)), "redials 300 ms after its first attempt");
    }
    assert!(
        !attempts.iter().any(|(attempt, _)| attempt.ends_with("03")),
        "a connected caller does not redial"
    );
}

#[test]
fn same_seed_gives_the_same_callers() {
    let datagrams = || run(&mut Callers::new(scenario_with(""), vec![front()], at(0), at(0)), 0, 5_000);
    assert_eq!(datagrams(), datagrams());
}

#[test_case(0.0, &[], 100; "no loss")]
#[test_case(1.0, &[], 0; "total loss")]
#[test_case(0.0, &[(Some(1), None)], 0; "link fault from the sender")]
#[test_case(0.0, &[(Some(2), Some(1))], 100; "link fault in the opposite direction")]
fn datagrams_arrive_unless_lost_or_affected_by_a_link_fault(
    loss: f64,
    faults: &[(Option<u8>, Option<u8>)],
    arrive: usize,
) {
    let config = scenario::EmulatedNetwork {
        delay: Span::from_millis(5),
        jitter: 0.2,
        loss,
        duplicated: 0.0,
        reordered: 0.2,
    };
    let fault = |(from, to): &(Option<u8>, Option<u8>)| LinkFault {
        from: *from,
        to: *to,
        start: at(0),
        end: at(9),
        loss: 1.0,
    };
    let mut network = Network::new(config, faults.iter().map(fault).collect(), 7);
    (0..100).for_each(|_| network.send(at(1), 1u8, 2u8, b"x"));
    assert!(network.poll_arrival(at(1)).is_none(), "no datagram arrives without delay");
    assert_eq!(std::iter::from_fn(|| network.poll_arrival(at(60))).count(), arrive);
}
