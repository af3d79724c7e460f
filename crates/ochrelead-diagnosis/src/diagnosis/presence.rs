//! Which fronts write, and which servers are heard.

use ochrelead_core::time::{Moment, Span};

use super::Diagnosis;
use super::trouble_log::Finding;
use crate::statistics::FrontActivity;
use crate::trouble::TroubleKind;

/// A server without a sign of life for so long, with INVITEs outstanding, is silent.
const SILENCE: Span = Span::from_millis(1_300);
/// A front in service writes at least so often.
const WRITE_INTERVAL: Span = Span::from_millis(1_200);
/// A front that writes nothing for so long has ended; it writes each second.
const MAX_WITHOUT_RECORD: Span = Span::from_secs(4);
/// The confidence that a front without records has ended, and that silence or a cut is what it seems.
const MISSING_FRONT_CONFIDENCE: f64 = 0.8;
const SILENCE_CONFIDENCE: f64 = 0.9;

/// A front that writes no more.
struct MissingFront {
    name: String,
    last_record_at: Moment,
}

/// A server that nobody hears.
struct SilentServer {
    name: String,
    last_heard_at: Moment,
    /// INVITEs that wait there.
    waiting: usize,
}

/// A front that hears no server.
struct CutOffFront {
    name: String,
    /// When it last heard one.
    onset: Moment,
}

/// When a server was last heard by any front, and by one of them.
struct LastHeard {
    by_any: Moment,
    by_front: Moment,
}

impl Diagnosis {
    /// Fronts that write no more while others do.
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
            if !self.troubles.is_open(TroubleKind::FrontKilled, &front.name) {
                self.end_calls_of(&front.name);
            }
            let finding = Finding {
                kind: TroubleKind::FrontKilled,
                subject: &front.name,
                onset: front.last_record_at,
                confidence: MISSING_FRONT_CONFIDENCE,
                evidence: "it has written nothing since, while others write".to_owned(),
            };
            self.troubles.observe(now, finding);
        }
    }

    /// Servers that are not heard: by any front, or by one front alone.
    pub(super) fn evaluate_silence(&mut self, now: Moment) {
        let silent = self.silent_servers(now);
        for server in &silent {
            self.server(&server.name).silent_at = Some(now);
            let finding = Finding {
                kind: TroubleKind::Silent,
                subject: &server.name,
                onset: server.last_heard_at,
                confidence: SILENCE_CONFIDENCE,
                evidence: format!("no sign of it since, with {} INVITEs out over all fronts", server.waiting),
            };
            self.troubles.observe(now, finding);
        }
        for front in self.cut_off_fronts(now, &silent) {
            let finding = Finding {
                kind: TroubleKind::CutOff,
                subject: &front.name,
                onset: front.onset,
                confidence: SILENCE_CONFIDENCE,
                evidence: "it hears none of the servers that others hear".to_owned(),
            };
            self.troubles.observe(now, finding);
        }
    }

    fn silent_servers(&self, now: Moment) -> Vec<SilentServer> {
        let mut silent = Vec::new();
        for (name, server) in &self.servers {
            let Some(last_heard_at) = server.last_heard_at else { continue };
            let sent_at = server.outstanding.values();
            let waiting = sent_at.filter(|sent_at| now.since(**sent_at) > SILENCE / 2).count();
            let is_known = self.troubles.is_open(TroubleKind::Silent, name);
            if now.since(last_heard_at) >= SILENCE && (waiting > 0 || is_known) {
                silent.push(SilentServer { name: name.clone(), last_heard_at, waiting });
            }
        }
        silent
    }

    fn cut_off_fronts(&self, now: Moment, silent: &[SilentServer]) -> Vec<CutOffFront> {
        let mut cut_off = Vec::new();
        for (name, front) in &self.fronts {
            // One that writes nothing itself is suspended or gone: that is another trouble.
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

    /// When the servers that are not silent, and that the front has heard, were last heard.
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
