//! A session from its caller to its end.

use super::*;

impl World {
    pub(super) fn turn(&mut self, front: u32) {
        let now = moment(self.now);
        let state = &mut self.fronts[front as usize];
        if state.halted {
            return;
        }
        state.judge.advance_to(now);
        let mut sent = Vec::new();
        let mut wake = None;
        if let Some(together) = &mut state.together {
            for (from, bytes) in std::mem::take(&mut state.unread) {
                together.handle_input(now, from, &bytes);
            }
            together.process(now);
            let servers = &self.servers;
            together.update_servers(now, || {
                let place = |(nth, server): (usize, &Server)| ServerLocation {
                    server: key(nth as u32),
                    zone: ZoneId(server.district),
                };
                ServerReport {
                    activity: Vec::new(),
                    locations: servers.iter().enumerate().map(place).collect(),
                }
            });
            while together.poll_action().is_some() {}
            while let Some(datagram) = together.poll_output() {
                sent.push(datagram);
            }
            wake = together.poll_timeout();
        }
        self.ease(front);
        while let Some(decision) = self.fronts[front as usize].judge.next_decision() {
            self.carry_out(front, decision);
        }
        for datagram in sent {
            self.send(front, datagram.destination, &datagram.bytes);
        }
        let judge_wake = self.fronts[front as usize].judge.poll_timeout();
        if let Some(wake) = [wake, judge_wake].into_iter().flatten().min() {
            let when = (self.now + wake.since(now).micros()).max(self.now + MS);
            let state = &mut self.fronts[front as usize];
            if state.turn_at <= self.now || when < state.turn_at {
                state.turn_at = when;
                self.at(when, What::Turn(front, when));
            }
        }
    }

    /// What is in force goes to the module, as the node does it.
    pub(super) fn ease(&mut self, front: u32) {
        let (now, slip) = (moment(self.now), self.day.slip);
        let state = &mut self.fronts[front as usize];
        let shares = state.together.as_mut().and_then(|together| together.poll_traffic_shares(now));
        let Some(shares) = shares else { return };
        let mut eased: Vec<(ZoneId, f64)> =
            shares.into_iter().map(|reduced| (reduced.zone, reduced.share)).collect();
        let former = |district: ZoneId, eased: &[(ZoneId, f64)]| {
            eased.iter().find(|(of, _)| *of == district).map_or(1.0, |(_, share)| *share)
        };
        match slip {
            Some(Slip::DrawnApart) => {
                for (_, share) in eased.iter_mut().filter(|(_, share)| *share > 0.0) {
                    *share = self.chance.random_range(*share..1.0);
                }
            }
            Some(Slip::ReturnAtOnce) => eased.retain(|(_, share)| *share == 0.0),
            Some(Slip::NoStepBack) => {
                for (district, share) in eased.iter_mut().filter(|(_, share)| *share > 0.0) {
                    *share = share.max(former(*district, &state.eased)).min(1.0);
                }
            }
            Some(Slip::NeverLapses) => {
                for (district, share) in &state.eased {
                    if !eased.iter().any(|(of, _)| of == district) {
                        eased.push((*district, *share));
                    }
                }
            }
            Some(Slip::NewOnesWhole) if state.up_since > 0 && !state.told => eased.clear(),
            _ => {}
        }
        state.told |= eased.is_empty();
        state.eased.clone_from(&eased);
        for (nth, server) in self.servers.iter().enumerate() {
            if slip != Some(Slip::ShareForSome) || nth as u32 / self.day.districts % 2 == 0 {
                state.judge.on_zone_share(ServerIx::new(nth), former(ZoneId(server.district), &eased));
            }
        }
    }

    pub(super) fn carry_out(&mut self, front: u32, decision: Decision) {
        let state = &mut self.fronts[front as usize];
        match decision {
            Decision::Invite { session, server, answer_timeout: patience } => {
                self.asks += 1;
                let (ask, index, to) = (self.asks, session.index(), server.index() as u32);
                let Some(held) = state.held.get_mut(&index) else { return };
                (held.ask, held.server) = (ask, Some(to));
                let until = patience.map_or(held.limit, |span| held.limit.min(self.now + span.micros()));
                let (district, now) = (self.servers[to as usize].district, self.now);
                state.last_invite[district as usize] = now;
                let share = state.eased.iter().find(|(of, _)| of.0 == district).map(|(_, share)| *share);
                self.watch.invited(now, front, district, share, &self.servers[to as usize], &mut self.shown);
                if self.day.slip == Some(Slip::LossToldEarly) && district != front % self.day.districts {
                    self.met(front, Observation::InviteSent { server: key(to), invite: ask });
                    self.met(front, Observation::InviteFailed { invite: ask });
                } else {
                    self.met(front, Observation::InviteSent { server: key(to), invite: ask });
                }
                self.at(until, What::TimedOut { front, session: index, ask });
                let way = self.way(front, to);
                self.at(now + way, What::Arrives { server: to, front, session: index, ask });
            }
            Decision::Reject { session, retry_after: come_back } => {
                let Some(held) = state.held.remove(&session.index()) else { return };
                state.free.push(session.index());
                self.redial(held.wish, come_back.map_or(0, |span| span.micros()));
            }
            Decision::Fail { session } => {
                let Some(held) = state.held.remove(&session.index()) else { return };
                state.free.push(session.index());
                self.redial(held.wish, 0);
            }
        }
    }

    pub(super) fn redial(&mut self, wish: usize, away: u64) {
        if self.wishes[wish].tries < 3 && self.chance.random_bool(REDIALS) {
            let back_off = Exp::new(1.0 / BACK_OFF).expect("a rate").sample(&mut self.chance);
            self.at(self.now + away + (back_off * 1e6) as u64, What::Tries(wish));
        }
    }

    pub(super) fn tries(&mut self, wish: usize) {
        let now = self.now;
        let Wish { front, service, destination, number, .. } = self.wishes[wish];
        self.wishes[wish].tries += 1;
        let state = &mut self.fronts[front as usize];
        if state.halted || state.up_since > now {
            return self.redial(wish, 0);
        }
        let index = state.free.pop().unwrap_or_else(|| {
            state.count += 1;
            state.count - 1
        });
        let limit = now + load::TIMER_LIMIT;
        state.held.insert(index, Held { wish, ask: 0, server: None, stands: false, limit });
        let offer = CallRequest {
            service: ServiceIx::new(service),
            tenant: None,
            called_number: Some(CalledNumberIx::new(number as usize)),
            destination: i64::from(destination),
            deadline: moment(limit),
            is_redial: false,
        };
        state.judge.advance_to(moment(now));
        state.judge.on_call_request(SessionIx::new(index), offer);
        self.turn(front);
    }

    pub(super) fn arrives(&mut self, server: u32, front: u32, session: usize, ask: u64) {
        if !self.reaches(front, server) {
            return;
        }
        let falls = self.servers[server as usize].falls;
        let answer = self.servers[server as usize].take(self.now);
        if self.servers[server as usize].falls > falls {
            self.shown.falls += 1;
            self.watch.fell(self.now, &self.day, &self.servers[server as usize], &mut self.shown);
        }
        let (life, way) = (self.servers[server as usize].life, self.way(front, server));
        let (when, stands) = match answer {
            Answer::Stands(when) => (when, Some(true)),
            Answer::Full => (self.now, None),
            Answer::NoLine => (self.now, Some(false)),
            Answer::Nothing => return,
        };
        self.at(when + way, What::Answered { server, life, front, session, ask, stands });
    }

    pub(super) fn answered(
        &mut self,
        server: u32,
        life: u32,
        front: u32,
        session: usize,
        ask: u64,
        stands: Option<bool>,
    ) {
        let now = moment(self.now);
        // What a server had taken ends with it, also what it was about to answer.
        if self.servers[server as usize].life != life || !self.reaches(front, server) {
            return;
        }
        if self.fronts[front as usize].halted {
            return self.at(self.now + 50 * MS, What::Answered { server, life, front, session, ask, stands });
        }
        self.met(front, Observation::InviteAnswered { invite: ask });
        let state = &mut self.fronts[front as usize];
        state.judge.advance_to(now);
        let waits = state.held.get_mut(&session).filter(|held| held.ask == ask && !held.stands);
        let index = SessionIx::new(session);
        match (waits, stands) {
            (None, Some(true)) => self.servers[server as usize].in_use -= 1,
            (None, _) => {}
            (Some(held), Some(true)) => {
                held.stands = true;
                let wish = &mut self.wishes[held.wish];
                let late = self.now - wish.came > load::TARGET;
                wish.worth = load::VALUES[wish.service] * if late { load::LATE_SHARE } else { 1.0 };
                state.judge.on_call_established(index);
                let hold = Exp::new(1e6 / load::HOLD as f64).expect("a rate").sample(&mut self.chance);
                let ends = self.now + (hold * 1e6) as u64;
                self.at(ends, What::Released { server, life, front, session, ask });
            }
            (Some(_), full) => {
                let ending = InviteOutcome::Rejected { no_line: full.is_some(), retry_after: None };
                state.judge.on_invite_ended(index, ServerIx::new(server as usize), ending, false);
            }
        }
        self.turn(front);
    }

    pub(super) fn timed_out(&mut self, front: u32, session: usize, ask: u64) {
        let state = &mut self.fronts[front as usize];
        let waits = state.held.get(&session).filter(|held| held.ask == ask && !held.stands);
        let Some(server) = waits.and_then(|held| held.server) else { return };
        state.judge.advance_to(moment(self.now));
        state.judge.on_invite_ended(
            SessionIx::new(session),
            ServerIx::new(server as usize),
            InviteOutcome::TimedOut,
            false,
        );
        self.met(front, Observation::InviteCancelled { invite: ask });
        self.turn(front);
    }

    pub(super) fn released(&mut self, server: u32, life: u32, front: u32, session: usize, ask: u64) {
        if self.servers[server as usize].life == life {
            self.servers[server as usize].in_use -= 1;
        }
        let state = &mut self.fronts[front as usize];
        if state.held.get(&session).is_some_and(|held| held.ask == ask) {
            state.held.remove(&session);
            state.free.push(session);
            state.judge.advance_to(moment(self.now));
            state.judge.on_invite_ended(
                SessionIx::new(session),
                ServerIx::new(server as usize),
                InviteOutcome::Released,
                true,
            );
        }
    }
}
