//! Health checks: fencing tokens on the wire, which front probes a silent server and when, and how a peer's observation
//! postpones a front's own probe.

mod helper;

use std::collections::BTreeSet;

use helper::{TestNode, moment};
use ochrelead_core::time::{Moment, Span};
use ochrelead_lease::electorate::Electorate;
use ochrelead_lease::engine::{Engine as LeaseEngine, EngineConfig};
use ochrelead_lease::{FencingToken, LeaseConfig, MemberId};
use ochrelead_node::fencing::{format_token, parse_token};
use ochrelead_node::health_check::{HealthCheckScheduler, candidate_rank, effective_last_heard, task_id};
use ochrelead_node::io::Output;
use ochrelead_node::observation::{ServerActivity, SupersededToken};
use test_case::test_case;

const TOKEN: FencingToken = FencingToken { counter: 7, holder: MemberId { front: 3, incarnation: u32::MAX } };

// ---- Tokens on the wire ----

#[test]
fn parsed_token_equals_the_formatted_one() {
    assert_eq!(parse_token(&format_token(TOKEN)), Some(TOKEN));
}

#[test_case(""; "empty")]
#[test_case("7.3"; "missing field")]
#[test_case("7.3.-1"; "negative number")]
#[test_case("99999999999999999999999.1.1"; "number of more than 64 bits")]
#[test_case("18446744073709551615.1.1"; "maximum counter")]
fn invalid_token_is_not_parsed(text: &str) {
    assert_eq!(parse_token(text), None);
}

#[test]
fn refused_health_check_reports_the_higher_token_of_the_server() {
    let mut node = TestNode::with_servers(1);
    let connection = *node.connections.keys().next().unwrap();
    node.engine.send_health_check("s-0", TOKEN);
    node.process();
    let (sent_on, sent) = node.sent_to_servers("OPTIONS").pop().unwrap();
    assert!(
        sent.contains("X-Number: 7.3.4294967295\r\n") && node.connections.contains_key(&sent_on),
        "{sent}"
    );
    let response = "SIP/2.0 403 x\r\nCall-ID: 0000000000000000\r\nCSeq: 1 OPTIONS\r\nX-Number: 9.1.5\r\nContent-Length: 0\r\n\r\n";
    node.server_sends(connection, response.as_bytes());
    let highest = FencingToken { counter: 9, holder: MemberId { front: 1, incarnation: 5 } };
    assert_eq!(
        node.engine.poll_superseded_token(),
        Some(SupersededToken { server: "s-0".to_owned(), highest })
    );
    assert_eq!(node.engine.poll_superseded_token(), None);
}

// ---- Candidates and probe times ----

/// All fronts with the same view of the members agree on the candidates, and the tasks spread over the fronts.
#[test]
fn three_fronts_are_candidates_for_each_server() {
    let live: Vec<u32> = (0..300).collect();
    let mut first_candidates = BTreeSet::new();
    for server in 0..24 {
        let task = task_id(&format!("s-{server:08x}"));
        let mut candidates: Vec<(u32, u32)> =
            live.iter().filter_map(|front| Some((candidate_rank(task, *front, &live)?, *front))).collect();
        candidates.sort();
        assert_eq!(candidates.iter().map(|(rank, _)| *rank).collect::<Vec<_>>(), [0, 1, 2]);
        first_candidates.insert(candidates[0].1);
    }
    assert!(first_candidates.len() >= 18, "24 servers share {} first candidates", first_candidates.len());
}

fn leases(voters: &[u32]) -> LeaseEngine {
    let config = EngineConfig {
        local: MemberId { front: 0, incarnation: 1 },
        electorate: Electorate::new(1, voters),
        lease: LeaseConfig::with_duration(Span::from_secs(4)),
        seed: 1,
    };
    LeaseEngine::new(config, None, moment(0))
}

/// The lease engine of a front that is the only voter, after the period in which it abstains.
fn sole_voter() -> LeaseEngine {
    let mut leases = leases(&[0]);
    leases.process(moment(5_000));
    leases
}

fn activity(last_unprompted: Moment, last_heard: Moment) -> Vec<ServerActivity> {
    vec![ServerActivity { server: "s-1".to_owned(), last_unprompted, last_heard }]
}

#[test]
fn silent_server_is_probed_at_intervals_under_a_lease() {
    let (mut leases, mut scheduler) = (sole_voter(), HealthCheckScheduler::default());
    let mut probed = Vec::new();
    for ms in (5_000..12_000).step_by(100) {
        let now = moment(ms);
        let silent = activity(moment(5_000), moment(5_000));
        let due = scheduler.process(now, &silent, &[0], &mut leases);
        leases.process(now);
        probed.extend(due.iter().map(|_| ms));
    }
    assert!(probed.len() >= 4 && probed[0] >= 7_000, "{probed:?}");
    assert!(probed.windows(2).all(|pair| pair[1] - pair[0] >= 1_000), "{probed:?}");
    // The server sends unprompted messages again: the lease is given up.
    let heard = activity(moment(11_900), moment(11_900));
    scheduler.process(moment(12_000), &heard, &[0], &mut leases);
    assert_eq!(leases.permit(moment(12_000), task_id("s-1")), None);
}

#[test]
fn response_to_a_health_check_is_published_once() {
    let (mut leases, mut scheduler) = (sole_voter(), HealthCheckScheduler::default());
    let silent = activity(moment(5_000), moment(5_000));
    for ms in [7_000, 7_100] {
        scheduler.process(moment(ms), &silent, &[0], &mut leases);
        leases.process(moment(ms));
    }
    assert_eq!(scheduler.process(moment(7_200), &silent, &[0], &mut leases).len(), 0);
    assert!(scheduler.poll_responses(&silent).is_empty(), "published before a response arrived");
    let responded = activity(moment(5_000), moment(7_300));
    assert_eq!(scheduler.poll_responses(&responded), [task_id("s-1")]);
    assert!(scheduler.poll_responses(&responded).is_empty());
}

#[test]
fn silent_server_is_not_probed_without_a_majority_of_voters() {
    let mut leases = leases(&[0, 1, 2]);
    let mut scheduler = HealthCheckScheduler::default();
    for ms in (5_000..30_000).step_by(100) {
        let silent = activity(moment(0), moment(0));
        assert!(scheduler.process(moment(ms), &silent, &[0], &mut leases).is_empty());
        leases.process(moment(ms));
    }
}

// ---- Observations of peers ----

/// All times in milliseconds: last heard by this front, last heard by a peer, start of the silence.
#[test_case(0, None, 0; "own observation only")]
#[test_case(5_000, Some(3_000), 6_000; "recent observation of a peer")]
#[test_case(0, Some(60_000), 3_000; "postponement is limited so that a failure is detected in time")]
#[test_case(5_000, Some(1_900), 5_000; "old observation of a peer is ignored")]
fn peer_observation_postpones_the_start_of_silence(heard: u64, by_peer: Option<u64>, effective: u64) {
    assert_eq!(effective_last_heard(moment(heard), by_peer.map(moment)), moment(effective));
}

/// A front connects to a silent server every two seconds without any lease. A peer's observation postpones that, but
/// not beyond the limit.
#[test_case(false, 4; "without observations of peers")]
#[test_case(true, 2; "with observations of a peer")]
fn peer_observations_reduce_connection_attempts_to_a_silent_server(heard_by_peer: bool, max_attempts: usize) {
    let mut node = TestNode::with_servers(1);
    for _ in 0..90 {
        node.advance(100);
        if heard_by_peer {
            node.engine.on_heard_by_peer("s-0", node.now());
        }
    }
    let attempts = node.outputs.iter().filter(|output| matches!(output, Output::ConnectServer(..))).count();
    assert!(
        (1..=max_attempts).contains(&attempts) && (heard_by_peer || attempts == max_attempts),
        "{attempts}"
    );
}

/// A peer that keeps reporting a dead server as heard delays the detection of the failure, but not beyond the deadline.
#[test]
fn vanished_server_is_detected_in_time_although_peers_report_it_as_heard() {
    let mut node = TestNode::with_servers(2);
    node.connect_caller(1);
    node.establish(1, 7, 1);
    node.connects_succeed = false;
    for _ in 0..80 {
        node.advance(100);
        node.engine.on_heard_by_peer("s-1", node.now());
    }
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(41))]);
}
