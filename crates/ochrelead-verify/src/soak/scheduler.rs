//! Runs actions after delays, all in one thread.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// How long the thread waits for a new action if none is scheduled.
const IDLE_WAIT: Duration = Duration::from_secs(1);

type Action = Box<dyn FnOnce() + Send>;

/// An action and the time at which it is due. The greatest in the order is the one due first.
struct Scheduled {
    due: Instant,
    action: Action,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        other.due.cmp(&self.due)
    }
}

/// A handle to the thread, which ends once all handles are dropped and all scheduled actions have run.
#[derive(Clone)]
pub struct Scheduler(Sender<Scheduled>);

impl Scheduler {
    /// Starts the thread.
    pub fn start() -> Scheduler {
        let (sender, receiver) = channel();
        thread::spawn(move || run(&receiver));
        Scheduler(sender)
    }

    /// Runs an action after a delay.
    pub fn after(&self, delay: Duration, action: impl FnOnce() + Send + 'static) {
        let scheduled = Scheduled { due: Instant::now() + delay, action: Box::new(action) };
        // The receiver exists as long as any handle, so sending fails only if an action panicked.
        let _ = self.0.send(scheduled);
    }
}

fn run(receiver: &Receiver<Scheduled>) {
    let mut queue: BinaryHeap<Scheduled> = BinaryHeap::new();
    loop {
        let wait = queue.peek().map_or(IDLE_WAIT, |next| next.due.saturating_duration_since(Instant::now()));
        match receiver.recv_timeout(wait) {
            Ok(scheduled) => queue.push(scheduled),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) if queue.is_empty() => return,
            Err(RecvTimeoutError::Disconnected) => thread::sleep(wait),
        }
        while queue.peek().is_some_and(|next| next.due <= Instant::now()) {
            if let Some(next) = queue.pop() {
                (next.action)();
            }
        }
    }
}
