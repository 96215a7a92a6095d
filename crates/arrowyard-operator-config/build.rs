//! Compiles the schema of the operator's file; needs no protoc.

use std::error::Error;
use std::path::PathBuf;
use std::{env, fs};

use prost::Message;

fn main() -> Result<(), Box<dyn Error>> {
    let proto_folder = PathBuf::from(env::var("CARGO_MANIFEST_DIR")?).join("../../proto");
    println!("cargo::rerun-if-changed={}", proto_folder.display());
    let descriptors = protox::compile([proto_folder.join("yardbook.proto")], [&proto_folder])?;
    fs::write(PathBuf::from(env::var("OUT_DIR")?).join("yardbook.bin"), descriptors.encode_to_vec())?;
    prost_build::Config::new().compile_fds(descriptors)?;
    Ok(())
}
