//! How the events of INVITEs at one front are counted as outcomes.

use ochrelead_core::time::{Moment, Span};
use ochrelead_zone::ServerKey;
use ochrelead_zone::outcome_reporter::{OutcomeReporter, OutcomeSample, ServerSample};
use test_case::test_case;

const LOSS_TIMEOUT: Span = Span::from_millis(400);

fn at(ms: u64) -> Moment {
    Moment::from_micros(5_000_000 + ms * 1_000)
}

#[derive(Clone, Copy)]
enum Event {
    Send(u64),
    Answer(u64),
    Fail(u64),
    Cancel(u64),
    Alive,
    Process { was_stalled: bool },
}
use Event::*;

const PROCESS: Event = Process { was_stalled: false };
const PROCESS_AFTER_STALL: Event = Process { was_stalled: true };

fn sample(in_time: u32, late: u32, lost: u32, is_alive: bool) -> OutcomeSample {
    OutcomeSample { in_time, late, lost, is_alive, is_stale: false }
}

#[test_case(&[(0, Send(1)), (50, Answer(1)), (900, PROCESS)], sample(1, 0, 0, true); "answered in time")]
#[test_case(&[(0, Send(1)), (500, PROCESS), (900, Answer(1))], sample(0, 1, 1, true); "answered late after counting as lost")]
#[test_case(&[(0, Send(1)), (500, PROCESS), (900, PROCESS)], sample(0, 0, 1, false); "unanswered, counted as lost once")]
#[test_case(&[(0, Send(1)), (500, PROCESS), (600, Fail(1))], sample(0, 0, 1, false); "lost, then connection failed, counted once")]
#[test_case(&[(0, Send(1)), (10, Fail(1)), (500, PROCESS)], sample(0, 0, 1, false); "connection failed before the loss timeout")]
#[test_case(&[(0, Send(1)), (100, Cancel(1)), (500, PROCESS)], sample(0, 0, 0, false); "cancelled before the loss timeout")]
#[test_case(&[(0, Send(1)), (10, Answer(1)), (20, Send(1)), (500, PROCESS)], sample(1, 0, 1, true); "reused identifier")]
#[test_case(&[(0, Send(1)), (2000, PROCESS_AFTER_STALL), (2001, Answer(1))], sample(0, 0, 0, false); "overdue after this front was stalled")]
#[test_case(&[(0, Answer(7)), (0, Fail(8))], sample(0, 0, 0, false); "unknown INVITEs")]
#[test_case(&[(0, Send(1)), (500, PROCESS), (6000, Answer(1))], OutcomeSample { is_stale: true, ..sample(0, 0, 1, true) }; "stale answer")]
#[test_case(&[(0, Alive)], sample(0, 0, 0, true); "activity without an answer")]
fn events_are_counted_as_outcomes_once(events: &[(u64, Event)], expected: OutcomeSample) {
    let server = ServerKey::from_name("s-1");
    let mut reporter = OutcomeReporter::new(LOSS_TIMEOUT);
    for (ms, event) in events {
        match *event {
            Send(invite) => reporter.on_invite_sent(at(*ms), server, invite),
            Answer(invite) => reporter.on_answer(at(*ms), invite),
            Fail(invite) => reporter.on_transport_failure(invite),
            Cancel(invite) => reporter.on_invite_cancelled(invite),
            Alive => reporter.on_server_alive(server),
            Process { was_stalled } => reporter.process(at(*ms), was_stalled),
        }
    }
    let samples: Vec<ServerSample> =
        if expected.is_empty() { Vec::new() } else { vec![ServerSample { server, outcomes: expected }] };
    assert_eq!(reporter.take_samples(), samples);
    assert_eq!(reporter.take_samples(), Vec::new());
}
