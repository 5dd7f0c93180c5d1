//! The gateway's command-line interface: arguments, usage text and exit codes.

use std::path::Path;
use std::process::ExitCode;
use storage_gateway::gateway::{self, GatewayError, log};

const USAGE: &str =
    "usage: storage-gateway                 serve the platform's protocol, configured by the file in GW_CONFIG
       storage-gateway --config FILE   serve the object API and the administration API, configured by FILE";

/// Exit code for invalid arguments or an invalid configuration, which a restart cannot fix. All other
/// failures exit with [`ExitCode::FAILURE`].
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        [] => exit_code(gateway::run_platform_gateway()),
        ["--config", file] => exit_code(gateway::run_object_gateway(Path::new(file))),
        ["--help" | "-h"] => {
            println!("{USAGE}");
            ExitCode::SUCCESS
        }
        _ => {
            eprintln!("{USAGE}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Returns the exit code for the gateway's result, and logs the error if there is one.
fn exit_code(result: Result<(), GatewayError>) -> ExitCode {
    let Err(error) = result else { return ExitCode::SUCCESS };
    log::write(&error);
    match error {
        GatewayError::Config(_) => ExitCode::from(EXIT_USAGE),
        GatewayError::Run(_) => ExitCode::FAILURE,
    }
}
