//! Checks the history of a trial against the platform's rules.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use super::bad_callers::BAD_CALLER_LIMIT;
use super::discovery_view::DiscoveryView;
use super::history::{Answer, CallNumber, Entry, Event, History, InviteEnd, Lifecycle};

/// Tolerance added to the platform's time limits for delays between a node and the emulated peers' sockets.
const SLACK: Duration = Duration::from_millis(50);
/// An answer that arrives later than this after the caller's wait has run out counts as lost.
const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// Time limit for releasing a call towards its caller after the server released it.
const RELEASE_LIMIT: Duration = Duration::from_secs(1);
/// Time limit for releasing a call towards its caller after its server's process ended without sending a BYE.
const UNANNOUNCED_RELEASE_LIMIT: Duration = Duration::from_secs(8);
/// Callers may keep sending set-ups to a node for this long after its SIGTERM.
pub const SHUTDOWN_GRACE: Duration = Duration::from_millis(700);

/// Time limits from the nodes' settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long a node may still send new calls to a server after the node was notified that it drains.
    pub drain_grace: Duration,
    /// Minimum delay between the cancel or reset of an INVITE and the next INVITE of the call.
    pub resend_delay: Duration,
}

/// A rule that the nodes must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Each call gets exactly one final answer, in time.
    FinalAnswer,
    /// A call never has two INVITEs in progress at once.
    OneInvite,
    /// A draining or removed server receives no new call once the grace is over.
    Drain,
    /// After a cancel or reset, the next INVITE waits for at least the re-send delay.
    ResendDelay,
    /// An established call that has ended at its server is released towards its caller.
    Release,
    /// Unusable input is answered, or its connection closed, in time.
    BadCaller,
    /// A node's process exits only after SIGTERM, and then successfully.
    Crash,
}

/// One breach of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// When it was broken, from the trial's start.
    pub at: Duration,
    /// What the node did.
    pub detail: String,
    /// The entries of the history that show the breach.
    pub evidence: Vec<Entry>,
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:?} at {:.3}: {}", self.rule, self.at.as_secs_f64(), self.detail)?;
        self.evidence.iter().try_for_each(|entry| writeln!(f, "    {entry}"))
    }
}

/// Returns all violations in a history, sorted by time.
pub fn audit(history: &History, limits: Limits) -> Vec<Violation> {
    let mut violations = check_final_answers(history);
    violations.extend(check_invites(history, limits));
    violations.extend(check_drains(history, limits));
    violations.extend(check_releases(history));
    violations.extend(check_bad_callers(history));
    violations.extend(check_exits(history));
    violations.sort_by_key(|violation| violation.at);
    violations
}

/// What the caller of one call did and saw.
#[derive(Default)]
struct CallOutcome {
    /// When the set-up was sent, to which node, and how long the caller waits.
    sent: Option<(Duration, usize, Duration)>,
    /// When each answer arrived, the answer, and whether its body is what the server sent.
    answers: Vec<(Duration, Answer, bool)>,
    /// When the caller cancelled the set-up or the node stopped owing an answer.
    withdrawn: Option<Duration>,
    /// When the node closed the connection without an answer.
    closed: Option<Duration>,
}

fn outcomes_by_call(history: &History) -> BTreeMap<CallNumber, CallOutcome> {
    let mut outcomes: BTreeMap<CallNumber, CallOutcome> = BTreeMap::new();
    for entry in &history.entries {
        match entry.event {
            Event::SetUpSent { call, node, wait } => {
                outcomes.entry(call).or_default().sent = Some((entry.at, node, wait));
            }
            Event::Told { call, answer, intact } => {
                outcomes.entry(call).or_default().answers.push((entry.at, answer, intact));
            }
            Event::Withdrawn { call } => outcomes.entry(call).or_default().withdrawn = Some(entry.at),
            Event::ClosedUnanswered { call } => outcomes.entry(call).or_default().closed = Some(entry.at),
            _ => {}
        }
    }
    outcomes
}

fn check_final_answers(history: &History) -> Vec<Violation> {
    let end = history.entries.last().map_or(Duration::ZERO, |entry| entry.at);
    let mut violations = Vec::new();
    for (call, outcome) in outcomes_by_call(history) {
        let Some((sent, node, wait)) = outcome.sent else { continue };
        let limit = sent + wait + LATE_ANSWER_LIMIT + SLACK;
        let breach = match outcome.answers.as_slice() {
            _ if outcome.withdrawn.is_some() => None,
            [] if outcome.closed.is_some_and(|at| is_excused_by_kill(history, node, sent, at)) => None,
            [] => match outcome.closed {
                Some(at) => Some((at, format!("n{node} closed the connection without an answer"))),
                None if end > limit && !is_excused_by_kill(history, node, sent, limit) => {
                    Some((limit, format!("n{node} did not answer the set-up")))
                }
                None => None,
            },
            [(at, ..), ..] if *at > limit + stalled(history, node, sent, *at) => Some((
                *at,
                format!("n{node} answered {:?} after the caller's wait had run out", *at - sent - wait),
            )),
            [(at, _, false), ..] => {
                Some((*at, format!("n{node} passed on an answer that differs from the server's")))
            }
            [(_, Answer::Down, _), (at, ..), ..] | [(_, Answer::Up, _), (at, Answer::Up, _), ..] => {
                Some((*at, format!("n{node} gave a second answer")))
            }
            _ => None,
        };
        if let Some((at, detail)) = breach {
            let detail = format!("call {call:016x}: {detail}");
            violations.push(violation(history, Rule::FinalAnswer, at, detail, call));
        }
    }
    violations
}

/// How long the machine stalled, plus how long the trial suspended the node, between two moments.
fn stalled(history: &History, node: usize, from: Duration, until: Duration) -> Duration {
    history.stalled_between(from, until) + history.node_stalled_between(node, from, until)
}

/// Whether a SIGKILL excuses the node from answering a set-up that was sent at `sent` and is unanswered at `at`. A
/// kill at the end of a shutdown does not excuse set-ups sent more than [`SHUTDOWN_GRACE`] after SIGTERM.
fn is_excused_by_kill(history: &History, number: usize, sent: Duration, at: Duration) -> bool {
    let mut terminated = None;
    let mut is_killed = false;
    for entry in history.entries.iter().take_while(|entry| entry.at <= at) {
        match entry.event {
            Event::Started { node } if node == number && entry.at <= sent => terminated = None,
            Event::Terminated { node } if node == number => terminated = Some(entry.at),
            Event::Killed { node } if node == number && entry.at >= sent => is_killed = true,
            _ => {}
        }
    }
    is_killed && terminated.is_none_or(|terminated| sent <= terminated + SHUTDOWN_GRACE)
}

/// Builds a violation with all entries of the call as evidence.
fn violation(history: &History, rule: Rule, at: Duration, detail: String, call: CallNumber) -> Violation {
    Violation { rule, at, detail, evidence: history.of_call(call).cloned().collect() }
}

/// One INVITE as its server saw it.
struct Attempt {
    sequence: u32,
    arrived: Duration,
    end: Option<(Duration, InviteEnd)>,
}

fn attempts_by_call(history: &History) -> BTreeMap<CallNumber, Vec<Attempt>> {
    let mut attempts: BTreeMap<CallNumber, Vec<Attempt>> = BTreeMap::new();
    for entry in &history.entries {
        match entry.event {
            Event::InviteArrived { call, sequence, .. } => {
                attempts.entry(call).or_default().push(Attempt { sequence, arrived: entry.at, end: None });
            }
            Event::InviteEnded { call, sequence, end, .. } => {
                let of_call = attempts.entry(call).or_default();
                if let Some(attempt) = of_call.iter_mut().find(|attempt| attempt.sequence == sequence) {
                    attempt.end = Some((entry.at, end));
                }
            }
            _ => {}
        }
    }
    attempts
}

fn check_invites(history: &History, limits: Limits) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (call, attempts) in attempts_by_call(history) {
        for pair in attempts.windows(2) {
            let next = pair[1].arrived;
            let broken_rule = match pair[0].end {
                Some((ended, end)) if ended <= next => {
                    let must_wait = end != InviteEnd::Answered;
                    let earliest = ended + limits.resend_delay.saturating_sub(SLACK);
                    let is_early = next + history.stalled_between(pair[0].arrived, next) < earliest;
                    (must_wait && is_early).then_some(Rule::ResendDelay)
                }
                _ => Some(Rule::OneInvite),
            };
            if let Some(rule) = broken_rule {
                let (former, next_sequence) = (pair[0].sequence, pair[1].sequence);
                let detail =
                    format!("call {call:016x}: INVITE {next_sequence} followed INVITE {former} too early");
                violations.push(violation(history, rule, next, detail, call));
            }
        }
    }
    violations
}

/// Since when the list has shown a server as draining or removed, as of `at`; `None` if it is listed as up or not
/// listed yet.
fn out_of_service_since(history: &History, id: &str, at: Duration) -> Option<Duration> {
    let mut since = None;
    for entry in history.entries.iter().take_while(|entry| entry.at <= at) {
        if let Event::Listed { server, state } = &entry.event
            && server == id
        {
            since = match state {
                Lifecycle::Up => None,
                Lifecycle::Draining | Lifecycle::Removed => since.or(Some(entry.at)),
            };
        }
    }
    since
}

fn check_drains(history: &History, limits: Limits) -> Vec<Violation> {
    let outcomes = outcomes_by_call(history);
    let mut views: BTreeMap<usize, DiscoveryView> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in &history.entries {
        let Event::InviteArrived { server, call, buffered_since, .. } = &entry.event else { continue };
        let sent = buffered_since.unwrap_or(entry.at);
        let Some(listed) = out_of_service_since(history, server, entry.at) else { continue };
        let Some((_, node, _)) = outcomes.get(call).and_then(|outcome| outcome.sent) else { continue };
        let view = views.entry(node).or_insert_with(|| DiscoveryView::of_node(history, node));
        let started = last_start(history, node, entry.at);
        let Some(notified) = view.notified_at(started, listed) else { continue };
        let allowed = notified + limits.drain_grace + SLACK + history.stalled_between(notified, entry.at);
        if sent > allowed {
            let delay = sent - notified;
            let detail = format!(
                "n{node} sent call {call:016x} to {server}, out of service since {:.3}, {delay:?} after the \
                 node was notified",
                listed.as_secs_f64()
            );
            violations.push(violation(history, Rule::Drain, entry.at, detail, *call));
        }
    }
    violations
}

/// When the process of a node that runs at `at` was started; zero if it never was.
fn last_start(history: &History, number: usize, at: Duration) -> Duration {
    let is_start = |entry: &&Entry| matches!(entry.event, Event::Started { node } if node == number);
    let starts = history.entries.iter().filter(is_start).map(|entry| entry.at);
    starts.take_while(|start| *start <= at).last().unwrap_or(Duration::ZERO)
}

/// Checks that calls released by their servers, or lost with them, are released towards their callers. Calls whose
/// node was disturbed meanwhile are left out: a restarted node learns of a call only from its caller.
fn check_releases(history: &History) -> Vec<Violation> {
    let end = history.entries.last().map_or(Duration::ZERO, |entry| entry.at);
    let ended_calls = ended_calls(history);
    let mut violations = Vec::new();
    for (call, outcome) in outcomes_by_call(history) {
        let (Some((sent, node, _)), [(up, Answer::Up, _), later @ ..]) =
            (outcome.sent, outcome.answers.as_slice())
        else {
            continue;
        };
        if outcome.withdrawn.is_some() {
            continue;
        }
        let Some((ended, limit)) = ended_calls.get(&call).copied() else { continue };
        let ended = ended.max(*up);
        let limit = ended + limit + SLACK;
        let released = later.iter().find(|(_, answer, _)| *answer == Answer::Down).map(|(at, ..)| *at);
        let allowed = limit + history.stalled_between(ended, released.unwrap_or(limit));
        let is_late = released.map_or(end > allowed, |released| released > allowed);
        if is_late && !is_disturbed(history, node, sent, allowed) {
            let detail = format!("call {call:016x}: n{node} released it towards its caller late or never");
            violations.push(violation(history, Rule::Release, allowed, detail, call));
        }
    }
    violations
}

/// When each call ended at its server, and the time limit for releasing it towards its caller.
fn ended_calls(history: &History) -> BTreeMap<CallNumber, (Duration, Duration)> {
    let mut at_server: BTreeMap<CallNumber, &str> = BTreeMap::new();
    let mut ended = BTreeMap::new();
    for entry in &history.entries {
        match &entry.event {
            Event::InviteEnded { server, call, end: InviteEnd::Answered, .. } => {
                at_server.insert(*call, server);
            }
            Event::Released { call } => {
                at_server.remove(call);
                ended.entry(*call).or_insert((entry.at, RELEASE_LIMIT));
            }
            Event::ServerStopped { server } => {
                let lost = at_server.iter().filter(|(_, id)| *id == server).map(|(call, _)| *call);
                for call in lost.collect::<Vec<_>>() {
                    at_server.remove(&call);
                    ended.insert(call, (entry.at, UNANNOUNCED_RELEASE_LIMIT));
                }
            }
            _ => {}
        }
    }
    ended
}

/// Whether a node was terminated, killed or suspended, or exited, between two moments.
fn is_disturbed(history: &History, number: usize, from: Duration, until: Duration) -> bool {
    let within = history.entries.iter().filter(|entry| (from..=until).contains(&entry.at));
    within.into_iter().any(|entry| {
        matches!(entry.event,
            Event::Terminated { node } | Event::Exited { node, .. } | Event::Killed { node } | Event::Stalled { node, .. }
            if node == number)
    })
}

/// Checks that bad input was answered or its connection closed. Cases in which the node was disturbed, or the machine
/// stalled, meanwhile are left out.
fn check_bad_callers(history: &History) -> Vec<Violation> {
    let ignored = history.entries.iter().filter_map(|entry| match entry.event {
        Event::BadInputIgnored { node } => Some((entry, node)),
        _ => None,
    });
    let judged = ignored.filter(|(entry, node)| {
        let from = entry.at.saturating_sub(BAD_CALLER_LIMIT * 2);
        !is_disturbed(history, *node, from, entry.at) && history.stalled_between(from, entry.at).is_zero()
    });
    let violation = |(entry, node): (&Entry, usize)| Violation {
        rule: Rule::BadCaller,
        at: entry.at,
        detail: format!(
            "n{node} neither answered unusable input nor closed its connection within {BAD_CALLER_LIMIT:?}"
        ),
        evidence: vec![entry.clone()],
    };
    judged.map(violation).collect()
}

/// Checks that no process exits without SIGTERM or with a failure.
fn check_exits(history: &History) -> Vec<Violation> {
    let mut terminating: BTreeMap<usize, bool> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in &history.entries {
        match entry.event {
            Event::Started { node } => _ = terminating.insert(node, false),
            Event::Terminated { node } => _ = terminating.insert(node, true),
            Event::Exited { node, success } if !(success && terminating.get(&node) == Some(&true)) => {
                violations.push(Violation {
                    rule: Rule::Crash,
                    at: entry.at,
                    detail: format!("n{node} exited without SIGTERM or with a failure"),
                    evidence: vec![entry.clone()],
                });
            }
            _ => {}
        }
    }
    violations
}
