//! The engine with one gateway and two servers, whose messages each test supplies.

mod drain;
mod helper;
mod releases;
mod servers;
mod sessions;
