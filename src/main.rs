//! The command line of the gateway: arguments, usage and exit codes.

use std::path::Path;
use std::process::ExitCode;
use storage_gateway::gateway::{self, GatewayError, log};

const USAGE: &str =
    "usage: storage-gateway                 the platform's protocol, set up by the file that GW_CONFIG names
       storage-gateway --config FILE   the object API and the administration, set up by an operator's file";

/// The exit code after wrong arguments or an invalid configuration: starting again cannot help. Other
/// failures end with [`ExitCode::FAILURE`].
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

/// Logs what the gateway failed of, if it did.
fn exit_code(result: Result<(), GatewayError>) -> ExitCode {
    let Err(error) = result else { return ExitCode::SUCCESS };
    log::write(&error);
    match error {
        GatewayError::Config(_) => ExitCode::from(EXIT_USAGE),
        GatewayError::Run(_) => ExitCode::FAILURE,
    }
}
