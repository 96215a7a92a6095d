//! The router on PostgreSQL's protocol.

use std::process::ExitCode;

fn main() -> ExitCode {
    arrowyard_daemon::run(arrowyard_daemon::serve::serve)
}
