//! Signals, and the configuration that one of them reloads.

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

/// A configuration that is invalid may be written just now: it is read again, first after this delay.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The delay doubles with each attempt up to this.
const MAX_RELOAD_RETRY_DELAY: Duration = Duration::from_secs(1);

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
        let mut reload: Option<Task<()>> = None;
        while let Some(signal) = signals.next().await {
            match signal {
                // In a task of its own: no signal waits for a file. It replaces the one before.
                Ok(Signal::Hup) => {
                    let next = self.tasks.spawn(self.clone().reload(configuration.clone()));
                    if let Some(former) = reload.replace(next) {
                        former.cancel().await;
                    }
                }
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

    /// Reloads the configuration; an invalid one changes nothing and is read again until it is valid.
    async fn reload(self, configuration: PathBuf) {
        let mut delay = RELOAD_RETRY_DELAY;
        while let Err(error) = self.reload_once(&configuration) {
            if delay == RELOAD_RETRY_DELAY {
                warn!(%error, "configuration not reloaded; it is read until it is valid");
            }
            Timer::after(delay).await;
            delay = (delay * 2).min(MAX_RELOAD_RETRY_DELAY);
        }
    }

    /// Takes the list of the replaced configuration where it is later than the node's, and follows the coordinator at the
    /// address that it names.
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
