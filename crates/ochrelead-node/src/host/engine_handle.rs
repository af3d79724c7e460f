//! The engine together with its clock and the sender that wakes the run loop.

use async_channel::Sender;
use ochrelead_host::clock::Clock;

use crate::engine::Engine;
use crate::io::Input;

/// Passes events to the engine and wakes the run loop.
pub(super) struct EngineHandle {
    pub(super) engine: Engine,
    pub(super) clock: Clock,
    wakeup: Sender<()>,
}

impl EngineHandle {
    pub(super) fn new(engine: Engine, clock: Clock, wakeup: Sender<()>) -> EngineHandle {
        EngineHandle { engine, clock, wakeup }
    }

    /// Reports an event to the engine and wakes the run loop to process it.
    pub(super) fn handle_input(&mut self, input: Input<'_>) {
        self.engine.handle_input(self.clock.now(), input);
        self.wake();
    }

    /// Wakes the run loop for another iteration.
    pub(super) fn wake(&self) {
        // If the channel is full, a wakeup is pending already.
        let _ = self.wakeup.try_send(());
    }
}
