//! The digits that a caller dials, as reported in the observed events of its NTFY.

use ochrelead_config::scenario::Scenario;

/// Extracts the dialled digits from observed events: `10` from `L/hd, D/1, D/0`.
pub(super) fn dialled_digits(events: &str) -> String {
    events.split(',').filter_map(|event| event.trim().strip_prefix("D/")).collect()
}

/// Returns the index of the first service whose prefix the digits start with.
pub(super) fn dialled_service(scenario: &Scenario, digits: &str) -> Option<usize> {
    let mut services = scenario.front_settings.service.iter();
    services.position(|service| service.dialled.as_deref().is_some_and(|prefix| digits.starts_with(prefix)))
}
