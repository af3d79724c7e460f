//! Deliberate faults, one at a time: each is found within so many seeds, and shrinks to a day that still shows it.

mod wrong;

use ochrelead_config::front_config::FrontConfig;
use ochrelead_core::time::Span;
use ochrelead_discovery::persistence::PersistedEndpoints;
use ochrelead_discovery::server_table::SelfReport;
use ochrelead_host::call_policy::CallPolicy;
use ochrelead_scenario::policy::PolicyKind;
use ochrelead_sim::play::meddled;
use ochrelead_sim::schedule::{Sheet, drawn, read};
use ochrelead_sim::shrink::shrink;
use ochrelead_sim::world::{Keep, Meddler};
use test_case::test_case;
use wrong::{Fault, Wrong};

struct Misjudged(Fault);

impl Meddler for Misjudged {
    fn judge(&self, judge: Box<dyn CallPolicy + Send>) -> Box<dyn CallPolicy + Send> {
        Box::new(Wrong::new(self.0, judge))
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
    fn commission(&self, commission: &mut FrontConfig) {
        if self.0 == Slip::KeptTooShort {
            commission.transactions.history_duration = Span::from_millis(1);
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

    fn recalls(&self, kept: Option<PersistedEndpoints>) -> Option<PersistedEndpoints> {
        let mut kept = kept.filter(|_| self.0 != Slip::StateForgotten)?;
        if self.0 == Slip::SaidForgotten {
            kept.servers.iter_mut().for_each(|server| server.self_report = SelfReport::None);
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
    meddled(&day, PolicyKind::Controller, keep, meddler()).unwrap().violation.map(|own| own.kind)
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
