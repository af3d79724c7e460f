//! Mutation tests of the simulation: each deliberate fault is detected within a given number of seeds, and the failing
//! scenario shrinks to one that still reproduces the violation.

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

/// Maximum number of scenarios that shrinking tries.
const MAX_SHRINK_TRIES: usize = 40;

struct PolicyMutation(PolicyFault);

impl Mutation for PolicyMutation {
    fn wrap_policy(&self, policy: Box<dyn CallPolicy + Send>) -> Box<dyn CallPolicy + Send> {
        Box::new(FaultyPolicy::new(self.0, policy))
    }
}

/// A deliberate fault in the datagrams, the configuration or the persisted state of a front.
#[derive(Clone, Copy, PartialEq)]
enum EnvironmentFault {
    /// Every answer to a caller (MDCX) is sent a second time with another transaction id.
    AnswerSentTwice,
    /// Releases (DLCX) of established calls are not sent to servers.
    ReleasesDropped,
    /// Hang-ups of callers (NTFY with `L/hu`) are not received.
    HangUpsDropped,
    /// Drain announcements of servers (RSIP `graceful`) are not received.
    DrainAnnouncementsDropped,
    /// The self-reports of servers are not restored at a front's start.
    SelfReportsNotRestored,
    /// The caller's patience header is not recognized.
    PatienceIgnored,
    /// Responses are kept for retransmitted commands for 1 ms only.
    ResponseHistoryTooShort,
    /// No persisted state is restored at a front's start.
    StateNotRestored,
}

struct EnvironmentMutation(EnvironmentFault);

/// Returns the datagram with the first occurrence of `from` replaced by `to`.
fn replaced(bytes: &[u8], from: &str, to: &str) -> Vec<u8> {
    String::from_utf8_lossy(bytes).replacen(from, to, 1).into_bytes()
}

impl Mutation for EnvironmentMutation {
    fn change_config(&self, config: &mut FrontConfig) {
        if self.0 == EnvironmentFault::ResponseHistoryTooShort {
            config.transactions.history_duration = Span::from_millis(1);
        }
    }

    fn on_send(&mut self, _front: usize, bytes: Vec<u8>) -> Vec<Vec<u8>> {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        match self.0 {
            EnvironmentFault::AnswerSentTwice if text.starts_with("MDCX ") => {
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
        let is_dropped = match self.0 {
            EnvironmentFault::HangUpsDropped => text.starts_with("NTFY ") && text.contains("L/hu"),
            EnvironmentFault::DrainAnnouncementsDropped => {
                text.starts_with("RSIP ") && text.contains("graceful")
            }
            _ => false,
        };
        if self.0 == EnvironmentFault::PatienceIgnored {
            return Some(replaced(&bytes, "X-Patience:", "X-Passed-Over:"));
        }
        (!is_dropped).then_some(bytes)
    }

    fn on_restore(&self, persisted: Option<PersistedEndpoints>) -> Option<PersistedEndpoints> {
        let mut persisted = persisted.filter(|_| self.0 != EnvironmentFault::StateNotRestored)?;
        if self.0 == EnvironmentFault::SelfReportsNotRestored {
            persisted.servers.iter_mut().for_each(|server| server.self_report = SelfReport::None);
        }
        Some(persisted)
    }
}

/// Returns the printed kind of the first violation of a scenario.
fn violation_kind(scenario: &ScenarioFile, mutation: Box<dyn Mutation>) -> Option<String> {
    let options = RecordingOptions { datagrams: true, ..RecordingOptions::default() };
    let outcome = run_mutated(&parse(scenario).ok()?, PolicyKind::Controller, options, mutation).unwrap();
    outcome.violation.map(|violation| violation.kind().to_string())
}

/// Asserts that one of the first `max_seeds` seeds violates an invariant, that the first such violation is of one of
/// `kinds`, and that the shrunk scenario reproduces it.
fn assert_detected(mutation: impl Fn() -> Box<dyn Mutation>, max_seeds: u64, kinds: &[&str]) {
    let first = (0..max_seeds).find_map(|seed| Some((seed, violation_kind(&generate(seed), mutation())?)));
    let Some((seed, kind)) = first else { panic!("mutation not detected in {max_seeds} seeds") };
    assert!(kinds.contains(&kind.as_str()), "seed {seed}: detected as {kind}, expected one of {kinds:?}");
    let original = generate(seed);
    let reproduces = |scenario: &ScenarioFile| violation_kind(scenario, mutation()).as_ref() == Some(&kind);
    let smallest = shrink(&original, MAX_SHRINK_TRIES, reproduces).scenario;
    assert!(
        smallest.trouble.len() <= original.trouble.len() && reproduces(&smallest),
        "seed {seed}: the shrunk scenario does not reproduce {kind}"
    );
}

#[test_case(PolicyFault::ReleaseWaitSkipped, 60, &["rule 5"]; "release wait skipped")]
#[test_case(PolicyFault::DrainIgnored, 60, &["rule 3"]; "drain ignored")]
#[test_case(PolicyFault::StartTimeIgnored, 600, &["rule 4"]; "start time of a server ignored")]
#[test_case(PolicyFault::FinalAnswerOmitted, 40, &["books"]; "final answer omitted")]
#[test_case(PolicyFault::ConcurrentInvites, 5, &["rule 2", "books"]; "two concurrent INVITEs")]
#[test_case(PolicyFault::RetryBudgetBypassed, 40, &["books", "rule 3", "rule 5"]; "retry budget bypassed")]
fn faulty_policy_is_detected(fault: PolicyFault, max_seeds: u64, kinds: &[&str]) {
    assert_detected(|| Box::new(PolicyMutation(fault)), max_seeds, kinds);
}

#[test_case(EnvironmentFault::AnswerSentTwice, 10, &["rule 1"]; "answer sent twice")]
#[test_case(EnvironmentFault::ReleasesDropped, 20, &["circuits"]; "releases not sent")]
#[test_case(EnvironmentFault::HangUpsDropped, 20, &["rule 1", "circuits"]; "hang-ups not received")]
#[test_case(EnvironmentFault::DrainAnnouncementsDropped, 60, &["rule 3"]; "drain announcements not received")]
#[test_case(EnvironmentFault::ResponseHistoryTooShort, 200, &["rule 1", "rule 2", "books", "circuits"]; "response history too short")]
#[test_case(EnvironmentFault::PatienceIgnored, 400, &["rule 1", "circuits"]; "caller patience ignored")]
#[test_case(EnvironmentFault::SelfReportsNotRestored, 400, &["rule 3", "rule 4"]; "self-reports not restored")]
#[test_case(EnvironmentFault::StateNotRestored, 400, &["rule 3", "rule 4"]; "persisted state not restored")]
fn faulty_environment_is_detected(fault: EnvironmentFault, max_seeds: u64, kinds: &[&str]) {
    assert_detected(|| Box::new(EnvironmentMutation(fault)), max_seeds, kinds);
}
