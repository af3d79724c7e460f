//! The routing decisions of one front: admission control, load balancing, retries and outlier detection.
//!
//! The crate does no I/O and reads no clock: a host tells a [`Controller`](controller::Controller) the time
//! and what it observes, then asks for decisions. With the same seed and the same inputs it decides the same.
//!
//! - [`controller`] makes all decisions; the retry budget of a server is in [`retry_budget`].
//! - [`config`] and [`types`] are what a host passes in and gets back, with the indices of [`index`].
//! - [`time`] and [`sliding_window`] measure time and what happened in the recent past.
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
