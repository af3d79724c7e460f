//! Deliberate mutations, one at a time: each is found within so many seeds, and shrinks to a scenario that still shows
//! it.

mod faulty_policy;

use ochrelead_config::front_config::FrontConfig;
use ochrelead_core::time::Span;
use ochrelead_discovery::persistence::PersistedEndpoints;
use ochrelead_discovery::server_table::SelfReport;
use ochrelead_host::call_policy::CallPolicy;
use ochrelead_scenario::policy::PolicyKind;
use ochrelead_sim::generator::{ScenarioFile, generate, parse};
use ochrelead_sim::mutation::Mutation;
use ochrelead_sim::run::run_mutated;
use ochrelead_sim::shrink::shrink;
use ochrelead_sim::world::RecordingOptions;
use test_case::test_case;

use faulty_policy::{FaultyPolicy, PolicyFault};

/// The most scenarios that are tried for a smaller one.
const MAX_SHRINK_TRIES: usize = 40;

struct PolicyMutation(PolicyFault);

impl Mutation for PolicyMutation {
    fn wrap_policy(&self, policy: Box<dyn CallPolicy + Send>) -> Box<dyn CallPolicy + Send> {
        Box::new(FaultyPolicy::new(self.0, policy))
    }
}

/// What is wrong on the wire, in the settings or on the disk.
#[derive(Clone, Copy, PartialEq)]
enum EnvironmentFault {
    AnsweredTwice,
    ReleasesDropped,
    HangUpsDropped,
    RestartsDropped,
    AnnouncementsForgotten,
    PatienceNotRead,
    AnswersKeptTooShort,
    StateForgotten,
}

struct EnvironmentMutation(EnvironmentFault);

fn replaced(bytes: &[u8], from: &str, to: &str) -> Vec<u8> {
    String::from_utf8_lossy(bytes).replacen(from, to, 1).into_bytes()
}

impl Mutation for EnvironmentMutation {
    fn change_config(&self, config: &mut FrontConfig) {
        if self.0 == EnvironmentFault::AnswersKeptTooShort {
            config.transactions.history_duration = Span::from_millis(1);
        }
    }

    fn on_send(&mut self, _front: usize, bytes: Vec<u8>) -> Vec<Vec<u8>> {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        match self.0 {
            EnvironmentFault::AnsweredTwice if text.starts_with("MDCX ") => {
                let repeated = replaced(&bytes, "MDCX ", "MDCX 9");
                vec![bytes, repeated]
            }
            EnvironmentFault::ReleasesDropped if text.starts_with("DLCX ") && text.contains("trunk/") => {
                vec![]
            }
            _ => vec![bytes],
        }
    }

    fn on_receive(&mut self, _front: usize, bytes: Vec<u8>) -> Option<Vec<u8>> {
        let text = String::from_utf8_lossy(&bytes);
        let lost = match self.0 {
            EnvironmentFault::HangUpsDropped => text.starts_with("NTFY ") && text.contains("L/hu"),
            EnvironmentFault::RestartsDropped => text.starts_with("RSIP ") && text.contains("graceful"),
            _ => false,
        };
        if self.0 == EnvironmentFault::PatienceNotRead {
            return Some(replaced(&bytes, "X-Patience:", "X-Passed-Over:"));
        }
        (!lost).then_some(bytes)
    }

    fn on_restore(&self, persisted: Option<PersistedEndpoints>) -> Option<PersistedEndpoints> {
        let mut persisted = persisted.filter(|_| self.0 != EnvironmentFault::StateForgotten)?;
        if self.0 == EnvironmentFault::AnnouncementsForgotten {
            persisted.servers.iter_mut().for_each(|server| server.self_report = SelfReport::None);
        }
        Some(persisted)
    }
}

/// The kind of the first violation in a scenario, as it is printed.
fn violation_kind(scenario: &ScenarioFile, mutation: Box<dyn Mutation>) -> Option<String> {
    let options = RecordingOptions { datagrams: true, ..RecordingOptions::default() };
    let outcome = run_mutated(&parse(scenario).ok()?, PolicyKind::Controller, options, mutation).unwrap();
    outcome.violation.map(|violation| violation.kind().to_string())
}

/// One of the first seeds shows one of these kinds of violation, and still does when it is shrunk.
fn assert_found(mutation: impl Fn() -> Box<dyn Mutation>, max_seeds: u64, kinds: &[&str]) {
    let first = (0..max_seeds).find_map(|seed| Some((seed, violation_kind(&generate(seed), mutation())?)));
    let Some((seed, kind)) = first else { panic!("not found in {max_seeds} seeds") };
    assert!(kinds.contains(&kind.as_str()), "seed {seed}: found as {kind}");
    let whole = generate(seed);
    let reproduces = |scenario: &ScenarioFile| violation_kind(scenario, mutation()).as_ref() == Some(&kind);
    let smallest = shrink(&whole, MAX_SHRINK_TRIES, reproduces).scenario;
    assert!(smallest.trouble.len() <= whole.trouble.len() && reproduces(&smallest), "it still shows");
}

#[test_case(PolicyFault::ReleaseWaitSkipped, 60, &["rule 5"]; "the release wait is skipped")]
#[test_case(PolicyFault::DrainReadAsAdvice, 60, &["rule 3"]; "a drain is read as advice")]
#[test_case(PolicyFault::StartForgotten, 600, &["rule 4"]; "a server's start is forgotten")]
#[test_case(PolicyFault::AnswerForgotten, 40, &["books"]; "a session is never answered")]
#[test_case(PolicyFault::InvitedTwice, 5, &["rule 2", "books"]; "two INVITEs are out at once")]
#[test_case(PolicyFault::TokenNotCharged, 40, &["books", "rule 3", "rule 5"]; "re-sends are not charged")]
fn a_fault_of_the_policy(fault: PolicyFault, max_seeds: u64, kinds: &[&str]) {
    assert_found(|| Box::new(PolicyMutation(fault)), max_seeds, kinds);
}

#[test_case(EnvironmentFault::AnsweredTwice, 10, &["rule 1"]; "an answer is sent twice")]
#[test_case(EnvironmentFault::ReleasesDropped, 20, &["circuits"]; "releases are not sent")]
#[test_case(EnvironmentFault::HangUpsDropped, 20, &["rule 1", "circuits"]; "hang ups are not read")]
#[test_case(EnvironmentFault::RestartsDropped, 60, &["rule 3"]; "a server's leave is not read")]
#[test_case(EnvironmentFault::AnswersKeptTooShort, 200, &["rule 1", "rule 2", "books", "circuits"]; "answers are kept too short")]
#[test_case(EnvironmentFault::PatienceNotRead, 400, &["rule 1", "circuits"]; "how long a caller waits is not read")]
#[test_case(EnvironmentFault::AnnouncementsForgotten, 400, &["rule 3", "rule 4"]; "what servers had said is not read")]
#[test_case(EnvironmentFault::StateForgotten, 400, &["rule 3", "rule 4"]; "what was kept is not read")]
fn a_fault_of_the_environment(fault: EnvironmentFault, max_seeds: u64, kinds: &[&str]) {
    assert_found(|| Box::new(EnvironmentMutation(fault)), max_seeds, kinds);
}
