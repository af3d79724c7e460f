//! The troubles that were found: those that last, and those that have ended.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};

use crate::trouble::{Trouble, TroubleKind};

/// A trouble that comes back within this time is the same one.
pub(super) const SAME_TROUBLE_WITHIN: Span = Span::from_secs(3);

/// What a trouble is known by while it lasts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TroubleKey {
    kind: TroubleKind,
    subject: String,
}

impl TroubleKey {
    fn new(kind: TroubleKind, subject: &str) -> TroubleKey {
        TroubleKey { kind, subject: subject.to_owned() }
    }
}

/// Evidence for a trouble.
pub(super) struct Finding<'a> {
    pub(super) kind: TroubleKind,
    pub(super) subject: &'a str,
    pub(super) onset: Moment,
    pub(super) confidence: f64,
    pub(super) evidence: String,
}

impl Finding<'_> {
    fn into_trouble(self, end: Option<Moment>) -> Trouble {
        let Finding { kind, subject, onset, confidence, evidence } = self;
        Trouble { kind, subject: subject.to_owned(), onset, end, confidence, evidence }
    }
}

/// All troubles so far.
#[derive(Default)]
pub(super) struct TroubleLog {
    open: BTreeMap<TroubleKey, Trouble>,
    /// When the evidence for an open trouble was last seen.
    last_seen: BTreeMap<TroubleKey, Moment>,
    closed: Vec<Trouble>,
}

impl TroubleLog {
    /// All troubles in the order of their onsets.
    pub(super) fn all(&self) -> Vec<Trouble> {
        let mut all: Vec<Trouble> = self.closed.iter().chain(self.open.values()).cloned().collect();
        all.sort_by(|a, b| (a.onset, a.kind, &a.subject).cmp(&(b.onset, b.kind, &b.subject)));
        all
    }

    pub(super) fn is_open(&self, kind: TroubleKind, subject: &str) -> bool {
        self.open.contains_key(&TroubleKey::new(kind, subject))
    }

    pub(super) fn any_open(&self, fits: impl Fn(TroubleKind) -> bool) -> bool {
        self.open.keys().any(|key| fits(key.kind))
    }

    /// Whether a trouble that fits is open, or has ended within `span` and is one of the last `count` to do so.
    pub(super) fn any_recent(
        &self,
        now: Moment,
        span: Span,
        count: usize,
        fits: impl Fn(TroubleKind) -> bool,
    ) -> bool {
        let has_just_ended = |trouble: &Trouble| trouble.end.is_some_and(|end| now.since(end) < span);
        let mut last_closed = self.closed.iter().rev().take(count);
        self.any_open(&fits) || last_closed.any(|trouble| fits(trouble.kind) && has_just_ended(trouble))
    }

    /// Whether a trouble of this subject is open, or is one of the last `count` that ended.
    pub(super) fn has(&self, kind: TroubleKind, subject: &str, count: usize) -> bool {
        let mut troubles = self.open.values().chain(self.closed.iter().rev().take(count));
        troubles.any(|trouble| trouble.kind == kind && trouble.subject == subject)
    }

    /// When the last such trouble ended.
    pub(super) fn last_end(&self, kind: TroubleKind, subject: &str) -> Option<Moment> {
        let is_same = |trouble: &&Trouble| trouble.kind == kind && trouble.subject == subject;
        self.closed.iter().rev().find(is_same).and_then(|trouble| trouble.end)
    }

    /// Evidence for a trouble that lasts.
    pub(super) fn observe(&mut self, now: Moment, finding: Finding<'_>) {
        let key = TroubleKey::new(finding.kind, finding.subject);
        self.last_seen.insert(key.clone(), now);
        if let Some(trouble) = self.open.get_mut(&key) {
            if finding.confidence > trouble.confidence {
                (trouble.confidence, trouble.evidence) = (finding.confidence, finding.evidence);
            }
            return;
        }
        let former = self.closed.iter().rposition(|trouble| {
            let is_same = trouble.kind == key.kind && trouble.subject == key.subject;
            is_same && trouble.end.is_some_and(|end| finding.onset.since(end) < SAME_TROUBLE_WITHIN)
        });
        let trouble = match former {
            Some(former) => Trouble { end: None, ..self.closed.remove(former) },
            None => finding.into_trouble(None),
        };
        self.open.insert(key, trouble);
    }

    /// An open trouble lasts although there is no new evidence.
    pub(super) fn keep_open(&mut self, now: Moment, kind: TroubleKind, subject: &str) {
        let key = TroubleKey::new(kind, subject);
        if self.open.contains_key(&key) {
            self.last_seen.insert(key, now);
        }
    }

    /// Removes an open trouble that turned out to be something else.
    pub(super) fn withdraw(&mut self, kind: TroubleKind, subject: &str) -> Option<Trouble> {
        let key = TroubleKey::new(kind, subject);
        self.last_seen.remove(&key);
        self.open.remove(&key)
    }

    /// A trouble that is known once it has ended.
    pub(super) fn record_ended(&mut self, finding: Finding<'_>, end: Moment) {
        if matches!(finding.kind, TroubleKind::FrontStalled | TroubleKind::FrontKilled) {
            // That the front heard no server is the same trouble.
            let is_same = |trouble: &Trouble| {
                trouble.kind == TroubleKind::CutOff
                    && trouble.subject == finding.subject
                    && trouble.onset + SAME_TROUBLE_WITHIN >= finding.onset
            };
            self.closed.retain(|trouble| !is_same(trouble));
            self.open.retain(|_, trouble| !is_same(trouble));
        }
        self.closed.push(finding.into_trouble(Some(end)));
    }

    /// Removes the present troubles of a kind, which are one trouble of the fleet: the onset of the first of them.
    pub(super) fn merge(&mut self, kind: TroubleKind, onset: Moment) -> Moment {
        let is_present = |trouble: &Trouble| {
            trouble.kind == kind && trouble.end.is_none_or(|end| onset.since(end) < SAME_TROUBLE_WITHIN)
        };
        let present = self.open.values().chain(&self.closed).filter(|trouble| is_present(trouble));
        let first_onset = present.map(|trouble| trouble.onset).min();
        self.closed.retain(|trouble| !is_present(trouble));
        self.open.retain(|_, trouble| !is_present(trouble));
        first_onset.map_or(onset, |first_onset| first_onset.min(onset))
    }

    /// Closes the open troubles without evidence for `span`: they ended when it was last seen.
    pub(super) fn close_expired(&mut self, now: Moment, span: Span) {
        let is_expired =
            |key: &&TroubleKey| self.last_seen.get(*key).is_none_or(|seen| now.since(*seen) >= span);
        let expired: Vec<TroubleKey> = self.open.keys().filter(is_expired).cloned().collect();
        for key in expired {
            if let Some(mut trouble) = self.open.remove(&key) {
                trouble.end = Some(self.last_seen.remove(&key).unwrap_or(now));
                self.closed.push(trouble);
            }
        }
    }
}
