//! Tests of the configuration table.

use super::*;

#[test]
fn each_key_has_its_value_and_source() {
    let text = br#"{"name": "n3", "discovery": "127.0.0.1:8500", "limits": {"sockets": 96}, "settings":
            {"classes": [{"name": "chat", "give_up_s": 3.2}], "zones": ["b", "a"], "tick_s": 0.005}}"#;
    let env = |var: &str| (var == "ROUTER_LISTEN").then(|| "127.0.0.1:0".to_owned());
    let table = table(text, env).expect("a valid configuration").to_string();
    let lines: Vec<Vec<&str>> = table.lines().map(|line| line.split_whitespace().collect()).collect();
    for line in [
        "name n3 the file",
        "listen 127.0.0.1:0 ROUTER_LISTEN",
        "limits.sockets 96 the file",
        "limits.cores 1 default",
        "settings.classes.0.give_up_s 3.2 s the file",
        "settings.limits.connect_timeout_s 0.25 s default",
        "settings.zones b, a the file",
    ] {
        assert!(lines.contains(&line.split(' ').collect()), "{line} is not in\n{table}");
    }
    let error = crate::config::summary::table(b"{}", env).expect_err("required keys are missing");
    assert_eq!(error.key(), "settings");
}
