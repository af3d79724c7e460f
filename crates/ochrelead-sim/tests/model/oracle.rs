//! Checks the five rules using only the datagrams that fronts send and read, and the starts and stops of processes.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    ATTEMPT_LIMIT, DRAIN_GRACE, MAX_INVITES, OVERLOAD_FACTOR, OVERLOAD_WINDOW, RELEASE_DELAY, SET_UP_RATE,
    START_SHARE, WARM_UP,
};

/// A rule violated by a front.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RuleViolation {
    /// The number of the rule, from 1; 0 for the front's session accounting.
    pub(crate) rule: u8,
    pub(crate) detail: String,
}

type CheckResult = Result<(), RuleViolation>;

fn violation(rule: u8, detail: String) -> CheckResult {
    Err(RuleViolation { rule, detail })
}

/// A caller's attempt, as known from the datagrams that its front has read and sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempt {
    pub(crate) front: usize,
    /// When the front read the attempt. The front owes an answer from then on, unless it is killed.
    pub(crate) accepted_at: Option<u64>,
    /// When the final answer is due.
    pub(crate) deadline: u64,
    /// Whether the final answer may be late because the front was stalled.
    pub(crate) may_be_late: bool,
    pub(crate) hung_up_at: Option<u64>,
    /// The transaction ids of the final answers.
    pub(crate) answers: BTreeSet<u32>,
    pub(crate) established: bool,
    /// Whether the call was cut by the server, which ends the session.
    pub(crate) cut: bool,
    outstanding: Option<OutstandingInvite>,
    invites: u32,
    released_at: Option<u64>,
}

impl Attempt {
    pub(crate) fn is_waiting(&self) -> bool {
        self.answers.is_empty() && self.hung_up_at.is_none()
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct OutstandingInvite {
    server: usize,
    transaction: u32,
}

struct SentInvite {
    attempt: String,
    /// When the INVITE ended; no retransmission may be sent after that.
    ended_at: Option<u64>,
}

/// The last start of a server.
struct ServerStart {
    started_at: u64,
    /// The fronts that have read the announcement of the start.
    informed: BTreeSet<usize>,
    /// The times of INVITEs from these fronts within the overload window.
    set_ups: Vec<u64>,
}

#[derive(Default)]
pub(crate) struct Oracle {
    now: u64,
    pub(crate) attempts: BTreeMap<String, Attempt>,
    /// All INVITEs, by front and transaction.
    invites: BTreeMap<(usize, u32), SentInvite>,
    /// By front and server: when the front read that the server is leaving.
    leaving: BTreeMap<(usize, usize), u64>,
    starts: BTreeMap<usize, ServerStart>,
}

impl Oracle {
    /// Sets the current time.
    pub(crate) fn advance_to(&mut self, now: u64) {
        self.now = now;
    }

    /// A front reads a caller's attempt. The time for which it was queued counts towards the attempt's limit.
    pub(crate) fn on_attempt(&mut self, front: usize, id: &str, queued_ms: u64) {
        let attempt = self.attempts.entry(id.to_owned()).or_default();
        if attempt.accepted_at.is_none() && attempt.hung_up_at.is_none() {
            attempt.front = front;
            attempt.accepted_at = Some(self.now);
            attempt.deadline = self.now + ATTEMPT_LIMIT - queued_ms.min(ATTEMPT_LIMIT);
            attempt.may_be_late = queued_ms > 0;
        }
    }

    /// A front reads a caller's hang-up.
    pub(crate) fn on_hang_up(&mut self, id: &str) {
        self.attempts.entry(id.to_owned()).or_default().hung_up_at.get_or_insert(self.now);
    }

    /// A front reads a server's final response.
    pub(crate) fn on_response(&mut self, front: usize, server: usize, transaction: u32, code: u16) {
        let Some(invite) = self.invites.get_mut(&(front, transaction)) else { return };
        let Some(attempt) = self.attempts.get_mut(&invite.attempt) else { return };
        if attempt.outstanding == Some(OutstandingInvite { server, transaction }) {
            attempt.outstanding = None;
            attempt.released_at = (code == 405).then_some(self.now);
            invite.ended_at = Some(self.now);
        }
    }

    /// A front reads a server's RSIP.
    pub(crate) fn on_announcement(&mut self, front: usize, server: usize, method: &str) {
        match method {
            "graceful" | "forced" => {
                self.leaving.entry((front, server)).or_insert(self.now);
            }
            _ => {
                self.leaving.remove(&(front, server));
                if let Some(start) = self.starts.get_mut(&server) {
                    start.informed.insert(front);
                }
            }
        }
        if method != "graceful" {
            self.end_calls(front, server);
        }
    }

    /// A front learns that all calls at a server have ended.
    fn end_calls(&mut self, front: usize, server: usize) {
        for attempt in self.attempts.values_mut().filter(|attempt| attempt.front == front) {
            if let Some(invite) = attempt.outstanding.take_if(|invite| invite.server == server) {
                attempt.released_at = Some(self.now);
                end_invite(&mut self.invites, self.now, front, invite);
            } else if attempt.established && attempt.hung_up_at.is_none() {
                // The oracle does not track the server of an established call, so any established call of the front may
                // have ended; only calls that are certainly established are checked.
                attempt.cut = true;
            }
        }
    }

    /// A new process starts at a server.
    pub(crate) fn on_server_start(&mut self, server: usize) {
        let start = ServerStart { started_at: self.now, informed: BTreeSet::new(), set_ups: Vec::new() };
        self.starts.insert(server, start);
    }

    /// A front is killed. Its next process owes nothing for the attempts that this one accepted.
    pub(crate) fn on_front_killed(&mut self, front: usize) {
        self.attempts.retain(|_, attempt| attempt.front != front);
        self.invites.retain(|(sender, _), _| *sender != front);
    }

    /// A stalled front resumes. Answers to its current attempts may be late because of the stall.
    pub(crate) fn on_front_resumed(&mut self, front: usize) {
        let attempts = self.attempts.values_mut().filter(|attempt| attempt.front == front);
        attempts.for_each(|attempt| attempt.may_be_late = true);
    }

    /// A front sends a final answer.
    pub(crate) fn on_answer(
        &mut self,
        front: usize,
        id: &str,
        transaction: u32,
        established: bool,
    ) -> CheckResult {
        let now = self.now;
        let Some(attempt) = self.accepted_attempt(front, id) else {
            return violation(1, format!("answer to {id}, which the front has not accepted"));
        };
        if !attempt.answers.insert(transaction) {
            return Ok(());
        }
        attempt.established = established;
        if attempt.answers.len() > 1 {
            return violation(1, format!("{id}: second final answer"));
        }
        if attempt.hung_up_at.is_some_and(|time| time < now) {
            return violation(1, format!("{id}: final answer after the hang-up"));
        }
        if now > attempt.deadline && !attempt.may_be_late {
            return violation(1, format!("{id}: final answer after the limit"));
        }
        Ok(())
    }

    /// A front sends a server a DLCX for a call.
    pub(crate) fn on_release(&mut self, front: usize, server: usize, id: &str) {
        let attempt = self.attempts.get_mut(id).filter(|attempt| attempt.front == front);
        let Some(attempt) = attempt else { return };
        if let Some(invite) = attempt.outstanding.take_if(|invite| invite.server == server) {
            attempt.released_at = Some(self.now);
            end_invite(&mut self.invites, self.now, front, invite);
        }
    }

    /// A front sends a server a CRCX for a call.
    pub(crate) fn on_invite(
        &mut self,
        front: usize,
        server: usize,
        id: &str,
        transaction: u32,
    ) -> CheckResult {
        if let Some(sent) = self.invites.get(&(front, transaction)) {
            return match sent.ended_at {
                Some(time) if time < self.now => {
                    violation(1, format!("{id}: INVITE retransmitted after its end"))
                }
                _ => Ok(()),
            };
        }
        let invite = SentInvite { attempt: id.to_owned(), ended_at: None };
        self.invites.insert((front, transaction), invite);
        self.check_attempt(front, id, OutstandingInvite { server, transaction })?;
        if self.leaving.get(&(front, server)).is_some_and(|since| self.now > since + DRAIN_GRACE) {
            return violation(
                3,
                format!("{id}: INVITE to server {server} after it announced that it is leaving"),
            );
        }
        self.check_warm_up(front, server)
    }

    /// Checks whether a new INVITE of an attempt is allowed.
    fn check_attempt(&mut self, front: usize, id: &str, invite: OutstandingInvite) -> CheckResult {
        let now = self.now;
        let Some(attempt) = self.accepted_attempt(front, id) else {
            return violation(1, format!("INVITE for {id}, which the front has not accepted"));
        };
        if !attempt.answers.is_empty() || attempt.hung_up_at.is_some_and(|time| time < now) {
            return violation(1, format!("{id}: INVITE after the final answer or hang-up"));
        }
        if attempt.outstanding.replace(invite).is_some() {
            return violation(2, format!("{id}: INVITE while another one is outstanding"));
        }
        attempt.invites += 1;
        if attempt.invites > MAX_INVITES {
            return violation(
                0,
                format!("{id}: {} INVITEs, at most {MAX_INVITES} are allowed", attempt.invites),
            );
        }
        if attempt.released_at.take().is_some_and(|time| now < time + RELEASE_DELAY) {
            return violation(5, format!("{id}: INVITE before the release delay had elapsed"));
        }
        Ok(())
    }

    /// Checks whether a server that is warming up can take one more INVITE.
    fn check_warm_up(&mut self, front: usize, server: usize) -> CheckResult {
        let Some(start) = self.starts.get_mut(&server) else { return Ok(()) };
        if !start.informed.contains(&front) || self.now >= start.started_at + WARM_UP {
            return Ok(());
        }
        start.set_ups.push(self.now);
        start.set_ups.retain(|time| self.now < time + OVERLOAD_WINDOW);
        let warm_up_progress = (self.now - start.started_at) as f64 / WARM_UP as f64;
        let limit = SET_UP_RATE * (START_SHARE + (1.0 - START_SHARE) * warm_up_progress) * OVERLOAD_FACTOR;
        let set_ups = start.set_ups.len();
        if set_ups as f64 > limit {
            return violation(
                4,
                format!("{set_ups} set-ups to server {server}, at most {limit} are allowed"),
            );
        }
        Ok(())
    }

    fn accepted_attempt(&mut self, front: usize, id: &str) -> Option<&mut Attempt> {
        let attempt = self.attempts.get_mut(id)?;
        (attempt.front == front && attempt.accepted_at.is_some()).then_some(attempt)
    }

    /// Checks that no final answer is overdue. `serving` holds, by front, whether it runs and is not stalled.
    pub(crate) fn check(&self, serving: &[bool]) -> CheckResult {
        for (id, attempt) in &self.attempts {
            let owes_answer = attempt.accepted_at.is_some() && attempt.is_waiting();
            if owes_answer && serving[attempt.front] && self.now > attempt.deadline && !attempt.may_be_late {
                return violation(1, format!("{id}: no final answer within the limit"));
            }
        }
        Ok(())
    }
}

fn end_invite(
    invites: &mut BTreeMap<(usize, u32), SentInvite>,
    now: u64,
    front: usize,
    invite: OutstandingInvite,
) {
    if let Some(sent) = invites.get_mut(&(front, invite.transaction)) {
        sent.ended_at = Some(now);
    }
}
