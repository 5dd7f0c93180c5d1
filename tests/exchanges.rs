//! Tests the gateway process with scripted exchanges. Each script in `tests/exchanges/` defines the messages
//! of the clients, the storage nodes and discovery. The test compares the gateway's messages with a snapshot
//! in `tests/snapshots/`.

mod exchange_player;

use std::path::{Path, PathBuf};
use std::process::Command;

macro_rules! exchanges {
    ($($name:ident)*) => {$(
        #[test]
        fn $name() {
            insta::assert_snapshot!(exchange_player::play_script(stringify!($name)));
        }
    )*};
}

exchanges! {
    crossing_client_disconnects_after_pipelining
    crossing_client_disconnects_while_connecting
    crossing_idempotency_key_window
    crossing_remaining_deadline
    fleet_endpoint_watch_silent
    narrow_overload
    narrow_silent_clients
    object_admin
    object_all_nodes_draining
    object_complete_upload_retried
    object_multipart
    object_node_rejects
    object_part_node_drained
    object_part_node_killed
    object_range_node_killed
    object_range_stalled
    object_range_streamed
    object_read_deadline
    object_reads
    object_reload
    object_request_errors
    object_shutdown
    object_stream_stalled
    object_tenants
    object_write_deadline
    object_write_retried
    object_wrong_range
    platform_bad_requests
    platform_chunked_bodies
    platform_client_disconnects
    platform_connection_reset
    platform_discovery_down
    platform_endpoint_list
    platform_invalid_clients
    platform_malformed_responses
    platform_node_rejects
    platform_reload
    platform_restarted
    platform_serves
    platform_shutdown
    platform_surplus_responses
    platform_used_request_ids
    short_discovery_connection_closed
    short_partial_request_at_shutdown
    tight_memory
}

/// An edit that makes the valid configuration invalid.
struct InvalidEdit {
    /// Text that the valid configuration contains.
    original: &'static str,
    /// Text that replaces the first occurrence of the original.
    invalid: &'static str,
}

const INVALID_EDITS: [InvalidEdit; 10] = [
    InvalidEdit { original: "[gateway]", invalid: "[gateway" },
    InvalidEdit { original: "body_most = 1000", invalid: "body_least = 1000" },
    InvalidEdit { original: "memory = 1000000", invalid: "memory = 1000" },
    InvalidEdit { original: "aim_ms = 5000", invalid: "aim_ms = 50000" },
    InvalidEdit { original: "rate = 40", invalid: "rate = -1" },
    InvalidEdit { original: "plan = \"standard\"", invalid: "plan = \"novel\"" },
    InvalidEdit { original: "name = \"other\"", invalid: "name = \"uni\"" },
    InvalidEdit { original: "\"secret\"", invalid: "\"nowhere\"" },
    InvalidEdit { original: "inventory.csv", invalid: "bad.csv" },
    InvalidEdit { original: "[admin]\nlisten = \"127.0.0.1:0\"", invalid: "[admin]\nlisten = \"0.0.0.0:0\"" },
];

fn object_configuration(file: &str) -> String {
    std::fs::read_to_string(format!("tests/exchanges/object/{file}")).unwrap()
}

/// Creates a folder with the files that the configuration refers to and with `bad.csv`, an inventory that
/// contains an invalid address.
fn configuration_folder() -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("bad");
    std::fs::create_dir_all(&folder).unwrap();
    let write = |file: &str, text: &str| std::fs::write(folder.join(file), text).unwrap();
    write("secret", &object_configuration("secret"));
    write("inventory.csv", "name,address,rack\nn1,127.0.0.1:9001,r1\n");
    write("bad.csv", "name,address,rack\nn1,nowhere,r1\n");
    folder
}

/// Given an invalid configuration, the gateway reports the error in one line and exits with status 2 instead
/// of serving.
#[test]
fn invalid_configurations_are_reported_in_one_line() {
    let folder = configuration_folder();
    let valid = object_configuration("config.toml");
    let mut reports = String::new();
    for InvalidEdit { original, invalid } in INVALID_EDITS {
        assert!(valid.contains(original), "{original}");
        let path = folder.join("config.toml");
        std::fs::write(&path, valid.replacen(original, invalid, 1)).unwrap();
        let mut gateway = Command::new(env!("CARGO_BIN_EXE_storage-gateway"));
        let output = gateway.arg("--config").arg(path).output().unwrap();
        assert_eq!(output.status.code(), Some(2), "{invalid}");
        let report = String::from_utf8(output.stderr).unwrap().replace(folder.to_str().unwrap(), "FOLDER");
        assert_eq!(report.lines().count(), 1, "{report}");
        reports.push_str(&format!("{invalid:?}\n    {report}"));
    }
    insta::assert_snapshot!(reports);
}
