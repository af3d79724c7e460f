//! Transactions through loss, doubling, lateness and crowds.

use std::net::SocketAddr;

use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::exchange::{Claim, Exchange, News, Pace};
use ochrelead_mgcp::message::{Command, Message, Response, Verb, code};
use ochrelead_mgcp::{parse, write};
use test_case::test_case;

fn at(ms: u64) -> Moment {
    Moment::from_micros(1_000_000 + ms * 1_000)
}

fn peer() -> SocketAddr {
    "127.0.0.1:2427".parse().unwrap()
}

fn asked() -> Command {
    Command::new(Verb::CreateConnection, 1, "trunk/$@s1".parse().unwrap())
}

fn responded(code: u16, transaction: u32) -> Vec<u8> {
    write::datagram(&[Message::Response(Response::new(code, transaction))])
}

fn sent(exchange: &mut Exchange) -> Vec<Vec<u8>> {
    std::iter::from_fn(|| exchange.next_datagram()).map(|(_, bytes)| bytes).collect()
}

fn news(exchange: &mut Exchange) -> Vec<News> {
    std::iter::from_fn(|| exchange.next_news()).collect()
}

#[test]
fn repeats_come_at_doubling_gaps_until_given_up() {
    let mut exchange = Exchange::new(Pace { give_up: Span::from_secs(10), ..Pace::default() }, 5);
    exchange.ask(at(0), peer(), asked()).unwrap();
    let mut moments = Vec::new();
    for ms in 0..15_000 {
        exchange.tick(at(ms));
        moments.extend(sent(&mut exchange).iter().map(|_| ms));
    }
    assert_eq!(moments, [0, 500, 1_500, 3_500, 7_500]);
    assert!(matches!(news(&mut exchange)[..], [News::Unanswered { transaction: 6, .. }]));
    assert_eq!(exchange.load(), (0, 0));
}

#[test_case(&[200], &[Claim::Awaited]; "an answer")]
#[test_case(&[200, 200, 200], &[Claim::Awaited]; "a tripled answer is told once")]
#[test_case(&[100, 200], &[Claim::Awaited]; "provisional first")]
fn answers(codes: &[u16], claims: &[Claim]) {
    let mut exchange = Exchange::new(Pace::default(), 0);
    let id = exchange.ask(at(0), peer(), asked()).unwrap();
    codes.iter().for_each(|code| exchange.take(at(10), peer(), &responded(*code, id)));
    let got: Vec<Claim> = news(&mut exchange)
        .into_iter()
        .map(|news| match news {
            News::Answered { claim, .. } => claim,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(got, claims);
}

#[test]
fn a_provisional_answer_stretches_the_gap() {
    let mut exchange = Exchange::new(Pace::default(), 0);
    let id = exchange.ask(at(0), peer(), asked()).unwrap();
    exchange.take(at(100), peer(), &responded(100, id));
    assert_eq!(exchange.wake(), Some(at(4_100)));
}

#[test]
fn an_abandoned_command_is_repeated_no_more_and_its_answer_is_late_once() {
    let mut exchange = Exchange::new(Pace::default(), 0);
    let id = exchange.ask(at(0), peer(), asked()).unwrap();
    exchange.abandon(at(100), id);
    exchange.tick(at(5_000));
    assert_eq!(sent(&mut exchange).len(), 1);
    (0..2).for_each(|_| exchange.take(at(5_000), peer(), &responded(200, id)));
    assert!(matches!(news(&mut exchange)[..], [News::Answered { claim: Claim::Late, .. }]));
}

#[test_case("127.0.0.1:2427", 77, Claim::Unknown; "an id that was never used")]
#[test_case("127.0.0.2:2427", 1, Claim::Unknown; "an id asked of another peer")]
fn answers_of_nobody(from: &str, id: u32, expected: Claim) {
    let mut exchange = Exchange::new(Pace::default(), 0);
    exchange.ask(at(0), peer(), asked()).unwrap();
    exchange.take(at(1), from.parse().unwrap(), &responded(200, id));
    assert!(matches!(news(&mut exchange)[..], [News::Answered { claim, .. }] if claim == expected));
    assert_eq!(exchange.load().0, 1, "our own still waits");
}

#[test]
fn a_command_is_told_once_and_its_repeat_answered_from_what_is_kept() {
    let mut exchange = Exchange::new(Pace::default(), 0);
    let bytes = write::datagram(&[Message::Command(Command { transaction: 9, ..asked() })]);
    exchange.take(at(0), peer(), &bytes);
    exchange.take(at(500), peer(), &bytes);
    assert!(matches!(news(&mut exchange)[..], [News::Asked { .. }, News::Repeated { transaction: 9, .. }]));
    exchange.answer(peer(), Response::new(code::DONE, 9));
    exchange.take(at(1_500), peer(), &bytes);
    assert_eq!(sent(&mut exchange), [responded(200, 9), responded(200, 9)]);
    assert_eq!(news(&mut exchange), []);
    exchange.take(at(1_600), peer(), &responded(0, 9));
    exchange.take(at(1_700), peer(), &bytes);
    assert_eq!(sent(&mut exchange).len(), 0, "acknowledged: a late repeat is passed over");
    exchange.tick(at(40_000));
    assert_eq!(exchange.load(), (0, 0), "all is forgotten in time");
}

#[test]
fn the_next_command_acknowledges_the_last_answer() {
    let mut exchange = Exchange::new(Pace::default(), 0);
    let id = exchange.ask(at(0), peer(), asked()).unwrap();
    exchange.take(at(10), peer(), &responded(200, id));
    exchange.ask(at(20), peer(), asked()).unwrap();
    let last = sent(&mut exchange).pop().unwrap();
    let Ok(Message::Command(command)) = parse::datagram(&last).unwrap().remove(0) else { panic!() };
    assert_eq!(command.parameters.get("K"), Some(id.to_string().as_str()));
}

#[test_case(true, 64, 0; "answered ones make room")]
#[test_case(false, 64, 49_936; "those in work are kept and the rest turned away")]
fn many_ids_from_one_peer(answer: bool, most: usize, turned_away: usize) {
    let mut exchange = Exchange::new(Pace { most_kept: most, ..Pace::default() }, 0);
    let mut crowded = 0;
    for id in 1..=50_000 {
        let bytes = write::datagram(&[Message::Command(Command { transaction: id, ..asked() })]);
        exchange.take(at(0), peer(), &bytes);
        crowded += news(&mut exchange).iter().filter(|news| matches!(news, News::Crowded { .. })).count();
        if answer {
            exchange.answer(peer(), Response::new(200, id));
        }
        sent(&mut exchange);
    }
    assert_eq!((crowded, exchange.load().1), (turned_away, most));
}

#[test]
fn ids_in_memory_are_not_used_again() {
    let mut exchange = Exchange::new(Pace::default(), 999_999_998);
    let ids: Vec<u32> = (0..3).map(|_| exchange.ask(at(0), peer(), asked()).unwrap()).collect();
    assert_eq!(ids, [999_999_999, 1, 2]);
}

#[test]
fn the_table_of_open_commands_is_bounded() {
    let mut exchange = Exchange::new(Pace { most_open: 2, ..Pace::default() }, 0);
    assert!((0..3).map(|_| exchange.ask(at(0), peer(), asked())).collect::<Result<Vec<_>, _>>().is_err());
}

/// When the next command is repeated, after answers that took so long: what is slow is not asked twice for that.
#[test_case(&[], 500; "nothing known")]
#[test_case(&[20; 20], 500; "quick answers change nothing")]
#[test_case(&[450; 80], 500; "all within the gap")]
#[test_case(&[700], 1_000; "answered after a repeat: the gap that it had come to")]
#[test_case(&[1_700], 2_000; "after two")]
#[test_case(&[20, 20, 520], 500; "at once after a repeat, as usual: the first copy was lost")]
#[test_case(&[20, 20, 800], 1_000; "not at once after it")]
#[test_case(&[9_000], 4_000; "never over the longest gap")]
#[test_case(&[700, 20], 500; "a quick answer after that tells that it is quick")]
fn the_first_gap_follows_a_peers_answers(took: &[u64], gap: u64) {
    let mut exchange = Exchange::new(Pace::default(), 0);
    let mut now = 0;
    for took in took {
        let id = exchange.ask(at(now), peer(), asked()).unwrap();
        (now..now + took).for_each(|ms| exchange.tick(at(ms)));
        now += took;
        exchange.take(at(now), peer(), &responded(200, id));
    }
    exchange.ask(at(now), peer(), asked()).unwrap();
    assert_eq!(exchange.wake(), Some(at(now + gap)));
}

#[test]
fn a_slow_peer_whose_answers_come_unrepeated_is_waited_for() {
    let mut exchange = Exchange::new(Pace::default(), 0);
    let mut now = 0;
    let mut repeats = 0;
    for _ in 0..40 {
        let id = exchange.ask(at(now), peer(), asked()).unwrap();
        (now..now + 800).for_each(|ms| exchange.tick(at(ms)));
        now += 800;
        exchange.take(at(now), peer(), &responded(200, id));
        repeats += sent(&mut exchange).len() - 1;
    }
    assert_eq!(repeats, 1, "of the first alone");
}

#[test]
fn a_bound_on_repeats_is_kept_until_it_is_given_up() {
    let mut exchange = Exchange::new(Pace { give_up: Span::from_secs(10), ..Pace::default() }, 5);
    exchange.ask_at_most(at(0), peer(), asked(), 2).unwrap();
    (0..15_000).for_each(|ms| exchange.tick(at(ms)));
    assert_eq!(sent(&mut exchange).len(), 3);
    assert!(matches!(news(&mut exchange)[..], [News::Unanswered { .. }]));
}

#[test_case(499, 0)]
#[test_case(500, 1)]
#[test_case(9_000, 4)]
#[test_case(12_000, 5)]
#[test_case(4_000_000_000, 1_000_002)]
fn repeats_within(ms: u64, repeats: u32) {
    assert_eq!(Pace::default().repeats(Span::from_millis(ms)), repeats);
}

#[test]
fn the_delays_of_so_many_peers_are_kept_and_of_no_more() {
    let mut exchange = Exchange::new(Pace { most_kept: 1, ..Pace::default() }, 0);
    let peers: [SocketAddr; 2] = [peer(), "127.0.0.1:2428".parse().unwrap()];
    let mut gaps = Vec::new();
    for (nth, to) in peers.into_iter().enumerate() {
        let begun = nth as u64 * 60_000;
        let id = exchange.ask(at(begun), to, asked()).unwrap();
        (begun..begun + 700).for_each(|ms| exchange.tick(at(ms)));
        exchange.take(at(begun + 700), to, &responded(200, id));
        exchange.ask(at(begun + 1_000), to, asked()).unwrap();
        gaps.push(exchange.wake());
        exchange.tick(at(begun + 50_000));
    }
    assert_eq!(gaps, [Some(at(2_000)), Some(at(61_500))], "the second peer has the first gap");
}
