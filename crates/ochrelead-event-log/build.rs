//! Compiles the schema of the event log into Rust types, and into descriptors for reflection; no `protoc` is needed.

use std::env;
use std::error::Error;
use std::fs;
use std::path::PathBuf;

use prost::Message;

fn main() -> Result<(), Box<dyn Error>> {
    println!("cargo:rerun-if-changed=proto");
    let descriptors = protox::compile(["records.proto"], ["proto"])?;
    let out = PathBuf::from(env::var("OUT_DIR")?);
    fs::write(out.join("records.bin"), descriptors.encode_to_vec())?;
    prost_build::Config::new().compile_fds(descriptors)?;
    Ok(())
}
