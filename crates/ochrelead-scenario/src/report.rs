//! The reports that the program prints.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::incident::{Incident, IncidentKind};
use ochrelead_scenario::audit::{Rule, ServiceLevel, Verdict};
use ochrelead_scenario::detection::{DetectionResult, DetectionTally, ExpectedFault};
use ochrelead_scenario::load::{FLEET_SESSIONS_PER_S, LoadStep, Subject};
use ochrelead_scenario::policy::PolicyKind;

/// The maximum number of violations that are printed individually.
const MAX_VIOLATIONS: usize = 20;

/// Prints the result for each rule, the drain delays and overflow if measured, and the first violations.
pub(crate) fn print_verdict(verdict: &Verdict) {
    let ServiceLevel { offered, established, cut, .. } = &verdict.service_level;
    println!("{offered} callers, {established} established, {cut} of them cut; on emulated servers\n");
    for rule in Rule::ALL {
        print_rule(verdict, rule);
    }
    if !verdict.drain_delays.is_empty() {
        print_drain_delays(&verdict.drain_delays);
        print_overflow(verdict);
    }
    for violation in verdict.violations.iter().take(MAX_VIOLATIONS) {
        println!("{violation}");
    }
    if verdict.violations.len() > MAX_VIOLATIONS {
        println!("and {} more", verdict.violations.len() - MAX_VIOLATIONS);
    }
}

fn print_rule(verdict: &Verdict, rule: Rule) {
    let violations = verdict.violations.iter().filter(|violation| violation.rule == rule).count();
    let state = if violations == 0 { "kept".to_owned() } else { format!("broken {violations} times") };
    let coverage = verdict.coverage(rule);
    let peak = coverage.peak_usage.map_or("-".to_owned(), |share| format!("{:.0} %", share * 100.0));
    let (number, description, cases) = (rule.number(), rule.description(), coverage.cases);
    println!("rule {number}: {description}: {state}; {cases} cases, highest usage of the limit {peak}");
}

fn print_drain_delays(delays: &[Span]) {
    let mut late_ms: Vec<f64> = delays
        .iter()
        .filter(|delay| **delay > Span::ZERO)
        .map(|delay| delay.ratio(Span::from_millis(1)))
        .collect();
    late_ms.sort_by(f64::total_cmp);
    let quantile =
        |share: f64| late_ms.get(((late_ms.len() as f64 - 1.0) * share) as usize).copied().unwrap_or(0.0);
    println!(
        "{} drains by endpoint file, {} with later INVITEs: delay p50 {:.1} ms, p90 {:.1} ms, maximum {:.1} ms",
        delays.len(),
        late_ms.len(),
        quantile(0.5),
        quantile(0.9),
        quantile(1.0)
    );
}

fn print_overflow(verdict: &Verdict) {
    let overflow = &verdict.overflow;
    println!(
        "{} overflow INVITEs; largest deviation from the weights {:.2} percentage points, p-value {:.3} (chi-squared)",
        overflow.observed.iter().sum::<f64>(),
        overflow.max_deviation(),
        overflow.p_value()
    );
}

/// Prints the service level of several policies, and the capacity ceiling.
pub(crate) fn print_policies(verdicts: &[(PolicyKind, Verdict)]) {
    println!(
        "\n{:<12} {:>7} {:>11} {:>9} {:>8} {:>6}",
        "service", "whole", "worst 10 s", "service", "member", "rules"
    );
    for (policy, verdict) in verdicts {
        let ServiceLevel { overall, worst_window, by_service, by_tenant, .. } = &verdict.service_level;
        println!(
            "{:<12} {overall:>7.3} {worst_window:>11.3} {:>9.3} {:>8.3} {:>6}",
            policy.name(),
            ServiceLevel::worst(by_service),
            ServiceLevel::worst(by_tenant),
            if verdict.is_passed() { "kept" } else { "broken" }
        );
    }
    let ceiling = verdicts[0].1.service_level.ceiling;
    println!("{:<12} {ceiling:>7.3}  (allowed by the servers' true capacity)", "ceiling");
}

/// Prints the service level as a time series over the scenario.
pub(crate) fn print_service_level_series(service_level: &ServiceLevel) {
    let shares: Vec<String> = service_level.by_interval.iter().map(|share| format!("{share:.2}")).collect();
    println!("\nservice level in 5 s intervals: {}", shares.join(" "));
    println!("service {:.3}, worst 10 s {:.3}", service_level.overall, service_level.worst_window);
}

/// Prints the detection result of one scenario.
pub(crate) fn print_detection(result: &DetectionResult) {
    for scripted in &result.scripted {
        print_expected_fault(scripted);
    }
    for trouble in &result.false_positives {
        let (onset, end) = (seconds_at(trouble.onset), format_end(trouble));
        println!("invented, {onset:.1} to {end}: {trouble}");
    }
}

fn print_expected_fault(expected: &ExpectedFault) {
    let (start, end) = (seconds(expected.start), seconds(expected.start + expected.duration));
    let result = expected.detected.as_ref().map_or("missed".to_owned(), |trouble| {
        format!("found {:.1} to {}", seconds_at(trouble.onset), format_end(trouble))
    });
    println!("{} {}: scripted {start:.1} to {end:.1}, {result}", expected.kind.name(), expected.subject);
}

fn format_end(trouble: &Incident) -> String {
    trouble.end.map_or("lasts".to_owned(), |end| format!("{:.1}", seconds_at(end)))
}

fn seconds(span: Span) -> f64 {
    span.ratio(Span::from_secs(1))
}

fn seconds_at(moment: Moment) -> f64 {
    seconds(moment.since(Moment::START))
}

/// Prints the detection results of several scenarios, by kind of fault.
pub(crate) fn print_detection_tallies(tallies: &BTreeMap<IncidentKind, DetectionTally>) {
    println!("\n{:<38} {:>8} {:>6} {:>9} {:>9}", "kind", "scripted", "found", "invented", "onset off");
    for (kind, tally) in tallies {
        let DetectionTally { scripted, detected, false_positives, .. } = tally;
        let median = tally.median_onset_error().map_or("-".to_owned(), |error| format!("{error:.1} s"));
        println!("{:<38} {scripted:>8} {detected:>6} {false_positives:>9} {median:>9}", kind.name());
    }
}

/// Prints the header of the table of load steps.
pub(crate) fn print_load_header() {
    println!("{:<7} {:>11} {:>9} {:>9} {:>9}", "between", "sessions/s", "INVITEs", "p50 us", "p99 us");
}

/// Prints the load steps of one subject.
pub(crate) fn print_load_steps(subject: Subject, steps: &[LoadStep]) {
    for step in steps {
        let invited_share = step.invited as f64 / step.offered.max(1) as f64;
        let (p50, p99) = (step.p50.as_micros(), step.p99.as_micros());
        println!("{:<7} {:>11} {invited_share:>9.3} {p50:>9} {p99:>9}", subject.name(), step.rate);
    }
}

/// Prints the throughput of the front relative to the relay, and the CPU cost of the event log.
pub(crate) fn print_load_summary(relay: &[LoadStep], front: &[LoadStep], recording: &[LoadStep]) {
    let (relay_rate, front_rate) = (f64::from(sustained_rate(relay)), f64::from(sustained_rate(front)));
    println!(
        "\none front on one core: {:.1} times the fleet's {} sessions/s, {:.2} times the rate of the plain relay",
        front_rate / f64::from(FLEET_SESSIONS_PER_S),
        FLEET_SESSIONS_PER_S,
        front_rate / relay_rate.max(1.0)
    );
    // Compares the CPU time only at rates at which both fronts were measured.
    let common = front.iter().zip(recording).filter(|(front, recording)| front.rate == recording.rate);
    let (front_ticks, recording_ticks) =
        common.fold((0, 0), |(front_sum, recording_sum), (front, recording)| {
            (front_sum + front.cpu_ticks, recording_sum + recording.cpu_ticks)
        });
    let cost = recording_ticks as f64 / front_ticks.max(1) as f64;
    println!("with an event log: {cost:.3} times the CPU time");
}

/// Returns the highest sustained rate; 0 if none was sustained.
fn sustained_rate(steps: &[LoadStep]) -> u32 {
    steps.iter().filter(|step| step.is_sustained()).map(|step| step.rate).max().unwrap_or(0)
}
