//! How the servers of a trial change: replaced, dead, or back at their addresses.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{Trial, TrialError, lock, unix_millis};
use crate::soak::history::{Event, Lifecycle, Recorder};
use crate::soak::parties::{listed_server, start_server};
use crate::soak::server_list::{ListedServer, ServerList};

/// The list follows the death of a server after this time.
const CRASH_NOTICE_TIME: Duration = Duration::from_millis(900);
/// A server that restarts is back after this time.
const RESTART_TIME: Duration = Duration::from_millis(1_000);

/// Changes the list; a node may act on it at once, so the record comes first.
fn change_list(list: &Mutex<ServerList>, recorder: &Recorder, changed: &[ListedServer]) {
    let mut list = lock(list);
    for server in changed {
        recorder.record(Event::Listed { server: server.id.clone(), state: server.state });
    }
    list.change(changed);
}

impl Trial {
    /// A server drains and another takes its number, in one event; the former is removed later.
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

    /// A server's process dies; the list says so later, and names its successor.
    pub(super) fn crash_server(&self, number: usize) -> Result<(), TrialError> {
        let next = start_server(&self.config, &self.settings, self.next_number(), &self.recorder)?;
        let former = std::mem::replace(&mut lock(&self.servers)[number], next.clone());
        former.stop();
        let (list, recorder) = (self.list.clone(), self.recorder.clone());
        self.scheduler.after(CRASH_NOTICE_TIME, move || {
            let removed = listed_server(&former, number, Lifecycle::Removed, 0);
            let up = listed_server(&next, number, Lifecycle::Up, unix_millis());
            change_list(&list, &recorder, &[removed, up]);
        });
        Ok(())
    }

    /// A server is removed and comes back at its address, under its id or another.
    pub(super) fn restart_server(self: Arc<Self>, number: usize, renamed: bool) {
        let former = lock(&self.servers)[number].clone();
        let seed = self.next_number();
        let id = if renamed { format!("s-{seed:08x}") } else { former.id.clone() };
        self.list_changes(&[listed_server(&former, number, Lifecycle::Removed, 0)]);
        former.stop();
        self.scheduler.clone().after(RESTART_TIME, move || {
            match former.start_again(id, self.settings.nodes, seed) {
                Ok(next) => {
                    let started = unix_millis();
                    let former = std::mem::replace(&mut lock(&self.servers)[number], next.clone());
                    lock(&self.former_servers).push(former);
                    self.list_changes(&[listed_server(&next, number, Lifecycle::Up, started)]);
                }
                Err(error) => eprintln!("{} does not come back: {error}", former.id),
            }
        });
    }

    fn list_changes(&self, changed: &[ListedServer]) {
        change_list(&self.list, &self.recorder, changed);
    }
}
