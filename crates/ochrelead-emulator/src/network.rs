//! What becomes of a datagram on its way: delay, loss, doubling, reordering, cut links.

use std::collections::BTreeMap;

use ochrelead_config::faults::FaultKind;
use ochrelead_config::scenario;
use ochrelead_core::time::{Moment, Span};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Normal};
use rand_pcg::Pcg64Mcg;

/// A fault on the way from some parties to some others, for a while.
#[derive(Clone, Copy, Debug)]
pub struct Fault<P> {
    pub from: Option<P>,
    pub to: Option<P>,
    pub begins: Moment,
    pub ends: Moment,
    /// The share of datagrams that are lost.
    pub loss: f64,
}

/// The network between parties of type `P`.
pub struct Network<P> {
    figures: scenario::EmulatedNetwork,
    faults: Vec<Fault<P>>,
    underway: BTreeMap<(Moment, u64), (P, P, Vec<u8>)>,
    sent: u64,
    chance: Pcg64Mcg,
    /// Delays over the mean, as a share of it.
    jitter: Normal<f64>,
}

/// How many delays a reordered datagram is held back.
const HELD_BACK: u64 = 3;

impl<P: Copy + PartialEq> Network<P> {
    pub fn new(figures: scenario::EmulatedNetwork, faults: Vec<Fault<P>>, seed: u64) -> Network<P> {
        let jitter = Normal::new(0.0, figures.jitter).expect("a share was checked to be a number");
        let chance = Pcg64Mcg::seed_from_u64(seed);
        Network { figures, faults, underway: BTreeMap::new(), sent: 0, chance, jitter }
    }

    /// A datagram leaves its sender.
    pub fn carry(&mut self, now: Moment, from: P, to: P, bytes: &[u8]) {
        let concerns = |own: Option<P>, party: P| own.is_none_or(|own| own == party);
        let struck = self.faults.iter().filter(|fault| {
            now >= fault.begins && now < fault.ends && concerns(fault.from, from) && concerns(fault.to, to)
        });
        let loss = struck.map(|fault| fault.loss).fold(self.figures.loss, f64::max);
        if self.chance.random::<f64>() < loss {
            return;
        }
        let copies = if self.chance.random::<f64>() < self.figures.duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let spread = (1.0 + self.jitter.sample(&mut self.chance)).clamp(0.2, 5.0);
            let mut delay = self.figures.delay.scaled(spread);
            if self.chance.random::<f64>() < self.figures.reordered {
                delay += self.figures.delay * HELD_BACK;
            }
            self.sent += 1;
            self.underway.insert((now + delay, self.sent), (from, to, bytes.to_vec()));
        }
    }

    /// The next datagram that has arrived by now.
    pub fn next(&mut self, now: Moment) -> Option<(P, P, Vec<u8>)> {
        let (moment, _) = *self.underway.first_key_value()?.0;
        (moment <= now).then(|| self.underway.pop_first().map(|(_, carried)| carried))?
    }

    pub fn wake(&self) -> Option<Moment> {
        self.underway.first_key_value().map(|((moment, _), _)| *moment)
    }
}

/// The faults of a day's troubles, for parties named by `front` and `server`, and the `callers`.
pub fn faults<P: Copy>(
    day: &scenario::Scenario,
    start: Moment,
    front: impl Fn(usize) -> P,
    server: impl Fn(usize) -> P,
    callers: P,
) -> Vec<Fault<P>> {
    let mut faults = Vec::new();
    for trouble in &day.faults {
        let begins = start + trouble.start;
        let ends: Moment = begins + trouble.duration.max(Span::from_millis(1));
        for which in &trouble.targets {
            let fault = |from, to, loss| Fault { from, to, begins, ends, loss };
            match trouble.kind {
                FaultKind::AnswersLost => {
                    faults.push(fault(Some(server(*which)), None, trouble.magnitude.min(1.0)))
                }
                FaultKind::LinkCut | FaultKind::FrontDeaf | FaultKind::FrontMute => {
                    let loss =
                        if trouble.kind == FaultKind::LinkCut { 1.0 } else { trouble.magnitude.min(1.0) };
                    for at in 0..day.servers.len() {
                        if trouble.kind != FaultKind::FrontDeaf {
                            faults.push(fault(Some(front(*which)), Some(server(at)), loss));
                        }
                        if trouble.kind != FaultKind::FrontMute {
                            faults.push(fault(Some(server(at)), Some(front(*which)), loss));
                        }
                    }
                }
                FaultKind::CallersCut => {
                    let loss = trouble.magnitude.min(1.0);
                    faults.push(fault(Some(front(*which)), Some(callers), loss));
                    faults.push(fault(Some(callers), Some(front(*which)), loss));
                }
                _ => {}
            }
        }
    }
    faults
}
