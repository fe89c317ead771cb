//! A program with several workers, which to the outside behaves like one with a single worker.

use std::time::{Duration, Instant};

use serde_json::json;
use shorewharf_emulator::standin::*;

use crate::BINARY;

#[test]
fn workers_share_clients_ids_endpoint_lists_reloads_and_the_shutdown() {
    let (servers, old, new) =
        ([Server::new(), Server::new()], DiscoveryService::new(), DiscoveryService::new());
    let mut settings = config_with_discovery(&[("s-1", servers[0].address())], &old);
    // A short client timeout: the shutdown migrates clients soon after SIGTERM.
    settings["settings"]["classes"][0]["give_up_s"] = json!(1.0);
    let mut program = BalancerProcess::start_with_operator(BINARY, &settings, "workers = 3");
    let _watch = old.accept_watch();
    let mut connections: Vec<_> =
        (1..=30).map(|id| program.establish_with_id(&servers[0], &format!("{id:x}"))).collect();
    for (client, upstream) in &mut connections {
        client.send_line("M 1");
        assert_eq!(upstream.receive_line(), "M 1");
        upstream.send_line("M 1");
        assert_eq!(client.receive_line(), "M 1");
    }
    // An open id is rejected by whichever worker gets the client.
    for _ in 0..12 {
        assert_eq!(program.open_with_id("1e", "").receive_line(), "ERR");
    }
    settings["discovery"] = json!(new.address());
    program.reconfigure(&settings.to_string());
    let mut watch = new.accept_watch();
    let terminating = endpoint("s-1", servers[0].address(), "Terminating");
    watch.send_list(42, false, vec![terminating, endpoint("s-2", servers[1].address(), "Ready")]);
    for (client, _) in &mut connections {
        assert_eq!(client.receive_line(), "MOVE", "a worker did not get the endpoint list");
    }
    assert!(
        !new.has_pending_connection() && !old.has_pending_connection(),
        "more than one worker has a watch"
    );
    let mut connections: Vec<_> =
        (0..30).map(|id| program.establish_with_id(&servers[1], &format!("{id:x}"))).collect();
    program.terminate();
    let mut total_sessions = 0;
    for _ in 0..3 {
        let line = program.wait_for_log("event=shutting-down");
        let sessions = line.split("sessions=").nth(1).and_then(|t| t.split(' ').next());
        total_sessions += sessions.and_then(|t| t.parse::<usize>().ok()).expect("a number of sessions");
    }
    assert_eq!(total_sessions, connections.len());
    for (client, _) in &mut connections {
        assert_eq!(client.receive_line(), "MOVE", "a worker did not get the shutdown");
    }
    drop(connections);
    program.wait_for_log("event=stopped sessions=0");
    assert!(program.wait().success());
}

/// Guards against a worker that ends early and leaves clients waiting at its listener until the process ends.
#[test]
fn clients_that_connect_while_some_workers_have_no_client_left_are_answered_in_a_shutdown() {
    let server = Server::new();
    let settings = config(&[("s-1", server.address())]);
    let mut program = BalancerProcess::start_with_operator(BINARY, &settings, "workers = 3");
    // One client keeps its worker from ending before the others.
    let (mut established, _upstream) = program.establish_with_id(&server, "ff");
    program.terminate();
    program.wait_for_log("shutting-down");
    std::thread::sleep(Duration::from_millis(900));
    let mut clients: Vec<_> = (1..=24).map(|id| program.open_with_id(&format!("{id:x}"), "")).collect();
    let sent_at = Instant::now();
    for client in &mut clients {
        let answer = client.receive();
        assert!(matches!(&answer, Received::Line(line) if line.starts_with("BUSY ")), "{answer:?}");
        assert_eq!(client.receive(), Received::Fin);
    }
    assert!(sent_at.elapsed() < Duration::from_secs(1), "answered after {:?}", sent_at.elapsed());
    drop(clients);
    assert_eq!(established.receive_line(), "MOVE");
    drop(established);
    assert!(program.wait().success());
}
