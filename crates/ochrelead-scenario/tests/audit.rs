//! Audits of scripted captures. Each violating capture breaks one rule, and the test checks the reported rule, call
//! attempt and time; similar captures that keep all rules must have no violation.

use ochrelead_config::scenario::{self, Scenario};
use ochrelead_core::time::Moment;
use ochrelead_scenario::audit::{OfferedCall, Rule, Verdict, audit, capacity_ceiling};
use ochrelead_scenario::capture::{CaptureWriter, CapturedDatagram, read_from};
use ochrelead_scenario::participant::Participant;
use test_case::test_case;

const SCENARIO: &str = r#"seed: 1 length_ms: 20000 fronts: 2
front {
  release_wait_ms: 200
  cold { share: 0.3 warm_after_ms: 10000 fall_multiple: 2.5 fall_after_ms: 1000 }
  service { name: "check" dialled: "1" value: 1 post_dial_target_ms: 1500 timer_limit_ms: 9000 late_share: 0.25 }
  service { name: "set" dialled: "2" value: 3 post_dial_target_ms: 1500 timer_limit_ms: 9000 late_share: 0.25 }
  member { name: "norte" trunk: "norte" quota_per_s: 100 }
}
stand_in { sessions_per_s: 10 lines: 100 cold_share: 0.3 warm_ms: 10000 }
stand_in { sessions_per_s: 10 lines: 100 cold_share: 0.3 warm_ms: 10000 }
callers { sessions_per_s: 10 service_share: [1, 1] member_share: 1 }
"#;

const ATTEMPT: &str = "0000000101";
const FRONT: Participant = Participant::Front(0);

fn scenario() -> Scenario {
    scenario::parse("day", SCENARIO).unwrap()
}

/// Builds a capture event by event. Each datagram is delivered 1 ms after it is sent.
struct Capture(Vec<(u64, CapturedDatagram)>);

impl Capture {
    fn new() -> Capture {
        let capture = Capture(Vec::new());
        capture.harness_event(0, "start 1000000000")
    }

    fn harness_event(mut self, ms: u64, text: &str) -> Capture {
        self.0.push((ms, datagram(ms, Participant::Rig, Participant::Rig, false, text)));
        self
    }

    fn sent(mut self, ms: u64, from: Participant, to: Participant, text: &str) -> Capture {
        self.0.push((ms, datagram(ms, from, to, false, text)));
        self.0.push((ms + 1, datagram(ms + 1, from, to, true, text)));
        self
    }

    /// A caller's call attempt, which reaches front 0 after 1 ms; its deadline is 3 s later.
    fn dial(self, ms: u64) -> Capture {
        let text = format!(
            "NTFY {} norte/1@g MGCP 1.0\nX-Try: {ATTEMPT}\nX-Patience: 3000\nO: L/hd, D/1, D/0, D/0",
            1 + ms
        );
        self.sent(ms, Participant::Gateway, FRONT, &text)
    }

    fn hang_up(self, ms: u64) -> Capture {
        let text = format!("NTFY {} norte/1@g MGCP 1.0\nX-Try: {ATTEMPT}\nO: L/hu", 1 + ms);
        self.sent(ms, Participant::Gateway, FRONT, &text)
    }

    fn invite(self, ms: u64, server: u16, id: u32) -> Capture {
        let text = format!("CRCX {id} trunk/$@s{server} MGCP 1.0\nC: {ATTEMPT}");
        self.sent(ms, FRONT, Participant::Server(server), &text)
    }

    fn cancel_invite(self, ms: u64, server: u16, id: u32) -> Capture {
        let text = format!("DLCX {id} trunk/*@s{server} MGCP 1.0\nC: {ATTEMPT}");
        self.sent(ms, FRONT, Participant::Server(server), &text)
    }

    fn respond(self, ms: u64, server: u16, code: u32, id: u32) -> Capture {
        self.sent(ms, Participant::Server(server), FRONT, &format!("{code} {id}\nI: 1\nZ: trunk/1@s{server}"))
    }

    fn restart(self, ms: u64, server: u16, id: u32, method: &str) -> Capture {
        let text = format!("RSIP {id} *@s{server} MGCP 1.0\nRM: {method}");
        self.sent(ms, Participant::Server(server), FRONT, &text)
    }

    fn connect(self, ms: u64, id: u32) -> Capture {
        self.sent(
            ms,
            FRONT,
            Participant::Gateway,
            &format!("MDCX {id} norte/1@g MGCP 1.0\nX-Try: {ATTEMPT}\nM: sendrecv"),
        )
    }

    fn reject(self, ms: u64, id: u32) -> Capture {
        self.sent(
            ms,
            FRONT,
            Participant::Gateway,
            &format!("RQNT {id} norte/1@g MGCP 1.0\nX-Try: {ATTEMPT}\nS: L/bz"),
        )
    }

    /// Writes the capture to a pcap file, checks that reading it returns the same datagrams, and audits them.
    fn audited(mut self) -> Verdict {
        self = self.harness_event(30_000, "end");
        self.0.sort_by_key(|(ms, _)| *ms);
        let mut file = Vec::new();
        let mut writer = CaptureWriter::new(&mut file).unwrap();
        self.0.iter().for_each(|(_, datagram)| writer.write(datagram).unwrap());
        writer.finish().unwrap();
        let read = read_from(file.as_slice()).unwrap();
        assert_eq!(read, self.0.into_iter().map(|(_, datagram)| datagram).collect::<Vec<_>>());
        audit(&scenario(), &read)
    }
}

fn datagram(ms: u64, from: Participant, to: Participant, delivered: bool, text: &str) -> CapturedDatagram {
    let time = Moment::from_micros(1_000_000_000 + ms * 1_000);
    CapturedDatagram { time, from, to, delivered, bytes: text.as_bytes().to_vec() }
}

fn dial_and_invite() -> Capture {
    Capture::new().dial(100).invite(110, 0, 1)
}

#[test_case(dial_and_invite().respond(200, 0, 200, 1).connect(210, 2); "established")]
#[test_case(dial_and_invite().respond(200, 0, 409, 1).invite(205, 1, 3).respond(300, 1, 200, 3).connect(310, 4); "retried on another server after a rejection")]
#[test_case(dial_and_invite().cancel_invite(1_000, 0, 2).invite(1_210, 1, 3).cancel_invite(3_000, 1, 4).reject(3_001, 5); "rejected after two timed out INVITEs and the release delay")]
#[test_case(dial_and_invite().hang_up(500).cancel_invite(505, 0, 2); "INVITE cancelled after a hang-up")]
#[test_case(dial_and_invite().restart(150, 0, 7, "forced").invite(400, 1, 3).respond(450, 1, 200, 3).connect(460, 4); "re-sent after a reset and the release delay")]
#[test_case(dial_and_invite().restart(105, 0, 7, "graceful").respond(200, 0, 200, 1).connect(210, 2); "INVITE within the drain grace period")]
#[test_case(dial_and_invite().respond(600, 0, 409, 1).invite(610, 0, 1).reject(650, 3); "INVITE retransmitted while the response is unread in the socket")]
#[test_case(dial_and_invite().harness_event(120, "kill 10.0.1.1:2727"); "a killed front need not answer its attempts")]
#[test_case(dial_and_invite().connect(210, 2).connect(710, 2); "a retransmitted final answer counts once")]
#[test_case(Capture::new().dial(100).harness_event(105, "kill 10.0.1.1:2727").invite(112, 0, 1).harness_event(900, "begin 10.0.1.1:2727"); "INVITE sent before the kill is captured after it")]
#[test_case(Capture::new().harness_event(50, "kill 10.0.1.1:2727").dial(100).harness_event(900, "begin 10.0.1.1:2727"); "a killed front accepts no attempts")]
fn a_correct_capture_has_no_violation(capture: Capture) {
    assert_eq!(capture.audited().violations, []);
}

#[test_case(dial_and_invite(), 1, 3_101, "no final answer"; "no final answer by the deadline")]
#[test_case(dial_and_invite().connect(210, 2).reject(900, 3), 1, 900, "a second final answer"; "two final answers")]
#[test_case(dial_and_invite().cancel_invite(3_100, 0, 2).reject(3_200, 3), 1, 3_200, "after the timer limit"; "final answer after the deadline")]
#[test_case(dial_and_invite().hang_up(500).cancel_invite(505, 0, 2).reject(800, 3), 1, 800, "after the caller hung up"; "final answer after a hang-up")]
#[test_case(dial_and_invite().hang_up(500).cancel_invite(505, 0, 2).invite(900, 1, 3), 1, 900, "after the caller hung up"; "INVITE after a hang-up")]
#[test_case(dial_and_invite().cancel_invite(505, 0, 2).reject(506, 3).invite(900, 1, 4), 1, 900, "after the final answer"; "INVITE after the final answer")]
#[test_case(dial_and_invite().cancel_invite(505, 0, 2).invite(620, 0, 1).reject(700, 3), 1, 620, "repeated after its end"; "INVITE retransmitted after its cancellation")]
#[test_case(dial_and_invite().respond(600, 0, 409, 1).invite(655, 0, 1).reject(700, 3), 1, 655, "repeated after its end"; "INVITE retransmitted after its response")]
#[test_case(dial_and_invite().harness_event(120, "kill 10.0.1.1:2727").harness_event(300, "begin 10.0.1.1:2727").invite(500, 1, 3), 1, 500, "has not taken"; "INVITE for an attempt that was accepted before the restart")]
#[test_case(dial_and_invite().invite(700, 1, 3).reject(800, 4), 2, 700, "while another is out"; "two outstanding INVITEs")]
#[test_case(Capture::new().restart(10, 0, 7, "graceful").dial(300).invite(310, 0, 1).reject(400, 2), 3, 310, "to server 0 299 ms"; "INVITE to a draining server")]
#[test_case(Capture::new().restart(10, 0, 7, "forced").dial(900).invite(910, 0, 1).reject(950, 2), 3, 910, "to server 0 899 ms"; "INVITE to a server that is gone")]
#[test_case(dial_and_invite().cancel_invite(500, 0, 2).invite(650, 1, 3).reject(800, 4), 5, 650, "150 ms after"; "INVITE before the release delay after a cancellation")]
#[test_case(dial_and_invite().respond(200, 0, 405, 1).invite(390, 1, 3).reject(800, 4), 5, 390, "189 ms after"; "INVITE before the release delay after an inconclusive response")]
fn a_violation_is_reported_with_its_rule_attempt_and_time(
    capture: Capture,
    rule: usize,
    ms: u64,
    description: &str,
) {
    let violations = capture.audited().violations;
    assert_eq!(violations.len(), 1, "{violations:?}");
    let violation = &violations[0];
    assert_eq!((violation.rule.number(), violation.subject.as_str()), (rule, ATTEMPT));
    assert_eq!(violation.time, Moment::from_micros(ms * 1_000));
    assert!(violation.description.contains(description), "{violation}");
}

/// Audits INVITEs of `sent` call attempts to a server that has just started. If `informed`, the front that sends them
/// has received the server's RSIP; otherwise only another front has.
fn audit_flood(sent: u32, informed: bool) -> Verdict {
    let mut capture = Capture::new();
    let text = "RSIP 7 *@s0 MGCP 1.0\nRM: restart";
    capture = if informed {
        capture.restart(100, 0, 7, "restart")
    } else {
        capture.sent(100, Participant::Server(0), Participant::Front(1), text)
    };
    for call in 0..sent {
        let ms = 200 + u64::from(call) * 5;
        let invite = format!("CRCX {} trunk/$@s0 MGCP 1.0\nC: {call:010X}", 100 + call);
        let dial = format!("NTFY {} norte/1@g MGCP 1.0\nX-Try: {call:010X}\nO: L/hd, D/1", 100 + call);
        let tone = format!("RQNT {} norte/1@g MGCP 1.0\nX-Try: {call:010X}\nS: L/ro", 10_000 + call);
        capture = capture.sent(ms - 2, Participant::Gateway, FRONT, &dial);
        capture = capture.sent(ms, FRONT, Participant::Server(0), &invite);
        capture = capture.sent(ms + 1_200, FRONT, Participant::Gateway, &tone);
    }
    capture.audited()
}

#[test_case(10, true, false; "within the limit")]
#[test_case(60, true, true; "above the limit")]
#[test_case(60, false, false; "above the limit from a front that was not notified of the start")]
fn load_of_a_server_that_has_just_started(sent: u32, informed: bool, is_violated: bool) {
    let verdict = audit_flood(sent, informed);
    let violations = verdict.violations.iter();
    let reported: Vec<_> =
        violations.map(|violation| (violation.rule.number(), violation.subject.as_str())).collect();
    assert_eq!(reported, if is_violated { vec![(4, "server 0")] } else { vec![] });
    assert_eq!(verdict.coverage(Rule::SlowStart).cases, u64::from(sent));
}

#[test_case(dial_and_invite().respond(200, 0, 200, 1).connect(210, 2), 1.0; "established within the post-dial target")]
#[test_case(dial_and_invite().respond(1_800, 0, 200, 1).connect(1_810, 2), 0.25; "established after the post-dial target")]
#[test_case(dial_and_invite().cancel_invite(300, 0, 1).reject(310, 2), 0.0; "rejected")]
#[test_case(dial_and_invite().connect(210, 2).sent(900, FRONT, Participant::Gateway, &format!("DLCX 9 norte/1@g MGCP 1.0\nX-Try: {ATTEMPT}")), 0.0; "cut by the front")]
fn service_level_of_one_call(capture: Capture, service_level: f64) {
    let verdict = capture.audited();
    assert_eq!((verdict.service_level.overall, verdict.service_level.offered), (service_level, 1));
}

#[test]
fn the_capacity_ceiling_counts_the_calls_of_highest_value_first() {
    let time = Moment::from_micros(500_000);
    let offered: Vec<OfferedCall> =
        (0..80).map(|call| OfferedCall { time, value: if call < 20 { 3.0 } else { 1.0 } }).collect();
    // Two servers carry 10 sessions/s each, 40 calls in 2 s: the 20 of value 3 and 20 of value 1.
    assert!((capacity_ceiling(&scenario(), &offered) - 80.0 / 120.0).abs() < 1e-9);
}
