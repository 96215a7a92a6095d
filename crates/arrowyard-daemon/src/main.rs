//! The router for PostgreSQL clients and hosts.

use std::process::ExitCode;

fn main() -> ExitCode {
    arrowyard_daemon::run(arrowyard_daemon::serve::serve)
}
