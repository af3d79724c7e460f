//! Signal handling: shutdown on SIGTERM and SIGINT, reload of the configuration on SIGHUP.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use ochrelead_platform::configuration;
use ochrelead_platform::events::EndpointChange;
use thiserror::Error;
use tracing::{info, warn};

use super::Host;
use crate::io::Input;

/// The delay before the first retry of a reload: an invalid file may be one that is still being written.
const MIN_RELOAD_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The delay doubles with each attempt up to this maximum.
const MAX_RELOAD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Why a configuration could not be reloaded.
#[derive(Debug, Error)]
enum ReloadError {
    #[error(transparent)]
    Read(#[from] io::Error),
    #[error(transparent)]
    Parse(#[from] serde_json::Error),
}

/// Registers the handlers for SIGTERM, SIGINT and SIGHUP. A signal that arrives before the node serves is handled as
/// soon as it does.
///
/// # Errors
///
/// If the handlers can't be registered.
pub fn take_signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

impl Host {
    pub(super) async fn handle_signals(self, mut signals: Signals, configuration: PathBuf) {
        let mut reload: Option<Task<()>> = None;
        while let Some(signal) = signals.next().await {
            match signal {
                // Runs in a separate task, so that a later signal need not wait for the file. It replaces the previous
                // reload.
                Ok(Signal::Hup) => {
                    let next = self.tasks.spawn(self.clone().reload(configuration.clone()));
                    if let Some(previous) = reload.replace(next) {
                        previous.cancel().await;
                    }
                }
                Ok(_) => {
                    info!("shutdown signal received; leaving service");
                    let mut state = self.state.borrow_mut();
                    let now = state.engine.clock.now();
                    if let Some(peers) = &mut state.peers {
                        peers.coordination.leave(now);
                    }
                    state.engine.handle_input(Input::Shutdown);
                }
                Err(error) => warn!(%error, "failed to receive a signal"),
            }
        }
    }

    /// Reloads the configuration. An invalid file changes nothing and is read again until it is valid.
    async fn reload(self, configuration: PathBuf) {
        let mut delay = MIN_RELOAD_RETRY_DELAY;
        while let Err(error) = self.reload_once(&configuration) {
            if delay == MIN_RELOAD_RETRY_DELAY {
                warn!(%error, "configuration not reloaded; retrying until the file is valid");
            }
            Timer::after(delay).await;
            delay = (delay * 2).min(MAX_RELOAD_RETRY_DELAY);
        }
    }

    /// Reads the configuration once. The engine adopts the file's endpoint list if that is newer than its current list, and
    /// watches the coordinator at the address in the file.
    fn reload_once(&self, configuration: &Path) -> Result<(), ReloadError> {
        let configuration = configuration::parse(&fs::read_to_string(configuration)?)?;
        if let Some(list) = EndpointChange::merge(&configuration.initial_changes) {
            let event_cursor = configuration.event_cursor;
            let input = Input::ListReloaded { event_cursor, list: &list };
            self.state.borrow_mut().engine.handle_input(input);
        }
        if let Some(coordinator) = configuration.coordinator {
            info!(%coordinator, "configuration reloaded");
            self.state.borrow_mut().engine.handle_input(Input::CoordinatorMoved(coordinator));
        }
        Ok(())
    }
}
