//! A front: a call agent (RFC 3435) that takes sessions from callers' gateways and sets them up at signalling
//! servers. The module of `ochrelead-core` decides where, again, refuse, give up; nothing here does.
//!
//! - [`engine`]: the whole front without I/O. Datagrams, list news and ticks go in; datagrams and notes come
//!   out; [`engine::Engine::wake`] says when to come again.
//! - [`endings`]: what a server's answer means to the module.
//! - [`releases`]: what servers still owe an answer to.
//! - [`drain`]: leaving service without losing a session.
//! - [`note`]: what the engine tells; [`recording`]: its form in the records.
//! - [`host`]: sockets, clock, signals; [`keeping`]: what is written to disk. They decide nothing.

pub mod drain;
pub mod engine;
pub mod event_recording;
pub mod events;
pub mod host;
pub mod outcomes;
pub mod releases;
pub mod state_writer;
