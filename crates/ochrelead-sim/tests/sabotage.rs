//! Deliberate faults, one at a time: each is found within so many seeds, and shrinks to a day that still shows it.

use std::collections::{BTreeMap, BTreeSet};

use ochrelead_core::call::{Decision, Ending, Lines, ListState, Listing, Offer, Outlook, Reason, Report};
use ochrelead_core::index::{ServerIx, ServiceIx, SessionIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_day::world::Deciding;
use ochrelead_fleet::roster::Said;
use ochrelead_fleet::store::Kept;
use ochrelead_front::judge::Judge;
use ochrelead_settings::commission::Commission;
use ochrelead_sim::play::meddled;
use ochrelead_sim::schedule::{Sheet, drawn, read};
use ochrelead_sim::shrink::shrink;
use ochrelead_sim::world::{Keep, Meddler};
use test_case::test_case;

/// What is wrong with whoever decides.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    ReleaseWaitSkipped,
    DrainReadAsAdvice,
    StartForgotten,
    AnswerForgotten,
    InvitedTwice,
    TokenNotCharged,
}

/// A judge that does one thing wrong.
struct Wrong {
    fault: Fault,
    judge: Box<dyn Judge + Send>,
    again: Option<Decision>,
    invites: BTreeMap<SessionIx, u32>,
    servers: BTreeSet<ServerIx>,
}

impl Judge for Wrong {
    fn clock(&mut self, now: Moment) {
        self.judge.clock(now);
    }
    fn offered(&mut self, session: SessionIx, offer: Offer) {
        self.invites.insert(session, 0);
        self.judge.offered(session, offer);
    }
    fn stands(&mut self, session: SessionIx) {
        self.judge.stands(session);
    }
    fn ended(&mut self, session: SessionIx, server: ServerIx, ending: Ending, over: bool) {
        let waits = matches!(ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled);
        let ending = match self.fault {
            Fault::ReleaseWaitSkipped if waits && !over => Ending::BusyReplied { no_line: false, wait: None },
            _ => ending,
        };
        self.judge.ended(session, server, ending, over);
    }
    fn hung_up(&mut self, session: SessionIx) {
        self.judge.hung_up(session);
    }
    fn listed(&mut self, whole: bool, listings: &[Listing]) {
        self.servers.extend(listings.iter().map(|own| own.server));
        let listings: Vec<Listing> = listings
            .iter()
            .map(|own| {
                let ready = ListState::Ready { started: None };
                let state = match (self.fault, own.state) {
                    (Fault::DrainReadAsAdvice, ListState::Draining) => ready,
                    (Fault::StartForgotten, ListState::Ready { .. }) => ready,
                    (_, state) => state,
                };
                Listing { state, ..*own }
            })
            .collect();
        self.judge.listed(whole, &listings);
    }
    fn served(&mut self, service: ServiceIx, servers: &[i64]) {
        self.judge.served(service, servers);
    }
    fn lines_told(&mut self, server: ServerIx, lines: Lines) {
        self.judge.lines_told(server, lines);
    }
    fn reported(&mut self, server: ServerIx, report: Report) {
        self.judge.reported(server, report);
    }
    fn decide(&mut self) -> Option<Decision> {
        if let Some(again) = self.again.take() {
            return Some(again);
        }
        let decision = self.judge.decide()?;
        match (self.fault, decision) {
            (Fault::AnswerForgotten, Decision::Refuse { .. } | Decision::Terminate { .. }) => self.decide(),
            (Fault::InvitedTwice, Decision::Invite { .. }) => {
                self.again = Some(decision);
                Some(decision)
            }
            (Fault::TokenNotCharged, Decision::Refuse { session, .. }) => {
                let invites = self.invites.entry(session).or_insert(0);
                *invites += 1;
                let server = self.servers.first().copied().filter(|_| *invites < 8);
                Some(server.map_or(decision, |server| Decision::Invite { session, server, patience: None }))
            }
            _ => Some(decision),
        }
    }
    fn wake(&mut self) -> Option<Moment> {
        self.judge.wake()
    }
    fn why(&self) -> Option<Reason> {
        self.judge.why()
    }
    fn outlook(&self, server: ServerIx) -> Option<Outlook> {
        self.judge.outlook(server)
    }
}

struct Misjudged(Fault);

impl Meddler for Misjudged {
    fn judge(&self, judge: Box<dyn Judge + Send>) -> Box<dyn Judge + Send> {
        let (again, invites, servers) = (None, BTreeMap::new(), BTreeSet::new());
        Box::new(Wrong { fault: self.0, judge, again, invites, servers })
    }
}

/// What is wrong on the wire, in the settings or on the disk.
#[derive(Clone, Copy, PartialEq)]
enum Slip {
    AnsweredTwice,
    ReleasesDropped,
    HangUpsDropped,
    RestartsDropped,
    SaidForgotten,
    PatienceNotRead,
    KeptTooShort,
    StateForgotten,
}

struct Slipped(Slip);

fn replaced(bytes: &[u8], from: &str, to: &str) -> Vec<u8> {
    String::from_utf8_lossy(bytes).replacen(from, to, 1).into_bytes()
}

impl Meddler for Slipped {
    fn commission(&self, commission: &mut Commission) {
        if self.0 == Slip::KeptTooShort {
            commission.pace.kept = Span::from_millis(1);
        }
    }

    fn sends(&mut self, _front: usize, bytes: Vec<u8>) -> Vec<Vec<u8>> {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        match self.0 {
            Slip::AnsweredTwice if text.starts_with("MDCX ") => {
                let again = replaced(&bytes, "MDCX ", "MDCX 9");
                vec![bytes, again]
            }
            Slip::ReleasesDropped if text.starts_with("DLCX ") && text.contains("trunk/") => vec![],
            _ => vec![bytes],
        }
    }

    fn hears(&mut self, _front: usize, bytes: Vec<u8>) -> Option<Vec<u8>> {
        let text = String::from_utf8_lossy(&bytes);
        let lost = match self.0 {
            Slip::HangUpsDropped => text.starts_with("NTFY ") && text.contains("L/hu"),
            Slip::RestartsDropped => text.starts_with("RSIP ") && text.contains("graceful"),
            _ => false,
        };
        if self.0 == Slip::PatienceNotRead {
            return Some(replaced(&bytes, "X-Patience:", "X-Passed-Over:"));
        }
        (!lost).then_some(bytes)
    }

    fn recalls(&self, kept: Option<Kept>) -> Option<Kept> {
        let mut kept = kept.filter(|_| self.0 != Slip::StateForgotten)?;
        if self.0 == Slip::SaidForgotten {
            kept.servers.iter_mut().for_each(|(_, said)| *said = Said::Nothing);
        }
        Some(kept)
    }
}

/// The first seed that shows it, and by what.
fn found(meddler: impl Fn() -> Box<dyn Meddler>, most: u64) -> Option<(u64, String)> {
    (0..most).find_map(|seed| Some((seed, broken(&drawn(seed), &meddler)?)))
}

fn broken(sheet: &Sheet, meddler: &impl Fn() -> Box<dyn Meddler>) -> Option<String> {
    let keep = Keep { sights: true, ..Keep::default() };
    let day = read(sheet).ok()?;
    meddled(&day, Deciding::Module, keep, meddler()).unwrap().violation.map(|own| own.kind)
}

fn is_found(meddler: impl Fn() -> Box<dyn Meddler>, most: u64, kinds: &[&str]) {
    let Some((seed, kind)) = found(&meddler, most) else { panic!("not found in {most} seeds") };
    assert!(kinds.contains(&kind.as_str()), "seed {seed}: found as {kind}");
    let whole = drawn(seed);
    let same = |sheet: &Sheet| broken(sheet, &meddler).as_ref() == Some(&kind);
    let (least, _) = shrink(&whole, 40, same);
    assert!(least.trouble.len() <= whole.trouble.len() && same(&least), "it still shows");
}

#[test_case(Fault::ReleaseWaitSkipped, 60, &["rule 5"]; "the release wait is skipped")]
#[test_case(Fault::DrainReadAsAdvice, 60, &["rule 3"]; "a drain is read as advice")]
#[test_case(Fault::StartForgotten, 600, &["rule 4"]; "a server's start is forgotten")]
#[test_case(Fault::AnswerForgotten, 40, &["books"]; "a session is never answered")]
#[test_case(Fault::InvitedTwice, 5, &["rule 2", "books"]; "two INVITEs are out at once")]
#[test_case(Fault::TokenNotCharged, 40, &["books", "rule 3", "rule 5"]; "re-sends are not charged")]
fn a_fault_of_whoever_decides(fault: Fault, most: u64, kinds: &[&str]) {
    is_found(|| Box::new(Misjudged(fault)), most, kinds);
}

#[test_case(Slip::AnsweredTwice, 10, &["rule 1"]; "an answer is sent twice")]
#[test_case(Slip::ReleasesDropped, 20, &["circuits"]; "releases are not sent")]
#[test_case(Slip::HangUpsDropped, 20, &["rule 1", "circuits"]; "hang ups are not read")]
#[test_case(Slip::RestartsDropped, 60, &["rule 3"]; "a server's leave is not read")]
#[test_case(Slip::KeptTooShort, 200, &["rule 1", "rule 2", "books", "circuits"]; "answers are kept too short")]
#[test_case(Slip::PatienceNotRead, 400, &["rule 1", "circuits"]; "how long a caller waits is not read")]
#[test_case(Slip::SaidForgotten, 400, &["rule 3", "rule 4"]; "what servers had said is not read")]
#[test_case(Slip::StateForgotten, 400, &["rule 3", "rule 4"]; "what was kept is not read")]
fn a_fault_on_the_way(slip: Slip, most: u64, kinds: &[&str]) {
    is_found(|| Box::new(Slipped(slip)), most, kinds);
}
