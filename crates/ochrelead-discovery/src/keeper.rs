//! From what was read to what is in force. Every reading is whole; a bad one changes nothing.

use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_core::time::{Moment, Span};

use crate::adopt::{self, Change, Verdict};
use crate::counters::Tallies;
use crate::sheet::{self, Fleet, Page};

/// A reading that is refused is told only when it is still there after this: a file that is being written
/// is broken for a moment.
const PATIENCE: Span = Span::from_millis(150);

/// What the host is to do or to log.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// These servers are the list from now on.
    Adopt { servers: Vec<ServerEndpoint>, generation: u64, changes: Vec<(String, Change)> },
    /// One line for the log.
    Complain(String),
}

/// The course of a fleet.
pub struct Keeper {
    services: Vec<String>,
    in_force: Fleet,
    adopted_at: Option<Moment>,
    last: Vec<Page>,
    /// What is wrong with the last reading, and since when; told once.
    wrong: Option<(Moment, Vec<String>)>,
    tallies: Tallies,
}

impl Keeper {
    /// `kept`: the fleet that was in force in a former life.
    pub fn new(services: Vec<String>, kept: Option<Fleet>) -> Keeper {
        Keeper {
            services,
            in_force: kept.unwrap_or_default(),
            adopted_at: None,
            last: Vec::new(),
            wrong: None,
            tallies: Tallies::default(),
        }
    }

    /// All files as they were read at once.
    pub fn read(&mut self, now: Moment, pages: Vec<Page>) -> Option<Outcome> {
        if pages == self.last {
            return self.told(now);
        }
        self.tallies.readings += 1;
        let joined = if pages.is_empty() {
            Err(vec!["no fleet file is there".to_owned()])
        } else {
            sheet::join(&pages, &self.services)
                .map_err(|complaints| complaints.iter().map(ToString::to_string).collect())
        };
        self.last = pages;
        let (reason, wrong) = match joined {
            Ok(candidate) => match adopt::judge(&self.in_force, &candidate) {
                Verdict::Same => {
                    self.wrong = None;
                    return None;
                }
                Verdict::Adopted(changes) => return Some(self.adopt(now, candidate, changes)),
                Verdict::Held { leaving, share } => {
                    let percent = share * 100.0;
                    let names = leaving.join(", ");
                    (
                        "held",
                        vec![format!(
                            "held: {percent:.0} in 100 of the capacity would leave at once; where that is meant, \
                         confirm {names}"
                        )],
                    )
                }
                Verdict::Refused(refusal) => (refusal.name(), vec![refusal.to_string()]),
            },
            Err(wrong) => ("unsound", wrong),
        };
        self.tallies.refused(reason);
        self.wrong = Some((now, wrong));
        None
    }

    fn adopt(&mut self, now: Moment, fleet: Fleet, changes: Vec<(String, Change)>) -> Outcome {
        self.wrong = None;
        self.adopted_at = Some(now);
        self.tallies.adopted(&changes);
        let (servers, generation) = (fleet.servers.clone(), fleet.generation());
        self.in_force = fleet;
        Outcome::Adopt { servers, generation, changes }
    }

    /// What is wrong with the last reading, once it has stood long enough.
    pub fn told(&mut self, now: Moment) -> Option<Outcome> {
        let (since, _) = self.wrong.as_ref()?;
        if now.since(*since) < PATIENCE {
            return None;
        }
        let (_, lines) = self.wrong.take()?;
        Some(Outcome::Complain(lines.join("; ")))
    }

    /// When [`Keeper::told`] has something to say.
    pub fn wake(&self) -> Option<Moment> {
        self.wrong.as_ref().map(|(since, _)| *since + PATIENCE)
    }

    pub fn in_force(&self) -> &Fleet {
        &self.in_force
    }

    /// How long the fleet has been in force; none where it is from a former life or there is none.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.adopted_at.map(|at| now.since(at))
    }

    pub fn tallies(&self) -> &Tallies {
        &self.tallies
    }
}
