//! The routing decisions of one front: admission control, load balancing, retries and outlier detection.
//!
//! The crate does no I/O and reads no clock: a host passes the time and its observations to a
//! [`Controller`](controller::Controller) and then takes its decisions. The same seed and the same inputs give the
//! same decisions.
//!
//! - [`controller`] makes all decisions; [`retry_budget`] limits the re-sends to a server.
//! - [`config`], [`types`] and [`index`] define the inputs and outputs of the controller.
//! - [`time`] defines points in time and durations; [`sliding_window`] keeps statistics of recent events.
//!
//! ```
//! use ochrelead_core::config::{ControllerConfig, Service};
//! use ochrelead_core::controller::Controller;
//! use ochrelead_core::index::{ServerIx, ServiceIx, SessionIx};
//! use ochrelead_core::time::{Moment, Span};
//! use ochrelead_core::types::{CallRequest, Decision, EndpointState, EndpointUpdate};
//!
//! let service =
//!     Service { value: 1.0, post_dial_target: Span::from_millis(1_500), ..Service::default() };
//! let config = ControllerConfig { fronts: 1, services: vec![service], ..ControllerConfig::default() };
//! let now = Moment::from_micros(1_000_000);
//! let mut controller = Controller::new(&config, now);
//!
//! let server = ServerIx::new(0);
//! let state = EndpointState::Ready { started: None };
//! controller.on_endpoints(true, &[EndpointUpdate { server, number: 7, state, weight: 1.0 }]);
//! let request = CallRequest {
//!     service: ServiceIx::new(0),
//!     tenant: None,
//!     called_number: None,
//!     destination: 7,
//!     deadline: now + Span::from_secs(6),
//!     is_redial: false,
//! };
//! let session = SessionIx::new(0);
//! controller.on_call_request(session, request);
//! let invite = Decision::Invite { session, server, answer_timeout: None };
//! assert_eq!(controller.next_decision(), Some(invite));
//! ```

#![warn(missing_docs)]

pub mod config;
pub mod controller;
pub mod index;
mod index_vec;
pub mod retry_budget;
pub mod sliding_window;
mod state;
pub mod time;
pub mod types;
