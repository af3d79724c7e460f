//! Scripted scenarios on loopback, and the auditor that judges them.
//!
//! - [`participant`]: who sends and receives; [`loopback`]: under which addresses.
//! - [`runner`]: one run of a scenario: processes, the relay between them, scripted faults, and the capture of every
//!   datagram. [`process`]: what each of the processes executes.
//! - [`policy`]: which policy decides in the fronts; [`baseline`]: textbook policies, for comparison.
//! - [`capture`]: the capture file, written and read; [`rig_event`]: what the rig records in it.
//! - [`audit`]: the five rules and the service level, from the capture and the script alone.
//! - [`detection`]: how well the diagnosis detects what the script did.
//! - [`load`]: how much one front carries, beside a bare relay.
//! - [`invalid_file`]: the error for a configuration or scenario that can't be used.

pub mod audit;
pub mod baseline;
pub mod capture;
pub mod detection;
pub mod invalid_file;
pub mod load;
pub mod loopback;
pub mod participant;
pub mod policy;
pub mod process;
pub mod rig_event;
pub mod runner;
