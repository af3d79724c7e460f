//! Messages of a voter that wait until its state is on disk: a promise that a restart could forget is not sent.

use std::collections::VecDeque;

use ochrelead_lease::engine::Transmit;
use ochrelead_lease::persistence::PersistedState;

use crate::persistence::VoterState;

/// Messages that may wait. On a disk that fails for long the oldest are dropped: they are of no use any more.
const MAX_HELD_BACK: usize = 256;

/// A message that waits until the state of a sequence number is on disk.
struct HeldBack {
    sequence: u64,
    transmit: Transmit,
}

/// A voter's state on its way to the disk, and the messages that depend on it.
#[derive(Default)]
pub(super) struct PendingPersistence {
    /// The newest state.
    state: PersistedState,
    /// Its sequence number.
    sequence: u64,
    /// Whether it has not been handed out yet.
    is_unpolled: bool,
    /// The highest sequence number that is on disk.
    persisted: u64,
    held_back: VecDeque<HeldBack>,
}

impl PendingPersistence {
    /// Takes the voter's state, where it has changed.
    pub(super) fn update(&mut self, state: PersistedState) {
        if state != self.state {
            self.state = state;
            self.sequence += 1;
            self.is_unpolled = true;
        }
    }

    pub(super) fn hold_back(&mut self, transmit: Transmit) {
        if self.held_back.len() >= MAX_HELD_BACK {
            self.held_back.pop_front();
        }
        self.held_back.push_back(HeldBack { sequence: self.sequence, transmit });
    }

    /// The next message whose state is on disk.
    pub(super) fn poll_sendable(&mut self) -> Option<Transmit> {
        let is_sendable = self.held_back.front().is_some_and(|held| held.sequence <= self.persisted);
        if is_sendable { self.held_back.pop_front().map(|held| held.transmit) } else { None }
    }

    /// The newest state, where it has not been handed out yet.
    pub(super) fn poll_state(&mut self, front: u32) -> Option<VoterState> {
        if !std::mem::take(&mut self.is_unpolled) {
            return None;
        }
        Some(VoterState { sequence: self.sequence, bytes: self.state.encode(front) })
    }

    pub(super) fn on_persisted(&mut self, sequence: u64) {
        self.persisted = self.persisted.max(sequence);
    }
}
