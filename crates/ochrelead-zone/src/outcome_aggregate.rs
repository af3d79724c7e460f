//! What all fronts of a district met, at its observer.
//!
//! For each server a run is kept: how many INVITEs were lost there since the last answer that any front had. A server
//! that lives ends its run with its next answer; how many answers may be missing by chance is what [`crate::verdict`] weighs.
//! Besides, shares of answers in time over the last while, for a return and for a district that does less.

use std::collections::BTreeMap;

use ochrelead_core::sliding_window::SlidingWindow;
use ochrelead_core::time::{Moment, Span};

use crate::outcome_reporter::OutcomeSample;
use crate::verdict::{self, ZoneStats};
use crate::{ServerKey, ServerLocation, ZoneConfig, ZoneId};

/// The most of a server's run that one front's report adds.
const MAX_OF_ONE: u32 = 3;
/// Fronts that are told apart in a run; more make no difference.
const FRONTS: usize = 8;
/// Fronts that are remembered as reporting.
const MAX_REPORTERS: usize = 4_096;

#[derive(Clone, Debug)]
struct ServerHistory {
    district: ZoneId,
    run: u32,
    /// Fronts that added to it.
    by: Vec<u32>,
    lost_at: Option<Moment>,
    first_at: Option<Moment>,
    answered_at: Option<Moment>,
    alive_at: Option<Moment>,
    in_time: SlidingWindow<4>,
    late: SlidingWindow<4>,
    lost: SlidingWindow<4>,
    /// Its answers over a longer while.
    answers: SlidingWindow<8>,
}

/// How it stands with one front that reports.
#[derive(Clone, Copy, Debug)]
struct Reporter {
    at: Moment,
    /// When it last had any answer, from any server.
    answered_at: Option<Moment>,
}

#[derive(Clone, Debug)]
pub struct OutcomeAggregate {
    terms: ZoneConfig,
    servers: BTreeMap<ServerKey, ServerHistory>,
    reporters: BTreeMap<u32, Reporter>,
}

impl OutcomeAggregate {
    pub fn new(terms: ZoneConfig) -> OutcomeAggregate {
        OutcomeAggregate { terms, servers: BTreeMap::new(), reporters: BTreeMap::new() }
    }

    /// The servers in service, and where they are. What is known of one that stays is kept.
    pub fn on_server_locations(&mut self, places: &[ServerLocation]) {
        let width = self.terms.loss_timeout;
        let mut former = std::mem::take(&mut self.servers);
        for place in places {
            let fresh = || ServerHistory {
                district: place.zone,
                run: 0,
                by: Vec::new(),
                lost_at: None,
                first_at: None,
                answered_at: None,
                alive_at: None,
                in_time: SlidingWindow::new(width),
                late: SlidingWindow::new(width),
                lost: SlidingWindow::new(width),
                answers: SlidingWindow::new(width * 4),
            };
            let kept = former.remove(&place.server).filter(|seen| seen.district == place.zone);
            self.servers.insert(place.server, kept.unwrap_or_else(fresh));
        }
    }

    /// A front's report.
    pub fn on_report(&mut self, now: Moment, front: u32, met: &[(ServerKey, OutcomeSample)]) {
        if self.reporters.len() >= MAX_REPORTERS && !self.reporters.contains_key(&front) {
            return;
        }
        let answered = met.iter().any(|(_, met)| met.in_time + met.late > 0 || met.is_stale);
        let reporter = self.reporters.entry(front).or_insert(Reporter { at: now, answered_at: None });
        reporter.at = now;
        if answered {
            reporter.answered_at = Some(now);
        }
        // A front that has had no answer from anybody of late, while others have, may itself be what is cut off.
        let cut_off = !self.hears_anybody(now, front);
        for (server, met) in met {
            let Some(seen) = self.servers.get_mut(server) else { continue };
            let met = met.bounded();
            let answered = met.in_time + met.late > 0 || met.is_stale;
            if met.is_alive || answered {
                seen.alive_at = Some(now);
            }
            for (count, ring) in
                [(met.in_time, &mut seen.in_time), (met.late, &mut seen.late), (met.lost, &mut seen.lost)]
            {
                (0..count.min(MAX_OF_ONE)).for_each(|_| ring.record(now, Span::ZERO));
            }
            (0..(met.in_time + met.late).min(MAX_OF_ONE)).for_each(|_| seen.answers.record(now, Span::ZERO));
            if answered {
                (seen.run, seen.answered_at) = (0, Some(now));
                seen.first_at.get_or_insert(now);
                seen.by.clear();
            } else if met.lost > 0 && !cut_off {
                seen.run += met.lost.min(MAX_OF_ONE);
                seen.lost_at = Some(now);
                if seen.by.len() < FRONTS && !seen.by.contains(&front) {
                    seen.by.push(front);
                }
            }
        }
    }

    /// Whether a front had an answer of late, from any server; none had where it has just begun to report.
    fn hears_anybody(&self, now: Moment, front: u32) -> bool {
        let recent = |at: Option<Moment>| at.is_some_and(|at| now.since(at) < self.memory());
        self.reporters.get(&front).is_some_and(|own| recent(own.answered_at))
    }

    /// A run that nobody added to for so long is over.
    fn memory(&self) -> Span {
        self.terms.loss_timeout * 8
    }

    /// Lets go of what is old.
    pub fn process(&mut self, now: Moment) {
        let memory = self.memory();
        for seen in self.servers.values_mut() {
            if seen.lost_at.is_some_and(|at| now.since(at) >= memory) {
                (seen.run, seen.lost_at) = (0, None);
                seen.by.clear();
            }
        }
        self.reporters.retain(|_, reporter| now.since(reporter.at) < memory);
    }

    /// Fronts that report.
    pub fn reporter_count(&self) -> u32 {
        self.reporters.len() as u32
    }

    /// What all met at a district.
    pub fn zone_stats(&self, now: Moment, district: ZoneId) -> ZoneStats {
        let recent = |at: Option<Moment>, span: Span| at.is_some_and(|at| now.since(at) < span);
        let mut count = ZoneStats::default();
        let (mut by, mut missed): (Vec<u32>, Vec<f64>) = (Vec::new(), Vec::new());
        for seen in self.servers.values().filter(|seen| seen.district == district) {
            count.servers += 1;
            let asked = seen.run > 0 || recent(seen.answered_at, self.memory());
            count.contacted += u32::from(asked);
            if seen.run >= 2 && !recent(seen.answered_at, self.terms.loss_timeout) {
                count.silent += 1;
                count.lost += seen.run;
                // At the rate that it had when it answered last.
                missed.push(match seen.first_at.zip(seen.answered_at) {
                    Some((first, last)) => {
                        seen.answers.rate(last, first) * now.since(last).ratio(Span::from_secs(1))
                    }
                    // This observer has come since: what was asked is all that it knows of.
                    None => f64::from(seen.run),
                });
                by.extend(seen.by.iter().filter(|front| !by.contains(front)).copied().collect::<Vec<_>>());
            }
            count.alive += u32::from(recent(seen.alive_at, self.terms.step_duration()));
            count.recent_in_time += seen.in_time.stats(now).count;
            count.recent_late += seen.late.stats(now).count;
            count.recent_lost += seen.lost.stats(now).count;
        }
        count.reporting_fronts = by.len() as u32;
        count.missed_answers = verdict::total_missed_answers(&missed);
        count
    }

    /// A return has begun, or a step of it: what was met before says nothing of it.
    pub fn begin_step(&mut self, district: ZoneId) {
        for seen in self.servers.values_mut().filter(|seen| seen.district == district) {
            seen.in_time.clear();
            seen.late.clear();
            seen.lost.clear();
            seen.run = 0;
            seen.by.clear();
        }
    }
}
