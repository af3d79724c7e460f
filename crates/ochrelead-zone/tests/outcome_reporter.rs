//! What one front counts.

use ochrelead_core::time::{Moment, Span};
use ochrelead_zone::ServerKey;
use ochrelead_zone::outcome_reporter::{OutcomeReporter, OutcomeSample};
use test_case::test_case;

const OVERDUE: Span = Span::from_millis(400);

fn at(ms: u64) -> Moment {
    Moment::from_micros(5_000_000 + ms * 1_000)
}

#[derive(Clone, Copy)]
enum Act {
    Ask(u64),
    Answer(u64),
    Fail(u64),
    CallOff(u64),
    Alive,
    /// A turn; whether the front stood still before.
    Turn(bool),
}
use Act::*;

fn met(in_time: u32, late: u32, lost: u32, alive: bool) -> OutcomeSample {
    OutcomeSample { in_time, late, lost, is_alive: alive, is_stale: false }
}

#[test_case(&[(0, Ask(1)), (50, Answer(1)), (900, Turn(false))], met(1, 0, 0, true); "in time")]
#[test_case(&[(0, Ask(1)), (500, Turn(false)), (900, Answer(1))], met(0, 1, 1, true); "late: lost at first")]
#[test_case(&[(0, Ask(1)), (500, Turn(false)), (900, Turn(false))], met(0, 0, 1, false); "lost, and counted once")]
#[test_case(&[(0, Ask(1)), (500, Turn(false)), (600, Fail(1))], met(0, 0, 1, false); "lost, then its connection too")]
#[test_case(&[(0, Ask(1)), (10, Fail(1)), (500, Turn(false))], met(0, 0, 1, false); "its connection failed")]
#[test_case(&[(0, Ask(1)), (100, CallOff(1)), (500, Turn(false))], met(0, 0, 0, false); "called off before it was overdue")]
#[test_case(&[(0, Ask(1)), (10, Answer(1)), (20, Ask(1)), (500, Turn(false))], met(1, 0, 1, true); "a name that is used again")]
#[test_case(&[(0, Ask(1)), (2000, Turn(true)), (2001, Answer(1))], met(0, 0, 0, false); "this front stood still")]
#[test_case(&[(0, Answer(7)), (0, Fail(8))], met(0, 0, 0, false); "of INVITEs that nobody knows")]
#[test_case(&[(0, Ask(1)), (500, Turn(false)), (6000, Answer(1))], OutcomeSample { is_stale: true, ..met(0, 0, 1, true) }; "an answer of long ago")]
#[test_case(&[(0, Alive)], met(0, 0, 0, true); "a word of the server")]
fn what_is_counted(acts: &[(u64, Act)], expected: OutcomeSample) {
    let server = ServerKey::from_name("s-1");
    let mut evidence = OutcomeReporter::new(OVERDUE);
    for (ms, act) in acts {
        match *act {
            Ask(ask) => evidence.on_invite_sent(at(*ms), server, ask),
            Answer(ask) => evidence.on_answer(at(*ms), ask),
            Fail(ask) => evidence.on_transport_failure(ask),
            CallOff(ask) => evidence.on_invite_cancelled(ask),
            Alive => evidence.on_server_alive(server),
            Turn(stood_still) => evidence.process(at(*ms), stood_still),
        }
    }
    let said: Vec<(ServerKey, OutcomeSample)> =
        if expected.is_empty() { Vec::new() } else { vec![(server, expected)] };
    assert_eq!(evidence.take_samples(), said);
    assert_eq!(evidence.take_samples(), Vec::new());
}
