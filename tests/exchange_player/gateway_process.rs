//! Runs the gateway under test as a child process.

// Each test file uses a part of these functions.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};

/// Start of the log line that reports the address of a listening socket.
const SERVING_PREFIX: &str = "storage-gateway: serving on ";

/// A running gateway; dropping the value kills the process.
pub struct GatewayProcess {
    child: Child,
    log: BufReader<ChildStderr>,
    /// The listening addresses: first the one for clients and, if the gateway serves the object API, then the
    /// one for admin requests.
    addresses: Vec<String>,
}

impl GatewayProcess {
    /// Starts the gateway with the configuration in the folder, and waits until the gateway listens.
    pub fn start(folder: &Path) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_storage-gateway"));
        let is_platform = folder.join("config.json").exists();
        match is_platform {
            true => command.env("GW_CONFIG", "config.json"),
            false => command.arg("--config").arg("config.toml"),
        };
        // Runs in the folder, so that no message contains the path of the checkout.
        command.current_dir(folder);
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let mut gateway = GatewayProcess { child, log, addresses: Vec::new() };
        let listeners = if is_platform { 1 } else { 2 };
        for _ in 0..listeners {
            let line = gateway.read_log_line();
            let address = line.trim().strip_prefix(SERVING_PREFIX).expect(&line);
            gateway.addresses.push(address.to_string());
        }
        gateway
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn client_address(&self) -> &str {
        &self.addresses[0]
    }

    pub fn admin_address(&self) -> &str {
        &self.addresses[1]
    }

    pub fn read_log_line(&mut self) -> String {
        let mut line = String::new();
        self.log.read_line(&mut line).unwrap();
        line
    }

    pub fn send_signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([format!("-{name}"), pid]).status().unwrap();
        assert!(status.success());
    }

    /// Waits until the gateway exits. Returns its exit status and the rest of its log.
    pub fn wait_for_exit(&mut self) -> String {
        let status = self.child.wait().unwrap();
        let mut log = String::new();
        self.log.read_to_string(&mut log).unwrap();
        format!("{status}\n{log}")
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // Errors are ignored: the process may have exited by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
