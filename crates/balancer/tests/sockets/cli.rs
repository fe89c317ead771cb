//! The command line: its output and exit codes.

use std::process::{Command, Output};

use serde_json::json;

use shorewharf_emulator::standin::*;

use crate::BINARY;

/// Runs the program and returns its exit code, standard output and standard error.
fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let out: Output = Command::new(BINARY).args(arguments).output().expect("the program runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (out.status.code(), text(out.stdout), text(out.stderr))
}

/// Runs `check-config` on a file with this text.
fn check(config: &str) -> (Option<i32>, String, String) {
    let file = std::env::temp_dir().join(format!("shorewharf-check-{}.json", std::process::id()));
    std::fs::write(&file, config).expect("the file is written");
    let out = run(&["check-config", file.to_str().expect("text")]);
    std::fs::remove_file(&file).expect("the file is removed");
    out
}

#[test]
fn check_config_checks_a_configuration_without_serving() {
    let (code, table, log) = check(&config(&[]).to_string());
    assert_eq!((code, log.as_str()), (Some(0), ""));
    assert!(table.lines().any(|l| l.contains("limits.sockets") && l.contains("1024")), "{table}");
    let mut invalid = config(&[]);
    invalid["limits"]["sockets"] = json!(31);
    let texts = [(invalid.to_string(), "limits.sockets: 31 is too few; a balancer needs at least 32\n")];
    for (text, message) in texts.into_iter().chain([("{".into(), "ROUTER_CONFIG: not valid JSON: EOF")]) {
        let (code, table, log) = check(&text);
        assert_eq!((code, table.as_str()), (Some(2), ""));
        assert!(log.starts_with(message) && log.lines().count() == 1, "{log}");
    }
}

#[test]
fn an_invalid_command_line_is_rejected() {
    for arguments in [&["serve"][..], &["--log-level", "loud"], &["--log-format", "xml"], &["check-config"]] {
        assert_eq!(run(arguments).0, Some(2), "{arguments:?}");
    }
    assert_eq!(run(&["--version"]).1, format!("shorewharf {}\n", env!("CARGO_PKG_VERSION")));
    assert!(run(&["--help"]).1.contains("Exit codes:"));
}
