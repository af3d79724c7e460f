//! The five rules, judged by what leaves the fronts and by what was delivered to them; nothing else is known.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    ATTEMPT_LIMIT, DRAIN_GRACE, MAX_INVITES, OVERLOAD_FACTOR, OVERLOAD_WINDOW, RELEASE_DELAY, SET_UP_RATE,
    START_SHARE, WARM_UP,
};

/// A rule that a front has broken.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Breach {
    /// Counted from 1; 0 for the front's books.
    pub(crate) rule: u8,
    pub(crate) detail: String,
}

type Checked = Result<(), Breach>;

fn breach(rule: u8, detail: String) -> Checked {
    Err(Breach { rule, detail })
}

/// A caller's attempt, as far as its front has read of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempt {
    pub(crate) front: usize,
    /// When the front read it; it owes nothing before, nor once it was killed.
    pub(crate) accepted_at: Option<u64>,
    /// When its final answer is due.
    pub(crate) deadline: u64,
    /// Its front was stalled: it may be late.
    pub(crate) excused: bool,
    pub(crate) hung_up_at: Option<u64>,
    /// The transactions of its final answers.
    pub(crate) answers: BTreeSet<u32>,
    pub(crate) established: bool,
    /// The call was cut: its session is over.
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
    /// Since when no repeat of it may be sent.
    ended_at: Option<u64>,
}

/// The last start of a server.
struct ServerStart {
    started_at: u64,
    /// The fronts that it was announced to.
    informed: BTreeSet<usize>,
    /// When these sent it INVITEs, as far back as the overload counts.
    set_ups: Vec<u64>,
}

#[derive(Default)]
pub(crate) struct Oracle {
    now: u64,
    pub(crate) attempts: BTreeMap<String, Attempt>,
    /// All INVITEs by front and transaction.
    invites: BTreeMap<(usize, u32), SentInvite>,
    /// By front and server, since when the front has known that the server leaves.
    leaving: BTreeMap<(usize, usize), u64>,
    starts: BTreeMap<usize, ServerStart>,
}

impl Oracle {
    /// The model's time is now that.
    pub(crate) fn advance_to(&mut self, now: u64) {
        self.now = now;
    }

    /// A front reads a caller's attempt, which lay unread for `waited`: its caller has waited all the while.
    pub(crate) fn on_attempt(&mut self, front: usize, id: &str, waited: u64) {
        let attempt = self.attempts.entry(id.to_owned()).or_default();
        if attempt.accepted_at.is_none() && attempt.hung_up_at.is_none() {
            attempt.front = front;
            attempt.accepted_at = Some(self.now);
            attempt.deadline = self.now + ATTEMPT_LIMIT - waited.min(ATTEMPT_LIMIT);
            attempt.excused = waited > 0;
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

    /// A front has learned that all calls at a server are gone.
    fn end_calls(&mut self, front: usize, server: usize) {
        for attempt in self.attempts.values_mut().filter(|attempt| attempt.front == front) {
            if let Some(invite) = attempt.outstanding.take_if(|invite| invite.server == server) {
                attempt.released_at = Some(self.now);
                end_invite(&mut self.invites, self.now, front, invite);
            } else if attempt.established && attempt.hung_up_at.is_none() {
                // At which server it is established is not looked up: only calls that surely stand are asked for.
                attempt.cut = true;
            }
        }
    }

    /// A new process runs at the server.
    pub(crate) fn on_server_start(&mut self, server: usize) {
        let start = ServerStart { started_at: self.now, informed: BTreeSet::new(), set_ups: Vec::new() };
        self.starts.insert(server, start);
    }

    /// The next process of a killed front owes nothing for what this one had accepted.
    pub(crate) fn on_front_killed(&mut self, front: usize) {
        self.attempts.retain(|_, attempt| attempt.front != front);
        self.invites.retain(|(sender, _), _| *sender != front);
    }

    /// A stalled front goes on: what is late is so because of that.
    pub(crate) fn on_front_resumed(&mut self, front: usize) {
        let attempts = self.attempts.values_mut().filter(|attempt| attempt.front == front);
        attempts.for_each(|attempt| attempt.excused = true);
    }

    /// A final answer leaves a front.
    pub(crate) fn on_answer(
        &mut self,
        front: usize,
        id: &str,
        transaction: u32,
        established: bool,
    ) -> Checked {
        let now = self.now;
        let Some(attempt) = self.accepted_attempt(front, id) else {
            return breach(1, format!("an answer to {id}, which is not taken"));
        };
        if !attempt.answers.insert(transaction) {
            return Ok(());
        }
        attempt.established = established;
        if attempt.answers.len() > 1 {
            return breach(1, format!("{id}: a second final answer"));
        }
        if attempt.hung_up_at.is_some_and(|time| time < now) {
            return breach(1, format!("{id}: a final answer after the hang-up"));
        }
        if now > attempt.deadline && !attempt.excused {
            return breach(1, format!("{id}: its final answer came after the limit"));
        }
        Ok(())
    }

    /// A DLCX for a call leaves a front for a server.
    pub(crate) fn on_release(&mut self, front: usize, server: usize, id: &str) {
        let attempt = self.attempts.get_mut(id).filter(|attempt| attempt.front == front);
        let Some(attempt) = attempt else { return };
        if let Some(invite) = attempt.outstanding.take_if(|invite| invite.server == server) {
            attempt.released_at = Some(self.now);
            end_invite(&mut self.invites, self.now, front, invite);
        }
    }

    /// A CRCX leaves a front for a server.
    pub(crate) fn on_invite(&mut self, front: usize, server: usize, id: &str, transaction: u32) -> Checked {
        if let Some(sent) = self.invites.get(&(front, transaction)) {
            return match sent.ended_at {
                Some(time) if time < self.now => breach(1, format!("{id}: an INVITE repeated after its end")),
                _ => Ok(()),
            };
        }
        let invite = SentInvite { attempt: id.to_owned(), ended_at: None };
        self.invites.insert((front, transaction), invite);
        self.check_attempt(front, id, OutstandingInvite { server, transaction })?;
        if self.leaving.get(&(front, server)).is_some_and(|since| self.now > since + DRAIN_GRACE) {
            return breach(3, format!("{id}: an INVITE to server {server}, which had left"));
        }
        self.check_warm_up(front, server)
    }

    /// Whether a new INVITE of an attempt may be sent.
    fn check_attempt(&mut self, front: usize, id: &str, invite: OutstandingInvite) -> Checked {
        let now = self.now;
        let Some(attempt) = self.accepted_attempt(front, id) else {
            return breach(1, format!("an INVITE for {id}, which is not taken"));
        };
        if !attempt.answers.is_empty() || attempt.hung_up_at.is_some_and(|time| time < now) {
            return breach(1, format!("{id}: an INVITE after the end"));
        }
        if attempt.outstanding.replace(invite).is_some() {
            return breach(2, format!("{id}: an INVITE while another is out"));
        }
        attempt.invites += 1;
        if attempt.invites > MAX_INVITES {
            return breach(0, format!("{id}: {} INVITEs", attempt.invites));
        }
        if attempt.released_at.take().is_some_and(|time| now < time + RELEASE_DELAY) {
            return breach(5, format!("{id}: an INVITE before the release time was over"));
        }
        Ok(())
    }

    /// Whether a server that has just started can carry one more INVITE.
    fn check_warm_up(&mut self, front: usize, server: usize) -> Checked {
        let Some(start) = self.starts.get_mut(&server) else { return Ok(()) };
        if !start.informed.contains(&front) || self.now >= start.started_at + WARM_UP {
            return Ok(());
        }
        start.set_ups.push(self.now);
        start.set_ups.retain(|time| self.now < time + OVERLOAD_WINDOW);
        let warmth = (self.now - start.started_at) as f64 / WARM_UP as f64;
        let limit = SET_UP_RATE * (START_SHARE + (1.0 - START_SHARE) * warmth) * OVERLOAD_FACTOR;
        let set_ups = start.set_ups.len();
        if set_ups as f64 > limit {
            return breach(4, format!("{set_ups} set-ups to server {server} where {limit} is the most"));
        }
        Ok(())
    }

    fn accepted_attempt(&mut self, front: usize, id: &str) -> Option<&mut Attempt> {
        let attempt = self.attempts.get_mut(id)?;
        (attempt.front == front && attempt.accepted_at.is_some()).then_some(attempt)
    }

    /// What must hold at any moment. `serving`: by front, whether it runs and is not stalled.
    pub(crate) fn check(&self, serving: &[bool]) -> Checked {
        for (id, attempt) in &self.attempts {
            let owes_answer = attempt.accepted_at.is_some() && attempt.is_waiting();
            if owes_answer && serving[attempt.front] && self.now > attempt.deadline && !attempt.excused {
                return breach(1, format!("{id}: no final answer by the limit"));
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
