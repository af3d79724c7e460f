//! Slow start across a fleet: INVITEs that fronts with uneven traffic together send to a server that is warming up,
//! emulated with several seeds. Each emulated server has one processor and rejects set-ups while its queue is full.

mod support;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use ochrelead_core::config::ControllerConfig;
use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::{Decision, EndpointState, InviteOutcome};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{Call, Front, at_ms, invited_server};
use test_case::test_matrix;

const SERVERS: usize = 8;
/// The server that starts during the run.
const NEW_SERVER: usize = SERVERS - 1;
/// Set-ups per second of one warm server.
const CAPACITY_PER_S: f64 = 40.0;
/// Requested sessions as a share of the capacity of all servers when warm.
const LOAD: f64 = 0.9;
const COLD_CAPACITY_SHARE: f64 = 0.29;
const WARM_UP_US: f64 = 15e6;
/// When the new server starts.
const START_MS: u64 = 8_000;
const END_MS: u64 = 20_000;
/// A server whose queue is at least this long rejects set-ups.
const MAX_QUEUE_US: f64 = 500_000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    EndpointUpdate,
    LineReports,
    FrontRestart,
    Answer { incarnation: u32, session: usize, server: usize, is_established: bool },
    Timeout,
}

/// An event at a front, ordered by time and then by the order of scheduling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at_us: u64,
    sequence: u64,
    front: usize,
    event: Event,
}

/// The load that makes a server that is warming up fail: more than `multiple` times its capacity for `duration_ms`.
#[derive(Clone, Copy, Debug)]
struct Overload {
    multiple: f64,
    duration_ms: u64,
}

const TIGHT: Overload = Overload { multiple: 2.5, duration_ms: 1_000 };
const WIDE: Overload = Overload { multiple: 4.0, duration_ms: 3_000 };

struct EmulatedFront {
    front: Front,
    incarnation: u32,
    /// Share of all requests that arrive at this front.
    traffic_share: f64,
}

struct Fleet {
    fronts: Vec<EmulatedFront>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    scheduled: u64,
    /// When each server's processor has finished its queue, in microseconds.
    busy_until_us: [f64; SERVERS],
    /// Arrival times of INVITEs at the new server.
    arrivals_us: Vec<u64>,
    overload: Overload,
    rng: Pcg64Mcg,
}

fn config(fronts: usize, overload: Overload, seed: u64) -> ControllerConfig {
    ControllerConfig {
        seed,
        fronts: fronts as u32,
        cold_capacity_share: COLD_CAPACITY_SHARE,
        overload_multiple: overload.multiple,
        overload_duration: Span::from_millis(overload.duration_ms),
        ..support::config()
    }
}

fn micros(ms: u64) -> u64 {
    ms * 1_000
}

fn moment(us: u64) -> Moment {
    at_ms(0) + Span::from_micros(us)
}

/// Returns the endpoint state of the new server after its start.
fn new_server_ready() -> EndpointState {
    EndpointState::Ready { started: Some(moment(micros(START_MS))) }
}

/// Returns the set-ups per second of which a server is capable at time `us`.
fn capacity_per_s(server: usize, us: u64) -> f64 {
    let warm_up = us.saturating_sub(micros(START_MS)) as f64 / WARM_UP_US;
    if server == NEW_SERVER {
        CAPACITY_PER_S * (COLD_CAPACITY_SHARE + (1.0 - COLD_CAPACITY_SHARE) * warm_up.min(1.0))
    } else {
        CAPACITY_PER_S
    }
}

impl Fleet {
    fn new(fronts: usize, overload: Overload, seed: u64) -> Fleet {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // The cubed random number gives some fronts several times the mean traffic.
        let weights: Vec<f64> = (0..fronts).map(|_| rng.random::<f64>().powi(3) + 0.05).collect();
        let sum = weights.iter().sum::<f64>();
        let emulated = (seed * 1_000..).zip(weights).map(|(front_seed, weight)| EmulatedFront {
            front: Front::with_config(&config(fronts, overload, front_seed), NEW_SERVER),
            incarnation: 0,
            traffic_share: weight / sum,
        });
        let mut fleet = Fleet {
            fronts: emulated.collect(),
            events: BinaryHeap::new(),
            scheduled: 0,
            busy_until_us: [0.0; SERVERS],
            arrivals_us: Vec::new(),
            overload,
            rng,
        };
        for front in 0..fronts {
            fleet.schedule_request(front, 0);
            fleet.schedule(0, front, Event::LineReports);
            let delay_ms = fleet.rng.random_range(0..400);
            fleet.schedule(micros(START_MS + delay_ms), front, Event::EndpointUpdate);
            if front % 10 < 7 {
                fleet.schedule(micros(START_MS + 3_000), front, Event::FrontRestart);
            }
        }
        fleet
    }

    fn schedule(&mut self, at_us: u64, front: usize, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(ScheduledEvent { at_us, sequence: self.scheduled, front, event }));
    }

    fn schedule_request(&mut self, front: usize, us: u64) {
        let rate = LOAD * CAPACITY_PER_S * SERVERS as f64 * self.fronts[front].traffic_share;
        let gap_s = -self.rng.random::<f64>().max(1e-9).ln() / rate;
        self.schedule(us + (gap_s * 1e6) as u64, front, Event::Request);
    }

    /// Runs until `END_MS` and returns the arrival times of INVITEs at the new server, in microseconds.
    fn run(mut self) -> Vec<u64> {
        while let Some(Reverse(next)) = self.events.pop() {
            if next.at_us > micros(END_MS) {
                break;
            }
            self.process(next.at_us, next.front, next.event);
            self.decide(next.at_us, next.front);
        }
        self.arrivals_us
    }

    fn process(&mut self, us: u64, front: usize, event: Event) {
        let ms = us / 1_000;
        match event {
            Event::Request => {
                self.schedule_request(front, us);
                let destinations = if us >= micros(START_MS) { SERVERS } else { NEW_SERVER };
                let destination = self.rng.random_range(0..destinations) as i64;
                let call = Call { number: Some(self.scheduled as usize), ..Call::default() };
                self.fronts[front].front.request(ms, destination, call);
            }
            Event::EndpointUpdate => {
                self.fronts[front].front.update_endpoint(ms, NEW_SERVER, new_server_ready());
            }
            Event::LineReports => {
                self.schedule(us + micros(1_000), front, Event::LineReports);
                self.report_lines(us, front);
            }
            Event::FrontRestart => {
                let config = config(self.fronts.len(), self.overload, us + front as u64);
                let emulated = &mut self.fronts[front];
                emulated.front = Front::with_config(&config, NEW_SERVER);
                emulated.incarnation += 1;
                emulated.front.update_endpoint(ms, NEW_SERVER, new_server_ready());
            }
            Event::Answer { incarnation, session, server, is_established } => {
                let emulated = &mut self.fronts[front];
                if emulated.incarnation != incarnation {
                    return;
                }
                let controller = &mut emulated.front.controller;
                controller.advance_to(moment(us));
                let (session, server) = (SessionIx::new(session), ServerIx::new(server));
                if is_established {
                    controller.on_call_established(session);
                    controller.on_invite_ended(session, server, InviteOutcome::Released, true);
                } else {
                    controller.on_invite_ended(session, server, support::PROCESSOR_FULL, false);
                }
            }
            Event::Timeout => {}
        }
    }

    fn report_lines(&mut self, us: u64, front: usize) {
        let front = &mut self.fronts[front].front;
        let is_reported = |server| server != NEW_SERVER || us > micros(START_MS + 400);
        for server in (0..SERVERS).filter(|server| is_reported(*server)) {
            front.controller.advance_to(moment(us));
            front.report_lines(server, 100, 300);
        }
    }

    fn decide(&mut self, us: u64, front: usize) {
        let controller = &mut self.fronts[front].front.controller;
        controller.advance_to(moment(us));
        let decisions: Vec<Decision> = std::iter::from_fn(|| controller.next_decision()).collect();
        let timeout_us = controller.poll_timeout().map(|timeout_at| timeout_at.since(at_ms(0)).micros());
        for decision in decisions {
            if let Decision::Invite { session, server, .. } = decision {
                self.deliver_invite(us, front, session.index(), server.index());
            }
        }
        if let Some(timeout_us) = timeout_us.filter(|timeout_us| *timeout_us > us) {
            self.schedule(timeout_us, front, Event::Timeout);
        }
    }

    fn deliver_invite(&mut self, us: u64, front: usize, session: usize, server: usize) {
        if server == NEW_SERVER {
            self.arrivals_us.push(us);
        }
        let now_us = us as f64;
        let queue_us = (self.busy_until_us[server] - now_us).max(0.0);
        let is_established = queue_us < MAX_QUEUE_US;
        if is_established {
            self.busy_until_us[server] = now_us + queue_us + 1e6 / capacity_per_s(server, us);
        }
        let answer_us = if is_established { queue_us + 1e6 / capacity_per_s(server, us) } else { 1e3 };
        let incarnation = self.fronts[front].incarnation;
        let answer = Event::Answer { incarnation, session, server, is_established };
        self.schedule(us + answer_us as u64 + 10_000, front, answer);
    }
}

/// Returns the maximum over all windows of the overload duration of arrivals - (b + 2 * sqrt(b) + 2), where b is the
/// number of INVITEs that makes the server fail and the other terms allow for random variation. Above zero, the server
/// was overloaded.
fn max_excess(arrivals_us: &[u64], overload: Overload) -> f64 {
    let duration_us = micros(overload.duration_ms);
    let mut window = VecDeque::new();
    let mut max_excess = f64::NEG_INFINITY;
    for us in arrivals_us {
        window.push_back(*us);
        while window.front().is_some_and(|first| us - first >= duration_us) {
            window.pop_front();
        }
        // The lowest capacity within the window, as it rises with time.
        let window_start = us.saturating_sub(duration_us).max(micros(START_MS));
        let min_capacity = capacity_per_s(NEW_SERVER, window_start);
        let budget = overload.multiple * min_capacity * overload.duration_ms as f64 / 1e3;
        max_excess = max_excess.max(window.len() as f64 - (budget + 2.0 * budget.sqrt() + 2.0));
    }
    max_excess
}

#[test_matrix([20, 30, 300], [TIGHT, WIDE])]
fn uneven_fronts_together_do_not_overload_a_warming_up_server(fronts: usize, overload: Overload) {
    for seed in 1..=4 {
        let arrivals_us = Fleet::new(fronts, overload, seed).run();
        let (count, excess) = (arrivals_us.len(), max_excess(&arrivals_us, overload));
        assert!(count > 20, "seed {seed}: only {count} INVITEs arrived at the new server");
        assert!(excess <= 0.0, "seed {seed}: {excess:.1} above the overload limit, {count} INVITEs arrived");
    }
}

/// Shows that the check above can fail: each front is configured as if it were the only one.
#[test]
fn the_check_detects_fronts_that_each_use_the_whole_budget() {
    let mut fleet = Fleet::new(30, TIGHT, 1);
    for (seed, emulated) in (0..).zip(&mut fleet.fronts) {
        let config = ControllerConfig { fronts: 1, cold_capacity_share: 2.9, ..config(30, TIGHT, seed) };
        emulated.front = Front::with_config(&config, NEW_SERVER);
    }
    let arrivals_us = fleet.run();
    assert!(max_excess(&arrivals_us, TIGHT) > 0.0, "{} INVITEs arrived", arrivals_us.len());
}

#[test]
fn an_emulated_front_sends_a_call_to_its_destination() {
    let mut front = Front::with_config(&config(1, TIGHT, 1), SERVERS);
    let (_, decisions) = front.place_call(0, 0);
    assert_eq!(invited_server(&decisions), Some(0));
}
