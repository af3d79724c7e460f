//! Soak trials: several node processes between emulated callers, servers and coordinators, all on loopback
//! addresses, with faults drawn from a seed. An auditor checks the history recorded at the emulated peers' sockets;
//! it does not read the nodes' logs.
//!
//! [`scenario`] draws a trial from a seed, [`trial`] runs it, [`history`] records its events, and [`auditor`]
//! returns the violations of the rules, each with the events that show it.

pub mod auditor;
pub mod bad_callers;
pub mod caller;
pub mod coordinator;
pub mod discovery_view;
pub mod history;
mod incidents;
pub mod node_process;
mod reply;
pub mod scenario;
pub mod scheduler;
pub mod server;
pub mod server_list;
mod server_state;
pub mod sip_text;
pub mod traffic;
pub mod trial;
pub mod trial_setup;
