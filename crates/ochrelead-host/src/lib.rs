//! What every host of the decisions needs, whatever its wire.
//!
//! A host is the program part between a wire and the decisions of [`ochrelead_core`]: it passes events to a
//! [`CallPolicy`](call_policy::CallPolicy) and carries out what that decides.
//!
//! - [`call_policy`]: what a host asks of whoever decides, so that a test can put another policy in place.
//! - [`clock`]: the machine's clock as moments, and timers on it.
//! - [`called_numbers`]: called numbers by index, bounded.
//! - [`recent_ids`]: identifiers that are no longer in use, bounded.
//! - [`state_folder`]: the folder in which a front stores its state, and how a file in it is replaced.
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

/// The status file in a state folder, as `ochrelead-front status` prints it. Its first line says when it was written.
pub const STATUS: &str = "status";
/// The file of the counters in a state folder, in the text format of Prometheus.
pub const COUNTERS: &str = "counters.prom";
