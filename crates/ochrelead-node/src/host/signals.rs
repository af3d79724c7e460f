//! Signals, and the configuration that one of them says to read again.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use ochrelead_platform::configuration;
use tracing::{info, warn};

use super::Host;
use crate::io::Input;

/// A configuration that can't be read is read so many times, so far apart.
const TRIES: usize = 10;
const TRY_GAP: Duration = Duration::from_millis(50);

/// Takes the signals from now on: one that comes before the node serves is obeyed once it does.
///
/// # Errors
///
/// Where they can't be taken.
pub fn take_signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

impl Host {
    pub(super) async fn obey(self, mut signals: Signals, file: PathBuf) {
        while let Some(signal) = signals.next().await {
            match signal {
                // Beside this one: no signal waits for a file.
                Ok(Signal::Hup) => self.tasks.spawn(self.clone().read_again(file.clone())).detach(),
                Ok(_) => {
                    info!("leaving service");
                    let mut state = self.state.borrow_mut();
                    let now = state.clock.now();
                    if let Some(peer_host) = &mut state.peer_host {
                        peer_host.together.leave(now);
                    }
                    state.take(Input::Shutdown);
                }
                Err(error) => warn!(%error, "a signal could not be read"),
            }
        }
    }

    /// It may be written just now.
    async fn read_again(self, file: PathBuf) {
        for _ in 0..TRIES {
            if self.has_read(&file) {
                return;
            }
            Timer::after(TRY_GAP).await;
        }
    }

    /// The configuration was replaced: the coordinator may be elsewhere now. One that can't be read changes nothing.
    fn has_read(&self, file: &Path) -> bool {
        let read = fs::read_to_string(file).map_err(|error| error.to_string());
        match read.and_then(|text| configuration::parse(&text).map_err(|error| error.to_string())) {
            Ok(configuration) => {
                if let Some(coordinator) = configuration.coordinator {
                    info!(%coordinator, "the configuration was read again");
                    self.state.borrow_mut().take(Input::CoordinatorMoved(coordinator));
                }
                true
            }
            Err(error) => {
                warn!(%error, "the configuration in force stands");
                false
            }
        }
    }
}
