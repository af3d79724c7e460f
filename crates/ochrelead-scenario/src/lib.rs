//! Scripted days on loopback, and their judge.
//!
//! - [`party`]: who takes part, and under which address.
//! - [`world`]: one day with one kind of front: processes, the relay between them, kills as scripted, and the
//!   capture of every datagram.
//! - [`part`]: what each of those processes runs.
//! - [`baseline`]: textbook policies in the module's place.
//! - [`capture`]: the capture file, written and read.
//! - [`found`]: how well the diagnosis finds what the script did.
//! - [`load`]: what one front carries, beside a bare relay.
//! - [`audit`]: the five rules and the service, from the capture and the day's script alone. It shares no code
//!   with the front beyond the MGCP grammar.

pub mod audit;
pub mod baseline;
pub mod capture;
pub mod found;
pub mod load;
pub mod part;
pub mod party;
pub mod world;
