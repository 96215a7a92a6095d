//! Speaks the simulator's wire on standard input and output and hosts the decision module behind it.
//! It only translates: what it reads becomes notes, what the module wants becomes messages.

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
        process.play(&line, &mut reply)?;
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
