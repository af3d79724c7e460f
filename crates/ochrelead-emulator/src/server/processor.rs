//! The one processor of a server: its queue, its speed, and what it works on.

use std::collections::VecDeque;
use std::net::SocketAddr;

use ochrelead_config::scenario::EmulatedServer;
use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::TransactionId;

/// A fault slows a server down at least by this factor.
const MIN_SLOWDOWN: f64 = 0.01;

/// A set-up that was accepted.
#[derive(Clone)]
pub(super) struct SetUp {
    pub(super) front: SocketAddr,
    pub(super) transaction: TransactionId,
    pub(super) call_id: String,
    pub(super) called_number: String,
    pub(super) is_cancelled: bool,
}

/// What the processor works on.
pub(super) enum Task {
    /// The set-up of a call.
    SetUp(SetUp),
    /// The answer to a set-up.
    Answer(SetUp),
    /// The release of calls.
    Release { front: SocketAddr, transaction: TransactionId, circuits: Vec<u32> },
    /// Work that leads to nothing: repeats, rejections, audits.
    Overhead,
}

struct Job {
    /// How long it takes at full speed.
    work: Span,
    task: Task,
}

struct RunningJob {
    finished_at: Moment,
    job: Job,
}

pub(super) struct Processor {
    config: EmulatedServer,
    /// When it was started cold; none where it has been warm since before the scenario.
    started_at: Option<Moment>,
    slowdown: f64,
    priority_queue: VecDeque<Job>,
    queue: VecDeque<Job>,
    running: Option<RunningJob>,
}

impl Processor {
    /// A warm processor.
    pub(super) fn new(config: EmulatedServer) -> Processor {
        Processor {
            config,
            started_at: None,
            slowdown: 1.0,
            priority_queue: VecDeque::new(),
            queue: VecDeque::new(),
            running: None,
        }
    }

    /// The process starts, with cold caches.
    pub(super) fn start_cold(&mut self, now: Moment) {
        self.started_at = Some(now);
    }

    /// Slows the processor down by this factor.
    pub(super) fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown.max(MIN_SLOWDOWN);
    }

    pub(super) fn is_cold(&self, now: Moment) -> bool {
        self.started_at.is_some_and(|started_at| now.since(started_at) < self.config.warm_up_time)
    }

    /// Its speed, as a share of that of a warm one.
    pub(super) fn speed(&self, now: Moment) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 / self.slowdown };
        let warmth = now.since(started_at).ratio(self.config.warm_up_time).min(1.0);
        (self.config.cold_share + (1.0 - self.config.cold_share) * warmth) / self.slowdown
    }

    /// How many set-ups it can work on within a duration, at its present speed.
    pub(super) fn capacity(&self, now: Moment, duration: Span) -> f64 {
        let second = Span::from_secs(1);
        duration.ratio(second) * second.ratio(self.config.set_up_time()) * self.speed(now)
    }

    /// How long all that is queued takes.
    pub(super) fn queue_delay(&self, now: Moment) -> Span {
        let queued = self.priority_queue.iter().chain(&self.queue).map(|job| job.work);
        let running = self.running.as_ref().map_or(Span::ZERO, |running| running.finished_at.since(now));
        queued.fold(Span::ZERO, |sum, work| sum + work).scaled(1.0 / self.speed(now)) + running
    }

    /// Queues a task whose work is this share of that of a set-up.
    pub(super) fn enqueue(&mut self, share: f64, task: Task) {
        let is_follow_up = matches!(task, Task::Answer(_) | Task::Release { .. });
        let job = Job { work: self.config.set_up_time().scaled(share), task };
        if is_follow_up && self.config.prioritizes_follow_ups {
            self.priority_queue.push_back(job);
        } else {
            self.queue.push_back(job);
        }
    }

    /// Marks the set-ups of a call as cancelled; where the scenario says so they need no more work either.
    pub(super) fn cancel(&mut self, front: SocketAddr, call_id: &str) {
        let read_work = self.config.set_up_time().scaled(self.config.read_work);
        let running = self.running.iter_mut().map(|running| &mut running.job);
        for job in self.priority_queue.iter_mut().chain(&mut self.queue).chain(running) {
            if let Task::SetUp(set_up) | Task::Answer(set_up) = &mut job.task
                && set_up.front == front
                && set_up.call_id == call_id
            {
                set_up.is_cancelled = true;
                if self.config.discards_cancelled_work {
                    job.work = job.work.min(read_work);
                }
            }
        }
    }

    /// The next task that is finished by now; the one behind it is begun.
    pub(super) fn poll_finished(&mut self, now: Moment) -> Option<Task> {
        loop {
            if let Some(running) = self.running.take_if(|running| running.finished_at <= now) {
                return Some(running.job.task);
            }
            if self.running.is_some() {
                return None;
            }
            let job = self.priority_queue.pop_front().or_else(|| self.queue.pop_front())?;
            let finished_at = now + job.work.scaled(1.0 / self.speed(now));
            self.running = Some(RunningJob { finished_at, job });
        }
    }

    /// Drops all work.
    pub(super) fn clear(&mut self) {
        self.priority_queue.clear();
        self.queue.clear();
        self.running = None;
    }

    /// When the running task is finished.
    pub(super) fn poll_timeout(&self) -> Option<Moment> {
        self.running.as_ref().map(|running| running.finished_at)
    }
}
