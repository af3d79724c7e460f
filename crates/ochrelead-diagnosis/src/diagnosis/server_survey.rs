//! Classifies all servers by their recent answer times.

use ochrelead_core::time::{Moment, Span};

use super::{AFTERMATH, WINDOW};
use crate::statistics::{MedianAnswerTime, ServerStats, Timed, seconds};

/// The number of answers that an evaluation of a server requires.
const MIN_ANSWERS: usize = 5;
/// A server is slow if its median answer time is above this multiple of the usual one and `MIN_SLOWDOWN_S` above it.
const SLOW_MULTIPLE: f64 = 2.5;
/// The minimum excess over the usual answer time that makes a server slow, in seconds.
const MIN_SLOWDOWN_S: f64 = 0.16;
/// A server is healthy if its median answer time is below this multiple of the usual one.
const HEALTHY_MULTIPLE: f64 = 1.5;
/// Demand above this multiple of the usual rate is a surge, which explains late answers.
pub(super) const SURGE_MULTIPLE: f64 = 1.3;
/// The tolerance added to the surge multiple of a server's rate, in INVITEs per second.
const RATE_TOLERANCE: f64 = 0.5;
/// The shortest time over which a rate is computed, in seconds.
const MIN_RATE_S: f64 = 0.5;
/// For this time after its start, a server may be slow because it is warming up.
const WARM_UP: Span = Span::from_secs(12);
/// The times of retransmissions after the INVITE, in seconds (doubling intervals, RFC 3435 section 4.3). An answer
/// shortly after one of them is attributed to it.
const RETRANSMISSIONS_S: [f64; 3] = [0.5, 1.5, 3.5];
/// An answer to a retransmission may take this much longer than the slowest prompt answer, in seconds.
const RETRANSMISSION_TOLERANCE_S: f64 = 0.05;
/// The number of prompt answers that a report of lost answers requires.
const MIN_PROMPT_ANSWERS: usize = 3;
/// The number of late answers that a report of lost answers requires.
const MIN_LATE_ANSWERS: usize = 4;

/// Whether something happened less than `span` ago.
pub(super) fn is_recent(time: Option<Moment>, now: Moment, span: Span) -> bool {
    time.is_some_and(|time| now.since(time) < span)
}

/// The rate of `count` events per second, given the time for which events have been observed.
pub(super) fn rate_over(count: usize, observed: Span) -> f64 {
    count as f64 / seconds(observed).max(MIN_RATE_S)
}

/// A server that answers late although it gets no more INVITEs than usual.
pub(super) struct LateServer {
    pub(super) name: String,
    /// The recent median answer time, in seconds.
    median: f64,
    /// The usual answer time, in seconds.
    usual: f64,
    /// The rate of INVITEs to the server, as a share of its usual rate.
    pub(super) load_share: f64,
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

/// A server whose answers are partly lost.
pub(super) struct LossyServer {
    pub(super) name: String,
    /// The number of answers to retransmissions.
    pub(super) to_retransmission: usize,
    /// The number of all answers.
    pub(super) answers: usize,
}

/// The classification of all servers by their answer times.
#[derive(Default)]
pub(super) struct ServerSurvey {
    /// The number of servers with enough answers.
    pub(super) evaluated: usize,
    /// The number of servers near their usual answer time.
    pub(super) healthy: usize,
    /// The number of servers far above their usual answer time.
    pub(super) slowed: usize,
    /// The slowed servers that get no more INVITEs than usual.
    pub(super) late: Vec<LateServer>,
    /// Servers whose answers are partly lost.
    pub(super) lossy: Vec<LossyServer>,
    /// Servers that get less than half of their usual INVITEs and are not draining.
    pub(super) avoided: Vec<String>,
}

impl ServerSurvey {
    /// Classifies a server and updates its usual answer time and rate. `has_usual_demand`: the demand on the fleet is
    /// not far below the usual one.
    pub(super) fn add(&mut self, name: &str, server: &mut ServerStats, now: Moment, has_usual_demand: bool) {
        server.answers.expire(now);
        server.invites.expire(now);
        let is_draining = server.draining_since.is_some();
        let is_avoided = has_usual_demand && is_underused(server, now);
        if is_avoided && !is_draining {
            self.avoided.push(name.to_owned());
        }
        // A slow server soon gets few INVITEs. Its answers are then taken from a longer window.
        let has_few_answers = is_avoided && server.answers.within(now, WINDOW).count() < MIN_ANSWERS;
        let span = if has_few_answers { WINDOW * 3 } else { WINDOW };
        let Some(median) = server.median_answer_time(now, span) else { return };
        let is_exempt = is_draining
            || is_recent(server.started_at, now, WARM_UP)
            || is_recent(server.silent_at, now, AFTERMATH / 2);
        if median.count >= MIN_ANSWERS && !is_exempt {
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
        if let Some(to_retransmission) = count_answers_to_retransmissions(&answers) {
            self.lossy.push(LossyServer { name: name.to_owned(), to_retransmission, answers: median.count });
        } else if median.seconds > usual * SLOW_MULTIPLE && median.seconds - usual > MIN_SLOWDOWN_S {
            self.slowed += 1;
            if rate <= usual_rate * SURGE_MULTIPLE + RATE_TOLERANCE {
                let load_share = rate / usual_rate;
                self.late.push(LateServer {
                    name: name.to_owned(),
                    median: median.seconds,
                    usual,
                    load_share,
                });
            }
        } else if observed >= WINDOW / 2 {
            self.healthy += usize::from(median.seconds < usual * HEALTHY_MULTIPLE);
            server.usual_answer_time.learn(median.seconds);
            server.usual_invite_rate.learn(rate);
        }
    }
}

/// Whether a server gets less than half of its usual INVITEs.
fn is_underused(server: &ServerStats, now: Moment) -> bool {
    let usual_rate = server.usual_invite_rate.known().unwrap_or(0.0);
    (server.invites.within(now, WINDOW).count() as f64) < usual_rate * seconds(WINDOW) / 2.0
}

/// When the INVITE of an answer was sent, and the answer time, in seconds.
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

/// Counts the answers to retransmissions if the answer times show that earlier answers were lost; otherwise returns
/// `None`. With loss, answers are either prompt or come shortly after a retransmission, and both kinds alternate. The
/// answer times of a slow server are spread instead, and those of a server that becomes slow or recovers change from
/// one kind to the other once.
fn count_answers_to_retransmissions(answers: &[AnswerTiming]) -> Option<usize> {
    let is_prompt = |answer: &AnswerTiming| answer.took_s < RETRANSMISSIONS_S[0] / 2.0;
    let (prompt, late): (Vec<AnswerTiming>, Vec<AnswerTiming>) = answers.iter().copied().partition(is_prompt);
    let slowest_prompt_s = prompt.iter().map(|answer| answer.took_s).fold(0.0, f64::max);
    let tolerance_s = slowest_prompt_s + RETRANSMISSION_TOLERANCE_S;
    let is_to_retransmission = |answer: &&AnswerTiming| {
        RETRANSMISSIONS_S.iter().any(|sent_s| (0.0..tolerance_s).contains(&(answer.took_s - sent_s)))
    };
    let to_retransmission = late.iter().filter(is_to_retransmission).count();
    let alternate = count_after_first(&prompt, &late) >= 2 && count_after_first(&late, &prompt) >= 2;
    let has_enough_of_both = prompt.len() >= MIN_PROMPT_ANSWERS
        && late.len() >= MIN_LATE_ANSWERS
        && late.len() * 4 >= answers.len();
    (alternate && has_enough_of_both && to_retransmission * 5 >= late.len() * 4).then_some(to_retransmission)
}

/// Counts the `answers` whose INVITE was sent after the first INVITE of `others`.
fn count_after_first(answers: &[AnswerTiming], others: &[AnswerTiming]) -> usize {
    let first = others.iter().map(|other| other.sent_s).fold(f64::INFINITY, f64::min);
    answers.iter().filter(|answer| answer.sent_s > first).count()
}
