//! A front: a call agent (RFC 3435) that accepts sessions from callers' gateways and sets them up at signalling
//! servers. The policy of `ochrelead-core` selects the servers and decides on retries and rejections; this crate
//! executes its decisions.
//!
//! - [`engine`]: the front's state machine, without I/O. Its inputs are datagrams, endpoint updates and the time; its
//!   outputs are datagrams and events. [`engine::Engine::poll_timeout`] returns when to process again.
//! - [`outcomes`]: maps a server's response to an outcome for the policy.
//! - [`releases`]: releases that servers have not confirmed.
//! - [`drain`]: the drain, in which each held session still gets its final answer.
//! - [`events`]: the events that the engine reports; [`event_recording`]: their form in the event log.
//! - [`host`]: the socket, the clock and the signals; [`state_writer`]: the thread that writes the state files.
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
