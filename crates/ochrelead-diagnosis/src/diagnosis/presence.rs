//! Detects fronts that stopped writing records, and servers that were not heard from by all fronts or by one front.

use ochrelead_core::time::{Moment, Span};

use super::Diagnosis;
use super::incident_log::Finding;
use crate::incident::IncidentKind;
use crate::statistics::FrontActivity;

/// A server that has not been heard from for this time while INVITEs are outstanding is silent.
const SILENCE: Span = Span::from_millis(1_300);
/// A front whose last record is older than this is suspended or has ended: a front in service writes each second.
const WRITE_INTERVAL: Span = Span::from_millis(1_200);
/// A front that has written no record for this time has ended: a front in service writes each second.
const MAX_WITHOUT_RECORD: Span = Span::from_secs(4);
/// The confidence that a front without records has ended.
const MISSING_FRONT_CONFIDENCE: f64 = 0.8;
/// The confidence in a silent server or a front that is cut off.
const SILENCE_CONFIDENCE: f64 = 0.9;

/// A front that has stopped writing records.
struct MissingFront {
    name: String,
    last_record_at: Moment,
}

/// A server that no front hears from.
struct SilentServer {
    name: String,
    last_heard_at: Moment,
    /// The number of unanswered INVITEs.
    unanswered: usize,
}

/// A front that hears from no server.
struct CutOffFront {
    name: String,
    /// When it last heard from a server.
    onset: Moment,
}

/// When any front, and when one given front, last heard from a server.
struct LastHeard {
    by_any: Moment,
    by_front: Moment,
}

impl Diagnosis {
    /// Reports fronts that have stopped writing records while others write.
    pub(super) fn evaluate_fronts(&mut self, now: Moment) {
        let is_missing = |front: &FrontActivity| now.since(front.last_record_at) >= MAX_WITHOUT_RECORD;
        if self.fronts.values().all(is_missing) {
            return;
        }
        let missing = self.fronts.iter().filter(|(_, front)| !front.has_left && is_missing(front));
        let missing: Vec<MissingFront> = missing
            .map(|(name, front)| MissingFront { name: name.clone(), last_record_at: front.last_record_at })
            .collect();
        for front in missing {
            if !self.incidents.is_open(IncidentKind::FrontKilled, &front.name) {
                self.end_calls_of(&front.name);
            }
            let finding = Finding {
                kind: IncidentKind::FrontKilled,
                subject: &front.name,
                onset: front.last_record_at,
                confidence: MISSING_FRONT_CONFIDENCE,
                evidence: "it has written nothing since, while others write".to_owned(),
            };
            self.incidents.observe(now, finding);
        }
    }

    /// Reports servers that no front hears from, and fronts that alone hear from no server.
    pub(super) fn evaluate_silence(&mut self, now: Moment) {
        let silent = self.silent_servers(now);
        for server in &silent {
            self.server(&server.name).silent_at = Some(now);
            let finding = Finding {
                kind: IncidentKind::Silent,
                subject: &server.name,
                onset: server.last_heard_at,
                confidence: SILENCE_CONFIDENCE,
                evidence: format!(
                    "no sign of it since, with {} INVITEs out over all fronts",
                    server.unanswered
                ),
            };
            self.incidents.observe(now, finding);
        }
        for front in self.cut_off_fronts(now, &silent) {
            let finding = Finding {
                kind: IncidentKind::CutOff,
                subject: &front.name,
                onset: front.onset,
                confidence: SILENCE_CONFIDENCE,
                evidence: "it hears none of the servers that others hear".to_owned(),
            };
            self.incidents.observe(now, finding);
        }
    }

    fn silent_servers(&self, now: Moment) -> Vec<SilentServer> {
        let mut silent = Vec::new();
        for (name, server) in &self.servers {
            let Some(last_heard_at) = server.last_heard_at else { continue };
            let sent_at = server.outstanding.values();
            let unanswered = sent_at.filter(|sent_at| now.since(**sent_at) > SILENCE / 2).count();
            let is_reported = self.incidents.is_open(IncidentKind::Silent, name);
            if now.since(last_heard_at) >= SILENCE && (unanswered > 0 || is_reported) {
                silent.push(SilentServer { name: name.clone(), last_heard_at, unanswered });
            }
        }
        silent
    }

    fn cut_off_fronts(&self, now: Moment, silent: &[SilentServer]) -> Vec<CutOffFront> {
        let mut cut_off = Vec::new();
        for (name, front) in &self.fronts {
            // A front that writes no records is suspended or has ended, which is reported as another kind of
            // incident.
            if front.has_left || now.since(front.last_record_at) > WRITE_INTERVAL {
                continue;
            }
            let heard = self.last_heard(name, silent);
            let is_cut =
                |heard: &LastHeard| now.since(heard.by_front) >= SILENCE && now.since(heard.by_any) < SILENCE;
            if heard.len() > 1 && heard.iter().all(is_cut) {
                let onset = heard.iter().map(|heard| heard.by_front).max().unwrap_or(now);
                cut_off.push(CutOffFront { name: name.clone(), onset });
            }
        }
        cut_off
    }

    /// For each server that is not silent and that the front has heard from: when it was last heard from.
    fn last_heard(&self, front: &str, silent: &[SilentServer]) -> Vec<LastHeard> {
        let is_silent = |name: &String| silent.iter().any(|server| server.name == *name);
        let heard = self.servers.iter().filter(|(name, _)| !is_silent(name));
        heard
            .filter_map(|(_, server)| {
                let by_front = *server.last_heard_by.get(front)?;
                Some(LastHeard { by_any: server.last_heard_at?, by_front })
            })
            .collect()
    }
}
