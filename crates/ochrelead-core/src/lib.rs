//! The decisions of the ochrelead call controller, free of any wire and any clock of their own.
//!
//! [`controller`] is the one module that decides, with the re-send budget of [`retry_budget`]; the others hold plain types.

pub mod config;
pub mod controller;
pub mod index;
pub mod retry_budget;
pub mod sliding_window;
mod state;
pub mod time;
pub mod types;
