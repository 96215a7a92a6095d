//! Compiles the schema of the operator's file; needs no protoc.

use std::error::Error;
use std::path::PathBuf;
use std::{env, fs};

use prost::Message;

fn main() -> Result<(), Box<dyn Error>> {
    let root = PathBuf::from(env::var("CARGO_MANIFEST_DIR")?).join("../../proto");
    println!("cargo::rerun-if-changed={}", root.display());
    let files = protox::compile([root.join("yardbook.proto")], [&root])?;
    fs::write(PathBuf::from(env::var("OUT_DIR")?).join("yardbook.bin"), files.encode_to_vec())?;
    prost_build::Config::new().compile_fds(files)?;
    Ok(())
}
