//! The gateway against recorded exchanges: its clients, storage nodes and discovery are played from the
//! scripts in `tests/exchanges/`, and what the gateway sends is compared with `tests/snapshots/`.

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
    short_discovery_connection_closed
    short_partial_request_at_shutdown
    tight_memory
}

/// What is wrong with a configuration: one piece of text in the place of another.
struct Mistake {
    correct: &'static str,
    wrong: &'static str,
}

const MISTAKES: [Mistake; 10] = [
    Mistake { correct: "[gateway]", wrong: "[gateway" },
    Mistake { correct: "body_most = 1000", wrong: "body_least = 1000" },
    Mistake { correct: "memory = 1000000", wrong: "memory = 1000" },
    Mistake { correct: "aim_ms = 5000", wrong: "aim_ms = 50000" },
    Mistake { correct: "rate = 40", wrong: "rate = -1" },
    Mistake { correct: "plan = \"standard\"", wrong: "plan = \"novel\"" },
    Mistake { correct: "name = \"other\"", wrong: "name = \"uni\"" },
    Mistake { correct: "\"secret\"", wrong: "\"nowhere\"" },
    Mistake { correct: "inventory.csv", wrong: "bad.csv" },
    Mistake { correct: "[admin]\nlisten = \"127.0.0.1:0\"", wrong: "[admin]\nlisten = \"0.0.0.0:0\"" },
];

fn object_configuration(file: &str) -> String {
    std::fs::read_to_string(format!("tests/exchanges/object/{file}")).unwrap()
}

/// A folder with what the configuration refers to, and an inventory with a bad address.
fn configuration_folder() -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("bad");
    std::fs::create_dir_all(&folder).unwrap();
    let write = |file: &str, text: &str| std::fs::write(folder.join(file), text).unwrap();
    write("secret", &object_configuration("secret"));
    write("inventory.csv", "name,address,rack\nn1,127.0.0.1:9001,r1\n");
    write("bad.csv", "name,address,rack\nn1,nowhere,r1\n");
    folder
}

/// The gateway reports an invalid configuration in one line, exits with a status of its own, and serves
/// nothing.
#[test]
fn invalid_configurations_are_reported_in_one_line() {
    let folder = configuration_folder();
    let valid = object_configuration("config.toml");
    let mut reports = String::new();
    for Mistake { correct, wrong } in MISTAKES {
        assert!(valid.contains(correct), "{correct}");
        let path = folder.join("config.toml");
        std::fs::write(&path, valid.replacen(correct, wrong, 1)).unwrap();
        let mut gateway = Command::new(env!("CARGO_BIN_EXE_storage-gateway"));
        let output = gateway.arg("--config").arg(path).output().unwrap();
        assert_eq!(output.status.code(), Some(2), "{wrong}");
        let report = String::from_utf8(output.stderr).unwrap().replace(folder.to_str().unwrap(), "FOLDER");
        assert_eq!(report.lines().count(), 1, "{report}");
        reports.push_str(&format!("{wrong:?}\n    {report}"));
    }
    insta::assert_snapshot!(reports);
}
