//! Runs the decision module for the simulator: translates JSON lines on standard input into events, and the
//! resulting actions into JSON lines on standard output.

mod batch;
mod router;
mod value;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut process = batch::Process::default();
    let (mut line, mut reply) = (Vec::new(), String::new());
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line).map_err(|e| format!("standard input: {e}"))? == 0 {
            return Ok(());
        }
        if line.trim_ascii().is_empty() {
            continue;
        }
        reply.clear();
        process.handle_batch(&line, &mut reply)?;
        output.write_all(reply.as_bytes()).map_err(|e| format!("standard output: {e}"))?;
        output.flush().map_err(|e| format!("standard output: {e}"))?;
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("arrowyard-adapter: {}", message.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
