//! Who tests a silent server, when, and what the others make of it.

mod helper;

use helper::{Rig, at};
use ochrelead_core::time::{Moment, Span};
use ochrelead_lease::electorate::Electorate;
use ochrelead_lease::engine::{Engine as Leases, EngineConfig};
use ochrelead_lease::{FencingToken, LeaseConfig, MemberId};
use ochrelead_node::engine::SupersededToken;
use ochrelead_node::fencing::{format_token, parse_token};
use ochrelead_node::io::Output;
use ochrelead_node::sounding::{Quiet, Sounding, counts_as_heard, rank, task};
use test_case::test_case;

const NUMBER: FencingToken =
    FencingToken { counter: 7, holder: MemberId { front: 3, incarnation: u32::MAX } };

#[test]
fn a_number_reads_as_it_was_written() {
    assert_eq!(parse_token(&format_token(NUMBER)), Some(NUMBER));
}

#[test_case(""; "nothing")]
#[test_case("7.3"; "too little")]
#[test_case("7.3.-1"; "out of range")]
#[test_case("99999999999999999999999.1.1"; "too large")]
#[test_case("18446744073709551615.1.1"; "at the end of its range")]
fn what_is_no_number_is_none(text: &str) {
    assert_eq!(parse_token(text), None);
}

/// Milliseconds: heard here, vouched for, and until when it counts as heard.
#[test_case(0, None, 0; "by its own word alone")]
#[test_case(5_000, Some(3_000), 6_000; "by another's, of before")]
#[test_case(0, Some(60_000), 3_000; "never so long that its end would be noticed too late")]
#[test_case(5_000, Some(1_900), 5_000; "an old word of another's adds nothing")]
fn anothers_word_puts_a_test_off(heard: u64, vouched: Option<u64>, until: u64) {
    assert_eq!(counts_as_heard(at(heard), vouched.map(at)), at(until));
}

/// All fronts that see the same come to the same few, and tasks spread over the fronts.
#[test]
fn a_few_stand_ready_for_each_server() {
    let there: Vec<u32> = (0..300).collect();
    let mut first = std::collections::BTreeSet::new();
    for nth in 0..24 {
        let task = task(&format!("s-{nth:08x}"));
        let mut ready: Vec<(u32, u32)> =
            there.iter().filter_map(|front| Some((rank(task, *front, &there)?, *front))).collect();
        ready.sort();
        assert_eq!(ready.iter().map(|(rank, _)| *rank).collect::<Vec<_>>(), [0, 1, 2]);
        first.insert(ready[0].1);
    }
    assert!(first.len() >= 18, "24 servers at {} fronts", first.len());
}

fn leases(voters: &[u32]) -> Leases {
    let config = EngineConfig {
        local: MemberId { front: 0, incarnation: 1 },
        electorate: Electorate::new(1, voters),
        lease: LeaseConfig::with_duration(Span::from_secs(4)),
        seed: 1,
    };
    Leases::new(config, None, at(0))
}

fn lone() -> Leases {
    // The only voter is the front itself.
    let mut leases = leases(&[0]);
    leases.process(at(5_000));
    leases
}

fn quiet(spoke: Moment, heard: Moment) -> Vec<Quiet> {
    vec![Quiet { id: "s-1".to_owned(), spoke, heard }]
}

#[test]
fn a_silent_server_is_tested_once_in_a_while_under_a_lease() {
    let (mut leases, mut sounding) = (lone(), Sounding::default());
    let mut tested = Vec::new();
    for ms in (5_000..12_000).step_by(100) {
        let now = at(ms);
        let due = sounding.turn(now, &quiet(at(5_000), at(5_000)), &[0], &mut leases);
        leases.process(now);
        tested.extend(due.iter().map(|_| ms));
    }
    assert!(tested.len() >= 4 && tested[0] >= 7_000, "{tested:?}");
    assert!(tested.windows(2).all(|pair| pair[1] - pair[0] >= 1_000), "{tested:?}");
    // It speaks of its own accord again: nobody needs to test it.
    sounding.turn(at(12_000), &quiet(at(11_900), at(11_900)), &[0], &mut leases);
    assert_eq!(leases.permit(at(12_000), task("s-1")), None);
}

#[test]
fn an_answer_to_a_test_is_news_once() {
    let (mut leases, mut sounding) = (lone(), Sounding::default());
    for ms in [7_000, 7_100] {
        sounding.turn(at(ms), &quiet(at(5_000), at(5_000)), &[0], &mut leases);
        leases.process(at(ms));
    }
    assert_eq!(sounding.turn(at(7_200), &quiet(at(5_000), at(5_000)), &[0], &mut leases).len(), 0);
    assert!(sounding.answered(&quiet(at(5_000), at(5_000))).is_empty(), "no answer yet");
    let answered = quiet(at(5_000), at(7_300));
    assert_eq!(sounding.answered(&answered), [task("s-1")]);
    assert!(sounding.answered(&answered).is_empty());
}

/// Without a lease nothing is tested for others.
#[test]
fn without_a_majority_nothing_is_tested() {
    let mut leases = leases(&[0, 1, 2]);
    let mut sounding = Sounding::default();
    for ms in (5_000..30_000).step_by(100) {
        assert!(sounding.turn(at(ms), &quiet(at(0), at(0)), &[0], &mut leases).is_empty());
        leases.process(at(ms));
    }
}

/// A front dials a silent server by itself every two seconds; another's word puts that off, and no longer than allowed.
#[test_case(false, 4; "alone")]
#[test_case(true, 2; "with another's word")]
fn dials_to_a_silent_server(vouched: bool, most: usize) {
    let mut rig = Rig::with(1);
    for _ in 0..90 {
        rig.pass(100);
        if vouched {
            rig.engine.on_heard_by_peer("s-0", at(rig.ms));
        }
    }
    let dials = rig.out.iter().filter(|output| matches!(output, Output::ConnectServer(..))).count();
    assert!((1..=most).contains(&dials) && (vouched || dials == most), "{dials}");
}

#[test]
fn a_server_that_has_seen_a_higher_number_is_heard() {
    let mut rig = Rig::with(1);
    let link = *rig.links.keys().next().unwrap();
    rig.engine.send_health_check("s-0", NUMBER);
    rig.turn();
    let (own, sent) = rig.sent("OPTIONS").pop().unwrap();
    assert!(sent.contains("X-Number: 7.3.4294967295\r\n") && rig.links.contains_key(&own), "{sent}");
    let answer = "SIP/2.0 403 x\r\nCall-ID: 0000000000000000\r\nCSeq: 1 OPTIONS\r\nX-Number: 9.1.5\r\nContent-Length: 0\r\n\r\n";
    rig.link_says(link, answer.as_bytes());
    let highest = FencingToken { counter: 9, holder: MemberId { front: 1, incarnation: 5 } };
    assert_eq!(
        rig.engine.poll_superseded_token(),
        Some(SupersededToken { server: "s-0".to_owned(), highest })
    );
    assert_eq!(rig.engine.poll_superseded_token(), None);
}

/// A peer that vouches for what is long dead delays its end, but not beyond what is allowed.
#[test]
fn a_vanished_server_is_noticed_in_time_though_others_vouch_for_it() {
    let mut rig = Rig::with(2);
    rig.open(1);
    rig.stood(1, 7, 1);
    rig.come_up = false;
    for _ in 0..80 {
        rig.pass(100);
        rig.engine.on_heard_by_peer("s-1", at(rig.ms));
    }
    assert_eq!(rig.finals(), [(1, "down".to_owned(), Some(41))]);
}
