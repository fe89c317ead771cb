//! A program with several workers, which to the outside behaves like one with a single worker.

use serde_json::json;
use shorewharf_emulator::standin::*;

use crate::BINARY;

#[test]
fn workers_share_clients_ids_endpoint_lists_reloads_and_the_shutdown() {
    let (servers, old, new) = ([Node::new(), Node::new()], Director::new(), Director::new());
    let mut settings = asking(&[("s-1", servers[0].address())], &old);
    // A short client timeout: the shutdown migrates clients soon after SIGTERM.
    settings["settings"]["classes"][0]["give_up_s"] = json!(1.0);
    let mut program = Program::start_with(BINARY, &settings, "workers = 3");
    let _watch = old.watch();
    let mut connections: Vec<_> =
        (1..=30).map(|id| program.stand_as(&servers[0], &format!("{id:x}"))).collect();
    for (client, upstream) in &mut connections {
        client.say("M 1");
        assert_eq!(upstream.line(), "M 1");
        upstream.say("M 1");
        assert_eq!(client.line(), "M 1");
    }
    // An open id is rejected by whichever worker gets the client.
    for _ in 0..12 {
        assert_eq!(program.open_as("1e", "").line(), "ERR");
    }
    settings["discovery"] = json!(new.address());
    program.reconfigure(&settings.to_string());
    let mut watch = new.watch();
    let terminating = endpoint("s-1", servers[0].address(), "Terminating");
    watch.tell(42, false, vec![terminating, endpoint("s-2", servers[1].address(), "Ready")]);
    for (client, _) in &mut connections {
        assert_eq!(client.line(), "MOVE", "a worker did not get the endpoint list");
    }
    assert!(!new.is_called() && !old.is_called(), "more than one worker has a watch");
    let mut connections: Vec<_> =
        (0..30).map(|id| program.stand_as(&servers[1], &format!("{id:x}"))).collect();
    program.terminate();
    let mut total_sessions = 0;
    for _ in 0..3 {
        let line = program.logged("event=shutting-down");
        let sessions = line.split("sessions=").nth(1).and_then(|t| t.split(' ').next());
        total_sessions += sessions.and_then(|t| t.parse::<usize>().ok()).expect("a number of sessions");
    }
    assert_eq!(total_sessions, connections.len());
    for (client, _) in &mut connections {
        assert_eq!(client.line(), "MOVE", "a worker did not get the shutdown");
    }
    drop(connections);
    program.logged("event=stopped sessions=0");
    assert!(program.wait().success());
}
