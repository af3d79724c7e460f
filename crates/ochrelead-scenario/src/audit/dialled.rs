//! The digits that a caller dials, in the events of its NTFY.

use ochrelead_config::scenario::Scenario;

/// The digits among observed events, as `L/hd, D/1, D/0`.
pub(super) fn dialled_digits(events: &str) -> String {
    events.split(',').filter_map(|event| event.trim().strip_prefix("D/")).collect()
}

/// The service that digits belong to, if any.
pub(super) fn dialled_service(scenario: &Scenario, digits: &str) -> Option<usize> {
    let mut services = scenario.front_settings.service.iter();
    services.position(|service| service.dialled.as_deref().is_some_and(|prefix| digits.starts_with(prefix)))
}
