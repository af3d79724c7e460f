//! Each rule broken in a capture, and the violation found: rule, call attempt and moment; and captures like them in which
//! all rules are kept.

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

/// A capture that is built event by event. A datagram arrives a millisecond after it left.
struct Capture(Vec<(u64, CapturedDatagram)>);

impl Capture {
    fn new() -> Capture {
        let capture = Capture(Vec::new());
        capture.rig_event(0, "start 1000000000")
    }

    fn rig_event(mut self, ms: u64, text: &str) -> Capture {
        self.0.push((ms, datagram(ms, Participant::Rig, Participant::Rig, false, text)));
        self
    }

    fn sent(mut self, ms: u64, from: Participant, to: Participant, text: &str) -> Capture {
        self.0.push((ms, datagram(ms, from, to, false, text)));
        self.0.push((ms + 1, datagram(ms + 1, from, to, true, text)));
        self
    }

    /// A caller's call attempt reaches front 0 a millisecond later.
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

    fn call_off(self, ms: u64, server: u16, id: u32) -> Capture {
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

    /// Through a capture file and back, to the verdict.
    fn audited(mut self) -> Verdict {
        self = self.rig_event(30_000, "end");
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

fn set_up() -> Capture {
    Capture::new().dial(100).invite(110, 0, 1)
}

#[test_case(set_up().respond(200, 0, 200, 1).connect(210, 2); "stands")]
#[test_case(set_up().respond(200, 0, 409, 1).invite(205, 1, 3).respond(300, 1, 200, 3).connect(310, 4); "sent again")]
#[test_case(set_up().call_off(1_000, 0, 2).invite(1_210, 1, 3).call_off(3_000, 1, 4).reject(3_001, 5); "timed out, waited, given up")]
#[test_case(set_up().hang_up(500).call_off(505, 0, 2); "hung up")]
#[test_case(set_up().restart(150, 0, 7, "forced").invite(400, 1, 3).respond(450, 1, 200, 3).connect(460, 4); "reset and waited")]
#[test_case(set_up().restart(105, 0, 7, "graceful").respond(200, 0, 200, 1).connect(210, 2); "sent within the grace")]
#[test_case(set_up().respond(600, 0, 409, 1).invite(610, 0, 1).reject(650, 3); "repeated while the answer waits in the socket")]
#[test_case(set_up().rig_event(120, "kill 10.0.1.1:2727"); "killed: what it held is not its duty")]
#[test_case(set_up().connect(210, 2).connect(710, 2); "a repeated answer is one")]
#[test_case(Capture::new().dial(100).rig_event(105, "kill 10.0.1.1:2727").invite(112, 0, 1).rig_event(900, "begin 10.0.1.1:2727"); "sent before the kill, seen after it")]
#[test_case(Capture::new().rig_event(50, "kill 10.0.1.1:2727").dial(100).rig_event(900, "begin 10.0.1.1:2727"); "a dead front takes nothing")]
fn keeps_all_rules(capture: Capture) {
    assert_eq!(capture.audited().violations, []);
}

#[test_case(set_up(), 1, 3_101, "no final answer"; "no answer")]
#[test_case(set_up().connect(210, 2).reject(900, 3), 1, 900, "a second final answer"; "two answers")]
#[test_case(set_up().call_off(3_100, 0, 2).reject(3_200, 3), 1, 3_200, "after the timer limit"; "late")]
#[test_case(set_up().hang_up(500).call_off(505, 0, 2).reject(800, 3), 1, 800, "after the caller hung up"; "answered after a hang-up")]
#[test_case(set_up().hang_up(500).call_off(505, 0, 2).invite(900, 1, 3), 1, 900, "after the caller hung up"; "sent after a hang-up")]
#[test_case(set_up().call_off(505, 0, 2).reject(506, 3).invite(900, 1, 4), 1, 900, "after the final answer"; "sent after the answer")]
#[test_case(set_up().call_off(505, 0, 2).invite(620, 0, 1).reject(700, 3), 1, 620, "repeated after its end"; "repeated after the end")]
#[test_case(set_up().respond(600, 0, 409, 1).invite(655, 0, 1).reject(700, 3), 1, 655, "repeated after its end"; "repeated after the answer")]
#[test_case(set_up().rig_event(120, "kill 10.0.1.1:2727").rig_event(300, "begin 10.0.1.1:2727").invite(500, 1, 3), 1, 500, "has not taken"; "an INVITE of a former life")]
#[test_case(set_up().invite(700, 1, 3).reject(800, 4), 2, 700, "while another is out"; "two at once")]
#[test_case(Capture::new().restart(10, 0, 7, "graceful").dial(300).invite(310, 0, 1).reject(400, 2), 3, 310, "to server 0 299 ms"; "to one that drains")]
#[test_case(Capture::new().restart(10, 0, 7, "forced").dial(900).invite(910, 0, 1).reject(950, 2), 3, 910, "to server 0 899 ms"; "to one that is gone")]
#[test_case(set_up().call_off(500, 0, 2).invite(650, 1, 3).reject(800, 4), 5, 650, "150 ms after"; "release not awaited after a time-out")]
#[test_case(set_up().respond(200, 0, 405, 1).invite(390, 1, 3).reject(800, 4), 5, 390, "189 ms after"; "release not awaited after a reset")]
fn breaks_a_rule(capture: Capture, rule: usize, ms: u64, description: &str) {
    let violations = capture.audited().violations;
    assert_eq!(violations.len(), 1, "{violations:?}");
    let violation = &violations[0];
    assert_eq!((violation.rule.number(), violation.subject.as_str()), (rule, ATTEMPT));
    assert_eq!(violation.time, Moment::from_micros(ms * 1_000));
    assert!(violation.description.contains(description), "{violation}");
}

/// INVITEs of many call attempts to a server that has just started; `informed`: the front knows.
fn flood(sent: u32, informed: bool) -> Verdict {
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

#[test_case(10, true, false; "within the budget")]
#[test_case(60, true, true; "beyond it")]
#[test_case(60, false, false; "beyond it, but nobody had been told")]
fn a_server_that_has_just_started(sent: u32, informed: bool, overloaded: bool) {
    let verdict = flood(sent, informed);
    let violations = verdict.violations.iter();
    let found: Vec<_> =
        violations.map(|violation| (violation.rule.number(), violation.subject.as_str())).collect();
    assert_eq!(found, if overloaded { vec![(4, "server 0")] } else { vec![] });
    assert_eq!(verdict.coverage(Rule::SlowStart).cases, u64::from(sent));
}

#[test_case(set_up().respond(200, 0, 200, 1).connect(210, 2), 1.0; "in time")]
#[test_case(set_up().respond(1_800, 0, 200, 1).connect(1_810, 2), 0.25; "after the target")]
#[test_case(set_up().call_off(300, 0, 1).reject(310, 2), 0.0; "refused")]
#[test_case(set_up().connect(210, 2).sent(900, FRONT, Participant::Gateway, &format!("DLCX 9 norte/1@g MGCP 1.0\nX-Try: {ATTEMPT}")), 0.0; "cut")]
fn service(capture: Capture, share: f64) {
    let verdict = capture.audited();
    assert_eq!((verdict.service_level.overall, verdict.service_level.offered), (share, 1));
}

#[test]
fn the_ceiling_takes_the_highest_values_first() {
    let time = Moment::from_micros(500_000);
    let offered: Vec<OfferedCall> =
        (0..80).map(|call| OfferedCall { time, value: if call < 20 { 3.0 } else { 1.0 } }).collect();
    // Two servers of ten a second for two seconds: the twenty of value 3, and twenty more.
    assert!((capacity_ceiling(&scenario(), &offered) - 80.0 / 120.0).abs() < 1e-9);
}
