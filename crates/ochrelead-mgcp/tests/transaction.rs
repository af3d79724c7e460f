//! Transactions with lost, duplicated and delayed datagrams, and with more commands than the tables hold.

use std::net::SocketAddr;

use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::{Command, Message, Response, Verb, code};
use ochrelead_mgcp::transaction::{
    ResponseMatch, TransactionConfig, TransactionEvent, TransactionLayer, TransactionLoad,
};
use ochrelead_mgcp::{parse, write};
use test_case::test_case;

const EMPTY: TransactionLoad = TransactionLoad { outstanding: 0, history: 0 };

fn at(ms: u64) -> Moment {
    Moment::from_micros(1_000_000 + ms * 1_000)
}

fn peer() -> SocketAddr {
    "127.0.0.1:2427".parse().unwrap()
}

fn default_layer() -> TransactionLayer {
    TransactionLayer::new(TransactionConfig::default(), 0)
}

fn command() -> Command {
    Command::new(Verb::CreateConnection, 1, "trunk/$@s1".parse().unwrap())
}

fn response_datagram(code: u16, transaction: u32) -> Vec<u8> {
    write::datagram(&[Message::Response(Response::new(code, transaction))])
}

fn poll_datagrams(transactions: &mut TransactionLayer) -> Vec<Vec<u8>> {
    std::iter::from_fn(|| transactions.poll_datagram()).map(|(_, bytes)| bytes).collect()
}

fn poll_events(transactions: &mut TransactionLayer) -> Vec<TransactionEvent> {
    std::iter::from_fn(|| transactions.poll_event()).collect()
}

#[test]
fn command_is_retransmitted_with_exponential_back_off_until_it_times_out() {
    let mut transactions = TransactionLayer::new(
        TransactionConfig { response_timeout: Span::from_secs(10), ..TransactionConfig::default() },
        5,
    );
    transactions.send_command(at(0), peer(), command()).unwrap();
    let mut moments = Vec::new();
    for ms in 0..15_000 {
        transactions.process(at(ms));
        moments.extend(poll_datagrams(&mut transactions).iter().map(|_| ms));
    }
    assert_eq!(moments, [0, 500, 1_500, 3_500, 7_500]);
    assert!(matches!(
        poll_events(&mut transactions)[..],
        [TransactionEvent::TimedOut { transaction: 6, .. }]
    ));
    assert_eq!(transactions.load(), EMPTY);
}

#[test_case(&[200], &[ResponseMatch::Outstanding]; "a single response")]
#[test_case(&[200, 200, 200], &[ResponseMatch::Outstanding]; "duplicate responses are reported once")]
#[test_case(&[100, 200], &[ResponseMatch::Outstanding]; "provisional first")]
fn final_response_is_reported_once(codes: &[u16], expected: &[ResponseMatch]) {
    let mut transactions = default_layer();
    let id = transactions.send_command(at(0), peer(), command()).unwrap();
    codes.iter().for_each(|code| transactions.handle_datagram(at(10), peer(), &response_datagram(*code, id)));
    let matches: Vec<ResponseMatch> = poll_events(&mut transactions)
        .into_iter()
        .map(|event| match event {
            TransactionEvent::ResponseReceived { matched, .. } => matched,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(matches, expected);
}

#[test]
fn provisional_response_raises_the_retransmission_timeout() {
    let mut transactions = default_layer();
    let id = transactions.send_command(at(0), peer(), command()).unwrap();
    transactions.handle_datagram(at(100), peer(), &response_datagram(100, id));
    assert_eq!(transactions.poll_timeout(), Some(at(4_100)));
}

#[test]
fn abandoned_command_is_not_retransmitted_and_its_response_is_late_once() {
    let mut transactions = default_layer();
    let id = transactions.send_command(at(0), peer(), command()).unwrap();
    transactions.abandon(at(100), id);
    transactions.process(at(5_000));
    assert_eq!(poll_datagrams(&mut transactions).len(), 1);
    (0..2).for_each(|_| transactions.handle_datagram(at(5_000), peer(), &response_datagram(200, id)));
    assert!(matches!(
        poll_events(&mut transactions)[..],
        [TransactionEvent::ResponseReceived { matched: ResponseMatch::Late, .. }]
    ));
}

#[test_case("127.0.0.1:2427", 77, ResponseMatch::Unknown; "an id that was never used")]
#[test_case("127.0.0.2:2427", 1, ResponseMatch::Unknown; "an id sent to another peer")]
fn responses_to_no_outstanding_command(from: &str, id: u32, expected: ResponseMatch) {
    let mut transactions = default_layer();
    transactions.send_command(at(0), peer(), command()).unwrap();
    transactions.handle_datagram(at(1), from.parse().unwrap(), &response_datagram(200, id));
    assert!(
        matches!(poll_events(&mut transactions)[..], [TransactionEvent::ResponseReceived { matched, .. }] if matched == expected)
    );
    assert_eq!(transactions.load().outstanding, 1, "the command still waits for its response");
}

#[test]
fn command_is_reported_once_and_its_retransmission_answered_from_the_history() {
    let mut transactions = default_layer();
    let bytes = write::datagram(&[Message::Command(Command { transaction: 9, ..command() })]);
    transactions.handle_datagram(at(0), peer(), &bytes);
    transactions.handle_datagram(at(500), peer(), &bytes);
    assert!(matches!(
        poll_events(&mut transactions)[..],
        [TransactionEvent::CommandReceived { .. }, TransactionEvent::CommandRepeated { transaction: 9, .. }]
    ));
    transactions.respond(peer(), Response::new(code::DONE, 9));
    transactions.handle_datagram(at(1_500), peer(), &bytes);
    assert_eq!(poll_datagrams(&mut transactions), [response_datagram(200, 9), response_datagram(200, 9)]);
    assert_eq!(poll_events(&mut transactions), []);
    transactions.handle_datagram(at(1_600), peer(), &response_datagram(0, 9));
    transactions.handle_datagram(at(1_700), peer(), &bytes);
    assert_eq!(
        poll_datagrams(&mut transactions).len(),
        0,
        "a retransmission after the acknowledgement gets no response"
    );
    transactions.process(at(40_000));
    assert_eq!(transactions.load(), EMPTY, "the history expires");
}

#[test]
fn next_command_acknowledges_the_last_response() {
    let mut transactions = default_layer();
    let id = transactions.send_command(at(0), peer(), command()).unwrap();
    transactions.handle_datagram(at(10), peer(), &response_datagram(200, id));
    transactions.send_command(at(20), peer(), command()).unwrap();
    let last = poll_datagrams(&mut transactions).pop().unwrap();
    let Ok(Message::Command(command)) = parse::datagram(&last).unwrap().remove(0) else { panic!() };
    assert_eq!(command.parameters.get("K"), Some(id.to_string().as_str()));
}

#[test_case(true, 64, 0; "answered commands are evicted")]
#[test_case(false, 64, 49_936; "executing commands are kept and further ones refused")]
fn flood_of_commands_from_one_peer(responds: bool, max_history: usize, expected_refusals: usize) {
    let mut transactions =
        TransactionLayer::new(TransactionConfig { max_history, ..TransactionConfig::default() }, 0);
    let mut refused = 0;
    for id in 1..=50_000 {
        let bytes = write::datagram(&[Message::Command(Command { transaction: id, ..command() })]);
        transactions.handle_datagram(at(0), peer(), &bytes);
        refused += poll_events(&mut transactions)
            .iter()
            .filter(|event| matches!(event, TransactionEvent::CommandRefused { .. }))
            .count();
        if responds {
            transactions.respond(peer(), Response::new(200, id));
        }
        poll_datagrams(&mut transactions);
    }
    assert_eq!((refused, transactions.load().history), (expected_refusals, max_history));
}

#[test]
fn transaction_ids_wrap_around_after_the_maximum() {
    let mut transactions = TransactionLayer::new(TransactionConfig::default(), 999_999_998);
    let ids: Vec<u32> =
        (0..3).map(|_| transactions.send_command(at(0), peer(), command()).unwrap()).collect();
    assert_eq!(ids, [999_999_999, 1, 2]);
}

#[test]
fn command_beyond_the_outstanding_limit_is_refused() {
    let mut transactions =
        TransactionLayer::new(TransactionConfig { max_outstanding: 2, ..TransactionConfig::default() }, 0);
    assert!(
        (0..3)
            .map(|_| transactions.send_command(at(0), peer(), command()))
            .collect::<Result<Vec<_>, _>>()
            .is_err()
    );
}

/// The retransmission timeout of the next command in milliseconds, after these response times.
#[test_case(&[], 500; "no response time known")]
#[test_case(&[20; 20], 500; "fast responses keep the initial timeout")]
#[test_case(&[450; 80], 500; "responses just within the timeout")]
#[test_case(&[700], 1_000; "response after one retransmission keeps the backed-off timeout")]
#[test_case(&[1_700], 2_000; "response after two retransmissions")]
#[test_case(&[20, 20, 520], 500; "response soon after a retransmission: first copy lost")]
#[test_case(&[20, 20, 800], 1_000; "response late after a retransmission: peer slow")]
#[test_case(&[9_000], 4_000; "limited to the maximum timeout")]
#[test_case(&[700, 20], 500; "fast response after a slow one resets the timeout")]
fn initial_timeout_follows_the_response_times_of_a_peer(response_times: &[u64], rto: u64) {
    let mut transactions = default_layer();
    let mut now = 0;
    for response_time in response_times {
        let id = transactions.send_command(at(now), peer(), command()).unwrap();
        (now..now + response_time).for_each(|ms| transactions.process(at(ms)));
        now += response_time;
        transactions.handle_datagram(at(now), peer(), &response_datagram(200, id));
    }
    transactions.send_command(at(now), peer(), command()).unwrap();
    assert_eq!(transactions.poll_timeout(), Some(at(now + rto)));
}

#[test]
fn slow_peer_gets_a_retransmission_of_the_first_command_only() {
    let mut transactions = default_layer();
    let mut now = 0;
    let mut retransmissions = 0;
    for _ in 0..40 {
        let id = transactions.send_command(at(now), peer(), command()).unwrap();
        (now..now + 800).for_each(|ms| transactions.process(at(ms)));
        now += 800;
        transactions.handle_datagram(at(now), peer(), &response_datagram(200, id));
        retransmissions += poll_datagrams(&mut transactions).len() - 1;
    }
    assert_eq!(retransmissions, 1, "only the first command is retransmitted");
}

#[test]
fn command_is_retransmitted_up_to_its_limit_and_then_times_out() {
    let mut transactions = TransactionLayer::new(
        TransactionConfig { response_timeout: Span::from_secs(10), ..TransactionConfig::default() },
        5,
    );
    transactions.send_command_with_limit(at(0), peer(), command(), 2).unwrap();
    (0..15_000).for_each(|ms| transactions.process(at(ms)));
    assert_eq!(poll_datagrams(&mut transactions).len(), 3);
    assert!(matches!(poll_events(&mut transactions)[..], [TransactionEvent::TimedOut { .. }]));
}

#[test_case(499, 0)]
#[test_case(500, 1)]
#[test_case(9_000, 4)]
#[test_case(12_000, 5)]
#[test_case(4_000_000_000, 1_000_002)]
fn max_retransmissions(ms: u64, retransmissions: u32) {
    assert_eq!(TransactionConfig::default().max_retransmissions(Span::from_millis(ms)), retransmissions);
}

#[test]
fn number_of_peers_with_response_time_estimates_is_bounded() {
    let mut transactions =
        TransactionLayer::new(TransactionConfig { max_history: 1, ..TransactionConfig::default() }, 0);
    let peers: [SocketAddr; 2] = [peer(), "127.0.0.1:2428".parse().unwrap()];
    let mut timeouts = Vec::new();
    for (index, to) in peers.into_iter().enumerate() {
        let begun_at = index as u64 * 60_000;
        let id = transactions.send_command(at(begun_at), to, command()).unwrap();
        (begun_at..begun_at + 700).for_each(|ms| transactions.process(at(ms)));
        transactions.handle_datagram(at(begun_at + 700), to, &response_datagram(200, id));
        transactions.send_command(at(begun_at + 1_000), to, command()).unwrap();
        timeouts.push(transactions.poll_timeout());
        transactions.process(at(begun_at + 50_000));
    }
    assert_eq!(timeouts, [Some(at(2_000)), Some(at(61_500))], "the second peer has the initial timeout");
}
