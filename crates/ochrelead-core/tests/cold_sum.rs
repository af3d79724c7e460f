//! Rule four over a whole fleet: what uneven fronts together send a cold server, emulated over seeds. The servers are
//! simple: one processor each, and one that is full says so.

mod helper;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use helper::{Front, at, invited};
use ochrelead_core::config::ControllerConfig;
use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::{Decision, EndpointState, InviteOutcome};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_matrix;

const SERVERS: usize = 8;
const COLD: usize = SERVERS - 1;
/// Set-ups a second of one warm server, and the share of all that is offered.
const CAPACITY: f64 = 40.0;
const LOAD: f64 = 0.9;
/// The cold server starts at this moment and the day ends at that.
const STARTS_MS: u64 = 8_000;
const ENDS_MS: u64 = 20_000;
/// A processor that is so far behind turns set-ups away.
const LONGEST_WAIT_MS: f64 = 500.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Offer,
    Told,
    Lines,
    Restart,
    Answered { life: u32, session: usize, server: usize, stands: bool },
    Wake { life: u32 },
}

/// What the settings say of a fall.
#[derive(Clone, Copy, Debug)]
struct Terms {
    multiple: f64,
    window_ms: u64,
}

const TIGHT: Terms = Terms { multiple: 2.5, window_ms: 1_000 };
const WIDE: Terms = Terms { multiple: 4.0, window_ms: 3_000 };

struct Fleet {
    fronts: Vec<(Front, u32, f64)>,
    events: BinaryHeap<Reverse<(u64, u64, usize, Event)>>,
    counted: u64,
    /// When each processor is done with what it has.
    busy_until: [f64; SERVERS],
    /// When INVITEs came at the cold server.
    came: Vec<u64>,
    terms: Terms,
    chance: Pcg64Mcg,
}

fn provision(fronts: usize, terms: Terms, seed: u64) -> ControllerConfig {
    ControllerConfig {
        seed,
        fronts: fronts as u32,
        cold_capacity_share: 0.29,
        overload_multiple: terms.multiple,
        overload_duration: Span::from_millis(terms.window_ms),
        ..helper::provision()
    }
}

fn micros(ms: u64) -> u64 {
    ms * 1_000
}

/// What the cold server can set up in a second then.
fn capacity(server: usize, us: u64) -> f64 {
    let since = us.saturating_sub(micros(STARTS_MS)) as f64 / 15e6;
    if server == COLD { CAPACITY * (0.29 + 0.71 * since.min(1.0)) } else { CAPACITY }
}

impl Fleet {
    fn new(fronts: usize, terms: Terms, seed: u64) -> Fleet {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        // Some get several times the mean.
        let weights: Vec<f64> = (0..fronts).map(|_| chance.random::<f64>().powi(3) + 0.05).collect();
        let sum = weights.iter().sum::<f64>();
        let all = weights.into_iter().enumerate().map(|(nth, weight)| {
            let front = Front::from(&provision(fronts, terms, seed * 1_000 + nth as u64), COLD);
            (front, 0, weight / sum)
        });
        let mut fleet = Fleet {
            fronts: all.collect(),
            events: BinaryHeap::new(),
            counted: 0,
            busy_until: [0.0; SERVERS],
            came: Vec::new(),
            terms,
            chance,
        };
        for nth in 0..fronts {
            fleet.next_offer(nth, 0);
            fleet.put(0, nth, Event::Lines);
            let spread = fleet.chance.random_range(0..400);
            fleet.put(micros(STARTS_MS + spread), nth, Event::Told);
            if nth % 10 < 7 {
                fleet.put(micros(STARTS_MS + 3_000), nth, Event::Restart);
            }
        }
        fleet
    }

    fn put(&mut self, us: u64, front: usize, event: Event) {
        self.counted += 1;
        self.events.push(Reverse((us, self.counted, front, event)));
    }

    fn next_offer(&mut self, front: usize, us: u64) {
        let rate = LOAD * CAPACITY * SERVERS as f64 * self.fronts[front].2;
        let gap = -self.chance.random::<f64>().max(1e-9).ln() / rate;
        self.put(us + (gap * 1e6) as u64, front, Event::Offer);
    }

    /// Plays the day; what came at the cold server, in microseconds.
    fn play(mut self) -> Vec<u64> {
        while let Some(Reverse((us, _, nth, event))) = self.events.pop() {
            if us > micros(ENDS_MS) {
                break;
            }
            self.happens(us, nth, event);
            self.decide(us, nth);
        }
        self.came
    }

    fn happens(&mut self, us: u64, nth: usize, event: Event) {
        let now = moment(us);
        match event {
            Event::Offer => {
                self.next_offer(nth, us);
                let known = if us >= micros(STARTS_MS) { SERVERS } else { COLD };
                let destination = self.chance.random_range(0..known);
                let ms = us / 1_000;
                self.fronts[nth].0.offer(ms, 0, destination as i64, self.counted as usize);
            }
            Event::Told => {
                let started = Some(moment(micros(STARTS_MS)));
                self.fronts[nth].0.list(us / 1_000, COLD, EndpointState::Ready { started });
            }
            Event::Lines => {
                self.put(us + micros(1_000), nth, Event::Lines);
                for server in 0..SERVERS {
                    if server != COLD || us > micros(STARTS_MS + 400) {
                        let front = &mut self.fronts[nth].0;
                        front.rules.advance_to(now);
                        front.lines(server, 100, 300);
                    }
                }
            }
            Event::Restart => {
                let (count, terms) = (self.fronts.len(), self.terms);
                let (front, life, _) = &mut self.fronts[nth];
                *front = Front::from(&provision(count, terms, us + nth as u64), COLD);
                *life += 1;
                let started = Some(moment(micros(STARTS_MS)));
                front.list(us / 1_000, COLD, EndpointState::Ready { started });
            }
            Event::Answered { life, session, server, stands } => {
                let (front, own, _) = &mut self.fronts[nth];
                if *own != life {
                    return;
                }
                front.rules.advance_to(now);
                let (session, server) = (SessionIx::new(session), ServerIx::new(server));
                if stands {
                    front.rules.on_call_established(session);
                    front.rules.on_invite_ended(session, server, InviteOutcome::Released, true);
                } else {
                    front.rules.on_invite_ended(session, server, helper::BUSY, false);
                }
            }
            Event::Wake { .. } => {}
        }
    }

    fn decide(&mut self, us: u64, nth: usize) {
        let (front, life, _) = &mut self.fronts[nth];
        let life = *life;
        front.rules.advance_to(moment(us));
        let decisions: Vec<Decision> = std::iter::from_fn(|| front.rules.next_decision()).collect();
        let wake = front.rules.poll_timeout().map(|wake| wake.since(at(0)).micros());
        for decision in decisions {
            if let Decision::Invite { session, server, .. } = decision {
                self.invite(us, nth, life, session.index(), server.index());
            }
        }
        if let Some(wake) = wake.filter(|wake| *wake > us) {
            self.put(wake, nth, Event::Wake { life });
        }
    }

    fn invite(&mut self, us: u64, nth: usize, life: u32, session: usize, server: usize) {
        if server == COLD {
            self.came.push(us);
        }
        let now = us as f64;
        let behind = (self.busy_until[server] - now).max(0.0);
        let stands = behind < LONGEST_WAIT_MS * 1e3;
        if stands {
            self.busy_until[server] = now + behind + 1e6 / capacity(server, us);
        }
        let wait = if stands { behind + 1e6 / capacity(server, us) } else { 1e3 };
        let answered = Event::Answered { life, session, server, stands };
        self.put(us + wait as u64 + 10_000, nth, answered);
    }
}

fn moment(us: u64) -> Moment {
    at(0) + Span::from_micros(us)
}

/// The most by which what came in any window passed its budget and what is put down to chance; under 0 none did.
fn worst_excess(came: &[u64], terms: Terms) -> f64 {
    let mut window = VecDeque::new();
    let mut worst = f64::NEG_INFINITY;
    for us in came {
        window.push_back(*us);
        while window.front().is_some_and(|first| us - first >= micros(terms.window_ms)) {
            window.pop_front();
        }
        // The least that it could do within the window.
        let then = us.saturating_sub(micros(terms.window_ms)).max(micros(STARTS_MS));
        let budget = terms.multiple * capacity(COLD, then) * terms.window_ms as f64 / 1e3;
        worst = worst.max(window.len() as f64 - (budget + 2.0 * budget.sqrt() + 2.0));
    }
    worst
}

#[test_matrix([20, 30, 300], [TIGHT, WIDE])]
fn a_cold_server_does_not_fall_under_the_sum_of_uneven_fronts(fronts: usize, terms: Terms) {
    for seed in 1..=4 {
        let came = Fleet::new(fronts, terms, seed).play();
        let excess = worst_excess(&came, terms);
        assert!(came.len() > 20, "seed {seed}: it is used at all, {} came", came.len());
        assert!(excess <= 0.0, "seed {seed}: {excess:.1} beyond the budget, of {} that came", came.len());
    }
}

#[test]
fn a_front_that_takes_the_whole_budget_for_its_own_is_found() {
    // The same fleet, each front told that it is the only one.
    let mut fleet = Fleet::new(30, TIGHT, 1);
    for (nth, (front, _, _)) in fleet.fronts.iter_mut().enumerate() {
        let alone =
            ControllerConfig { fronts: 1, cold_capacity_share: 2.9, ..provision(30, TIGHT, nth as u64) };
        *front = Front::from(&alone, COLD);
    }
    let came = fleet.play();
    assert!(worst_excess(&came, TIGHT) > 0.0, "{} came", came.len());
}

#[test]
fn the_emulated_front_sends_at_all() {
    let mut front = Front::from(&provision(1, TIGHT, 1), SERVERS);
    let (_, decisions) = front.send(0, 0);
    assert_eq!(invited(&decisions), Some(0));
}
