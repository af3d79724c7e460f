//! A front on the operators' platform: callers speak JSON lines, signalling servers SIP, the coordinator numbered
//! events, all over TCP. The controller of `ochrelead-core` decides on every session; nothing here does.
//!
//! - [`engine`]: the node without I/O, and [`io`]: what passes between it and its host. The host reports what arrives
//!   by [`engine::Engine::handle_input`], lets it decide by [`engine::Engine::process`], carries out what
//!   [`engine::Engine::poll_output`] returns, and comes again at [`engine::Engine::poll_timeout`].
//! - `call_table`, `caller_table`, `server_table`: its state. `bounds`: how much each may hold.
//! - `coordinator_watch`: the subscription to the coordinator.
//! - `outcomes`, `occupancy`, [`fencing`]: what the messages of signalling servers mean.
//! - [`coordination`]: the coordination with other fronts, where it is asked for; [`health_check`]: one front probes a
//!   silent server for all; [`observation`]: what the engine and the coordination tell each other.
//! - [`host`]: sockets, clock, signals. [`persistence`]: what a voter persists, where it is given a folder.
//!
//! A node that knows no server answers a heartbeat:
//!
//! ```
//! use ochrelead_core::controller::Controller;
//! use ochrelead_core::time::Moment;
//! use ochrelead_node::engine::Engine;
//! use ochrelead_node::io::{CallerId, Input, Output};
//! use ochrelead_platform::configuration;
//!
//! let configuration = configuration::parse(r#"{"listen": "127.0.0.1:5060"}"#).unwrap();
//! let now = Moment::from_micros(1_000_000);
//! let policy = Controller::new(&configuration.controller_config, now);
//! let mut engine = Engine::new(&configuration, Box::new(policy), now);
//!
//! let caller = CallerId(1);
//! engine.handle_input(now, Input::CallerConnected(caller));
//! let heartbeat = b"{\"t\":\"hb\",\"ref\":\"0000000000000001\",\"f\":{},\"c\":0}\n";
//! engine.handle_input(now, Input::CallerData(caller, heartbeat));
//! engine.process(now);
//! let answer = engine.poll_output();
//! assert!(matches!(answer, Some(Output::SendToCaller(to, _)) if to == caller));
//! ```

#![warn(missing_docs)]

pub mod coordination;
pub mod engine;
pub mod fencing;
pub mod health_check;
pub mod host;
pub mod io;
pub mod observation;
pub mod persistence;

mod bounds;
mod call_table;
mod caller_table;
mod coordinator_watch;
mod occupancy;
mod outcomes;
mod server_table;
