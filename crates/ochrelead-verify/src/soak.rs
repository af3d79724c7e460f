//! Soak trials: several real node processes between emulated callers, servers and coordinators, all on loopback, with
//! faults from a seed. An auditor judges the history of what crossed the sockets, never the nodes' own logs.
//!
//! [`scenario`] draws a trial from a seed, [`trial`] runs it, [`history`] is what was seen, and [`auditor`] says which
//! rules were broken, each with the events that show it.

pub mod auditor;
pub mod bad_callers;
pub mod caller;
pub mod coordinator;
pub mod history;
mod incidents;
pub mod node_process;
pub mod parties;
mod reply;
pub mod scenario;
pub mod scheduler;
pub mod server;
pub mod server_list;
mod server_state;
pub mod sip_text;
pub mod told;
pub mod traffic;
pub mod trial;
