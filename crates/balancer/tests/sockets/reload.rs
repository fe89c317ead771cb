//! New configurations while the program runs.

use serde_json::json;

use shorewharf_emulator::standin::*;

use crate::start;

#[test]
fn a_new_discovery_address_is_watched_at_once_and_all_else_lives_on() {
    let (servers, old, new) = ([Node::new(), Node::new()], Director::new(), Director::new());
    let mut settings = asking(&[("s-1", servers[0].address())], &old);
    let mut program = start(&settings);
    let mut watch = old.watch();
    watch.blank();
    let (mut client, mut s) = program.stand(&servers[0]);
    settings["discovery"] = json!(new.address());
    program.reconfigure(&settings.to_string());
    program.logged("reloaded");
    // The new watch goes on from the list that is held; the old one is over.
    let mut watch = new.watch();
    assert_eq!(watch.since(), 41);
    client.say("M 1");
    assert_eq!(s.line(), "M 1");
    s.say("M 1");
    assert_eq!(client.line(), "M 1");
    let one = endpoint("s-1", servers[0].address(), "Terminating");
    watch.tell(42, false, vec![one, endpoint("s-2", servers[1].address(), "Ready")]);
    assert_eq!(client.line(), "MOVE");
    program.stand(&servers[1]);
    assert!(program.is_running());
}

#[test]
fn a_bad_file_changes_nothing_and_is_logged_once() {
    let (server, old, new) = (Node::new(), Director::new(), Director::new());
    let settings = asking(&[("s-1", server.address())], &old);
    let mut program = start(&settings);
    old.watch();
    let mut next = settings.clone();
    next["discovery"] = json!(new.address());
    next["settings"]["classes"] = json!([{"name": "feed", "semantics": "read_like"}]);
    let mut bad = settings.clone();
    (bad["discovery"], bad["limits"]["sockets"]) = (next["discovery"].clone(), json!(-1));
    for (text, key) in [(next.to_string(), "settings.classes"), (bad.to_string(), "limits.sockets")] {
        program.reconfigure(&text);
        assert!(program.logged("reload-refused").contains(key), "{key}");
    }
    program.reconfigure(&settings.to_string()[..40]);
    program.logged("reload-refused");
    assert!(!new.is_called(), "a refused file was applied in part");
    // Classes are the ones from before, and the server list too.
    let (_client, _s) = program.stand(&server);
    assert!(program.is_running());
}

#[test]
fn reloads_that_come_close_together_leave_the_last_file_in_force() {
    let (server, hosts) = (Node::new(), [Director::new(), Director::new(), Director::new()]);
    let mut settings = asking(&[("s-1", server.address())], &hosts[0]);
    let mut program = start(&settings);
    hosts[0].watch();
    for host in [&hosts[1], &hosts[0], &hosts[2]] {
        settings["discovery"] = json!(host.address());
        program.reconfigure(&settings.to_string());
    }
    assert_eq!(hosts[2].watch().since(), 41);
    program.stand(&server);
    assert!(program.is_running());
}

#[test]
fn new_classes_and_limits_are_in_force_and_a_new_address_to_listen_at_is_not() {
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
fn a_new_address_that_says_nothing_is_asked_again_in_time() {
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
