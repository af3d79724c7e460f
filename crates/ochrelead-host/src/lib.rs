//! Parts that every host needs, whatever its protocol.
//!
//! A host connects a network protocol to the controller of [`ochrelead_core`]: it passes events to a
//! [`CallPolicy`](call_policy::CallPolicy) and carries out its decisions.
//!
//! - [`call_policy`]: the interface between a host and the controller, so that tests can substitute another policy.
//! - [`clock`]: a monotonic clock, and timers on it.
//! - [`called_numbers`]: a bounded table of called numbers and their indices.
//! - [`recent_ids`]: a bounded set of recently used identifiers.
//! - [`state_folder`]: the folder in which a front stores its state, and the atomic replacement of its files.
//!
//! ```
//! use ochrelead_core::config::ControllerConfig;
//! use ochrelead_core::controller::Controller;
//! use ochrelead_host::call_policy::CallPolicy;
//! use ochrelead_host::clock::Clock;
//!
//! let clock = Clock::start();
//! let controller = Controller::new(&ControllerConfig::default(), clock.now());
//! let mut policy: Box<dyn CallPolicy> = Box::new(controller);
//! policy.advance_to(clock.now());
//! assert_eq!(policy.next_decision(), None);
//! ```

#![warn(missing_docs)]

pub mod call_policy;
pub mod called_numbers;
pub mod clock;
pub mod recent_ids;
pub mod state_folder;

/// The name of the status file in a state folder, which `ochrelead-front status` prints. Its first line holds the
/// time at which it was written.
pub const STATUS_FILE: &str = "status";
/// The name of the metrics file in a state folder, in the Prometheus text format.
pub const METRICS_FILE: &str = "counters.prom";
