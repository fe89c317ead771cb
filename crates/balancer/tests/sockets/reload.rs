//! Reloads of the configuration while the program runs.

use serde_json::json;

use shorewharf_emulator::standin::*;

use crate::start;

#[test]
fn a_new_discovery_address_is_watched_at_once_and_connections_stay() {
    let (servers, old, new) = ([Node::new(), Node::new()], Director::new(), Director::new());
    let mut settings = asking(&[("s-1", servers[0].address())], &old);
    let mut program = start(&settings);
    let mut watch = old.watch();
    watch.blank();
    let (mut client, mut upstream) = program.stand(&servers[0]);
    settings["discovery"] = json!(new.address());
    program.reconfigure(&settings.to_string());
    program.logged("reloaded");
    // The new watch continues from the current endpoint list; the old one has ended.
    let mut watch = new.watch();
    assert_eq!(watch.since(), 41);
    client.say("M 1");
    assert_eq!(upstream.line(), "M 1");
    upstream.say("M 1");
    assert_eq!(client.line(), "M 1");
    let terminating = endpoint("s-1", servers[0].address(), "Terminating");
    watch.tell(42, false, vec![terminating, endpoint("s-2", servers[1].address(), "Ready")]);
    assert_eq!(client.line(), "MOVE");
    program.stand(&servers[1]);
    assert!(program.is_running());
}

#[test]
fn an_invalid_file_changes_nothing_and_is_logged() {
    let (server, old, new) = (Node::new(), Director::new(), Director::new());
    let settings = asking(&[("s-1", server.address())], &old);
    let mut program = start(&settings);
    old.watch();
    let mut other_classes = settings.clone();
    other_classes["discovery"] = json!(new.address());
    other_classes["settings"]["classes"] = json!([{"name": "feed", "semantics": "read_like"}]);
    let mut invalid = settings.clone();
    (invalid["discovery"], invalid["limits"]["sockets"]) = (other_classes["discovery"].clone(), json!(-1));
    for (text, key) in
        [(other_classes.to_string(), "settings.classes"), (invalid.to_string(), "limits.sockets")]
    {
        program.reconfigure(&text);
        assert!(program.logged("reload-refused").contains(key), "{key}");
    }
    program.reconfigure(&settings.to_string()[..40]);
    program.logged("reload-refused");
    assert!(!new.is_called(), "a rejected file was partly applied");
    // The classes and the endpoint list are still the old ones.
    let (_client, _upstream) = program.stand(&server);
    assert!(program.is_running());
}

#[test]
fn after_reloads_in_quick_succession_the_last_file_is_in_force() {
    let (server, directors) = (Node::new(), [Director::new(), Director::new(), Director::new()]);
    let mut settings = asking(&[("s-1", server.address())], &directors[0]);
    let mut program = start(&settings);
    directors[0].watch();
    for director in [&directors[1], &directors[0], &directors[2]] {
        settings["discovery"] = json!(director.address());
        program.reconfigure(&settings.to_string());
    }
    assert_eq!(directors[2].watch().since(), 41);
    program.stand(&server);
    assert!(program.is_running());
}

#[test]
fn new_classes_and_limits_are_in_force_and_a_new_listen_address_needs_a_restart() {
    let server = Node::new();
    let mut settings = config(&[("s-1", server.address())]);
    let program = start(&settings);
    let classes = settings["settings"]["classes"].as_array_mut().expect("classes");
    classes.push(json!({"name": "feed", "semantics": "read_like", "promise_s": 1.0, "give_up_s": 20.0}));
    settings["listen"] = json!(nobody());
    program.reconfigure(&settings.to_string());
    assert!(program.logged("reloaded").contains("restart-needed=listen"));
    let mut client = program.client();
    client.say("OPEN 1 2 c=feed,t=acme,d=20000");
    assert!(server.accept().line().starts_with("OPEN 1 2 c=feed"));
    settings["limits"]["sockets"] = json!(32);
    program.reconfigure(&settings.to_string());
    program.logged("reloaded");
    assert!(program.open("").line().starts_with("BUSY "));
}

#[test]
fn a_silent_watch_at_a_new_discovery_address_is_requested_again() {
    let (old, new) = (Director::new(), Director::new());
    let mut settings = asking(&[], &old);
    let program = start(&settings);
    let _watch = old.watch();
    settings["discovery"] = json!(new.address());
    program.reconfigure(&settings.to_string());
    let _silent = new.watch();
    assert!(
        program.logged("discovery-failed").contains("no data from the discovery service within the timeout")
    );
    assert_eq!(new.watch().since(), 41);
}
