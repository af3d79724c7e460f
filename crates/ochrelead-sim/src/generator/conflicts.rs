//! Faults that may not come together in one scenario.

use ochrelead_config::schema;

/// For so long after its end a fault still counts as under way.
const SETTLING_MS: u32 = 50;

/// What a fault does to its target that no other fault may do at the same time.
#[derive(Clone, Copy, PartialEq)]
enum ExclusiveEffect {
    FrontProcess,
    ServerProcess,
    ServerPace,
}

/// All faults that do not conflict with one before them.
pub(super) fn without_conflicts(faults: Vec<schema::Trouble>) -> Vec<schema::Trouble> {
    let mut kept: Vec<schema::Trouble> = Vec::new();
    for fault in faults {
        if !kept.iter().any(|other| conflict(&fault, other)) {
            kept.push(fault);
        }
    }
    kept
}

fn conflict(one: &schema::Trouble, other: &schema::Trouble) -> bool {
    have_same_effect(one, other)
        || slows_a_starting_server(one, other)
        || slows_a_starting_server(other, one)
        || loses_state(one, other)
        || loses_state(other, one)
}

/// A process is killed or stalled once at a time.
fn have_same_effect(one: &schema::Trouble, other: &schema::Trouble) -> bool {
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

/// A server that has just started is slow by that. What would slow it besides in that moment would push it over by
/// set-ups that are out already: no front can know.
fn slows_a_starting_server(slow: &schema::Trouble, restart: &schema::Trouble) -> bool {
    let starts = matches!(restart.kind.as_deref(), Some("crash" | "vanish" | "replaced"));
    let slows = match slow.kind.as_deref() {
        Some("all_slow") => true,
        Some("slow") => slow.which == restart.which,
        _ => false,
    };
    starts && slows && slow.at_ms() + slow.length_ms() > restart.at_ms()
}

/// A front that is killed after its disk was full can't know what servers announced in between.
fn loses_state(full: &schema::Trouble, killed: &schema::Trouble) -> bool {
    full.kind.as_deref() == Some("disk_full")
        && killed.kind.as_deref() == Some("front_killed")
        && full.which == killed.which
        && full.at_ms() < killed.at_ms()
}
