//! Changes to the servers of a trial: replacement, crash and restart.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{Trial, TrialError, lock, unix_millis};
use crate::soak::history::{Event, Lifecycle, Recorder};
use crate::soak::server_list::{ListedServer, ServerList};
use crate::soak::trial_setup::{listed_server, start_server};

/// Delay until the list shows that a server crashed.
const CRASH_LISTING_DELAY: Duration = Duration::from_millis(900);
/// Delay between the stop and the start of a server that restarts.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);

/// Records changes and applies them to the list, in this order, as a node may act on a change at once.
fn change_list(list: &Mutex<ServerList>, recorder: &Recorder, changed: &[ListedServer]) {
    let mut list = lock(list);
    for server in changed {
        recorder.record(Event::Listed { server: server.id.clone(), state: server.state });
    }
    list.change(changed);
}

impl Trial {
    /// Lists a server as draining and a new one under its number in one event; the former is removed after
    /// `drain_time`.
    pub(super) fn replace_server(&self, number: usize, drain_time: Duration) -> Result<(), TrialError> {
        let next = start_server(&self.config, &self.settings, self.next_number(), &self.recorder)?;
        let former = std::mem::replace(&mut lock(&self.servers)[number], next.clone());
        lock(&self.former_servers).push(former.clone());
        let up = listed_server(&next, number, Lifecycle::Up, unix_millis());
        self.list_changes(&[up, listed_server(&former, number, Lifecycle::Draining, 0)]);
        let (list, recorder) = (self.list.clone(), self.recorder.clone());
        self.scheduler.after(drain_time, move || {
            change_list(&list, &recorder, &[listed_server(&former, number, Lifecycle::Removed, 0)]);
            former.stop();
        });
        Ok(())
    }

    /// Stops a server without notice; the list removes it later and adds its successor in the same event.
    pub(super) fn crash_server(&self, number: usize) -> Result<(), TrialError> {
        let next = start_server(&self.config, &self.settings, self.next_number(), &self.recorder)?;
        let former = std::mem::replace(&mut lock(&self.servers)[number], next.clone());
        former.stop();
        let (list, recorder) = (self.list.clone(), self.recorder.clone());
        self.scheduler.after(CRASH_LISTING_DELAY, move || {
            let removed = listed_server(&former, number, Lifecycle::Removed, 0);
            let up = listed_server(&next, number, Lifecycle::Up, unix_millis());
            change_list(&list, &recorder, &[removed, up]);
        });
        Ok(())
    }

    /// Removes and stops a server, then restarts it at its address, under the same id or a new one.
    pub(super) fn restart_server(self: Arc<Self>, number: usize, renamed: bool) {
        let former = lock(&self.servers)[number].clone();
        let seed = self.next_number();
        let id = if renamed { format!("s-{seed:08x}") } else { former.id.clone() };
        self.list_changes(&[listed_server(&former, number, Lifecycle::Removed, 0)]);
        former.stop();
        self.scheduler.clone().after(RESTART_DELAY, move || {
            match former.start_again(id, self.settings.nodes, seed) {
                Ok(next) => {
                    let started = unix_millis();
                    let former = std::mem::replace(&mut lock(&self.servers)[number], next.clone());
                    lock(&self.former_servers).push(former);
                    self.list_changes(&[listed_server(&next, number, Lifecycle::Up, started)]);
                }
                Err(error) => eprintln!("{} can't be restarted: {error}", former.id),
            }
        });
    }

    fn list_changes(&self, changed: &[ListedServer]) {
        change_list(&self.list, &self.recorder, changed);
    }
}
