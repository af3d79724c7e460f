//! The single processor of a server: its queues, its speed, and the tasks that it executes.

use std::collections::VecDeque;
use std::net::SocketAddr;

use ochrelead_config::scenario::EmulatedServer;
use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::TransactionId;

/// Lower limit of the slowdown factor of a fault.
const MIN_SLOWDOWN: f64 = 0.01;

/// An accepted set-up.
#[derive(Clone)]
pub(super) struct SetUp {
    pub(super) front: SocketAddr,
    pub(super) transaction: TransactionId,
    pub(super) call_id: String,
    pub(super) called_number: String,
    pub(super) is_cancelled: bool,
}

/// A task of the processor.
pub(super) enum Task {
    /// The set-up of a call.
    SetUp(SetUp),
    /// The answer to a set-up.
    Answer(SetUp),
    /// The release of calls.
    Release { front: SocketAddr, transaction: TransactionId, circuits: Vec<u32> },
    /// Work without a result: retransmissions, rejections, audits.
    Overhead,
}

struct Job {
    /// The processing time at full speed.
    work: Span,
    task: Task,
}

struct RunningJob {
    finished_at: Moment,
    job: Job,
}

pub(super) struct Processor {
    config: EmulatedServer,
    /// The time of the last cold start; none if the processor was already warm when the scenario began.
    started_at: Option<Moment>,
    slowdown: f64,
    /// Answers and releases, if the scenario prioritizes them over set-ups.
    priority_queue: VecDeque<Job>,
    queue: VecDeque<Job>,
    running: Option<RunningJob>,
}

impl Processor {
    /// Creates a warm processor.
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

    /// Starts the process with cold caches.
    pub(super) fn start_cold(&mut self, now: Moment) {
        self.started_at = Some(now);
    }

    /// Divides the speed of the processor by this factor.
    pub(super) fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown.max(MIN_SLOWDOWN);
    }

    pub(super) fn is_cold(&self, now: Moment) -> bool {
        self.started_at.is_some_and(|started_at| now.since(started_at) < self.config.warm_up_time)
    }

    /// Returns the current speed as a share of the full speed. It rises linearly during the warm-up.
    pub(super) fn speed(&self, now: Moment) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 / self.slowdown };
        let warm_up_progress = now.since(started_at).ratio(self.config.warm_up_time).min(1.0);
        (self.config.cold_share + (1.0 - self.config.cold_share) * warm_up_progress) / self.slowdown
    }

    /// Returns the number of set-ups that the processor can execute within a duration at its current speed.
    pub(super) fn capacity(&self, now: Moment, duration: Span) -> f64 {
        let second = Span::from_secs(1);
        duration.ratio(second) * second.ratio(self.config.set_up_time()) * self.speed(now)
    }

    /// Returns the time until all queued and running work is finished, at the current speed.
    pub(super) fn queue_delay(&self, now: Moment) -> Span {
        let queued = self.priority_queue.iter().chain(&self.queue).map(|job| job.work);
        let running = self.running.as_ref().map_or(Span::ZERO, |running| running.finished_at.since(now));
        queued.fold(Span::ZERO, |sum, work| sum + work).scaled(1.0 / self.speed(now)) + running
    }

    /// Queues a task whose work is `share` times that of a set-up.
    pub(super) fn enqueue(&mut self, share: f64, task: Task) {
        let is_follow_up = matches!(task, Task::Answer(_) | Task::Release { .. });
        let job = Job { work: self.config.set_up_time().scaled(share), task };
        if is_follow_up && self.config.prioritizes_follow_ups {
            self.priority_queue.push_back(job);
        } else {
            self.queue.push_back(job);
        }
    }

    /// Marks the set-ups of a call as cancelled. If the scenario says that servers discard cancelled set-ups, reduces
    /// their work to that of reading a message.
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

    /// Takes the running task if it is finished by `now`. Starts the next queued task if none is running.
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

    /// Drops the running task and all queued tasks.
    pub(super) fn clear(&mut self) {
        self.priority_queue.clear();
        self.queue.clear();
        self.running = None;
    }

    /// Returns when the running task is finished.
    pub(super) fn poll_timeout(&self) -> Option<Moment> {
        self.running.as_ref().map(|running| running.finished_at)
    }
}
