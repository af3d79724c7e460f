//! Aggregates the reports of all fronts of a zone, at their observer.
//!
//! For each server it counts a loss run: the INVITEs lost since the last answer that any front received. The next
//! answer of the server resets the run; [`crate::verdict`] allows for answers that are missing at random. In addition,
//! sliding windows of answers and losses show the progress of a recovery and whether a zone is healthy.

use std::collections::BTreeMap;

use ochrelead_core::sliding_window::SlidingWindow;
use ochrelead_core::time::{Moment, Span};

use crate::outcome_reporter::{OutcomeSample, ServerSample};
use crate::verdict::{self, ZoneStats};
use crate::{ServerKey, ServerLocation, ZoneConfig, ZoneId};

/// The most losses, and entries in each sliding window, that one report adds for a server.
const MAX_PER_REPORT: u32 = 3;
/// Limit of the fronts recorded for a loss run; more do not change a verdict.
const MAX_FRONTS_PER_RUN: usize = 8;
/// Limit of the reporting fronts; reports of further fronts are ignored.
const MAX_REPORTERS: usize = 4_096;
/// Loss run from which a server may count as silent.
const MIN_SILENT_RUN: u32 = 2;
/// Loss runs and reporting fronts are dropped after this multiple of the loss timeout without an update. An answer
/// within that time counts as recent for deciding whether a server was contacted and whether a front can receive
/// answers.
const RETENTION_FACTOR: u64 = 8;

#[derive(Clone, Debug)]
struct ServerHistory {
    zone: ZoneId,
    /// Counted losses since the last answer.
    loss_run: u32,
    /// The fronts that reported these losses.
    fronts_with_loss: Vec<u32>,
    last_loss_at: Option<Moment>,
    first_answer_at: Option<Moment>,
    last_answer_at: Option<Moment>,
    last_alive_at: Option<Moment>,
    in_time: SlidingWindow<4>,
    late: SlidingWindow<4>,
    lost: SlidingWindow<4>,
    /// Answers over a longer window, from which the server's usual answer rate is derived.
    answers: SlidingWindow<8>,
}

impl ServerHistory {
    fn new(zone: ZoneId, bucket_width: Span) -> ServerHistory {
        ServerHistory {
            zone,
            loss_run: 0,
            fronts_with_loss: Vec::new(),
            last_loss_at: None,
            first_answer_at: None,
            last_answer_at: None,
            last_alive_at: None,
            in_time: SlidingWindow::new(bucket_width),
            late: SlidingWindow::new(bucket_width),
            lost: SlidingWindow::new(bucket_width),
            answers: SlidingWindow::new(bucket_width * 4),
        }
    }

    fn reset_loss_run(&mut self) {
        self.loss_run = 0;
        self.fronts_with_loss.clear();
    }

    /// Adds one front's sample. With `counts_losses` false its losses do not extend the loss run, because the front
    /// itself may be cut off.
    fn record(&mut self, now: Moment, front: u32, sample: OutcomeSample, counts_losses: bool) {
        let sample = sample.bounded();
        if sample.is_alive || sample.has_answer() {
            self.last_alive_at = Some(now);
        }
        record_count(&mut self.in_time, now, sample.in_time);
        record_count(&mut self.late, now, sample.late);
        record_count(&mut self.lost, now, sample.lost);
        record_count(&mut self.answers, now, sample.in_time + sample.late);
        if sample.has_answer() {
            self.reset_loss_run();
            self.last_answer_at = Some(now);
            self.first_answer_at.get_or_insert(now);
        } else if sample.lost > 0 && counts_losses {
            self.loss_run += sample.lost.min(MAX_PER_REPORT);
            self.last_loss_at = Some(now);
            if self.fronts_with_loss.len() < MAX_FRONTS_PER_RUN && !self.fronts_with_loss.contains(&front) {
                self.fronts_with_loss.push(front);
            }
        }
    }

    /// Answers that the server would have given since its last answer, at its rate up to then.
    fn missed_answers(&self, now: Moment) -> f64 {
        match self.first_answer_at.zip(self.last_answer_at) {
            Some((first, last)) => self.answers.rate(last, first) * now.since(last).ratio(Span::from_secs(1)),
            // Without any answer at this observer there is no known rate: each lost INVITE counts as one missed answer.
            None => f64::from(self.loss_run),
        }
    }
}

fn record_count<const BUCKETS: usize>(window: &mut SlidingWindow<BUCKETS>, now: Moment, count: u32) {
    (0..count.min(MAX_PER_REPORT)).for_each(|_| window.record(now, Span::ZERO));
}

#[derive(Clone, Copy, Debug)]
struct Reporter {
    last_report_at: Moment,
    /// When it last reported an answer of any server.
    last_answer_at: Option<Moment>,
}

/// The aggregated outcomes that all fronts of a zone have reported.
#[derive(Clone, Debug)]
pub struct OutcomeAggregate {
    config: ZoneConfig,
    servers: BTreeMap<ServerKey, ServerHistory>,
    reporters: BTreeMap<u32, Reporter>,
}

impl OutcomeAggregate {
    /// Creates an aggregate without servers and reports.
    pub fn new(config: ZoneConfig) -> OutcomeAggregate {
        OutcomeAggregate { config, servers: BTreeMap::new(), reporters: BTreeMap::new() }
    }

    /// Replaces the list of servers in service. The history of a server that stays in its zone is kept.
    pub fn on_server_locations(&mut self, locations: &[ServerLocation]) {
        let mut previous = std::mem::take(&mut self.servers);
        for &ServerLocation { server, zone } in locations {
            let history = previous.remove(&server).filter(|history| history.zone == zone);
            let history = history.unwrap_or_else(|| ServerHistory::new(zone, self.config.loss_timeout));
            self.servers.insert(server, history);
        }
    }

    /// Adds the report of one front.
    pub fn on_report(&mut self, now: Moment, front: u32, samples: &[ServerSample]) {
        if self.reporters.len() >= MAX_REPORTERS && !self.reporters.contains_key(&front) {
            return;
        }
        let reporter =
            self.reporters.entry(front).or_insert(Reporter { last_report_at: now, last_answer_at: None });
        reporter.last_report_at = now;
        if samples.iter().any(|sample| sample.outcomes.has_answer()) {
            reporter.last_answer_at = Some(now);
        }
        // A front without a recent answer from any server may itself be cut off.
        let counts_losses = self.has_recent_answer(now, front);
        for ServerSample { server, outcomes } in samples {
            if let Some(history) = self.servers.get_mut(server) {
                history.record(now, front, *outcomes, counts_losses);
            }
        }
    }

    /// Whether a front recently reported an answer of any server. False for a front that has not yet reported one.
    fn has_recent_answer(&self, now: Moment, front: u32) -> bool {
        let reporter = self.reporters.get(&front);
        reporter.is_some_and(|reporter| is_recent(now, reporter.last_answer_at, self.retention()))
    }

    fn retention(&self) -> Span {
        self.config.loss_timeout * RETENTION_FACTOR
    }

    /// Resets loss runs without a recent loss, and drops fronts that have stopped reporting.
    pub fn expire(&mut self, now: Moment) {
        let retention = self.retention();
        for history in self.servers.values_mut() {
            if history.last_loss_at.is_some_and(|at| now.since(at) >= retention) {
                history.last_loss_at = None;
                history.reset_loss_run();
            }
        }
        self.reporters.retain(|_, reporter| now.since(reporter.last_report_at) < retention);
    }

    /// Number of fronts that report.
    pub fn reporter_count(&self) -> u32 {
        u32::try_from(self.reporters.len()).unwrap_or(u32::MAX)
    }

    /// Returns the statistics of one zone at `now`.
    pub fn zone_stats(&self, now: Moment, zone: ZoneId) -> ZoneStats {
        let mut stats = ZoneStats::default();
        let mut fronts_with_loss: Vec<u32> = Vec::new();
        let mut missed_by_server: Vec<f64> = Vec::new();
        for history in self.servers.values().filter(|history| history.zone == zone) {
            stats.servers += 1;
            let was_contacted =
                history.loss_run > 0 || is_recent(now, history.last_answer_at, self.retention());
            stats.contacted += u32::from(was_contacted);
            let answered_recently = is_recent(now, history.last_answer_at, self.config.loss_timeout);
            if history.loss_run >= MIN_SILENT_RUN && !answered_recently {
                stats.silent += 1;
                stats.lost += history.loss_run;
                missed_by_server.push(history.missed_answers(now));
                fronts_with_loss.extend(&history.fronts_with_loss);
            }
            stats.alive += u32::from(is_recent(now, history.last_alive_at, self.config.step_duration()));
            stats.recent_in_time += history.in_time.stats(now).count;
            stats.recent_late += history.late.stats(now).count;
            stats.recent_lost += history.lost.stats(now).count;
        }
        fronts_with_loss.sort_unstable();
        fronts_with_loss.dedup();
        stats.fronts_with_loss = u32::try_from(fronts_with_loss.len()).unwrap_or(u32::MAX);
        stats.missed_answers = verdict::total_missed_answers(&missed_by_server);
        stats
    }

    /// Clears the recent outcomes and loss runs of a zone in which a drain or a step of a recovery has begun: earlier
    /// reports do not describe it.
    pub fn begin_step(&mut self, zone: ZoneId) {
        for history in self.servers.values_mut().filter(|history| history.zone == zone) {
            history.in_time.clear();
            history.late.clear();
            history.lost.clear();
            history.reset_loss_run();
        }
    }
}

fn is_recent(now: Moment, at: Option<Moment>, max_age: Span) -> bool {
    at.is_some_and(|at| now.since(at) < max_age)
}
