//! The answer times of all servers at one time.

use ochrelead_core::time::{Moment, Span};

use super::{AFTERMATH, WINDOW};
use crate::statistics::{MedianAnswerTime, ServerStats, Timed, seconds};

/// So many answers are needed to evaluate a server's answer times.
const MIN_ANSWERS: usize = 5;
/// Slow: a multiple of the usual answer time, and so many seconds above it.
const SLOW_MULTIPLE: f64 = 2.5;
const MIN_SLOWDOWN_S: f64 = 0.16;
/// Healthy: within this multiple of the usual answer time.
const HEALTHY_MULTIPLE: f64 = 1.5;
/// More offered than usual, as a multiple: that explains what is late then.
pub(super) const SURGE_MULTIPLE: f64 = 1.3;
/// A rate is no more than usual up to this much above the multiple, in INVITEs a second.
const RATE_TOLERANCE: f64 = 0.5;
/// A rate is taken over no less than so many seconds.
const MIN_RATE_S: f64 = 0.5;
/// A server that has started is slow for so long because it is cold.
const WARM_UP: Span = Span::from_secs(12);
/// Repeats are sent so many seconds after the INVITE (RFC 3435 section 4.3, doubling gaps): an answer just after
/// one is an answer to it.
const REPEATS_S: [f64; 3] = [0.5, 1.5, 3.5];
/// An answer to a repeat may be so much later than the slowest quick answer.
const REPEAT_TOLERANCE_S: f64 = 0.05;
/// Where answers are lost: the least number of quick and of late answers.
const MIN_QUICK_ANSWERS: usize = 3;
const MIN_LATE_ANSWERS: usize = 4;

/// Whether something happened less than `span` ago.
pub(super) fn is_recent(time: Option<Moment>, now: Moment, span: Span) -> bool {
    time.is_some_and(|time| now.since(time) < span)
}

/// The rate of `count` events a second, where events have been seen for `observed`.
pub(super) fn rate_over(count: usize, observed: Span) -> f64 {
    count as f64 / seconds(observed).max(MIN_RATE_S)
}

/// A server that answers late with no more to do than usual.
pub(super) struct LateServer {
    pub(super) name: String,
    /// Its median answer time now and usually, in seconds.
    median: f64,
    usual: f64,
    /// The INVITEs that it gets, as a share of the usual.
    pub(super) carried_share: f64,
}

impl LateServer {
    pub(super) fn evidence(&self) -> String {
        let LateServer { median, usual, .. } = self;
        format!("answers after {median:.2} s where {usual:.2} s are usual, with no more to do")
    }

    pub(super) fn confidence(&self) -> f64 {
        (self.median / self.usual / SLOW_MULTIPLE / 2.0).min(1.0)
    }
}

/// A server whose answers get lost.
pub(super) struct LossyServer {
    pub(super) name: String,
    /// Answers to a repeat, of all answers.
    pub(super) repeated: usize,
    pub(super) answers: usize,
}

/// What the answer times of all servers show.
#[derive(Default)]
pub(super) struct ServerSurvey {
    /// The number of servers with answers enough.
    pub(super) evaluated: usize,
    pub(super) healthy: usize,
    /// Those far above their usual answer time.
    pub(super) slowed: usize,
    /// Those of them that get no more INVITEs than usual.
    pub(super) late: Vec<LateServer>,
    pub(super) lossy: Vec<LossyServer>,
    /// Servers that are sent much less than usual.
    pub(super) avoided: Vec<String>,
}

impl ServerSurvey {
    /// Adds a server, and learns what is usual of it. `has_usual_demand`: as much is offered as usual.
    pub(super) fn add(&mut self, name: &str, server: &mut ServerStats, now: Moment, has_usual_demand: bool) {
        server.answers.expire(now);
        server.invites.expire(now);
        let is_draining = server.draining_since.is_some();
        let is_avoided = has_usual_demand && is_sent_little(server, now);
        if is_avoided && !is_draining {
            self.avoided.push(name.to_owned());
        }
        // A server that is slow is soon sent little: what it answered before counts longer then.
        let has_few_answers = is_avoided && server.answers.within(now, WINDOW).count() < MIN_ANSWERS;
        let span = if has_few_answers { WINDOW * 3 } else { WINDOW };
        let Some(median) = server.median_answer_time(now, span) else { return };
        let is_excused = is_draining
            || is_recent(server.started_at, now, WARM_UP)
            || is_recent(server.silent_at, now, AFTERMATH / 2);
        if median.count >= MIN_ANSWERS && !is_excused {
            self.evaluate(name, server, now, median);
        }
    }

    fn evaluate(&mut self, name: &str, server: &mut ServerStats, now: Moment, median: MedianAnswerTime) {
        self.evaluated += 1;
        let observed = server.first_invite_at.map_or(Span::ZERO, |first| now.since(first)).min(WINDOW);
        let rate = rate_over(server.invites.within(now, WINDOW).count(), observed);
        let usual = server.usual_answer_time.known().unwrap_or(median.seconds);
        let usual_rate = server.usual_invite_rate.known().unwrap_or(f64::INFINITY);
        let answers: Vec<AnswerTiming> = server.answers.within(now, WINDOW).map(AnswerTiming::of).collect();
        if let Some(repeated) = count_answers_to_repeats(&answers) {
            self.lossy.push(LossyServer { name: name.to_owned(), repeated, answers: median.count });
        } else if median.seconds > usual * SLOW_MULTIPLE && median.seconds - usual > MIN_SLOWDOWN_S {
            self.slowed += 1;
            if rate <= usual_rate * SURGE_MULTIPLE + RATE_TOLERANCE {
                let carried_share = rate / usual_rate;
                self.late.push(LateServer {
                    name: name.to_owned(),
                    median: median.seconds,
                    usual,
                    carried_share,
                });
            }
        } else if observed >= WINDOW / 2 {
            self.healthy += usize::from(median.seconds < usual * HEALTHY_MULTIPLE);
            server.usual_answer_time.learn(median.seconds);
            server.usual_invite_rate.learn(rate);
        }
    }
}

/// Whether a server is sent less than half of what it usually is.
fn is_sent_little(server: &ServerStats, now: Moment) -> bool {
    let usual_rate = server.usual_invite_rate.known().unwrap_or(0.0);
    (server.invites.within(now, WINDOW).count() as f64) < usual_rate * seconds(WINDOW) / 2.0
}

/// An answer: when its INVITE was sent, and how long it took, in seconds.
#[derive(Clone, Copy)]
struct AnswerTiming {
    sent_s: f64,
    took_s: f64,
}

impl AnswerTiming {
    fn of(answer: &Timed<Span>) -> AnswerTiming {
        let took_s = seconds(answer.value);
        AnswerTiming { sent_s: seconds(answer.time.since(Moment::START)) - took_s, took_s }
    }
}

/// How many answers came to a repeat, where others came at once and none between: the first ones were lost. A slow
/// server answers at all times, and one that becomes slow or healthy again answers first one way and then the other;
/// here both kinds alternate.
fn count_answers_to_repeats(answers: &[AnswerTiming]) -> Option<usize> {
    let is_quick = |answer: &AnswerTiming| answer.took_s < REPEATS_S[0] / 2.0;
    let (quick, late): (Vec<AnswerTiming>, Vec<AnswerTiming>) = answers.iter().copied().partition(is_quick);
    let slowest_quick = quick.iter().map(|answer| answer.took_s).fold(0.0, f64::max);
    let tolerance = slowest_quick + REPEAT_TOLERANCE_S;
    let is_to_repeat = |answer: &&AnswerTiming| {
        REPEATS_S.iter().any(|repeat| (0.0..tolerance).contains(&(answer.took_s - repeat)))
    };
    let repeated = late.iter().filter(is_to_repeat).count();
    let alternate = count_after_first(&quick, &late) >= 2 && count_after_first(&late, &quick) >= 2;
    let has_both =
        quick.len() >= MIN_QUICK_ANSWERS && late.len() >= MIN_LATE_ANSWERS && late.len() * 4 >= answers.len();
    (alternate && has_both && repeated * 5 >= late.len() * 4).then_some(repeated)
}

/// How many INVITEs of some answers were sent after the first of others.
fn count_after_first(answers: &[AnswerTiming], others: &[AnswerTiming]) -> usize {
    let first = others.iter().map(|other| other.sent_s).fold(f64::INFINITY, f64::min);
    answers.iter().filter(|answer| answer.sent_s > first).count()
}
