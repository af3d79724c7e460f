//! The node: a front on the operators' platform. Over TCP it exchanges JSON lines with callers and SIP messages with
//! signalling servers, and receives numbered events from the coordinator. All routing decisions are made by the
//! controller of `ochrelead-core`.
//!
//! - [`engine`]: the node's logic without I/O; [`io`]: the inputs and outputs between the engine and its host. The host
//!   passes input to [`engine::Engine::handle_input`], runs [`engine::Engine::process`], performs the outputs that
//!   [`engine::Engine::poll_output`] returns, and runs the engine again no later than [`engine::Engine::poll_timeout`].
//! - `call_table`, `caller_table`, `server_table`: the state of the engine; `bounds`: the capacity of each table.
//! - `coordinator_watch`: the subscription to the coordinator.
//! - `outcomes`, `occupancy`, [`fencing`]: the interpretation of signalling servers' messages.
//! - [`coordination`]: the optional coordination with other fronts; [`health_check`]: the probe of a silent server, which
//!   one front sends on behalf of all; [`observation`]: the messages between the engine and the coordination.
//! - [`host`]: sockets, clock and signals; [`persistence`]: the files that a voter writes if it has a state folder.
//!
//! In this example, a node without any server answers a caller's heartbeat:
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
//! let output = engine.poll_output();
//! assert!(matches!(output, Some(Output::SendToCaller(to, _)) if to == caller));
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
mod reported_call_table;
mod server_table;
