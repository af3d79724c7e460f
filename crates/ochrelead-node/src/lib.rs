//! A front on the operators' platform: an added entry and exit for the same decisions.
//!
//! Callers speak JSON lines, signalling servers SIP, the coordinator numbered events, all over TCP. The module of
//! `ochrelead-core` decides on every session; nothing here does.
//!
//! - [`engine`]: the whole node without I/O. What came in is told by [`engine::Engine::take`]; [`engine::Engine::turn`]
//!   pulls decisions; [`engine::Engine::next`] says what is to be done on the sockets, [`engine::Engine::wake`]
//!   when to come again.
//! - [`book`]: the calls that are held. [`roster`]: the signalling servers and the connections to each.
//! - [`callers`]: the connections of callers. [`watch`]: the way to the coordinator.
//! - [`bounds`]: what each table may hold, from the limits that the node is told.
//! - [`meaning`]: what a signalling server's word means to the module.
//! - [`together`]: what it does with its peers, where that is asked for; [`sounding`]: one front tests a silent server for
//!   all.
//! - [`host`]: sockets, clock, signals. [`promises`]: what it keeps as a voter, where it is given a folder.

pub mod book;
pub mod bounds;
pub mod callers;
pub mod engine;
pub mod host;
pub mod meaning;
pub mod promises;
pub mod roster;
pub mod sounding;
pub mod together;
pub mod watch;
