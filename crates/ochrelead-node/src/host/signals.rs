//! Signals, and the configuration that one of them reloads.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use ochrelead_platform::configuration;
use thiserror::Error;
use tracing::{info, warn};

use super::Host;
use crate::io::Input;

/// Attempts to read a configuration that is invalid: it may be written just now.
const RELOAD_ATTEMPTS: usize = 10;
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a configuration could not be reloaded.
#[derive(Debug, Error)]
enum ReloadError {
    #[error(transparent)]
    Read(#[from] io::Error),
    #[error(transparent)]
    Parse(#[from] serde_json::Error),
}

/// Takes the signals from now on: one that arrives before the node serves is handled once it does.
///
/// # Errors
///
/// Where they can't be taken.
pub fn take_signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

impl Host {
    pub(super) async fn handle_signals(self, mut signals: Signals, configuration: PathBuf) {
        while let Some(signal) = signals.next().await {
            match signal {
                // In a task of its own: no signal waits for a file.
                Ok(Signal::Hup) => self.tasks.spawn(self.clone().reload(configuration.clone())).detach(),
                Ok(_) => {
                    info!("leaving service");
                    let mut state = self.state.borrow_mut();
                    let now = state.engine.clock.now();
                    if let Some(peers) = &mut state.peers {
                        peers.coordination.leave(now);
                    }
                    state.engine.handle_input(Input::Shutdown);
                }
                Err(error) => warn!(%error, "signal not read"),
            }
        }
    }

    /// Reloads the configuration; an invalid one changes nothing.
    async fn reload(self, configuration: PathBuf) {
        for _ in 0..RELOAD_ATTEMPTS {
            match self.reload_once(&configuration) {
                Ok(()) => return,
                Err(error) => warn!(%error, "configuration not reloaded"),
            }
            Timer::after(RELOAD_RETRY_DELAY).await;
        }
    }

    /// Follows the coordinator at the address of the replaced configuration.
    fn reload_once(&self, configuration: &Path) -> Result<(), ReloadError> {
        let configuration = configuration::parse(&fs::read_to_string(configuration)?)?;
        if let Some(coordinator) = configuration.coordinator {
            info!(%coordinator, "configuration reloaded");
            self.state.borrow_mut().engine.handle_input(Input::CoordinatorMoved(coordinator));
        }
        Ok(())
    }
}
