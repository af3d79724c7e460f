//! Holds a voter's messages back until its state is on disk, so that no promise is sent that a restart could lose.

use std::collections::VecDeque;

use ochrelead_lease::engine::Transmit;
use ochrelead_lease::persistence::PersistedState;

use crate::persistence::VoterState;

/// The maximum number of waiting messages. If the disk fails for long, the oldest are dropped: they are obsolete by
/// then.
const MAX_PENDING_MESSAGES: usize = 256;

/// A message that waits for a state to be persisted.
struct PendingMessage {
    /// The sequence number of that state.
    sequence: u64,
    transmit: Transmit,
}

/// The latest state of a voter, and the messages that wait for it to be persisted.
#[derive(Default)]
pub(super) struct PendingPersistence {
    /// The latest state.
    state: PersistedState,
    /// The sequence number of `state`.
    sequence: u64,
    /// `state` has not been returned by `poll_state` yet.
    is_unpolled: bool,
    /// The highest sequence number that is on disk.
    persisted_sequence: u64,
    /// In the order in which they are sent.
    messages: VecDeque<PendingMessage>,
}

impl PendingPersistence {
    /// Updates the state, with the next sequence number if it has changed.
    pub(super) fn update(&mut self, state: PersistedState) {
        if state != self.state {
            self.state = state;
            self.sequence += 1;
            self.is_unpolled = true;
        }
    }

    /// Queues a message until the current state is on disk.
    pub(super) fn enqueue(&mut self, transmit: Transmit) {
        if self.messages.len() >= MAX_PENDING_MESSAGES {
            self.messages.pop_front();
        }
        self.messages.push_back(PendingMessage { sequence: self.sequence, transmit });
    }

    /// Returns the next message whose state is on disk.
    pub(super) fn poll_sendable(&mut self) -> Option<Transmit> {
        let is_sendable =
            self.messages.front().is_some_and(|message| message.sequence <= self.persisted_sequence);
        if is_sendable { self.messages.pop_front().map(|message| message.transmit) } else { None }
    }

    /// Returns the latest state, if it has not been returned yet.
    pub(super) fn poll_state(&mut self, front: u32) -> Option<VoterState> {
        if !std::mem::take(&mut self.is_unpolled) {
            return None;
        }
        Some(VoterState { sequence: self.sequence, bytes: self.state.encode(front) })
    }

    pub(super) fn on_persisted(&mut self, sequence: u64) {
        self.persisted_sequence = self.persisted_sequence.max(sequence);
    }
}
