//! The event loop of a simulated run.

use ochrelead_core::index::ServerIx;
use ochrelead_node::observation::Observation;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::events::Event;
use super::front::{Front, ReceivedDatagram, front_at, moment, server_key};
use super::monitor::{Monitor, Snapshot};
use super::mutation;
use super::outcome::{Outcome, ServedShare};
use super::scenario::{Fault, Mutation, Scenario};
use super::server::{self, MS, Server};
use super::traffic::{self, SessionRequest};
use crate::event_queue::EventQueue;

const CHECK_INTERVAL_US: u64 = 100 * MS;
const FIRST_LINE_REPORT_US: u64 = 500 * MS;
const LINE_REPORT_INTERVAL_US: u64 = 1_000 * MS;
/// [`Mutation::OldVerdictsFollowed`] delivers the recorded datagrams again at this interval.
const REPLAY_INTERVAL_US: u64 = 3_000 * MS;
const HALF_SECOND_US: u64 = 500 * MS;

/// A datagram that [`Mutation::OldVerdictsFollowed`] delivers again later.
pub(super) struct RecordedDatagram {
    pub(super) to: u32,
    pub(super) received: ReceivedDatagram,
}

/// The state of a simulated run: fronts, servers, callers' sessions and future events.
pub(super) struct World {
    pub(super) scenario: Scenario,
    /// The present simulated time, in microseconds since the start of the run.
    pub(super) now: u64,
    pub(super) events: EventQueue<Event>,
    pub(super) fronts: Vec<Front>,
    pub(super) servers: Vec<Server>,
    pub(super) requests: Vec<SessionRequest>,
    pub(super) rng: Pcg64Mcg,
    /// Whether each of the scenario's faults is active.
    pub(super) active_faults: Vec<bool>,
    /// Number of INVITEs sent so far, which is the identifier of the last one.
    pub(super) invites: u64,
    pub(super) monitor: Monitor,
    pub(super) outcome: Outcome,
    pub(super) recorded_datagrams: Vec<RecordedDatagram>,
}

impl World {
    pub(super) fn new(scenario: Scenario) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(scenario.seed);
        let servers: Vec<Server> =
            (0..scenario.servers).map(|server| Server::new(server % scenario.zones)).collect();
        let fronts_seed: u64 = rng.random();
        let fronts = (0..scenario.fronts)
            .map(|front| Front::new(&scenario, &servers, front, fronts_seed ^ u64::from(front), 0))
            .collect();
        let requests = traffic::draw_requests(&scenario, &mut rng);
        let mut world = World {
            now: 0,
            events: EventQueue::new(),
            fronts,
            servers,
            requests,
            rng,
            active_faults: vec![false; scenario.faults.len()],
            invites: 0,
            monitor: Monitor::new(&scenario),
            outcome: Outcome::default(),
            recorded_datagrams: Vec::new(),
            scenario,
        };
        world.schedule_initial_events();
        world
    }

    fn schedule_initial_events(&mut self) {
        for front in 0..self.scenario.fronts {
            self.events.push(0, Event::FrontDue { front });
        }
        for (request, session) in self.requests.iter().enumerate() {
            self.events.push(session.requested_at, Event::CallerAttempts { request });
        }
        for (index, scheduled) in self.scenario.faults.iter().enumerate() {
            self.events.push(scheduled.start_ms * MS, Event::FaultBegins { index });
            let end_ms = scheduled.start_ms + scheduled.duration_ms;
            self.events.push(end_ms * MS, Event::FaultEnds { index });
        }
        self.events.push(FIRST_LINE_REPORT_US, Event::LinesReported);
        self.events.push(CHECK_INTERVAL_US, Event::CheckDue);
    }

    /// Handles all events up to the end of the scenario.
    pub(super) fn run(mut self) -> Outcome {
        let end = self.scenario.seconds * 1_000 * MS;
        while let Some((at, event)) = self.events.pop_until(end) {
            self.now = at;
            self.handle_event(event);
        }
        self.finish()
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::FrontDue { front } => self.on_front_due(front),
            Event::DatagramArrives { from, to, bytes } => self.on_datagram(from, to, bytes),
            Event::CallerAttempts { request } => self.on_attempt(request),
            Event::InviteArrives(invite) => self.on_invite(invite),
            Event::AnswerArrives { invite, incarnation, answer } => {
                self.on_answer(invite, incarnation, answer);
            }
            Event::InviteTimesOut(invite) => self.on_invite_timeout(invite),
            Event::CallEnds { invite, incarnation } => self.on_call_end(invite, incarnation),
            Event::LinesReported => self.report_lines(),
            Event::CheckDue => self.check(),
            Event::FaultBegins { index } => self.begin_fault(index),
            Event::FaultEnds { index } => self.end_fault(index),
            Event::RestartListed { front, server } => self.on_restart_listed(front, server),
            Event::FrontRestarted { front } => {
                self.fronts[front as usize].is_halted = false;
                self.run_front(front);
            }
        }
    }

    /// Runs a front, unless it was rescheduled after this event was created.
    fn on_front_due(&mut self, front: u32) {
        let state = &mut self.fronts[front as usize];
        if state.next_run_at == self.now {
            state.next_run_at = 0;
            self.run_front(front);
        }
    }

    pub(super) fn active_faults(&self) -> impl Iterator<Item = Fault> {
        let faults = self.scenario.faults.iter().zip(&self.active_faults);
        faults.filter(|(_, is_active)| **is_active).map(|(scheduled, _)| scheduled.fault)
    }

    /// Each running server reports its free lines to all fronts that reach it, which is also its heartbeat.
    fn report_lines(&mut self) {
        self.events.push(self.now + LINE_REPORT_INTERVAL_US, Event::LinesReported);
        for server in 0..self.scenario.servers {
            let state = &self.servers[server as usize];
            let is_running = state.is_up && state.started_at.is_none_or(|started| started <= self.now);
            let lines = state.lines();
            for front in 0..self.scenario.fronts {
                let is_heard = is_running
                    && self.reaches_server(front, server)
                    && !self.fronts[front as usize].is_halted;
                if is_heard || self.scenario.mutation == Some(Mutation::DeadServerReportedAlive) {
                    self.observe(front, Observation::ServerAlive { server: server_key(server) });
                }
                if is_heard {
                    let controller = &mut self.fronts[front as usize].controller;
                    controller.advance_to(moment(self.now));
                    controller.on_line_capacity(ServerIx::new(server as usize), lines);
                }
            }
        }
    }

    /// Checks the invariants. [`Mutation::OldVerdictsFollowed`] also delivers recorded datagrams again.
    fn check(&mut self) {
        self.events.push(self.now + CHECK_INTERVAL_US, Event::CheckDue);
        let snapshot = Snapshot {
            now: self.now,
            scenario: &self.scenario,
            fronts: &self.fronts,
            active_faults: &self.active_faults,
        };
        self.monitor.check(&snapshot, &mut self.outcome);
        let replays = self.scenario.mutation == Some(Mutation::OldVerdictsFollowed);
        if replays && self.now % REPLAY_INTERVAL_US == 0 {
            for RecordedDatagram { to, received } in std::mem::take(&mut self.recorded_datagrams) {
                let bytes = mutation::renew_verdicts(received.bytes, front_at(received.from));
                let renewed = ReceivedDatagram { from: received.from, bytes };
                self.fronts[to as usize].unread.push(renewed);
            }
        }
    }

    /// Sums up the values of the sessions and completes the outcome.
    fn finish(mut self) -> Outcome {
        // Sessions requested less than the post-dial target before the end are not counted: the run may end before
        // an answer that is still in time.
        let end = self.scenario.seconds * 1_000 * MS;
        let counted: Vec<&SessionRequest> = self
            .requests
            .iter()
            .filter(|request| request.requested_at + server::POST_DIAL_TARGET_US < end)
            .collect();
        let offered_value: f64 = counted.iter().map(|request| request.value()).sum();
        let served_value: f64 = counted.iter().map(|request| request.served_value).sum();
        self.outcome.served_share = served_value / offered_value;
        self.outcome.offered = counted.len() as u64;
        let half_seconds = 0..self.scenario.seconds * 2;
        self.outcome.served_over_time =
            half_seconds.map(|half_second| served_in_half_second(&counted, half_second)).collect();
        self.monitor.finish(&mut self.outcome);
        self.outcome
    }
}

/// The served share of the sessions that were first requested within a half second of the run.
fn served_in_half_second(requests: &[&SessionRequest], half_second: u64) -> ServedShare {
    let in_half_second =
        || requests.iter().filter(move |request| request.requested_at / HALF_SECOND_US == half_second);
    let offered: f64 = in_half_second().map(|request| request.value()).sum();
    let served: f64 = in_half_second().map(|request| request.served_value).sum();
    let share = if offered > 0.0 { served / offered } else { 1.0 };
    ServedShare { start_seconds: half_second as f64 / 2.0, share }
}
