//! What must balance, whatever happens: after every step at each front, and at the end of a day everywhere.

use std::collections::BTreeMap;
use std::fmt;

use ochrelead_core::time::{Moment, Span};
use ochrelead_front::events::SessionStep;

/// Something that must never be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which event of the day showed it.
    pub step: u64,
    pub at: Moment,
    /// A word for its kind: shrinking keeps to it.
    pub kind: String,
    /// The try, front or server concerned.
    pub of: String,
    pub how: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = self.at.micros() as f64 / 1e3;
        write!(f, "{} by {} at {ms:.3} ms (step {}): {}", self.kind, self.of, self.step, self.how)
    }
}

/// Where a session is, as the front's own notes have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Waiting,
    Inviting,
    Standing,
}

/// The books of one life of a front, kept from its notes alone.
#[derive(Clone, Debug, Default)]
pub struct Books {
    held: BTreeMap<String, (Place, u32)>,
    /// Sessions for which nothing is under way, and since when.
    waiting: BTreeMap<String, Moment>,
    pub taken: u64,
    /// Sessions with a final answer.
    pub answered: u64,
    /// INVITEs after a session's first.
    pub resends: u64,
}

impl Books {
    /// A note of a session. What it may not be is said.
    pub fn note(
        &mut self,
        now: Moment,
        tried: &str,
        step: &SessionStep,
        most_invites: u32,
    ) -> Result<(), String> {
        let noted = self.step(tried, step, most_invites);
        match self.held.get(tried) {
            Some((Place::Waiting, _)) => drop(self.waiting.entry(tried.to_owned()).or_insert(now)),
            _ => drop(self.waiting.remove(tried)),
        }
        noted
    }

    /// A session for which nothing has been under way for longer than `most`: given up ones are answered at once.
    pub fn forgotten(&self, now: Moment, most: Span) -> Option<&str> {
        self.waiting.iter().find(|(_, since)| now.since(**since) > most).map(|(tried, _)| tried.as_str())
    }

    fn step(&mut self, tried: &str, step: &SessionStep, most_invites: u32) -> Result<(), String> {
        let place = self.held.get(tried).map(|(place, _)| *place);
        let fault = |what: &str| Err(format!("{what} while {place:?}"));
        match step {
            SessionStep::Accepted { .. } if place.is_some() => return fault("taken"),
            SessionStep::Accepted { .. } => {
                self.taken += 1;
                self.held.insert(tried.to_owned(), (Place::Waiting, 0));
            }
            SessionStep::Invited { attempt: nth, .. } => {
                let Some((place, invites)) = self.held.get_mut(tried) else { return fault("INVITE") };
                *invites += 1;
                if *place != Place::Waiting || *invites != *nth {
                    let (place, invites) = (*place, *invites);
                    return Err(format!("INVITE {nth} while {place:?}, the {invites}th"));
                }
                if *invites > most_invites {
                    return Err(format!("{invites} INVITEs where {most_invites} are the most"));
                }
                self.resends += u64::from(*invites > 1);
                *place = Place::Inviting;
            }
            SessionStep::InviteEnded { .. } => match self.held.get_mut(tried) {
                Some((place @ Place::Inviting, _)) => *place = Place::Waiting,
                _ => return fault("an INVITE ended"),
            },
            SessionStep::Established { .. } => match self.held.get_mut(tried) {
                Some((place @ Place::Inviting, _)) => {
                    *place = Place::Standing;
                    self.answered += 1;
                }
                _ => return fault("stands"),
            },
            SessionStep::Rejected { .. } => {
                if !matches!(place, Some(Place::Waiting | Place::Inviting)) {
                    return fault("given up");
                }
                self.answered += 1;
                self.held.remove(tried);
            }
            SessionStep::CallerGone { .. } => {
                if !matches!(place, Some(Place::Waiting | Place::Inviting)) {
                    return fault("hung up");
                }
                self.held.remove(tried);
            }
            SessionStep::CutByServer { .. } | SessionStep::Released { .. } => {
                if place != Some(Place::Standing) {
                    return fault("ended");
                }
                self.held.remove(tried);
            }
            SessionStep::UnclaimedCallReleased { .. } => {}
        }
        Ok(())
    }

    /// Sessions held.
    pub fn held(&self) -> usize {
        self.held.len()
    }
}
