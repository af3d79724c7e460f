//! A front: a call agent (RFC 3435) that takes sessions from callers' gateways and sets them up at signalling servers.
//! The policy of `ochrelead-core` decides where, whether again, and when to reject; nothing here does.
//!
//! - [`engine`]: the whole front without I/O. Datagrams, endpoint updates and the time go in; datagrams and events come
//!   out; [`engine::Engine::poll_timeout`] says when to process again.
//! - [`outcomes`]: what a server's response means to the policy.
//! - [`releases`]: releases that servers have not confirmed.
//! - [`drain`]: leaving service without losing a session.
//! - [`events`]: what the engine reports; [`event_recording`]: its form in the event log.
//! - [`host`]: sockets, clock, signals; [`state_writer`]: the thread that writes files. They decide nothing.
//!
//! ```
//! use ochrelead_core::time::{Moment, Span};
//! use ochrelead_front::drain::DrainState;
//!
//! let mut state = DrainState::InService;
//! state.start(Moment::from_micros(0), Span::from_secs(3));
//! assert!(!state.accepts_sessions());
//! state.update(Moment::from_micros(1), 0, Span::from_secs(3));
//! assert_eq!(state, DrainState::Closed);
//! ```
#![warn(missing_docs)]

pub mod drain;
pub mod engine;
pub mod event_recording;
pub mod events;
pub mod host;
pub mod outcomes;
pub mod releases;
pub mod state_writer;
