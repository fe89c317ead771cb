//! Reloads of the configuration while the program runs.

use serde_json::json;

use shorewharf_emulator::standin::*;

use crate::start;

#[test]
fn a_new_discovery_address_is_watched_at_once_and_connections_stay() {
    let (servers, old, new) =
        ([Server::new(), Server::new()], DiscoveryService::new(), DiscoveryService::new());
    let mut settings = config_with_discovery(&[("s-1", servers[0].address())], &old);
    let mut program = start(&settings);
    let mut watch = old.accept_watch();
    watch.send_blank_line();
    let (mut client, mut upstream) = program.establish(&servers[0]);
    settings["discovery"] = json!(new.address());
    program.reconfigure(&settings.to_string());
    program.wait_for_log("reloaded");
    // The new watch continues from the current endpoint list; the old one has ended.
    let mut watch = new.accept_watch();
    assert_eq!(watch.since(), 41);
    client.send_line("M 1");
    assert_eq!(upstream.receive_line(), "M 1");
    upstream.send_line("M 1");
    assert_eq!(client.receive_line(), "M 1");
    let terminating = endpoint("s-1", servers[0].address(), "Terminating");
    watch.send_list(42, false, vec![terminating, endpoint("s-2", servers[1].address(), "Ready")]);
    assert_eq!(client.receive_line(), "MOVE");
    program.establish(&servers[1]);
    assert!(program.is_running());
}

#[test]
fn an_invalid_file_changes_nothing_and_is_logged() {
    let (server, old, new) = (Server::new(), DiscoveryService::new(), DiscoveryService::new());
    let settings = config_with_discovery(&[("s-1", server.address())], &old);
    let mut program = start(&settings);
    old.accept_watch();
    let mut other_classes = settings.clone();
    other_classes["discovery"] = json!(new.address());
    other_classes["settings"]["classes"] = json!([{"name": "feed", "semantics": "read_like"}]);
    let mut invalid = settings.clone();
    (invalid["discovery"], invalid["limits"]["sockets"]) = (other_classes["discovery"].clone(), json!(-1));
    for (text, key) in
        [(other_classes.to_string(), "settings.classes"), (invalid.to_string(), "limits.sockets")]
    {
        program.reconfigure(&text);
        assert!(program.wait_for_log("reload-refused").contains(key), "{key}");
    }
    program.reconfigure(&settings.to_string()[..40]);
    program.wait_for_log("reload-refused");
    assert!(!new.has_pending_connection(), "a rejected file was partly applied");
    // The classes and the endpoint list are still the old ones.
    let (_client, _upstream) = program.establish(&server);
    assert!(program.is_running());
}

#[test]
fn after_reloads_in_quick_succession_the_last_file_is_in_force() {
    let (server, discovery_services) =
        (Server::new(), [DiscoveryService::new(), DiscoveryService::new(), DiscoveryService::new()]);
    let mut settings = config_with_discovery(&[("s-1", server.address())], &discovery_services[0]);
    let mut program = start(&settings);
    discovery_services[0].accept_watch();
    for discovery in [&discovery_services[1], &discovery_services[0], &discovery_services[2]] {
        settings["discovery"] = json!(discovery.address());
        program.reconfigure(&settings.to_string());
    }
    assert_eq!(discovery_services[2].accept_watch().since(), 41);
    program.establish(&server);
    assert!(program.is_running());
}

#[test]
fn new_classes_and_limits_are_in_force_and_a_new_listen_address_needs_a_restart() {
    let server = Server::new();
    let mut settings = config(&[("s-1", server.address())]);
    let program = start(&settings);
    let classes = settings["settings"]["classes"].as_array_mut().expect("classes");
    classes.push(json!({"name": "feed", "semantics": "read_like", "promise_s": 1.0, "give_up_s": 20.0}));
    settings["listen"] = json!(refusing_address());
    program.reconfigure(&settings.to_string());
    assert!(program.wait_for_log("reloaded").contains("restart-needed=listen"));
    let mut client = program.connect();
    client.send_line("OPEN 1 2 c=feed,t=acme,d=20000");
    assert!(server.accept().receive_line().starts_with("OPEN 1 2 c=feed"));
    settings["limits"]["sockets"] = json!(32);
    program.reconfigure(&settings.to_string());
    program.wait_for_log("reloaded");
    assert!(program.open("").receive_line().starts_with("BUSY "));
}

#[test]
fn a_silent_watch_at_a_new_discovery_address_is_requested_again() {
    let (old, new) = (DiscoveryService::new(), DiscoveryService::new());
    let mut settings = config_with_discovery(&[], &old);
    let program = start(&settings);
    let _watch = old.accept_watch();
    settings["discovery"] = json!(new.address());
    program.reconfigure(&settings.to_string());
    let _silent = new.accept_watch();
    assert!(
        program
            .wait_for_log("discovery-failed")
            .contains("no data from the discovery service within the timeout")
    );
    assert_eq!(new.accept_watch().since(), 41);
}
