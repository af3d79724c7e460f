//! The engine with its clock, and the wakeup of the run loop.

use async_channel::Sender;
use ochrelead_host::clock::Clock;

use crate::engine::Engine;
use crate::io::Input;

/// The engine, as the host's connections report to it.
pub(super) struct EngineHandle {
    pub(super) engine: Engine,
    pub(super) clock: Clock,
    wakeup: Sender<()>,
}

impl EngineHandle {
    pub(super) fn new(engine: Engine, clock: Clock, wakeup: Sender<()>) -> EngineHandle {
        EngineHandle { engine, clock, wakeup }
    }

    /// Reports an event; the run loop processes it soon.
    pub(super) fn handle_input(&mut self, input: Input<'_>) {
        self.engine.handle_input(self.clock.now(), input);
        self.wake();
    }

    /// Lets the run loop do a round.
    pub(super) fn wake(&self) {
        // A full channel holds a wakeup already.
        let _ = self.wakeup.try_send(());
    }
}
