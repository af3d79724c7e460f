//! Answer times, rejections and demand: one server slow, all slow, overload, or answers lost.

use ochrelead_core::time::{Moment, Span};

use super::server_survey::{LateServer, SURGE_MULTIPLE, ServerSurvey, is_recent, rate_over};
use super::trouble_log::Finding;
use super::{AFTERMATH, Diagnosis, WINDOW, window_middle};
use crate::statistics::ServerStats;
use crate::trouble::TroubleKind;

/// The share of attempts rejected for lack of capacity that is overload.
const MIN_REJECTED_SHARE: f64 = 0.12;
/// Less than this share of the usual demand is offered when callers leave.
const MIN_USUAL_DEMAND: f64 = 0.6;
/// A silence or start has an aftermath where one server in so many is concerned.
const AFTERMATH_SERVERS: usize = 5;
/// Of several late servers, the one that carries less than the first share of its usual load is what is slow, where
/// the others carry at least the second.
const REDUCED_SHARE: f64 = 0.8;
const UNREDUCED_SHARE: f64 = 0.9;
/// A late server that carries less than this can't be explained by anything else.
const SMALL_SHARE: f64 = 0.5;
/// So many answers to repeats give full confidence that answers are lost.
const CONFIDENT_REPEATS: f64 = 8.0;
const ALL_SLOW_CONFIDENCE: f64 = 0.8;
const SURGE_CONFIDENCE: f64 = 0.6;
/// How many of the troubles that ended last are looked at, of fronts and callers, and of one server.
const LAST_ENDED: usize = 20;
const LAST_ENDED_OF_SERVER: usize = 5;

/// What is offered to the fleet.
struct Demand {
    /// For how long demand has been seen, within the window.
    observed: Span,
    /// New attempts a second.
    rate: f64,
    /// It is not much less than usual: where hardly anybody calls, every server is sent little.
    is_usual: bool,
    /// It is more than usual.
    is_surge: bool,
}

/// All that an evaluation of answer times takes into account.
struct Evaluation {
    now: Moment,
    onset: Moment,
    demand: Demand,
    survey: ServerSurvey,
    /// A silence or start of servers explains late answers and rejections.
    is_aftermath: bool,
    /// No front is, or was a moment ago, cut off, suspended or gone.
    is_fleet_whole: bool,
    /// Callers make more of the demand than it is.
    do_callers_press: bool,
    /// Nothing else explains late answers.
    is_unexplained: bool,
}

impl Diagnosis {
    /// What is late while no more is offered than usual is slow; what is late while more is offered is overloaded.
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
        // What waits from a surge is late for a while after it.
        let is_calm = self.last_surge_at.is_none_or(|surge_at| now.since(surge_at) > WINDOW * 2);
        let is_fleet_whole = self.is_fleet_whole(now);
        let do_callers_press = self.do_callers_press(now);
        let evaluation = Evaluation {
            now,
            onset: window_middle(now),
            demand,
            survey,
            is_aftermath,
            is_fleet_whole,
            do_callers_press,
            is_unexplained: is_calm && is_fleet_whole && !is_aftermath && !do_callers_press,
        };
        self.report_late_answers(&evaluation);
        let Demand { observed, rate, is_surge, .. } = evaluation.demand;
        if !is_surge && observed >= WINDOW / 2 && is_fleet_whole {
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
                kind: TroubleKind::AnswersLost,
                subject: &server.name,
                onset: window_middle(now),
                confidence: (server.repeated as f64 / CONFIDENT_REPEATS).min(1.0),
                evidence: format!(
                    "{} of {} answers came to a repeat, the others at once",
                    server.repeated, server.answers
                ),
            };
            self.troubles.observe(now, finding);
        }
    }

    /// Reports the one cause that explains late answers and rejections best.
    fn report_late_answers(&mut self, evaluation: &Evaluation) {
        let survey = &evaluation.survey;
        let is_slow_known =
            self.troubles.any_open(|kind| matches!(kind, TroubleKind::Slow | TroubleKind::AllSlow));
        let slow_server = self.slow_server_of_several(evaluation);
        self.keep_avoided_servers_open(evaluation);
        let rejected_share = self.rejections.len() as f64 / self.attempts.len().max(1) as f64;
        if let Some(server) = slow_server {
            self.report_slow_server(evaluation, server);
        } else if self.are_all_slow(evaluation) {
            self.report_all_slow(evaluation);
        } else if rejected_share >= MIN_REJECTED_SHARE
            && !evaluation.is_aftermath
            && (evaluation.demand.is_surge || !is_slow_known)
            && evaluation.is_fleet_whole
            && !evaluation.do_callers_press
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
            && !self.troubles.has(TroubleKind::AnswersLost, &server.name, LAST_ENDED_OF_SERVER)
        {
            self.report_slow_server(evaluation, server);
        }
    }

    /// Whether nothing else explains that a server is late, or it was found slow already and is still late.
    fn may_be_slow(&self, evaluation: &Evaluation, server: &LateServer) -> bool {
        evaluation.is_unexplained || self.troubles.is_open(TroubleKind::Slow, &server.name)
    }

    /// The one of several late servers that is slow: it carries less, and the others are late because they carry on.
    fn slow_server_of_several<'a>(&self, evaluation: &'a Evaluation) -> Option<&'a LateServer> {
        let ServerSurvey { late, evaluated, .. } = &evaluation.survey;
        least_loaded(late).filter(|server| {
            *evaluated > 1
                && evaluation.demand.is_usual
                && (server.carried_share < SMALL_SHARE || self.may_be_slow(evaluation, server))
        })
    }

    /// Hardly anything is sent to a server that was slow a moment ago: nothing shows that it is healthy again.
    fn keep_avoided_servers_open(&mut self, evaluation: &Evaluation) {
        let ServerSurvey { avoided, late, .. } = &evaluation.survey;
        for name in avoided.iter().filter(|name| !late.iter().any(|server| server.name == **name)) {
            self.troubles.keep_open(evaluation.now, TroubleKind::Slow, name);
        }
    }

    fn are_all_slow(&self, evaluation: &Evaluation) -> bool {
        let survey = &evaluation.survey;
        !survey.late.is_empty()
            && survey.evaluated > 1
            && survey.healthy == 0
            && (evaluation.is_unexplained || self.troubles.is_open(TroubleKind::AllSlow, ""))
    }

    fn report_slow_server(&mut self, evaluation: &Evaluation, server: &LateServer) {
        let finding = Finding {
            kind: TroubleKind::Slow,
            subject: &server.name,
            onset: evaluation.onset,
            confidence: server.confidence(),
            evidence: server.evidence(),
        };
        self.troubles.observe(evaluation.now, finding);
    }

    fn report_all_slow(&mut self, evaluation: &Evaluation) {
        let ServerSurvey { late, evaluated, .. } = &evaluation.survey;
        let finding = Finding {
            kind: TroubleKind::AllSlow,
            subject: "",
            onset: self.troubles.merge(TroubleKind::Slow, evaluation.onset),
            confidence: ALL_SLOW_CONFIDENCE,
            evidence: format!(
                "{} of {evaluated} answer late while no more is offered than usual",
                late.len()
            ),
        };
        self.troubles.observe(evaluation.now, finding);
    }

    fn report_overload(&mut self, evaluation: &Evaluation, confidence: f64, evidence: String) {
        let finding = Finding {
            kind: TroubleKind::Overload,
            subject: "",
            onset: evaluation.onset,
            confidence,
            evidence,
        };
        self.troubles.observe(evaluation.now, finding);
    }

    /// Whether so many servers started or were silent lately that this explains what is late. One of many servers leaves
    /// the others little more to do.
    fn is_aftermath(&self, now: Moment) -> bool {
        let has_changed = |server: &&ServerStats| {
            is_recent(server.started_at, now, AFTERMATH) || is_recent(server.silent_at, now, AFTERMATH)
        };
        let changed = self.servers.values().filter(has_changed).count();
        changed * AFTERMATH_SERVERS >= self.servers.len().max(1)
    }

    /// Whether callers that dial again at once, or all dial one number, make more of the demand.
    fn do_callers_press(&self, now: Moment) -> bool {
        self.troubles.any_recent(now, AFTERMATH / 2, LAST_ENDED, |kind| {
            matches!(kind, TroubleKind::Redials | TroubleKind::HotNumber)
        })
    }

    /// Whether no front is, or was a moment ago, cut off, suspended or gone: it alone causes its rejections.
    fn is_fleet_whole(&self, now: Moment) -> bool {
        !self.troubles.any_recent(now, AFTERMATH, LAST_ENDED, |kind| {
            matches!(kind, TroubleKind::CutOff | TroubleKind::FrontStalled | TroubleKind::FrontKilled)
        })
    }
}

/// The late server that carries the least, where it alone carries less than usual.
fn least_loaded(late: &[LateServer]) -> Option<&LateServer> {
    let least = late.iter().min_by(|a, b| a.carried_share.total_cmp(&b.carried_share))?;
    let others: Vec<&LateServer> = late.iter().filter(|server| server.name != least.name).collect();
    if others.is_empty() {
        return None;
    }
    let do_carry_on = others.iter().all(|other| other.carried_share >= UNREDUCED_SHARE);
    let do_carry_far_more = others.iter().all(|other| other.carried_share >= least.carried_share * 2.0);
    let is_alone = (least.carried_share < SMALL_SHARE && do_carry_far_more)
        || (least.carried_share < REDUCED_SHARE && do_carry_on);
    is_alone.then_some(least)
}
