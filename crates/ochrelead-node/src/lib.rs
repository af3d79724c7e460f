//! A front on the operators' platform: callers speak JSON lines, signalling servers SIP, the coordinator numbered
//! events, all over TCP. The controller of `ochrelead-core` decides on every session; nothing here does.
//!
//! - [`engine`]: the node without I/O, and [`io`]: what passes between it and its host. The host reports what arrives
//!   by [`engine::Engine::handle_input`], lets it decide by [`engine::Engine::process`], carries out what
//!   [`engine::Engine::poll_output`] returns, and comes again at [`engine::Engine::poll_timeout`].
//! - `call_table`, `caller_table`, `server_table`: its state. `bounds`: how much each may hold.
//! - `coordinator_watch`: the subscription to the coordinator.
//! - `outcomes`, `occupancy`, [`fencing`]: what the messages of signalling servers mean.
//! - [`together`]: the coordination with other fronts, where it is asked for; [`sounding`]: one front probes a silent
//!   server for all.
//! - [`host`]: sockets, clock, signals. [`promises`]: what a voter persists, where it is given a folder.

pub mod engine;
pub mod fencing;
pub mod host;
pub mod io;
pub mod promises;
pub mod sounding;
pub mod together;

mod bounds;
mod call_table;
mod caller_table;
mod coordinator_watch;
mod occupancy;
mod outcomes;
mod server_table;
