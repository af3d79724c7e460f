//! Evaluates answer times, rejections and demand: detects a slow server, a slow fleet, overload and lost answers.

use ochrelead_core::time::{Moment, Span};

use super::incident_log::Finding;
use super::server_survey::{LateServer, SURGE_MULTIPLE, ServerSurvey, is_recent, rate_over};
use super::{AFTERMATH, Diagnosis, WINDOW, window_middle};
use crate::incident::IncidentKind;
use crate::statistics::ServerStats;

/// The fleet is overloaded from this share of attempts that are rejected for lack of capacity.
const MIN_REJECTED_SHARE: f64 = 0.12;
/// Demand below this share of the usual rate is low: a server that then gets few INVITEs is not avoided.
const MIN_USUAL_DEMAND: f64 = 0.6;
/// The starts or silence of servers explain late answers elsewhere if they affect at least one server in this many.
const AFTERMATH_SERVERS: usize = 5;
/// Of several late servers, the one below this share of its usual load is the slow one, provided that all others are at
/// or above `UNREDUCED_SHARE`.
const REDUCED_SHARE: f64 = 0.8;
/// A late server at or above this share of its usual load keeps its load.
const UNREDUCED_SHARE: f64 = 0.9;
/// A late server below this share of its usual load is slow: no other cause explains it.
const SMALL_SHARE: f64 = 0.5;
/// The number of answers to retransmissions that gives full confidence in lost answers.
const CONFIDENT_RETRANSMISSIONS: f64 = 8.0;
/// The confidence that all servers are slow.
const ALL_SLOW_CONFIDENCE: f64 = 0.8;
/// The confidence in an overload that shows as a surge with late answers.
const SURGE_CONFIDENCE: f64 = 0.6;
/// The number of most recently ended incidents that are searched for causes at fronts or callers.
const LAST_ENDED: usize = 20;
/// The number of most recently ended incidents that are searched for lost answers of a server.
const LAST_ENDED_OF_SERVER: usize = 5;

/// The demand on the fleet: attempts that are not redials.
struct Demand {
    /// The time for which demand has been observed, at most the window.
    observed: Span,
    /// New attempts per second.
    rate: f64,
    /// Whether the rate is not far below usual. At low demand, all servers get few INVITEs.
    is_usual: bool,
    /// Whether the rate is far above usual.
    is_surge: bool,
}

/// The inputs of an evaluation of answer times.
struct Evaluation {
    now: Moment,
    /// The estimated onset of an incident that the window shows.
    onset: Moment,
    demand: Demand,
    survey: ServerSurvey,
    /// Whether the recent silence or start of servers explains late answers and rejections.
    is_aftermath: bool,
    /// Whether no front is, or recently was, cut off, suspended or ended.
    are_fronts_healthy: bool,
    /// Whether redials or a flooded number inflate the demand.
    is_demand_inflated: bool,
    /// Whether no other cause explains late answers.
    is_unexplained: bool,
}

impl Diagnosis {
    /// Reports late answers as slow servers if demand is as usual, and as overload if demand is higher.
    pub(super) fn evaluate_answer_times(&mut self, now: Moment) {
        let demand = self.demand(now);
        let mut survey = ServerSurvey::default();
        for (name, server) in &mut self.servers {
            survey.add(name, server, now, demand.is_usual);
        }
        let is_aftermath = self.is_aftermath(now);
        if !is_aftermath && survey.late.is_empty() {
            self.report_lossy_servers(now, &survey);
        }
        if demand.is_surge {
            self.last_surge_at = Some(now);
        }
        // Calls queued during a surge are still answered late for some time after it.
        let is_surge_over = self.last_surge_at.is_none_or(|surge_at| now.since(surge_at) > WINDOW * 2);
        let are_fronts_healthy = self.are_fronts_healthy(now);
        let is_demand_inflated = self.is_demand_inflated(now);
        let evaluation = Evaluation {
            now,
            onset: window_middle(now),
            demand,
            survey,
            is_aftermath,
            are_fronts_healthy,
            is_demand_inflated,
            is_unexplained: is_surge_over && are_fronts_healthy && !is_aftermath && !is_demand_inflated,
        };
        self.report_late_answers(&evaluation);
        let Demand { observed, rate, is_surge, .. } = evaluation.demand;
        if !is_surge && observed >= WINDOW / 2 && are_fronts_healthy {
            self.usual_demand.learn(rate);
        }
    }

    fn demand(&self, now: Moment) -> Demand {
        let observed = self.first_demand_at.map_or(Span::ZERO, |first| now.since(first)).min(WINDOW);
        let rate = rate_over(self.new_demand.len(), observed);
        let usual = self.usual_demand.known();
        Demand {
            observed,
            rate,
            is_usual: usual.is_none_or(|usual| rate >= usual * MIN_USUAL_DEMAND),
            is_surge: usual.is_some_and(|usual| rate > usual * SURGE_MULTIPLE),
        }
    }

    fn report_lossy_servers(&mut self, now: Moment, survey: &ServerSurvey) {
        for server in &survey.lossy {
            let finding = Finding {
                kind: IncidentKind::AnswersLost,
                subject: &server.name,
                onset: window_middle(now),
                confidence: (server.to_retransmission as f64 / CONFIDENT_RETRANSMISSIONS).min(1.0),
                evidence: format!(
                    "{} of {} answers came to a repeat, the others at once",
                    server.to_retransmission, server.answers
                ),
            };
            self.incidents.observe(now, finding);
        }
    }

    /// Reports the most likely cause of late answers and rejections, if there is one.
    fn report_late_answers(&mut self, evaluation: &Evaluation) {
        let survey = &evaluation.survey;
        let is_slow_known =
            self.incidents.any_open(|kind| matches!(kind, IncidentKind::Slow | IncidentKind::AllSlow));
        let slow_server = self.slow_server_of_several(evaluation);
        self.keep_avoided_servers_reported(evaluation);
        let rejected_share = self.rejections.len() as f64 / self.attempts.len().max(1) as f64;
        if let Some(server) = slow_server {
            self.report_slow_server(evaluation, server);
        } else if self.are_all_slow(evaluation) {
            self.report_all_slow(evaluation);
        } else if rejected_share >= MIN_REJECTED_SHARE
            && !evaluation.is_aftermath
            && (evaluation.demand.is_surge || !is_slow_known)
            && evaluation.are_fronts_healthy
            && !evaluation.is_demand_inflated
        {
            let percent = rejected_share * 100.0;
            let evidence =
                format!("{percent:.0} in 100 tries refused for lack of room, with no server to blame");
            self.report_overload(evaluation, (rejected_share * 2.0).min(1.0), evidence);
        } else if evaluation.demand.is_surge && survey.evaluated > 1 && survey.slowed * 2 >= survey.evaluated
        {
            let (slowed, evaluated) = (survey.slowed, survey.evaluated);
            let evidence = format!("{slowed} of {evaluated} answer late while more is offered than usual");
            self.report_overload(evaluation, SURGE_CONFIDENCE, evidence);
        } else if let [server] = &survey.late[..]
            && survey.healthy > 0
            && self.may_be_slow(evaluation, server)
            && !self.incidents.is_open_or_last_closed(
                IncidentKind::AnswersLost,
                &server.name,
                LAST_ENDED_OF_SERVER,
            )
        {
            self.report_slow_server(evaluation, server);
        }
    }

    /// Whether a late server is slow: no other cause explains it, or it is already reported as slow.
    fn may_be_slow(&self, evaluation: &Evaluation, server: &LateServer) -> bool {
        evaluation.is_unexplained || self.incidents.is_open(IncidentKind::Slow, &server.name)
    }

    /// The slow one of several late servers: its load is reduced, while the others keep their load.
    fn slow_server_of_several<'a>(&self, evaluation: &'a Evaluation) -> Option<&'a LateServer> {
        let ServerSurvey { late, evaluated, .. } = &evaluation.survey;
        least_loaded(late).filter(|server| {
            *evaluated > 1
                && evaluation.demand.is_usual
                && (server.load_share < SMALL_SHARE || self.may_be_slow(evaluation, server))
        })
    }

    /// Keeps the incident of a slow server open while it gets few INVITEs: nothing shows that it has recovered.
    fn keep_avoided_servers_reported(&mut self, evaluation: &Evaluation) {
        let ServerSurvey { avoided, late, .. } = &evaluation.survey;
        for name in avoided.iter().filter(|name| !late.iter().any(|server| server.name == **name)) {
            self.incidents.keep_open(evaluation.now, IncidentKind::Slow, name);
        }
    }

    fn are_all_slow(&self, evaluation: &Evaluation) -> bool {
        let survey = &evaluation.survey;
        !survey.late.is_empty()
            && survey.evaluated > 1
            && survey.healthy == 0
            && (evaluation.is_unexplained || self.incidents.is_open(IncidentKind::AllSlow, ""))
    }

    fn report_slow_server(&mut self, evaluation: &Evaluation, server: &LateServer) {
        let finding = Finding {
            kind: IncidentKind::Slow,
            subject: &server.name,
            onset: evaluation.onset,
            confidence: server.confidence(),
            evidence: server.evidence(),
        };
        self.incidents.observe(evaluation.now, finding);
    }

    fn report_all_slow(&mut self, evaluation: &Evaluation) {
        let ServerSurvey { late, evaluated, .. } = &evaluation.survey;
        let finding = Finding {
            kind: IncidentKind::AllSlow,
            subject: "",
            onset: self.incidents.take_earliest_onset(IncidentKind::Slow, evaluation.onset),
            confidence: ALL_SLOW_CONFIDENCE,
            evidence: format!(
                "{} of {evaluated} answer late while no more is offered than usual",
                late.len()
            ),
        };
        self.incidents.observe(evaluation.now, finding);
    }

    fn report_overload(&mut self, evaluation: &Evaluation, confidence: f64, evidence: String) {
        let finding = Finding {
            kind: IncidentKind::Overload,
            subject: "",
            onset: evaluation.onset,
            confidence,
            evidence,
        };
        self.incidents.observe(evaluation.now, finding);
    }

    /// Whether enough servers recently started or were silent to explain late answers. A single server of many hardly
    /// increases the load on the others.
    fn is_aftermath(&self, now: Moment) -> bool {
        let has_changed = |server: &&ServerStats| {
            is_recent(server.started_at, now, AFTERMATH) || is_recent(server.silent_at, now, AFTERMATH)
        };
        let changed = self.servers.values().filter(has_changed).count();
        changed * AFTERMATH_SERVERS >= self.servers.len().max(1)
    }

    /// Whether immediate redials or a flooded number inflate, or recently inflated, the demand.
    fn is_demand_inflated(&self, now: Moment) -> bool {
        self.incidents.any_recent(now, AFTERMATH / 2, LAST_ENDED, |kind| {
            matches!(kind, IncidentKind::Redials | IncidentKind::HotNumber)
        })
    }

    /// Whether no front is, or recently was, cut off, suspended or ended. Such a front causes rejections by itself.
    fn are_fronts_healthy(&self, now: Moment) -> bool {
        !self.incidents.any_recent(now, AFTERMATH, LAST_ENDED, |kind| {
            matches!(kind, IncidentKind::CutOff | IncidentKind::FrontStalled | IncidentKind::FrontKilled)
        })
    }
}

/// The late server with the smallest load share, if it is the only one with a reduced load.
fn least_loaded(late: &[LateServer]) -> Option<&LateServer> {
    let least = late.iter().min_by(|a, b| a.load_share.total_cmp(&b.load_share))?;
    let others: Vec<&LateServer> = late.iter().filter(|server| server.name != least.name).collect();
    if others.is_empty() {
        return None;
    }
    let are_others_unreduced = others.iter().all(|other| other.load_share >= UNREDUCED_SHARE);
    let are_others_far_above = others.iter().all(|other| other.load_share >= least.load_share * 2.0);
    let is_only_reduced = (least.load_share < SMALL_SHARE && are_others_far_above)
        || (least.load_share < REDUCED_SHARE && are_others_unreduced);
    is_only_reduced.then_some(least)
}
