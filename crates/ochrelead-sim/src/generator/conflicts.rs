//! Removes faults that must not occur together in one scenario.

use ochrelead_config::schema;

/// Time after its end for which a fault still counts as active.
const SETTLING_MS: u32 = 50;

/// An effect on a target that only one fault at a time may have.
#[derive(Clone, Copy, PartialEq)]
enum ExclusiveEffect {
    FrontProcess,
    ServerProcess,
    ServerPace,
}

/// Returns the faults that do not conflict with an earlier one that is kept.
pub(super) fn without_conflicts(faults: Vec<schema::Trouble>) -> Vec<schema::Trouble> {
    let mut kept: Vec<schema::Trouble> = Vec::new();
    for fault in faults {
        if !kept.iter().any(|other| conflict(&fault, other)) {
            kept.push(fault);
        }
    }
    kept
}

/// Returns whether two faults must not occur in the same scenario.
fn conflict(one: &schema::Trouble, other: &schema::Trouble) -> bool {
    have_same_exclusive_effect(one, other)
        || slows_restarting_server(one, other)
        || slows_restarting_server(other, one)
        || loses_announcements(one, other)
        || loses_announcements(other, one)
}

/// Returns whether two faults that overlap in time have the same exclusive effect on the same targets: for example,
/// a process is not killed and stalled at once.
fn have_same_exclusive_effect(one: &schema::Trouble, other: &schema::Trouble) -> bool {
    let end_ms = |fault: &schema::Trouble| fault.at_ms() + fault.length_ms() + SETTLING_MS;
    let overlap = one.at_ms() < end_ms(other) && other.at_ms() < end_ms(one);
    let effect = exclusive_effect(one);
    effect.is_some() && effect == exclusive_effect(other) && one.which == other.which && overlap
}

fn exclusive_effect(fault: &schema::Trouble) -> Option<ExclusiveEffect> {
    match fault.kind.as_deref() {
        Some("front_killed" | "front_stall") => Some(ExclusiveEffect::FrontProcess),
        Some("crash" | "vanish" | "replaced" | "silent") => Some(ExclusiveEffect::ServerProcess),
        Some("slow" | "all_slow") => Some(ExclusiveEffect::ServerPace),
        _ => None,
    }
}

/// Returns whether a server is slowed by another fault when it restarts. A server that has just started is already
/// slow; a second slowdown would overload it with set-ups that are already in flight, which no front can foresee.
fn slows_restarting_server(slow: &schema::Trouble, restart: &schema::Trouble) -> bool {
    let starts = matches!(restart.kind.as_deref(), Some("crash" | "vanish" | "replaced"));
    let slows = match slow.kind.as_deref() {
        Some("all_slow") => true,
        Some("slow") => slow.which == restart.which,
        _ => false,
    };
    starts && slows && slow.at_ms() + slow.length_ms() > restart.at_ms()
}

/// Returns whether a front is killed after its disk was full. Such a front can't know what servers announced in
/// between, because that state could not be saved.
fn loses_announcements(full: &schema::Trouble, killed: &schema::Trouble) -> bool {
    full.kind.as_deref() == Some("disk_full")
        && killed.kind.as_deref() == Some("front_killed")
        && full.which == killed.which
        && full.at_ms() < killed.at_ms()
}
