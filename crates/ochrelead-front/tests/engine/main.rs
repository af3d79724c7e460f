//! The engine between one gateway and servers that answer as each test has them answer.

mod drain;
mod helper;
mod releases;
mod servers;
mod sessions;
