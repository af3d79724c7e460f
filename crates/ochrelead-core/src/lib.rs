//! The decisions of the ochrelead call controller, free of any wire and any clock of their own.
//!
//! [`rules`] is the one module that decides, with the re-send budget of [`bucket`]; the others hold plain types.

pub mod bucket;
pub mod call;
pub mod index;
mod ledger;
pub mod provision;
pub mod ring;
pub mod rules;
pub mod time;
