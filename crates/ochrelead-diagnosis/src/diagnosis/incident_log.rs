//! Keeps the detected incidents, open and closed.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};

use crate::incident::{Incident, IncidentKind};

/// An incident that recurs within this time after its end is the same incident and is reopened.
pub(super) const INCIDENT_MERGE_GAP: Span = Span::from_secs(3);

/// Identifies an open incident.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IncidentKey {
    kind: IncidentKind,
    subject: String,
}

impl IncidentKey {
    fn new(kind: IncidentKind, subject: &str) -> IncidentKey {
        IncidentKey { kind, subject: subject.to_owned() }
    }
}

/// A detected condition with its evidence. Opens an incident or updates an open one.
pub(super) struct Finding<'a> {
    pub(super) kind: IncidentKind,
    pub(super) subject: &'a str,
    pub(super) onset: Moment,
    pub(super) confidence: f64,
    pub(super) evidence: String,
}

impl Finding<'_> {
    fn into_incident(self, end: Option<Moment>) -> Incident {
        let Finding { kind, subject, onset, confidence, evidence } = self;
        Incident { kind, subject: subject.to_owned(), onset, end, confidence, evidence }
    }
}

/// All incidents so far.
#[derive(Default)]
pub(super) struct IncidentLog {
    open: BTreeMap<IncidentKey, Incident>,
    /// When the last evidence of each open incident was seen.
    last_seen: BTreeMap<IncidentKey, Moment>,
    /// Closed incidents, in the order in which they were closed.
    closed: Vec<Incident>,
}

impl IncidentLog {
    /// All incidents in the order of their onsets.
    pub(super) fn sorted_by_onset(&self) -> Vec<Incident> {
        let mut sorted: Vec<Incident> = self.closed.iter().chain(self.open.values()).cloned().collect();
        sorted.sort_by(|a, b| (a.onset, a.kind, &a.subject).cmp(&(b.onset, b.kind, &b.subject)));
        sorted
    }

    pub(super) fn is_open(&self, kind: IncidentKind, subject: &str) -> bool {
        self.open.contains_key(&IncidentKey::new(kind, subject))
    }

    pub(super) fn any_open(&self, matches_kind: impl Fn(IncidentKind) -> bool) -> bool {
        self.open.keys().any(|key| matches_kind(key.kind))
    }

    /// Whether an incident of a matching kind is open, or is among the last `count` closed ones and ended less than
    /// `span` ago.
    pub(super) fn any_recent(
        &self,
        now: Moment,
        span: Span,
        count: usize,
        matches_kind: impl Fn(IncidentKind) -> bool,
    ) -> bool {
        let has_just_ended = |incident: &Incident| incident.end.is_some_and(|end| now.since(end) < span);
        let mut last_closed = self.closed.iter().rev().take(count);
        self.any_open(&matches_kind)
            || last_closed.any(|incident| matches_kind(incident.kind) && has_just_ended(incident))
    }

    /// Whether such an incident is open or among the last `count` closed ones.
    pub(super) fn is_open_or_last_closed(&self, kind: IncidentKind, subject: &str, count: usize) -> bool {
        let mut incidents = self.open.values().chain(self.closed.iter().rev().take(count));
        incidents.any(|incident| incident.kind == kind && incident.subject == subject)
    }

    /// The end of the last closed incident of this kind and subject.
    pub(super) fn last_end(&self, kind: IncidentKind, subject: &str) -> Option<Moment> {
        let is_same = |incident: &&Incident| incident.kind == kind && incident.subject == subject;
        self.closed.iter().rev().find(is_same).and_then(|incident| incident.end)
    }

    /// Records evidence of an ongoing incident: updates the open incident, reopens a recently closed one or opens a
    /// new one.
    pub(super) fn observe(&mut self, now: Moment, finding: Finding<'_>) {
        let key = IncidentKey::new(finding.kind, finding.subject);
        self.last_seen.insert(key.clone(), now);
        if let Some(incident) = self.open.get_mut(&key) {
            if finding.confidence > incident.confidence {
                (incident.confidence, incident.evidence) = (finding.confidence, finding.evidence);
            }
            return;
        }
        let reopened = self.closed.iter().rposition(|incident| {
            let is_same = incident.kind == key.kind && incident.subject == key.subject;
            is_same && incident.end.is_some_and(|end| finding.onset.since(end) < INCIDENT_MERGE_GAP)
        });
        let incident = match reopened {
            Some(reopened) => Incident { end: None, ..self.closed.remove(reopened) },
            None => finding.into_incident(None),
        };
        self.open.insert(key, incident);
    }

    /// Keeps an open incident from expiring although there is no new evidence.
    pub(super) fn keep_open(&mut self, now: Moment, kind: IncidentKind, subject: &str) {
        let key = IncidentKey::new(kind, subject);
        if self.open.contains_key(&key) {
            self.last_seen.insert(key, now);
        }
    }

    /// Removes and returns an open incident that turned out to have another cause.
    pub(super) fn withdraw(&mut self, kind: IncidentKind, subject: &str) -> Option<Incident> {
        let key = IncidentKey::new(kind, subject);
        self.last_seen.remove(&key);
        self.open.remove(&key)
    }

    /// Records an incident that is detected only after its end.
    pub(super) fn record_ended(&mut self, finding: Finding<'_>, end: Moment) {
        if matches!(finding.kind, IncidentKind::FrontStalled | IncidentKind::FrontKilled) {
            // The same cause was reported as a front that hears from no server: replace that report.
            let is_same = |incident: &Incident| {
                incident.kind == IncidentKind::CutOff
                    && incident.subject == finding.subject
                    && incident.onset + INCIDENT_MERGE_GAP >= finding.onset
            };
            self.closed.retain(|incident| !is_same(incident));
            self.open.retain(|_, incident| !is_same(incident));
        }
        self.closed.push(finding.into_incident(Some(end)));
    }

    /// Removes the open and recently closed incidents of a kind, to merge them into one incident of the whole fleet.
    /// Returns the earliest of their onsets and `onset`.
    pub(super) fn take_earliest_onset(&mut self, kind: IncidentKind, onset: Moment) -> Moment {
        let is_current = |incident: &Incident| {
            incident.kind == kind && incident.end.is_none_or(|end| onset.since(end) < INCIDENT_MERGE_GAP)
        };
        let current = self.open.values().chain(&self.closed).filter(|incident| is_current(incident));
        let first_onset = current.map(|incident| incident.onset).min();
        self.closed.retain(|incident| !is_current(incident));
        self.open.retain(|_, incident| !is_current(incident));
        first_onset.map_or(onset, |first_onset| first_onset.min(onset))
    }

    /// Closes the open incidents without evidence for `span`. Their end is the time of their last evidence.
    pub(super) fn close_expired(&mut self, now: Moment, span: Span) {
        let is_expired =
            |key: &&IncidentKey| self.last_seen.get(*key).is_none_or(|seen| now.since(*seen) >= span);
        let expired: Vec<IncidentKey> = self.open.keys().filter(is_expired).cloned().collect();
        for key in expired {
            if let Some(mut incident) = self.open.remove(&key) {
                incident.end = Some(self.last_seen.remove(&key).unwrap_or(now));
                self.closed.push(incident);
            }
        }
    }
}
