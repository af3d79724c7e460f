//! Every order of a few events that can end a call, judged by the whole of what is owed.

mod helper;

use helper::{DESCRIPTION, Rig, at, id, instance};
use ochrelead_node::io::{CallerId, Input, Output, ServerConnectionId};
use serde_json::json;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Happens {
    Answer,
    Full,
    Reset,
    Bye,
    Cancel,
    Close,
    LinkClose,
    Drain,
    Wait,
}

const EVENTS: [Happens; 9] = [
    Happens::Answer,
    Happens::Full,
    Happens::Reset,
    Happens::Bye,
    Happens::Cancel,
    Happens::Close,
    Happens::LinkClose,
    Happens::Drain,
    Happens::Wait,
];

/// One call of one caller, and what was seen of it so far.
struct Course {
    rig: Rig,
    /// Where the last INVITE left and its number, while its server has not ended it.
    out: Option<(ServerConnectionId, u32)>,
    last: Option<(ServerConnectionId, u32)>,
    judged: usize,
    gone: bool,
    finals: usize,
    over: bool,
}

impl Course {
    fn begin() -> Course {
        let mut rig = Rig::with(2);
        rig.open(1);
        rig.offer(1, 7, 0);
        let mut course =
            Course { rig, out: None, last: None, judged: 0, gone: false, finals: 0, over: false };
        course.judge();
        course
    }

    fn happens(&mut self, what: Happens) {
        let last = self.last;
        match what {
            Happens::Answer | Happens::Full | Happens::Reset => {
                let Some((link, number)) = last.filter(|(link, _)| self.rig.links.contains_key(link)) else {
                    return;
                };
                self.out = None;
                let (code, body) = match what {
                    Happens::Answer => (200, DESCRIPTION),
                    Happens::Full => (503, ""),
                    _ => (504, ""),
                };
                self.rig.answer(link, 7, number, code, "", body);
            }
            Happens::Bye => {
                if let Some((link, _)) = last.filter(|(link, _)| self.rig.links.contains_key(link)) {
                    self.out = None;
                    self.rig.bye(link, 7, 16);
                }
            }
            Happens::Cancel => {
                self.gone |= self.finals == 0;
                self.rig.line(1, &json!({"t": "down", "ref": id(7), "c": 16, "f": {}}));
            }
            Happens::Close => {
                self.gone = true;
                self.rig.engine.handle_input(at(self.rig.ms), Input::CallerDisconnected(CallerId(1)));
                self.rig.turn();
            }
            Happens::LinkClose => {
                if let Some((link, _)) = last.filter(|(link, _)| self.rig.links.contains_key(link)) {
                    self.out = self.out.filter(|(own, _)| *own != link);
                    self.rig.close_link(link, false);
                }
            }
            Happens::Drain => {
                self.rig.engine.handle_input(
                    at(self.rig.ms),
                    Input::WatchDisconnected(self.rig.watch.clone().unwrap().0),
                );
                self.rig.turn();
                self.rig.list(2, json!([instance(0, 10, "draining", 0)]));
            }
            Happens::Wait => self.rig.pass(250),
        }
        self.judge();
    }

    /// What went out since it was last looked at.
    fn judge(&mut self) {
        for output in &self.rig.out[self.judged..] {
            match output {
                Output::SendToServer(link, bytes) => {
                    let text = String::from_utf8(bytes.clone()).unwrap();
                    if text.starts_with("INVITE") {
                        assert!(!self.gone, "an INVITE for a caller that left");
                        assert_eq!(self.finals, 0, "an INVITE after the final answer");
                        assert_eq!(self.out, None, "two INVITEs out");
                        let number = text.split("CSeq: ").nth(1).unwrap().split(' ').next().unwrap();
                        self.out = Some((*link, number.parse().unwrap()));
                        self.last = self.out;
                    } else if text.starts_with("CANCEL") {
                        self.out = None;
                    }
                }
                Output::SendToCaller(_, bytes) => {
                    let line: serde_json::Value = serde_json::from_slice(bytes).unwrap();
                    match line["t"].as_str().unwrap() {
                        "up" => {
                            assert!(!self.gone && self.finals == 0, "an answer nobody waits for");
                            self.finals += 1;
                        }
                        "down" => {
                            assert!(!self.over, "said to be over twice");
                            (self.finals, self.over) = (self.finals + 1, true);
                        }
                        _ => {}
                    }
                }
                _ => {}
            }
        }
        self.judged = self.rig.out.len();
    }

    /// Long after its time nothing is open.
    fn end(&mut self) {
        self.rig.pass(4_000);
        self.judge();
        assert_eq!(self.out, None, "an INVITE is out for ever");
        assert!(self.gone || self.finals > 0, "no final answer");
        assert_eq!(self.rig.engine.load().unanswered_calls, 0, "an answer is owed");
    }
}

#[test]
fn every_order_of_four_events_leaves_one_answer_and_nothing_open() {
    let mut orders = 0;
    for first in EVENTS {
        for second in EVENTS {
            for third in EVENTS {
                for fourth in EVENTS {
                    let order = [first, second, third, fourth];
                    let played = std::panic::catch_unwind(|| {
                        let mut course = Course::begin();
                        order.into_iter().for_each(|what| course.happens(what));
                        course.end();
                    });
                    assert!(played.is_ok(), "{order:?}");
                    orders += 1;
                }
            }
        }
    }
    assert_eq!(orders, EVENTS.len().pow(4));
}
