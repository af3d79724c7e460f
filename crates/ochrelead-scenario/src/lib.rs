//! Runs scripted scenarios on loopback sockets, and audits their captures.
//!
//! - [`participant`]: the senders and receivers of datagrams; [`loopback`]: their addresses.
//! - [`runner`]: runs a scenario: starts the processes, relays and captures their datagrams, and injects scripted
//!   faults. [`process`]: the main functions of the processes.
//! - [`policy`]: the routing policy of the fronts; [`baseline`]: textbook policies for comparison.
//! - [`capture`]: writes and reads capture files; [`harness_event`]: events of the test harness in them.
//! - [`audit`]: checks the five rules and measures the service level, from the capture and the script only.
//! - [`detection`]: compares the faults that the diagnosis detects with those of the script.
//! - [`load`]: measures the throughput of one front, compared with a plain relay.
//! - [`invalid_file`]: the error for an invalid configuration or scenario.

pub mod audit;
pub mod baseline;
pub mod capture;
pub mod detection;
pub mod harness_event;
pub mod invalid_file;
pub mod load;
pub mod loopback;
pub mod participant;
pub mod policy;
pub mod process;
pub mod runner;
