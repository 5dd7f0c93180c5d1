//! The program: configuration, signals, metrics, and the wiring of the actors.

mod admin_frontend;
mod config;
mod discovery;
mod frontend;
mod inventory;
mod metrics;
mod node_registry;
mod node_transport;
mod object_frontend;
mod platform_frontend;
mod shutdown;
mod startup;
mod tenants;

use config::object::ObjectGatewayConfig;
use config::platform::PlatformConfig;
use std::path::Path;
use std::process::ExitCode;

const USAGE: &str =
    "usage: storage-gateway                 the platform's protocol, set up by the file that GW_CONFIG names
       storage-gateway --config FILE   the object API and the administration, set up by an operator's file";

/// Runs the gateway until it is told to stop.
pub fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let ran = match arguments.as_slice() {
        [] => PlatformConfig::load().map(startup::platform),
        ["--config", file] => ObjectGatewayConfig::load(Path::new(file)).map(startup::operator),
        ["--help" | "-h"] => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    let (text, code) = match ran {
        Ok(Ok(())) => return ExitCode::SUCCESS,
        Ok(Err(e)) => (e.to_string(), ExitCode::FAILURE),
        Err(e) => (e.to_string(), ExitCode::from(2)),
    };
    eprintln!("storage-gateway: {text}");
    code
}
