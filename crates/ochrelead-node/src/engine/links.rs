//! The connections to the signalling servers: dialed, kept ready, ended, and what their ends mean.

use std::collections::BTreeSet;
use std::mem;

use super::*;
use crate::roster::{Turn, Way};

/// Connections without a set-up on them that a server in service has ready: as many spoilt ones cost no time.
pub(super) const SPARE: usize = 2;

impl Engine {
    pub(super) fn link_up(&mut self, id: LinkId) {
        let now = self.now;
        let Some(link) = self.roster.link_mut(id) else { return };
        (link.way, link.since, link.used) = (Way::Up, now, now);
        let server = link.server;
        let at = self.roster.get_mut(server);
        (at.heard, at.failed) = (now, 0);
        let (waiting, owed) = (mem::take(&mut at.waiting), mem::take(&mut at.owed));
        self.observe_alive(server);
        for call in owed {
            self.say_bye(server, None, call, cause::NORMAL);
        }
        for session in waiting {
            self.send_invite(session);
        }
    }

    pub(super) fn link_closed(&mut self, id: LinkId, refused: bool) {
        let Some(link) = self.roster.close(id) else { return };
        let server = link.server;
        if link.way == Way::Ending {
            return;
        }
        for session in link.open {
            self.invite_over(session, InviteOutcome::Reset);
        }
        let (up, now, connect) = (self.roster.is_up(server), self.now, self.connect);
        let at = self.roster.get_mut(server);
        let new = link.way == Way::Up && now.since(link.since) < connect / 8;
        if refused || new || link.way == Way::Dialing {
            // Turned away with others up, it takes no more of them for now.
            at.dial_at = now + if refused && up { connect * 2 } else { connect / 8 };
        }
        if refused && !up {
            // Nobody listens there: the process has ended, and its calls with it.
            self.presume_dead(server);
        }
        self.pulse_at = now;
    }

    /// Ends an idle connection. The release of a call may be on its way on it, and its server would not say it
    /// again: what comes until the server ends it too is still read.
    fn half_close(&mut self, id: LinkId) {
        let now = self.now;
        if let Some(link) = self.roster.link_mut(id) {
            (link.way, link.since) = (Way::Ending, now);
            self.out.push_back(Output::HalfCloseLink(id));
        }
    }

    /// What comes on a connection is not readable, or never ends: the calls that are open on it are doomed.
    pub(super) fn abort(&mut self, id: LinkId) {
        self.out.push_back(Output::CloseLink(id));
        self.link_closed(id, false);
    }

    /// A server has ended without a word.
    fn presume_dead(&mut self, server: ServerIx) {
        for link in self.roster.get(server).links.clone() {
            if self.roster.link(link).is_some_and(|link| link.way != Way::Dialing) {
                self.abort(link);
            }
        }
        for session in mem::take(&mut self.roster.get_mut(server).waiting) {
            self.invite_over(session, InviteOutcome::ConnectFailed);
        }
        self.cut(server, self.now);
    }

    /// The calls that stood at a server before a moment are over.
    fn cut(&mut self, server: ServerIx, before: Moment) {
        for session in self.book.standing_at(server) {
            let phase = self.book.get(session).map(|call| call.phase);
            if matches!(phase, Some(Phase::Standing { since, .. }) if since <= before) {
                let call = self.book.get(session).map(|call| call.id);
                debug!(target: ENDS, ?call, server = self.roster.get(server).id, "its server has ended");
                self.judge.on_invite_ended(session, server, InviteOutcome::Reset, true);
                self.release(session, cause::FAILED);
            }
        }
    }

    pub(super) fn follow(&mut self, turn: &Turn) {
        match *turn {
            Turn::Closed(server) => {
                for session in mem::take(&mut self.roster.get_mut(server).waiting) {
                    self.invite_over(session, InviteOutcome::Unsent);
                }
            }
            Turn::Replaced(server, started) => self.cut(server, started),
            Turn::Displaced(server) => self.presume_dead(server),
        }
    }

    /// Connections that failed are closed, such as are wanted are dialed, and what is silent is looked after.
    pub(super) fn tend_servers(&mut self) {
        let now = self.now;
        for id in self.roster.stuck(now, self.connect) {
            let Some((server, way)) = self.roster.link(id).map(|link| (link.server, link.way)) else {
                continue;
            };
            self.abort(id);
            if way == Way::Dialing {
                let at = self.roster.get_mut(server);
                at.failed += 1;
                // Connections that never come up and not a word: the machine has vanished.
                if at.failed >= 2 && at.is_silent(now) {
                    self.presume_dead(server);
                }
            }
        }
        for server in self.roster.all() {
            self.tend(server);
        }
    }

    fn tend(&mut self, server: ServerIx) {
        let now = self.now;
        let late: Vec<SessionIx> = self
            .roster
            .get(server)
            .waiting
            .iter()
            .copied()
            .filter(|session| self.is_late(*session))
            .collect();
        for session in late {
            self.invite_over(session, InviteOutcome::ConnectFailed);
        }
        let stands = self.book.any_standing_at(server);
        let at = self.roster.get(server);
        let (silent, ready, waits) = (at.is_silent(now), at.is_ready(), !at.waiting.is_empty());
        if at.is_gone() {
            // Another may listen at its address by now: it is not dialed again.
            if (silent || !self.roster.is_up(server)) && (stands || !at.links.is_empty()) {
                self.presume_dead(server);
            }
            return;
        }
        let idle = self.roster.idle(server);
        let (dialing, links) = (self.roster.dialing(server), self.roster.held(server));
        let spare = self.spare();
        let wanted = if ready { spare } else { usize::from(stands && !self.roster.is_up(server)) };
        let wanted = if silent && (ready || stands) { wanted.max(idle.len() + 1) } else { wanted };
        let wanted = wanted.max(usize::from(waits));
        let short = wanted.saturating_sub(idle.len() + dialing);
        if silent && short > 0 && links >= self.roster.part(self.bounds.links) {
            // A silent server has all the connections that it may have: one makes room for a test.
            if let Some(oldest) = idle.first() {
                self.half_close(*oldest);
            }
            return;
        }
        let most =
            self.roster.part(self.bounds.links).saturating_sub(links).min(spare.saturating_sub(dialing));
        let needed = waits || stands && !self.roster.is_up(server);
        if at.dial_at <= now {
            let to = at.address;
            for _ in 0..short.min(most) {
                // More servers than connections: the one that was idle for longest makes room for what is needed.
                let most = self.bounds.links + if needed { self.bounds.closing } else { 0 };
                if self.roster.links() >= most {
                    break;
                }
                if self.roster.links() >= self.bounds.links {
                    let Some(idlest) = self.roster.idlest() else { break };
                    self.half_close(idlest);
                }
                let link = self.roster.dial(server, now);
                self.out.push_back(Output::Dial(link, to));
            }
        }
        let rested = |id: &LinkId| self.roster.link(*id).map_or(Span::ZERO, |link| now.since(link.used));
        let surplus = idle.len().saturating_sub(SPARE * 2);
        let surplus = idle.iter().take(surplus).filter(|id| rested(id) >= platform::CALLER_IDLE);
        // Its server is about to close it, and an INVITE that crosses that is lost: the node ends it first.
        let aged = |id: &&LinkId| self.longest_idle.is_some_and(|longest| rested(id) >= longest);
        let resting: BTreeSet<LinkId> = surplus.chain(idle.iter().filter(aged)).copied().collect();
        for id in resting {
            self.half_close(id);
        }
    }

    /// How many connections without a set-up a server in service has ready.
    pub(super) fn spare(&self) -> usize {
        SPARE.min(self.roster.part(self.bounds.links))
    }

    fn is_late(&self, session: SessionIx) -> bool {
        let phase = self.book.get(session).map(|call| call.phase);
        matches!(phase, Some(Phase::Inviting(invite)) if self.now.since(invite.asked) >= self.connect)
    }
}
