//! Compiles the schemas into Rust types, and into descriptors for the text format; no `protoc` is needed.

use std::env;
use std::error::Error;
use std::fs;
use std::path::PathBuf;

use prost::Message;

fn main() -> Result<(), Box<dyn Error>> {
    println!("cargo:rerun-if-changed=proto");
    let descriptors =
        protox::compile(["front.proto", "fleet.proto", "day.proto", "experiment.proto"], ["proto"])?;
    let out_dir = PathBuf::from(env::var("OUT_DIR")?);
    fs::write(out_dir.join("schemas.bin"), descriptors.encode_to_vec())?;
    prost_build::Config::new().compile_fds(descriptors)?;
    Ok(())
}
